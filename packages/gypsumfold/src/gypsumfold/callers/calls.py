"""``/v1/services/{service}/{call}``: single calls of plain services."""

import time

from aiohttp import web

from gypsumfold import exceptions
from gypsumfold import objects
from gypsumfold import outcomes
from gypsumfold.callers import accounts
from gypsumfold.callers import progress
from gypsumfold.decisions import types


class Calls:
    """Serves calls of plain services on one node.

    >>> app.router.add_post("/v1/services/{service}/{call}", calls.post)
    """

    def __init__(self, node):
        self.node = node

    async def post(self, request: web.Request) -> web.Response:
        """Serves one call.

        Raises:
            exceptions.RequestError: There is no answer to give.
        """
        service = request.match_info["service"]
        call = request.match_info["call"]
        declared = self.node.configuration.get("service", service)
        if declared is None or declared.protocol != "plain":
            raise exceptions.NotFound(
                f"no plain service is declared as {service}",
                outcomes.Outcome.NOT_RUN,
            )
        body = await request.read()
        state = request[progress.KEY]
        wanted = self.describe(state.account, service, call)
        state.request = wanted
        grant = await self.node.dispatcher(service).admit(wanted)
        watched = self.node.fleet.endpoints[grant.replica]
        finish = types.Finish.CANCELLED
        left = wanted.deadline - time.monotonic()
        try:
            answer = await watched.client.call(call, body, wanted.id, left)
            finish = types.Finish.DONE
            state.answered()
        except exceptions.EndpointNotStarted as error:
            finish = types.Finish.NOT_STARTED
            raise exceptions.Unavailable(
                str(error), outcomes.Outcome.NOT_RUN, 1.0
            ) from error
        except exceptions.EndpointError as error:
            finish = types.Finish.FAILED
            raise exceptions.AnswerUndetermined(
                str(error), outcomes.Outcome.UNDETERMINED
            ) from error
        finally:
            grant.finish(finish)
        return web.Response(
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
            headers={outcomes.HEADER: outcomes.Outcome.COMPLETE},
        )

    def describe(self, account: str, service: str, call: str) -> types.Request:
        """Makes what decisions need to know of the call."""
        fallback = objects.Kind(
            service=service,
            urgency=accounts.DEFAULT_URGENCY,
            deadline=self.node.settings.callers.deadline,
        )
        try:
            name, kind = accounts.kind_of(
                self.node.configuration, service, call, fallback
            )
        except exceptions.RequestInvalid:
            # A call that is not declared may not be repeated.
            name, kind = call, fallback
        now = time.monotonic()
        return types.Request(
            id=self.node.new_id(),
            account=account,
            model="",
            kind=name,
            urgency=kind.urgency,
            arrival=now,
            deadline=now + kind.deadline,
            prompt_tokens=0,
            output_tokens=0,
            repeatable=kind.repeatable,
            service=service,
        )

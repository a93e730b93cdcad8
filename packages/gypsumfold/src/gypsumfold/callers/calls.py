"""Serves ``/v1/services/{service}/{call}`` and ``/v1/keys``."""

import hashlib
import time

from aiohttp import web
import msgspec

from gypsumfold import claims
from gypsumfold import exceptions
from gypsumfold import objects
from gypsumfold import outcomes
from gypsumfold.callers import accounts
from gypsumfold.callers import bodies
from gypsumfold.callers import bound_calls
from gypsumfold.callers import call_results
from gypsumfold.callers import call_runner
from gypsumfold.callers import key_errors
from gypsumfold.callers import keyed_calls
from gypsumfold.callers import progress
from gypsumfold.decisions import types
from gypsumfold.peers import framing

thrift = framing.peers_thrift

KEY_HEADER = "Idempotency-Key"


class Calls:
    """Serves calls of plain services on one node.

    >>> app.router.add_post("/v1/services/{service}/{call}", calls.post)
    >>> app.router.add_post("/v1/keys", calls.post_key)
    """

    def __init__(self, node):
        self.node = node
        self.runner = call_runner.CallRunner(node)
        self.keyed = keyed_calls.KeyedCalls(node)
        self.bound = bound_calls.BoundCalls(node)
        node.peers.handle("calls.bound", thrift.BoundCall, self.on_bound)

    async def post(self, request: web.Request) -> web.Response:
        """Serves one call.

        Raises:
            exceptions.RequestError: The call has no answer.
        """
        service = request.match_info["service"]
        call = request.match_info["call"]
        state = request[progress.KEY]
        try:
            body = await bodies.read(request, self.node.settings.callers)
            self.check_service(service)
        except (exceptions.NotFound, exceptions.RequestInvalid) as error:
            raise before_key_check(request, error) from error
        service_call = self.make_service_call(
            state.account, service, call, body
        )
        state.request = service_call.request
        result = await self.serve(service_call, request.headers.get(KEY_HEADER))
        answer = result.unwrap()
        state.record_answer_start()
        return web.Response(
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
            headers={outcomes.HEADER: result.outcome},
        )

    async def post_key(self, request: web.Request) -> web.Response:
        """Issues a key that is bound to this node."""
        key = self.bound.issue(request[progress.KEY].account)
        body = {"key": key, "expires_in": bound_calls.KEY_LIFETIME_SECONDS}
        return web.Response(
            status=201,
            body=msgspec.json.encode(body),
            content_type="application/json",
            headers={outcomes.HEADER: outcomes.Outcome.COMPLETE},
        )

    async def serve(
        self, service_call: call_runner.ServiceCall, key: str | None
    ) -> call_results.CallResult:
        """Serves one request according to the kind of its key."""
        if key is None:
            return call_results.CallResult(
                await self.runner.run(service_call), None
            )
        if service_call.request.repeatable:
            try:
                return call_results.CallResult(
                    await self.runner.run(service_call), None
                )
            except exceptions.RequestError as error:
                return call_results.CallResult(
                    None, key_errors.as_undetermined(error)
                )
        digest = compute_digest(service_call)
        canonical = claims.canonical_key(key)
        if canonical:
            return await self.keyed.call(canonical, digest, service_call)
        issued = self.bound.verify(key, service_call.request.account)
        if issued is None:
            return call_results.CallResult(None, invalid_key())
        return await self.bound.call(key, issued, digest, service_call)

    async def on_bound(self, message, address: str):
        """Serves a request that another node forwards to this node's key."""
        key = self.bound.verify(message.key, message.account)
        if key is None or key.incarnation != self.node.incarnation:
            raise exceptions.PeerRefused("another incarnation's key")
        service_call = self.make_service_call(
            message.account, message.service_name, message.call, message.body
        )
        deadline = min(
            service_call.request.deadline, time.monotonic() + message.limit
        )
        request = service_call.request._replace(deadline=deadline)
        service_call = service_call._replace(request=request)
        result = await self.bound.run_here(
            key, compute_digest(service_call), service_call
        )
        answer = result.answer
        if (
            answer is not None
            and len(answer.body) > bound_calls.MAX_RETURNED_ANSWER_BYTES
        ):
            result = call_results.without_large_answer(result)
        return call_results.to_thrift(result)

    def check_service(self, service: str) -> None:
        """Checks that a plain service is declared.

        Raises:
            exceptions.NotFound: The service is not declared or not plain.
        """
        declared = self.node.configuration.get("service", service)
        if declared is None or declared.protocol != "plain":
            raise exceptions.NotFound(
                f"no plain service is declared as {service}",
                outcomes.Outcome.NOT_RUN,
            )

    def make_service_call(
        self, account: str, service: str, call: str, body: bytes
    ) -> call_runner.ServiceCall:
        """Makes the service call of a request."""
        request = self.describe(account, service, call)
        limit = request.deadline - request.arrival
        return call_runner.ServiceCall(request, call, body, time.time() + limit)

    def describe(self, account: str, service: str, call: str) -> types.Request:
        """Makes the input of the scheduling decisions for a call."""
        fallback = objects.Kind(
            service=service,
            urgency=accounts.DEFAULT_URGENCY,
            deadline=self.node.settings.callers.deadline,
        )
        try:
            name, kind = accounts.find_kind(
                self.node.configuration, service, call, fallback
            )
        except exceptions.RequestInvalid:
            # A call without a declared kind may not be repeated.
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

    async def close(self) -> None:
        """Waits for keyed calls in progress."""
        await self.keyed.close()


def compute_digest(service_call: call_runner.ServiceCall) -> str:
    """Computes a digest of a call's service, name and body."""
    name = f"{service_call.request.service}\n{service_call.name}\n".encode()
    return hashlib.sha256(name + service_call.body).hexdigest()


def invalid_key() -> exceptions.RequestInvalid:
    """Returns the error of a key that no node accepts."""
    return exceptions.RequestInvalid(
        "the idempotency key must be a UUIDv7 (RFC 9562) or come from "
        "/v1/keys for this account",
        outcomes.Outcome.NOT_RUN,
    )


def before_key_check(
    request: web.Request, error: exceptions.RequestError
) -> exceptions.RequestError:
    """Adjusts the outcome of an error raised before the key was checked.

    Args:
        request: The caller's HTTP request.
        error: The error that answers it.

    Returns:
        The error. If the request has a key, another attempt may run on
        another node, so an outcome of not-run becomes undetermined.
    """
    if KEY_HEADER not in request.headers:
        return error
    return key_errors.as_undetermined(error)

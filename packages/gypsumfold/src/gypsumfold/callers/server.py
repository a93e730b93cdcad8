"""HTTP server for callers: routes, authentication and error responses."""

import asyncio

from aiohttp import web
import msgspec

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import metrics
from gypsumfold import outcomes
from gypsumfold.callers import accounts
from gypsumfold.callers import calls
from gypsumfold.callers import completions
from gypsumfold.callers import models
from gypsumfold.callers import problems
from gypsumfold.callers import progress

# Seconds after which a caller may retry a request aborted by a shutdown.
RETRY_AFTER = 1.0
# Health checks of the load balancer, which need no account.
OPEN_PATHS = ("/ready", "/live")


class Server:
    """Builds and runs the web application for callers.

    >>> application = Server(node).application()
    """

    def __init__(self, node):
        self.node = node
        self.running: dict[asyncio.Task, progress.Progress] = {}

    @property
    def open_requests(self) -> int:
        """The number of requests in progress."""
        return len(self.running)

    def abort_requests(self) -> None:
        """Aborts all requests in progress, each with a final answer."""
        for task, state in self.running.items():
            state.aborted = True
            task.cancel()

    def application(self) -> web.Application:
        """Builds the application with all routes."""
        limit = self.node.settings.callers.body_limit
        app = web.Application(
            middlewares=[self.answer_errors, self.authenticate],
            client_max_size=limit,
        )
        app.on_response_prepare.append(self.end_connections)
        chat = completions.Completions(self.node)
        services = self.node.calls
        app.router.add_post("/v1/chat/completions", chat.post)
        app.router.add_post("/v1/services/{service}/{call}", services.post)
        app.router.add_post("/v1/keys", services.post_key)
        app.router.add_get("/v1/models", self.get_models)
        app.router.add_get("/ready", self.get_ready)
        app.router.add_get("/live", self.get_live)
        return app

    async def end_connections(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Closes each connection after its answer during a shutdown."""
        if self.node.stopping:
            response.force_close()
            response.headers["Connection"] = "close"

    @web.middleware
    async def answer_errors(self, request: web.Request, handler):
        """Converts errors into problem documents and counts the answer."""
        if request.path in OPEN_PATHS:
            return await handler(request)
        state = progress.Progress()
        request[progress.KEY] = state
        task = asyncio.current_task()
        self.running[task] = state
        try:
            response = await handler(request)
            state.outcome = response.headers.get(outcomes.HEADER, state.outcome)
            return response
        except exceptions.RequestError as error:
            state.outcome = error.outcome
            return problems.response(error)
        except web.HTTPException as error:
            problem = exceptions.RequestInvalid(
                error.reason, outcomes.Outcome.NOT_RUN
            )
            problem.status = error.status
            state.outcome = problem.outcome
            return problems.response(problem)
        except asyncio.CancelledError:
            if not state.aborted:
                state.cancelled = True
                raise
            task.uncancel()
            problem = shutdown_error()
            state.outcome = problem.outcome
            return problems.response(problem)
        finally:
            del self.running[task]
            self.record_end(request.path, state)

    def record_end(self, path: str, state: progress.Progress) -> None:
        """Records a final answer; only uncancelled ones reach the reports."""
        self.node.metrics.count(metrics.REQUESTS, label=state.outcome)
        self.node.metrics.timing(metrics.REQUEST_SECONDS, state.elapsed)
        self.node.metrics.gauge(metrics.OPEN_REQUESTS, self.open_requests)
        if state.request is not None and not state.cancelled:
            is_complete = state.outcome == outcomes.Outcome.COMPLETE
            self.node.reporting.count_answer(
                state.request, is_complete, state.time_to_first
            )
        events.log(
            events.REQUEST_ENDED,
            path=path,
            account=state.account,
            outcome=state.outcome,
            seconds=round(state.elapsed, 4),
        )

    @web.middleware
    async def authenticate(self, request: web.Request, handler):
        """Finds the account; refuses requests if this node is not ready."""
        if request.path in OPEN_PATHS:
            return await handler(request)
        if not await self.node.wait_until_serving():
            error = exceptions.Unavailable(
                "this node is not ready", outcomes.Outcome.NOT_RUN, 1.0
            )
            raise calls.before_key_check(request, error)
        account = accounts.find_account(self.node.configuration, request)
        request[progress.KEY].account = account
        return await handler(request)

    async def get_models(self, request: web.Request) -> web.Response:
        """Lists the models that callers can name."""
        data = []
        for name in models.list_names(self.node.configuration):
            data.append({"id": name, "object": "model"})
        body = msgspec.json.encode({"object": "list", "data": data})
        request[progress.KEY].outcome = outcomes.Outcome.COMPLETE
        return web.Response(body=body, content_type="application/json")

    async def get_ready(self, request: web.Request) -> web.Response:
        """Reports to the load balancer whether this node accepts callers."""
        ready = self.node.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def get_live(self, request: web.Request) -> web.Response:
        """Reports to the platform that the process responds."""
        return web.json_response({"live": True})


def shutdown_error() -> exceptions.RequestError:
    """Returns the error of a request that a shutdown aborts.

    Its outcome is undetermined, since an endpoint may still complete it.
    """
    return exceptions.AnswerUndetermined(
        "this node stops and the request took longer than its limit",
        outcomes.Outcome.UNDETERMINED,
        RETRY_AFTER,
    )

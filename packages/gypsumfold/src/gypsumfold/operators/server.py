"""HTTP for operators: statements, queries and the node's state."""

from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import hmac
from typing import NamedTuple
from typing import Protocol

from aiohttp import web
import msgspec
import uuid6

from gypsumfold import burn
from gypsumfold import changes
from gypsumfold import configuration as configuration_module
from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.operators import language
from gypsumfold.operators import publishing
from gypsumfold.operators import queries
from gypsumfold.operators import statements

# Bytes of one request; a change must fit the log's 256 KiB anyway.
BODY_LIMIT = 1024 * 1024

OPERATOR = web.RequestKey("operator", str)

# Status and slug of each failure, as an RFC 9457 problem document.
PROBLEMS: dict[type[Exception], tuple[int, str]] = {
    exceptions.StatementError: (400, "statement-invalid"),
    exceptions.OperatorUnknown: (401, "unauthorized"),
    exceptions.ChangeRejected: (409, "change-rejected"),
    exceptions.CommandFailed: (409, "command-failed"),
    exceptions.LogUnavailable: (503, "log-unavailable"),
    exceptions.AppendUndetermined: (504, "undetermined"),
}


class StatementsBody(msgspec.Struct):
    """The body of ``POST /v1/statements``."""

    text: str
    change_id: str = ""
    preconditions: list[changes.Precondition] = []


class QueryBody(msgspec.Struct):
    """The body of ``POST /v1/queries``."""

    text: str


class State(NamedTuple):
    """What a node says of itself.

    Attributes:
        node: Its name.
        incarnation: Of this process.
        revision: Offset of the last change in force.
        ready: Whether it takes requests of callers.
        stopping: Whether its graceful shutdown has begun.
    """

    node: str
    incarnation: str
    revision: int
    ready: bool
    stopping: bool


class Commands(Protocol):
    """Carries out what is no change of configuration."""

    async def run(self, command: statements.Command, author: str) -> str:
        """Runs one order or seizure and says in a sentence how it went.

        Raises:
            exceptions.CommandFailed: It was not carried out.
        """


class NoCommands:
    """Stands where a node has no control."""

    async def run(self, command: statements.Command, author: str) -> str:
        """Refuses."""
        raise exceptions.CommandFailed("this node carries out no orders")


class Server:
    """The operators' interface of a node.

    >>> server = Server(settings, configuration, publisher, sources, state)
    >>> runner = web.AppRunner(server.app())
    """

    def __init__(
        self,
        settings: settings_module.OperatorsSection,
        configuration: configuration_module.Configuration,
        publisher: publishing.Publisher,
        sources: queries.Sources,
        state: Callable[[], State],
        commands: Commands | None = None,
        report: Callable[[], Awaitable[burn.Report]] | None = None,
    ):
        self.settings = settings
        self.configuration = configuration
        self.publisher = publisher
        self.sources = sources
        self.state = state
        self.commands = commands or NoCommands()
        self.report = report

    def app(self) -> web.Application:
        """Builds the aiohttp application."""
        app = web.Application(
            middlewares=[problems, self.authorize],
            client_max_size=BODY_LIMIT,
        )
        app.router.add_post("/v1/statements", self.run_statements)
        app.router.add_post("/v1/queries", self.run_query)
        app.router.add_get("/v1/state", self.show_state)
        if self.report is not None:
            app.router.add_get("/v1/reports/burn", self.show_burn)
        return app

    @web.middleware
    async def authorize(self, request: web.Request, handler):
        """Names the operator by bearer token.

        Raises:
            exceptions.OperatorUnknown: The token is nobody's.
        """
        header = request.headers.get("Authorization", "")
        _, _, token = header.partition("Bearer ")
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = ""
        # All are compared, so that the time taken tells nothing.
        for name, expected in self.settings.tokens.items():
            if hmac.compare_digest(digest, expected):
                found = name
        if not token or not found:
            raise exceptions.OperatorUnknown("no operator has this token")
        request[OPERATOR] = found
        return await handler(request)

    async def run_statements(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/statements``."""
        body = decode(await request.read(), StatementsBody)
        parsed = language.parse(body.text)
        commands = [s for s in parsed if isinstance(s, statements.Command)]
        if any(isinstance(s, statements.Show) for s in parsed):
            raise exceptions.StatementError("a show statement is a query")
        if not parsed:
            raise exceptions.StatementError("there is no statement")
        if not commands:
            return await self.change(parsed, body, request[OPERATOR])
        if len(parsed) > 1:
            raise exceptions.StatementError("an order or seizure goes alone")
        said = await self.commands.run(commands[0], request[OPERATOR])
        return respond({"accepted": True, "reason": said})

    async def change(
        self,
        parsed: list[statements.Change],
        body: StatementsBody,
        author: str,
    ) -> web.Response:
        """Publishes a change and answers with its outcome."""
        operations = changes.operations(parsed)
        change = changes.Change(
            body.change_id or str(uuid6.uuid7()),
            author,
            operations,
            self.preconditions(operations, body.preconditions),
        )
        outcome = await self.publisher.publish(change)
        if not outcome.accepted:
            raise exceptions.ChangeRejected(outcome.reason, outcome.difference)
        return respond(
            {
                "change_id": outcome.change_id,
                "accepted": True,
                "revision": outcome.offset,
            }
        )

    def preconditions(
        self,
        operations: tuple[changes.Operation, ...],
        given: list[changes.Precondition],
    ) -> tuple[changes.Precondition, ...]:
        """Adds what is in force here for objects whose revision is open."""
        found = {(p.kind, p.name): p for p in given}
        for _, kind, name, _ in operations:
            if (kind, name) in found:
                continue
            declared = self.configuration.declared(kind, name)
            revision = declared.revision if declared else -1
            found[kind, name] = changes.Precondition(kind, name, revision)
        return tuple(found.values())

    async def run_query(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/queries``."""
        body = decode(await request.read(), QueryBody)
        parsed = language.parse(body.text)
        if len(parsed) != 1 or not isinstance(parsed[0], statements.Show):
            raise exceptions.StatementError("a query is one show statement")
        return respond(self.sources.run(parsed[0])._asdict())

    async def show_state(self, request: web.Request) -> web.Response:
        """Answers ``GET /v1/state``."""
        return respond(self.state()._asdict())

    async def show_burn(self, request: web.Request) -> web.Response:
        """Answers ``GET /v1/reports/burn``."""
        return respond({"report": await self.report()})


def decode(body: bytes, body_type: type):
    """Decodes a request's body.

    Raises:
        exceptions.StatementError: It is not of this type.
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.DecodeError as error:
        raise exceptions.StatementError(f"the body: {error}") from error


def respond(body: dict) -> web.Response:
    """Makes a JSON response."""
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )


@web.middleware
async def problems(request: web.Request, handler):
    """Turns our failures into problem documents (RFC 9457)."""
    try:
        return await handler(request)
    except tuple(PROBLEMS) as error:
        status, slug = PROBLEMS[type(error)]
        return web.Response(
            status=status,
            body=msgspec.json.encode(problem(error, status, slug)),
            content_type="application/problem+json",
        )


def problem(error: Exception, status: int, slug: str) -> dict:
    """Describes a failure.

    Args:
        error: One of `PROBLEMS`.
        status: The HTTP status.
        slug: The last part of the problem's type.

    Returns:
        The members of the document.
    """
    members = {
        "type": f"urn:gypsumfold:{slug}",
        "title": slug.replace("-", " "),
        "status": status,
        "detail": getattr(error, "reason", str(error)),
    }
    if isinstance(error, exceptions.StatementError):
        members["line"] = error.line
        members["column"] = error.column
        members["expected"] = error.expected
    if isinstance(error, exceptions.ChangeRejected):
        members["difference"] = error.difference
    return members

"""Talks to the nodes: each in turn, with the same change id."""

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import aiohttp
import msgspec
import uuid6

from gypsumfold import burn
from gypsumfold import changes
from gypsumfoldctl import exceptions

# Seconds for one request. A node tries the log for 6 s
# (operators/publishing.py) before it says that the outcome is open.
TIMEOUT = 10.0
# Times that all nodes are tried: a node that restarts is back by the second.
ROUNDS = 2


class Connection(NamedTuple):
    """Whom to talk to, and as whom.

    Attributes:
        nodes: Host and port of each node's operators' interface, or whole
            URLs.
        token: The operator's bearer token.
    """

    nodes: tuple[str, ...]
    token: str


class Answer(NamedTuple):
    """What a node answered."""

    status: int
    body: dict[str, Any]


class Client:
    """Sends statements and queries to whichever node answers.

    >>> async with Client(connection) as client:
    ...     await client.run('drain endpoint "dispatch-lm-1";')
    """

    def __init__(self, connection: Connection):
        self.connection = connection
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self):
        if not self.connection.token:
            raise exceptions.Unauthorized(
                "there is no token: set GYPSUMFOLD_TOKEN or --token-file"
            )
        self.session = aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {self.connection.token}"},
            timeout=aiohttp.ClientTimeout(total=TIMEOUT),
        )
        return self

    async def __aexit__(self, *error):
        await self.session.close()

    async def run(
        self,
        text: str,
        preconditions: tuple[changes.Precondition, ...] = (),
        repeatable: bool = True,
    ) -> dict[str, Any]:
        """Carries statements out, all or none.

        Args:
            text: Statements.
            preconditions: Revisions that the objects must have.
            repeatable: Whether the change id makes it safe to try another
                node when an answer was lost.

        Returns:
            The node's answer.

        Raises:
            exceptions.CommandError: Of the kind that says what is known.
        """
        body = {
            "text": text,
            "change_id": str(uuid6.uuid7()),
            "preconditions": preconditions,
        }
        return await self.ask("POST", "/v1/statements", body, repeatable)

    async def query(self, text: str) -> dict[str, Any]:
        """Runs a ``show`` statement."""
        return await self.ask("POST", "/v1/queries", {"text": text}, True)

    async def burn(self) -> burn.Report:
        """Reads the burn report.

        Raises:
            exceptions.Undetermined: The answer is none of this version.
        """
        found = await self.ask("GET", "/v1/reports/burn", None, True)
        try:
            return msgspec.convert(found.get("report"), burn.Report)
        except msgspec.ValidationError as error:
            raise exceptions.Undetermined(str(error)) from error

    async def ask(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        repeatable: bool,
    ) -> dict[str, Any]:
        """Asks the nodes in turn until one gives a final answer."""
        failure: exceptions.CommandError | None = None
        refused: set[str] = set()
        for node in self.connection.nodes * ROUNDS:
            if node in refused:
                continue
            try:
                answer = await self.send(method, node, path, body)
                return final(answer)
            except exceptions.NotRun as error:
                failure = weightier(failure, error)
                if isinstance(error, exceptions.LogDown):
                    refused.add(node)
            except exceptions.Undetermined as error:
                failure = error
                if not repeatable:
                    break
        raise failure or exceptions.NotRun("there is no node to ask")

    async def state(self, node: str) -> dict[str, Any]:
        """Reads what one node says of itself."""
        return final(await self.send("GET", node, "/v1/state", None))

    async def send(
        self, method: str, node: str, path: str, body: dict[str, Any] | None
    ) -> Answer:
        """Sends one request to one node.

        Raises:
            exceptions.NotRun: There was no connection.
            exceptions.Undetermined: The answer was lost.
        """
        base = node if "://" in node else f"http://{node}"
        data = msgspec.json.encode(body) if body is not None else None
        try:
            async with self.session.request(
                method, base + path, data=data
            ) as response:
                content = await response.read()
                return Answer(response.status, decode(content))
        except aiohttp.ClientConnectorError as error:
            raise exceptions.NotRun(f"{node}: {error}") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.Undetermined(f"{node}: {error!r}") from error


def weightier(
    first: exceptions.CommandError | None, second: exceptions.CommandError
) -> exceptions.CommandError:
    """Picks the failure that tells more of what may have happened."""
    order = (exceptions.NotRun, exceptions.LogDown, exceptions.Undetermined)
    if first is None or order.index(type(first)) <= order.index(type(second)):
        return second
    return first


def decode(content: bytes) -> dict[str, Any]:
    """Decodes a node's answer.

    Raises:
        exceptions.Undetermined: Something else than a node has answered.
    """
    try:
        return msgspec.json.decode(content, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise exceptions.Undetermined(f"not a node: {error}") from error


def final(answer: Answer) -> dict[str, Any]:
    """Returns the body of a success or raises what the status says."""
    if answer.status == 200:
        return answer.body
    reason = answer.body.get("detail", f"status {answer.status}")
    lines = tuple(answer.body.get("difference", ()))
    if answer.status == 400:
        body = answer.body
        place = body.get("line", 0), body.get("column", 0)
        expected = body.get("expected", ())
        raise exceptions.Invalid(located(reason, *place, expected))
    if answer.status == 401:
        raise exceptions.Unauthorized(reason)
    if answer.status == 409:
        raise exceptions.Rejected(reason, lines)
    if answer.status == 503:
        raise exceptions.LogDown(reason)
    raise exceptions.Undetermined(reason)


def located(
    reason: str, line: int, column: int, expected: Sequence[str]
) -> str:
    """Adds the place and what was expected to a reason."""
    text = f"line {line}, column {column}: {reason}" if line else reason
    if expected:
        text += f" (expected {', '.join(expected)})"
    return text

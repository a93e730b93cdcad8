"""The client of a plain service: health and single calls."""

import asyncio
from typing import NamedTuple

import aiohttp
import msgspec

from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.endpoints import connections

# The header that names the dispatch in both directions.
DISPATCH_HEADER = "Gypsumfold-Dispatch"


class Health(msgspec.Struct):
    """What a plain service says of itself."""

    incarnation: str
    taken: float
    leaving: bool
    running: int = 0


class Answer(NamedTuple):
    """The whole answer to one call."""

    status: int
    content_type: str
    body: bytes


class ServiceClient:
    """Talks to one replica of a plain service.

    >>> client = ServiceClient("10.0.2.1:9000", sessions, settings.endpoints)
    >>> answer = await client.call("hold", b"{}", "dispatch-1", 2.0)
    """

    def __init__(
        self,
        address: str,
        sessions: connections.Sessions,
        settings: settings_module.EndpointsSection,
    ):
        self.base = f"http://{address}"
        self.sessions = sessions
        self.settings = settings

    async def load(self) -> Health:
        """Asks for the replica's health.

        Raises:
            exceptions.EndpointError: It does not answer, or not so.
        """
        limit = aiohttp.ClientTimeout(total=self.settings.connect_timeout)
        try:
            async with self.sessions.pooled.get(
                f"{self.base}/health", timeout=limit
            ) as answer:
                content = await answer.read()
            return msgspec.json.decode(content, type=Health)
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.DecodeError,
        ) as error:
            raise exceptions.EndpointError(repr(error)) from error

    async def call(
        self, name: str, body: bytes, dispatch_id: str, limit: float
    ) -> Answer:
        """Makes one call, once.

        Args:
            name: Of the call.
            body: Sent as it is.
            dispatch_id: Fresh for each dispatch.
            limit: Seconds for the whole call.

        Returns:
            The answer, checked to be of this dispatch.

        Raises:
            exceptions.EndpointNotStarted: It cannot have run.
            exceptions.EndpointUndetermined: It may have run.
        """
        try:
            async with asyncio.timeout(limit):
                async with self.sessions.pooled.post(
                    f"{self.base}/calls/{name}",
                    data=body,
                    headers={DISPATCH_HEADER: dispatch_id},
                    expect100=True,
                ) as answer:
                    content = await answer.read()
                    echoed = answer.headers.get(DISPATCH_HEADER)
                    if echoed != dispatch_id:
                        answer.close()
                        raise exceptions.EndpointUndetermined(
                            "an answer to another dispatch"
                        )
                    return Answer(answer.status, answer.content_type, content)
        except aiohttp.ClientConnectorError as error:
            raise exceptions.EndpointNotStarted(str(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.EndpointUndetermined(repr(error)) from error

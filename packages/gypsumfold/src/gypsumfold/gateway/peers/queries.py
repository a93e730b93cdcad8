"""Queries to a relay over HTTP, for answers too large for a datagram."""

from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp
from aiohttp import web
import msgspec

from gypsumfold import exceptions
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import seals

# Timeout of one query in seconds: the largest answer, a configuration of 1,500
# routes, takes 0.3 s on a link of 10 Mbit/s, and a few nodes may ask at once.
TIMEOUT_SECONDS = 3.0
# Connect timeout in seconds; a node that has stopped does not answer.
CONNECT_TIMEOUT_SECONDS = 0.5
# Maximum bytes of an answer; configurations of the users have up to 0.3 MB.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

CONFIGURATION = "/configuration"
REGISTRATIONS = "/registrations"
CACHES = "/caches"


class RegistrationList(msgspec.Struct, array_like=True):
    """All registrations known to a node.

    Attributes:
        end: Offset up to which it has read them.
        entries: One registration for each replica.
    """

    end: messages.Count
    entries: list[messages.ChangedRegistration]


class CachedPrefixes(msgspec.Struct, array_like=True):
    """Prefixes that an engine is expected to cache, least recently used first.

    Attributes:
        engine: The engine's instance.
        started_at: The engine's start time; 0 if unknown.
        prefix_hashes: Hashes of prompt prefixes.
        tokens: Tokens that each prefix adds to the one before.
    """

    engine: str
    started_at: int
    prefix_hashes: list[int]
    tokens: list[int]


REGISTRATIONS_DECODER = msgspec.msgpack.Decoder(RegistrationList)
CACHES_DECODER = msgspec.msgpack.Decoder(list[CachedPrefixes])


class QueryHandler:
    """Answers the queries of other nodes.

    Attributes:
        sources: Returns the answer to a path.
        finders: Finds the answer to a path that begins with a prefix.

    >>> answers = QueryHandler(sealer)
    >>> answers.sources[CONFIGURATION] = lambda: b"{}"
    """

    def __init__(self, sealer: seals.Sealer):
        self.sealer = sealer
        self.sources: dict[str, Callable[[], bytes]] = {}
        self.finders: dict[str, Callable[[str], Awaitable[bytes]]] = {}

    async def answer(self, path: str) -> bytes:
        """Returns the answer to one query; empty if there is none."""
        source = self.sources.get(path)
        if source is not None:
            return source()
        for prefix, finder in self.finders.items():
            if path.startswith(prefix):
                return await finder(path)
        return b""

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answers one query, with 404 if there is no answer."""
        found = await self.answer(request.rel_url.raw_path)
        if not found:
            return web.Response(status=404)
        return web.Response(body=self.sealer.seal(found))


class QueryClient:
    """Sends queries to other nodes.

    >>> queries = QueryClient(session, sealer)
    >>> await queries.fetch(("10.1.0.38", 7380), CONFIGURATION)
    b'{"version": 7}'
    """

    def __init__(self, session: aiohttp.ClientSession, sealer: seals.Sealer):
        self.session = session
        self.sealer = sealer

    async def fetch(self, address: tuple[str, int], path: str) -> bytes:
        """Sends a query to one node.

        Raises:
            exceptions.PeerNotListening: Its VM refuses the connection.
            exceptions.PeerUnreachable: The node does not answer.
            exceptions.PeerRefused: It has no answer, or one that is too large.
            exceptions.RecordInvalid: The answer has no valid seal.
        """
        host, port = address
        limit = aiohttp.ClientTimeout(
            total=TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with self.session.get(
                f"http://{host}:{port}{path}", timeout=limit
            ) as response:
                length = response.content_length or 0
                if response.status != 200 or length > MAX_RESPONSE_BYTES:
                    raise exceptions.PeerRefused(
                        f"{path}: {response.status}, {length} bytes"
                    )
                frame = await read_frame(response)
        except aiohttp.ClientConnectorError as error:
            failure = exceptions.PeerUnreachable
            if isinstance(error.os_error, ConnectionRefusedError):
                failure = exceptions.PeerNotListening
            raise failure(f"{path}: {error!r}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise exceptions.PeerUnreachable(f"{path}: {error!r}") from error
        return self.sealer.open(frame)


async def read_frame(response: aiohttp.ClientResponse) -> bytes:
    """Reads an answer, which may not tell its length.

    Raises:
        exceptions.PeerRefused: It is too large.
    """
    frame = bytearray()
    async for data in response.content.iter_any():
        frame += data
        if len(frame) > MAX_RESPONSE_BYTES:
            raise exceptions.PeerRefused(f"{len(frame)} bytes: too many")
    return bytes(frame)

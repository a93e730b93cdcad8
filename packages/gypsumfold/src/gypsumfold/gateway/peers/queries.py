"""What a node asks its relay by TCP: what fits into no datagram."""

from collections.abc import Callable

import aiohttp
from aiohttp import web
import msgspec

from gypsumfold import exceptions
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import seals

# Seconds for one question: the largest answer, a configuration of 1,500 routes,
# takes 0.3 s on a link of 10 Mbit/s, and a few nodes may ask at once.
TIMEOUT_SECONDS = 3.0
# Seconds until another node is connected; one that is gone does not answer.
CONNECT_TIMEOUT_SECONDS = 0.5
# Largest answer in bytes; configurations of the users have up to 0.3 MB.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

CONFIGURATION = "/configuration"
REGISTRATIONS = "/registrations"
CACHES = "/caches"


class RegistrationList(msgspec.Struct, array_like=True):
    """All registrations that a node knows.

    Attributes:
        end: Offset up to which it has read them.
        entries: One for each replica.
    """

    end: messages.Count
    entries: list[messages.ChangedRegistration]


class CachedPrefixes(msgspec.Struct, array_like=True):
    """What one engine is believed to keep, least recently used first.

    Attributes:
        engine: Its instance.
        born: Its start; 0 if it does not say.
        links: Hashes of beginnings of prompts.
        tokens: Tokens that each one adds.
    """

    engine: str
    started_at: int
    prefix_hashes: list[int]
    tokens: list[int]


REGISTRATIONS_DECODER = msgspec.msgpack.Decoder(RegistrationList)
CACHES_DECODER = msgspec.msgpack.Decoder(list[CachedPrefixes])


class QueryHandler:
    """Serves the questions of other nodes.

    >>> answers = Answers(sealer)
    >>> answers.sources[CONFIGURATION] = lambda: b"{}"
    """

    def __init__(self, sealer: seals.Sealer):
        self.sealer = sealer
        self.sources: dict[str, Callable[[], bytes]] = {}

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answers one question; 404 where there is nothing to say."""
        source = self.sources.get(request.path)
        found = source() if source is not None else b""
        if not found:
            return web.Response(status=404)
        return web.Response(body=self.sealer.seal(found))


class QueryClient:
    """Asks other nodes.

    >>> questions = Questions(session, sealer)
    >>> await questions.ask(("10.1.0.38", 7380), CONFIGURATION)
    b'{"version": 7}'
    """

    def __init__(self, session: aiohttp.ClientSession, sealer: seals.Sealer):
        self.session = session
        self.sealer = sealer

    async def fetch(self, address: tuple[str, int], path: str) -> bytes:
        """Asks one node.

        Raises:
            exceptions.PeerUnreachable: It does not answer.
            exceptions.PeerRefused: It has nothing to say, or too much.
            exceptions.RecordInvalid: The answer is not sealed.
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
                frame = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise exceptions.PeerUnreachable(f"{path}: {error!r}") from error
        return self.sealer.open(frame)

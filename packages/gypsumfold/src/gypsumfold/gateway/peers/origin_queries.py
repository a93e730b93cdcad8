"""Asks other nodes for the origin of a stream that a caller takes up."""

import asyncio
from collections.abc import Callable
import time
import urllib.parse

import msgspec

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import members as members_module
from gypsumfold.decisions import stream_origins
from gypsumfold.gateway import origins as origins_module
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import queries

# Seconds for which a node that did not answer is not asked again.
SILENT_SECONDS = 1.0
MAX_SILENT = 1000
# Streams a second for which others are asked, and at once: more than a killed
# node leaves behind. Beyond that an origin counts as unknown, so that callers
# cannot load all nodes with made-up ids.
ASKS_PER_SECOND = 50.0
MAX_ASKS_AT_ONCE = 100.0
# Path prefixes: the node that is asked may ask on, or answers by itself.
ASK_ON = "/origins/"
ASK_ONE = "/own-origins/"
# Seconds until all nodes that were asked have answered, while the caller waits.
# A node that asks on needs the time of those that it asks.
TIMEOUT_SECONDS = {ASK_ON: 0.45, ASK_ONE: 0.25}


class OriginAnswer(msgspec.Struct, array_like=True):
    """What a node knows of a stream.

    Attributes:
        service: The service that began it.
        version: The software version that did; None if the stream's id was
            used for several.
        is_remembered: Whether the node remembers the stream; otherwise all
            living streams of the route have this origin.
    """

    service: str
    version: str | None
    is_remembered: bool


DECODER = msgspec.msgpack.Decoder(OriginAnswer)


class OriginQueries:
    """Asks nodes, and answers those that ask.

    Attributes:
        sources: Returns the nodes to ask on behalf of a caller.
        relays: Returns the nodes to ask on behalf of another node.
        former_relays: Returns the nodes to ask if those know nothing.

    >>> asked = OriginQueries(client, origins, sources, relays, former_relays)
    >>> await asked.ask(7, "swaps")
    Origin(service='lm', version='v1.1')
    """

    def __init__(
        self,
        client: queries.QueryClient,
        origins: origins_module.Origins,
        sources: Callable[[], list[members_module.Member]],
        relays: Callable[[], list[members_module.Member]],
        former_relays: Callable[[], list[members_module.Member]],
    ):
        self.former_relays = former_relays
        self.client = client
        self.origins = origins
        self.sources = sources
        self.relays = relays
        self.silent_until: dict[str, float] = {}
        self.tokens = MAX_ASKS_AT_ONCE
        self.filled_at = 0.0

    async def ask(self, key: int, route: str) -> stream_origins.Origin | None:
        """Asks the other nodes; None if none of them knows."""
        if not self.take_token(time.monotonic()):
            return None
        found = await self.ask_members(self.sources(), ASK_ON, key, route)
        if found is None:
            # Relays that were killed a moment ago are still taken for alive.
            found = await self.ask_members(
                self.former_relays(), ASK_ONE, key, route
            )
        if found is None:
            return None
        return stream_origins.Origin(found.service, found.version)

    def take_token(self, now: float) -> bool:
        """Takes one question out of the budget, if one is left."""
        filled = (now - self.filled_at) * ASKS_PER_SECOND
        self.tokens = min(MAX_ASKS_AT_ONCE, self.tokens + filled)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    async def ask_members(
        self,
        members: list[members_module.Member],
        prefix: str,
        key: int,
        route: str,
    ) -> OriginAnswer | None:
        """Asks some nodes at once.

        A node that remembers the stream decides. Otherwise those that know one
        origin for all living streams must agree on it.
        """
        path = f"{prefix}{key:x}/{urllib.parse.quote(route, safe='')}"
        tasks = {}
        for member in self.answering(members):
            task = asyncio.create_task(self.ask_one(member, path))
            tasks[task] = member
        general = {}
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS[prefix]):
                for task in asyncio.as_completed(tasks):
                    found = await task
                    if found is None:
                        continue
                    if found.is_remembered:
                        return found
                    general[found.service, found.version] = found
        except TimeoutError:
            self.record_silent(
                [tasks[task] for task in tasks if not task.done()]
            )
        finally:
            for task in tasks:
                task.cancel()
        return general.popitem()[1] if len(general) == 1 else None

    def answering(
        self, members: list[members_module.Member]
    ) -> list[members_module.Member]:
        """Returns the nodes without those that did not answer a moment ago."""
        now = time.monotonic()
        found = []
        for member in members:
            if self.silent_until.get(member.name, now) <= now:
                self.silent_until.pop(member.name, None)
                found.append(member)
        return found

    def record_silent(self, members: list[members_module.Member]) -> None:
        """Leaves out nodes that did not answer for a moment."""
        if len(self.silent_until) > MAX_SILENT:
            self.silent_until.clear()
        for member in members:
            self.silent_until[member.name] = time.monotonic() + SILENT_SECONDS
            events.log(
                events.PEER_SILENT, peer=member.node, reason="no origin in time"
            )

    async def ask_one(
        self, member: members_module.Member, path: str
    ) -> OriginAnswer | None:
        """Asks one node; None if it doesn't know or answer."""
        try:
            body = await self.client.fetch(member.address, path)
            return DECODER.decode(body)
        except exceptions.PeerRefused:
            return None
        except exceptions.PeerUnreachable:
            self.record_silent([member])
            return None
        except (exceptions.RecordInvalid, *messages.DECODE_ERRORS) as error:
            events.log(events.FRAME_REFUSED, reason=str(error))
            return None

    async def answer(self, path: str) -> bytes:
        """Answers a node's question; empty if the origin isn't known."""
        prefix = ASK_ON if path.startswith(ASK_ON) else ASK_ONE
        text, _, route = path.removeprefix(prefix).partition("/")
        route = urllib.parse.unquote(route)
        try:
            key = int(text, 16)
        except ValueError:
            return b""
        origin = self.origins.memory.find(key, time.monotonic())
        if origin is not None:
            return msgspec.msgpack.encode(OriginAnswer(*origin, True))
        if prefix == ASK_ON:
            members = self.relays()
            found = await self.ask_members(members, ASK_ONE, key, route)
            if found is not None:
                return msgspec.msgpack.encode(found)
        origin = await self.origins.confirm_sole(route)
        if origin is None:
            return b""
        return msgspec.msgpack.encode(OriginAnswer(*origin, False))

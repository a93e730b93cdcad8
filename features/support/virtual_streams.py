"""Callers in virtual time whose streams break and are taken up elsewhere."""

import asyncio
from typing import NamedTuple

from features.support import virtual_callers
from gypsumfold import exceptions

# Path, tokens of the shared beginning, of the own part and of the answer,
# seconds that a caller waits.
KIND = ("/swaps/1", 2000, 400, 60, 6.0)
# Attempts at taking a stream up.
TAKE_UPS = 2
# Seconds until a caller whose stream broke off comes back, at most.
RETURN = 0.3
# Seconds after its start from which a gateway is in touch.
CONTACT = 3.0
# Seconds between two looks for a gateway that is ready.
LOOK = 0.05


class TakeUp(NamedTuple):
    """One attempt at taking up a stream.

    Attributes:
        at: When.
        gateway: Where.
        version: What began the stream.
        serving: Decode engines of that version then.
        went_on: Whether at least one more event came.
        status: HTTP status; 0 where no head came.
    """

    at: float
    gateway: str
    version: str
    serving: int
    went_on: bool
    status: int


class Collector(virtual_callers.Reply):
    """Collects the events of one answer."""

    def __init__(self, events: list[tuple[int, str]]):
        super().__init__()
        self.events = events
        self.rest = b""

    async def write(self, data: bytes) -> None:
        """Takes a piece of the body."""
        *whole, self.rest = (self.rest + data).split(b"\n\n")
        for event in whole:
            number, _, version = event.decode().partition("\n")
            self.events.append((int(number[4:]), version[6:]))


class Stream:
    """One stream over all attempts of its caller."""

    def __init__(self):
        self.begun_as = ""
        self.events: list[tuple[int, str]] = []

    def versions(self) -> set[str]:
        """The versions that wrote events."""
        return {version for _, version in self.events}

    def in_order(self) -> bool:
        """Whether no event is missing or comes twice."""
        numbers = [number for number, _ in self.events]
        return numbers == list(range(len(numbers)))


class StreamCallers:
    """Keeps asking for streams, and takes up those that break off.

    Attributes:
        streams: All streams that brought an event.
        begun: For each first attempt when, where, and whether it began.
        take_ups: All attempts at taking one up.
        started: When each gateway started.
        out_of_touch: Gateways whose attempts don't count.
        names_attempt: Whether callers name the attempt that they take up.
        is_balanced: Whether callers reach ready gateways only.

    >>> streams = StreamCallers(callers)
    >>> streams.keep_asking(rate=20.0)
    """

    def __init__(self, callers: virtual_callers.Callers):
        self.callers = callers
        self.site = callers.site
        self.fleet = callers.fleet
        self.streams: list[Stream] = []
        self.begun: list[tuple[float, str, bool]] = []
        self.take_ups: list[TakeUp] = []
        self.started: dict[str, float] = {}
        self.out_of_touch: set[str] = set()
        self.names_attempt = True
        self.is_balanced = False

    def keep_asking(self, rate: float) -> None:
        """Lets callers ask for streams at random times."""
        self.fleet.spawn(self.ask_all(rate))

    async def ask_all(self, rate: float) -> None:
        """Starts one caller after the other."""
        while True:
            await asyncio.sleep(self.site.rng.expovariate(rate))
            self.fleet.spawn(self.ask())

    async def ask(self) -> None:
        """Asks for one stream and takes it up as long as it breaks off."""
        deadline = self.site.clock() + KIND[4]
        body = f"stream {next(self.callers.numbers)}".encode()
        stream = Stream()
        whole = await self.attempt(stream, body, deadline, first=True)
        if not stream.events:
            return
        self.streams.append(stream)
        if whole:
            return
        for _ in range(TAKE_UPS):
            await asyncio.sleep(self.site.rng.uniform(0.01, RETURN))
            if self.site.clock() > deadline - 0.5:
                return
            if await self.attempt(stream, body, deadline, first=False):
                return

    async def attempt(
        self, stream: Stream, body: bytes, deadline: float, first: bool
    ) -> bool:
        """Makes one attempt; returns whether the stream is complete."""
        node = await self.find_gateway()
        at = self.site.clock()
        if at > deadline:
            return True
        call = self.callers.call(KIND, body, deadline - at)
        before = len(stream.events)
        serving = 0
        if before:
            resumes = stream.begun_as if self.names_attempt else ""
            call = call._replace(
                resumes=resumes, last_event=str(stream.events[-1][0])
            )
            serving = self.fleet.serving(stream.events[0][1])
        reply = Collector(stream.events)
        try:
            await self.callers.served(node, call, reply)
        except (exceptions.RequestError, exceptions.AnswerBroken):
            reply.ended = False
        came = len(stream.events) > before
        if first:
            stream.begun_as = call.id
            self.begun.append((at, node.name, came))
        else:
            version = stream.events[0][1]
            self.take_ups.append(
                TakeUp(at, node.name, version, serving, came, reply.status)
            )
        return reply.ended

    async def find_gateway(self):
        """Picks a gateway; behind a balancer one that is ready."""
        while True:
            found = list(self.site.nodes.values())
            if self.is_balanced:
                found = [node for node in found if node.gateway.is_ready()]
            if found:
                return self.site.rng.choice(found)
            await asyncio.sleep(LOOK)

    def is_in_touch(self, gateway: str, at: float) -> bool:
        """Whether a gateway counted for the rules at a time."""
        if gateway in self.out_of_touch:
            return False
        return at - self.started.get(gateway, -CONTACT) >= CONTACT

    def mixed(self) -> list[str]:
        """Streams with events of several versions."""
        found = []
        for stream in self.streams:
            if len(stream.versions()) > 1:
                found.append(f"{stream.begun_as}: {sorted(stream.versions())}")
        return found

    def out_of_order(self) -> list[str]:
        """Streams in which an event is missing or came twice."""
        return [
            stream.begun_as for stream in self.streams if not stream.in_order()
        ]

    def shares(self) -> tuple[int, float, float]:
        """Take-ups that count, the share that went on, and that which began.

        Only attempts at gateways in touch count, and only while two decode
        engines of the stream's version served.
        """
        counted = []
        for one in self.take_ups:
            if one.serving >= 2 and self.is_in_touch(one.gateway, one.at):
                counted.append(one.went_on)
        began = []
        for at, gateway, came in self.begun:
            if self.is_in_touch(gateway, at):
                began.append(came)
        return (
            len(counted),
            sum(counted) / max(1, len(counted)),
            sum(began) / max(1, len(began)),
        )

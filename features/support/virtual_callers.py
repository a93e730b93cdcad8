"""Callers of a site in virtual time, some of whose requests crash replicas."""

import asyncio
import itertools
from typing import NamedTuple

from features.support import gateways
from features.support import virtual_engines
from gypsumfold import exceptions
from gypsumfold.decisions import chains
from gypsumfold.gateway import types
from gypsumfold.platform import names

# Where callers ask, and how: path, tokens of the shared beginning, tokens of
# the own part, tokens of the answer, seconds that they wait.
BRIEF = ("/briefs/1", 4000, 800, 12, 6.0)
SWAP = ("/swaps/1", 2000, 400, 8, 4.0)
LOOKUP = ("/lookups/1", 0, 0, 1, 1.0)
KINDS = (BRIEF, SWAP, LOOKUP)
# The reason of a refusal of a request that has crashed replicas.
CRASHES = exceptions.RequestQuarantined
# Seconds until all gateways of a site know everything.
SETTLING = 5.0
# Shares of a caller's time left for which it waits as told.
LONGEST_WAIT = 1 / 3


class End(NamedTuple):
    """What one attempt of a caller gave.

    Attributes:
        body: What it asked for.
        attempt: Its id.
        status: HTTP status; 0 where the answer broke off.
        refused: Whether it was refused as a request that crashes replicas.
        seconds: From the attempt's begin to its end.
        gateway: The gateway that took it.
        first: Whether it was its caller's first.
        at: When it began.
        begun: Whether its answer had begun.
    """

    body: bytes
    attempt: str
    status: int
    refused: bool
    seconds: float
    gateway: str = ""
    first: bool = True
    at: float = 0.0
    begun: bool = False


class Reply:
    """Takes the one answer of a request."""

    def __init__(self):
        self.status = 0
        self.ended = False

    async def send(self, status, reason, fields, body) -> None:
        """Takes a whole answer."""
        self.status = status
        self.ended = True

    async def start(self, status, reason, fields, length) -> None:
        """Takes the head of an answer."""
        self.status = status

    async def write(self, data: bytes) -> None:
        """Takes a piece of the body."""

    async def end(self) -> None:
        """Takes the end of the body."""
        self.ended = True

    def abort(self) -> None:
        """Takes a cut."""


class Callers:
    """Sends requests to the gateways of a site and keeps how they ended.

    >>> callers = Callers(site, fleet)
    >>> callers.keep_asking(rate=20.0)
    """

    def __init__(self, site, fleet: virtual_engines.Fleet):
        self.site = site
        self.fleet = fleet
        self.ends: list[End] = []
        # The path of each attempt.
        self.paths: dict[str, str] = {}
        # When each attempt was sent.
        self.sent: dict[str, float] = {}
        # How many of the gateways, from the first on, callers ask.
        self.spread: int | None = None
        self.numbers = itertools.count()

    def configure(self, version: int) -> None:
        """Writes a configuration with the routes of these callers."""
        routes = [gateways.BRIEF, gateways.SWAP, gateways.LOOKUP]
        services = [
            {"name": "app", "maxConns": 96},
            {"name": "lm", "maxConns": 360, "engine": gateways.ENGINE},
        ]
        value = {"version": version, "routes": routes, "services": services}
        self.site.log.write(
            names.CONFIGURATION_TOPIC, names.CONFIGURATION_KEY, value
        )

    def keep_asking(self, rate: float) -> None:
        """Lets other callers ask, each for something else."""
        self.fleet.spawn(self.others(rate))

    async def others(self, rate: float) -> None:
        """Sends requests that crash nothing, at random times."""
        while True:
            await asyncio.sleep(self.site.rng.expovariate(rate))
            kind = self.site.rng.choice(KINDS)
            body = f"plan {next(self.numbers)}".encode()
            self.fleet.spawn(self.ask(kind, body))

    def keep_crashing(
        self, kind: tuple, pause: float, copies: int = 1
    ) -> bytes:
        """Lets a request that crashes replicas come again and again."""
        body = f"crashes {next(self.numbers)}".encode()
        self.fleet.crashing.add(body)
        self.fleet.spawn(self.crashers(kind, body, pause, copies))
        return body

    async def crashers(
        self, kind: tuple, body: bytes, pause: float, copies: int
    ) -> None:
        """Sends one request again and again."""
        while True:
            for _ in range(copies):
                self.fleet.spawn(self.ask(kind, body))
            await asyncio.sleep(pause * self.site.rng.uniform(0.5, 1.5))

    async def ask(self, kind: tuple, body: bytes, retries: int = 1) -> None:
        """Asks for one thing, and once more after a failure."""
        deadline = self.site.clock() + kind[4]
        for number in range(1 + retries):
            left = deadline - self.site.clock()
            if left <= 0 or not self.site.nodes:
                return
            end, wait = await self.attempt(kind, body, left)
            self.ends.append(end._replace(first=number == 0))
            if end.status == 200:
                return
            left = deadline - self.site.clock()
            await asyncio.sleep(max(0.0, min(wait, left * LONGEST_WAIT)))

    async def attempt(
        self, kind: tuple, body: bytes, left: float
    ) -> tuple[End, float]:
        """Makes one attempt; also returns the seconds to wait after it."""
        names = sorted(self.site.nodes)[: self.spread]
        node = self.site.nodes[self.site.rng.choice(names)]
        call = self.call(kind, body, left)
        reply = Reply()
        status = 0
        refused = False
        wait = 0.0
        try:
            await self.served(node, call, reply)
            status = reply.status
        except exceptions.RequestError as error:
            status = error.status
            refused = isinstance(error, CRASHES)
            wait = error.retry_after or 0.0
        except exceptions.AnswerBroken:
            reply.abort()
        seconds = self.site.clock() - call.arrival
        end = End(
            body,
            call.id,
            status,
            refused,
            seconds,
            gateway=node.name,
            at=call.arrival,
            begun=reply.status == 200,
        )
        return end, wait

    async def served(self, node, call: types.Call, reply: Reply) -> None:
        """Has a gateway serve a call; one that ends cuts its connection.

        Raises:
            exceptions.RequestError: As the gateway's handler.
            exceptions.AnswerBroken: The same, or the gateway ended.
        """
        loop = asyncio.get_running_loop()
        task = loop.create_task(node.gateway.handler.serve(call, reply))
        node.calls[task] = True
        task.add_done_callback(node.calls.pop)
        await asyncio.wait([task])
        if task.cancelled():
            raise exceptions.AnswerBroken("the gateway ended")
        task.result()

    def call(self, kind: tuple, body: bytes, left: float) -> types.Call:
        """Makes the call of one attempt."""
        path, shared, own, output, _ = kind
        chain = ()
        if shared:
            number = self.site.rng.randrange(4)
            chain = (
                chains.Block(f"{path}-{number}", shared),
                chains.Block(body.decode(), own),
            )
            if body in self.fleet.crashing:
                chain = (chains.Block(path, shared), chain[1])
        now = self.site.clock()
        attempt = f"attempt-{next(self.numbers)}"
        self.paths[attempt] = path
        self.sent[attempt] = now
        return types.Call(
            id=attempt,
            method="POST",
            target=path,
            host=gateways.HOST,
            fields=(),
            body=body,
            arrival=now,
            deadline=now + left,
            model="m" if shared else "",
            chain=chain,
            prompt_tokens=shared + own,
            output_tokens=output if shared else 0,
        )

    def answered(self) -> float:
        """Share of the other callers' requests that were answered."""
        answered = set()
        asked = set()
        for end in self.ends:
            if end.body in self.fleet.crashing:
                continue
            asked.add(end.body)
            if end.status == 200:
                answered.add(end.body)
        return len(answered) / max(1, len(asked))

    def wrongly_refused(self) -> set[bytes]:
        """Requests refused as crashing replicas that crash none."""
        found = set()
        for end in self.ends:
            if end.refused and end.body not in self.fleet.crashing:
                found.add(end.body)
        return found

    def false_promises(self) -> list[str]:
        """Attempts that were refused as not run though a replica ran them."""
        ran = {one.attempt for one in self.fleet.arrivals if one.ran}
        found = []
        for end in self.ends:
            if end.status in (429, 503) and end.attempt in ran:
                found.append(end.attempt)
        return found


async def start_asking(
    site,
    nodes: int,
    rate: float,
    quiet: float,
    spread: int | None = None,
    generators: int = 4,
    switch_seconds: float | None = None,
) -> Callers:
    """Starts gateways and replicas whose callers ask.

    Args:
        site: The site.
        nodes: Number of gateways.
        rate: Requests a second.
        quiet: Seconds until something else is to happen.
        spread: How many of the gateways callers ask; None for all.
        generators: Number of decode engines.
        switch_seconds: Seconds of a role change; None if engines make none.
    """
    site.fleet = virtual_engines.Fleet(
        site, readers=6, generators=generators, plain=4
    )
    site.fleet.switch_seconds = switch_seconds
    callers = Callers(site, site.fleet)
    callers.spread = spread
    callers.configure(3)
    site.fleet.start()
    site.start(nodes, 3)
    await site.pass_time(SETTLING)
    callers.keep_asking(rate)
    await site.pass_time(quiet)
    return callers

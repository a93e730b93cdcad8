"""Callers in virtual time whose prompts share parts, one of which may crash.

Sound requests share route, caller, first part and subjects with those that
hold a crashing part.
"""

import asyncio
from typing import NamedTuple

from features.support import virtual_callers
from features.support import virtual_engines
from gypsumfold.decisions import chains
from gypsumfold.gateway import types

# Parts that requests on the same matter share, tokens of each, and the share of
# requests whose subject is new.
SUBJECTS = 6
SUBJECT_TOKENS = 300
NEW_SUBJECT_SHARE = 0.1
# Tokens of a part that crashes replicas.
CULPRIT_TOKENS = 200
# Crashes after which the rules count what reaches replicas.
FATAL = 5
# Sound requests of which the rules count how many began.
FEWEST = 20


class Culprit(NamedTuple):
    """A part of prompts that crashes replicas.

    Attributes:
        part: Its id.
        rate: Requests a second that hold it.
        place: Which part of the prompt it is; 0 for the first.
    """

    part: str
    rate: float
    place: int


class Verdict(NamedTuple):
    """What a play showed of one part that crashes replicas.

    Attributes:
        crashes: Replicas that it crashed.
        late: Requests with it that reached replicas later than the contact
            bound after the fifth crash.
        before: Share of sound requests of its route that began at the first
            attempt before it came.
        during: The same while crashes went on, and for twice the bound.
        after: The same from twice the bound after the fifth crash, or the last.
    """

    crashes: int
    late: int
    before: float
    during: float
    after: float


class PartCallers(virtual_callers.Callers):
    """Sends prompts that share parts.

    >>> callers = PartCallers(site, fleet)
    >>> callers.keep_asking(rate=30.0)
    >>> callers.keep_crashing_parts("p-1", rate=3.0, place=1)
    """

    def __init__(self, site, fleet: virtual_engines.Fleet):
        super().__init__(site, fleet)
        self.culprits: list[Culprit] = []
        self.held: dict[bytes, Culprit] = {}
        self.stopped_at = float("inf")

    def keep_crashing_parts(self, part: str, rate: float, place: int) -> None:
        """Lets requests with a crashing part come, no two alike."""
        culprit = Culprit(part, rate, place)
        self.culprits.append(culprit)
        self.fleet.crashing_parts.add(part)
        self.fleet.spawn(self.crashing_parts(culprit))

    async def crashing_parts(self, culprit: Culprit) -> None:
        """Sends requests with a crashing part at random times."""
        while True:
            await asyncio.sleep(self.site.rng.expovariate(culprit.rate))
            if self.site.clock() >= self.stopped_at:
                continue
            body = f"bad {next(self.numbers)}".encode()
            self.held[body] = culprit
            self.fleet.spawn(self.ask(virtual_callers.BRIEF, body))

    def call(self, kind: tuple, body: bytes, left: float) -> types.Call:
        """Makes the call of one attempt."""
        call = super().call(kind, body, left)
        path, shared, own, _, _ = kind
        if not shared:
            return call
        rng = self.site.rng
        subject = f"{path}-subject-{rng.randrange(SUBJECTS)}"
        if rng.random() < NEW_SUBJECT_SHARE:
            subject = f"{path}-new-{body.decode()}"
        blocks = [
            chains.Block(f"{path}-first", shared),
            chains.Block(subject, SUBJECT_TOKENS),
        ]
        culprit = self.held.get(body)
        if culprit is not None:
            block = chains.Block(culprit.part, CULPRIT_TOKENS)
            blocks.insert(culprit.place, block)
        blocks.append(chains.Block(body.decode(), own))
        return call._replace(chain=tuple(blocks))

    def is_sound(self, end: virtual_callers.End) -> bool:
        """Whether an attempt was one that crashes nothing."""
        return end.body not in self.held

    def begun(self, start: float, end: float) -> float:
        """Share of sound first attempts on the culprits' route that began.

        1 where they are too few to count.
        """
        sent = 0
        begun = 0
        for one in self.ends:
            if not one.first or not self.is_sound(one):
                continue
            if self.paths[one.attempt] != virtual_callers.BRIEF[0]:
                continue
            if not start <= one.at < end:
                continue
            sent += 1
            begun += one.begun
        return begun / sent if sent >= FEWEST else 1.0

    def refused_sound(self) -> set[bytes]:
        """Sound requests that were refused as crashing replicas."""
        found = set()
        for end in self.ends:
            if end.refused and self.is_sound(end):
                found.add(end.body)
        return found

    def judge(
        self, culprit: Culprit, start: float, came: float, contact: float
    ) -> Verdict:
        """Judges one crashing part.

        Args:
            culprit: The part.
            start: When callers began to ask.
            came: When the first crashing part came.
            contact: Seconds after which a fifth crash is known everywhere.
        """
        crashes = []
        for crash in self.fleet.crashes:
            if culprit.part in crash.parts:
                crashes.append(crash.at)
        settled = float("inf")
        if len(crashes) >= FATAL:
            settled = crashes[FATAL - 1] + contact
        late = set()
        for arrival in self.fleet.arrivals:
            if culprit.part in arrival.parts and arrival.at > settled:
                late.add(arrival.attempt)
        calm = came + 2 * contact
        if crashes:
            calm = crashes[:FATAL][-1] + 2 * contact
        now = min(self.site.clock(), self.stopped_at)
        return Verdict(
            len(crashes),
            len(late),
            self.begun(start, came),
            self.begun(came, calm),
            self.begun(calm, now),
        )

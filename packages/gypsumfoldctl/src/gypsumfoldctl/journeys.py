"""Reads the log lines of gateways back into requests and engines.

Lines may come from several nodes, one after the other or mixed, each behind
whatever a collector of logs has put before it.
"""

from collections.abc import Iterable
import datetime
import operator
from typing import NamedTuple

import msgspec

from gypsumfold import events
from gypsumfold.decisions import types


class Line(msgspec.Struct):
    """What is read of one log line; fields that it lacks are empty."""

    number: int
    timestamp: str
    node: str = ""
    request: str = ""
    route: str = ""
    instance: str = ""
    outcome: str = ""
    reason: str = ""
    seconds: float = 0.0
    expected: float = 0.0
    behind: float = 0.0
    role: str | None = None
    draining: bool = False
    read: int = 0
    newest: int = 0
    write: int = 0
    join: int = 0
    leave: int = 0


# Sorts of what is logged about relays and the store.
RELAYS, DOUBTS, CALLS = range(3)


class Journey(msgspec.Struct):
    """One attempt of a caller, from its arrival to its final answer.

    Times are seconds since the Unix epoch on the clock of its node; None
    where the request did not get that far.

    Attributes:
        arrived: When it came.
        ended: When it had its final answer.
        route: Its route's name.
        outcome: As the last line about it says.
        reason: Why it ended without a whole answer, as that line says.
        placed: When its prompt was last sent to an engine.
        expected: Seconds after that within which it was to be read.
        running: When it was last sent to a replica that was to run it.
        hopeless: Whether it was refused since its caller would have left.
        held: Whether it waited for an engine that generates.
        repeats: Times that it was sent again.
    """

    arrived: float = 0.0
    ended: float = 0.0
    route: str = ""
    outcome: str = ""
    reason: str = ""
    placed: float | None = None
    expected: float = 0.0
    running: float | None = None
    hopeless: bool = False
    held: bool = False
    repeats: int = 0

    def reading(self) -> float | None:
        """Seconds from sending its prompt to sending it on; None if unread."""
        if self.placed is None or self.running is None:
            return None
        return max(0.0, self.running - self.placed)

    def generating(self) -> float | None:
        """Seconds from sending it to be run to its end; None if never run."""
        if self.running is None:
            return None
        return max(0.0, self.ended - self.running)


class Split(NamedTuple):
    """How many engines did what from a moment on, and why.

    Attributes:
        at: Seconds since the Unix epoch.
        readers: Engines that read prompts.
        generators: Engines that generate tokens.
    """

    at: float
    readers: int
    generators: int


class Run(NamedTuple):
    """What the logs of all nodes tell together.

    Attributes:
        journeys: In the order in which they ended.
        splits: In the order in which any node learnt of them.
        orders: When an engine was ordered to change its role.
        told: When something about relays and the store was logged, of which
            sort (`RELAYS`, `DOUBTS`, `CALLS`), and how many.
        unread: Lines that held no readable record.
    """

    journeys: list[Journey]
    splits: list[Split]
    orders: list[float]
    told: list[tuple[float, int, int]]
    unread: int


class Reader:
    """Puts lines together.

    >>> reader = Reader()
    >>> reader.take('edge-1 {"number": 224, "timestamp": ...}')
    >>> reader.run().journeys
    [Journey(...)]
    """

    def __init__(self):
        self.decoder = msgspec.json.Decoder(Line)
        self.lines: list[tuple[float, Line]] = []
        self.open: dict[tuple[str, str], Journey] = {}
        self.journeys: list[Journey] = []
        self.roles: dict[str, str] = {}
        self.splits: list[Split] = []
        self.orders: list[float] = []
        self.told: list[tuple[float, int, int]] = []
        self.unread = 0

    def take(self, text: str) -> None:
        """Takes one line in; one that holds no record is counted."""
        start = text.find("{")
        if start < 0:
            return
        try:
            line = self.decoder.decode(text[start:])
            at = datetime.datetime.fromisoformat(line.timestamp).timestamp()
        except (msgspec.DecodeError, ValueError):
            self.unread += 1
            return
        self.lines.append((at, line))

    def request(self, line: Line, at: float) -> None:
        """Takes a line about a request in."""
        key = (line.node, line.request)
        journey = self.open.setdefault(key, Journey())
        if line.number == events.PROMPT_PLACED.number:
            journey.placed = at
            journey.expected = line.expected
        elif line.number == events.CALL_PLACED.number:
            journey.running = at
        elif line.number == events.CALL_REPEATED.number:
            journey.repeats += 1
        elif line.number == events.CALL_HELD.number:
            journey.held = True
        elif line.number == events.CALL_HOPELESS.number:
            journey.hopeless = True
        elif line.number == events.CALL_ENDED.number:
            journey.ended = at
            journey.arrived = at - line.seconds
            journey.route = line.route
            journey.outcome = line.outcome
            journey.reason = line.reason
            self.journeys.append(self.open.pop(key))

    def belief(self, line: Line, at: float) -> None:
        """Takes a line about an engine in."""
        if line.number == events.ROLE_ORDERED.number:
            self.orders.append(at)
            return
        if line.number == events.RELAY_CHOSEN.number:
            self.told.append((at, RELAYS, 1))
            return
        if line.number == events.KNOWLEDGE_DOUBTED.number:
            self.told.append((at, DOUBTS, 1))
            return
        if line.number == events.STORE_CALLED.number:
            calls = line.read + line.newest + line.write + line.join
            self.told.append((at, CALLS, calls + line.leave))
            return
        if line.number == events.REPLICA_CHANGED.number:
            if not line.role or line.draining:
                self.roles.pop(line.instance, None)
            else:
                self.roles[line.instance] = line.role
        elif line.number == events.REPLICA_GONE.number:
            self.roles.pop(line.instance, None)
        else:
            return
        readers = list(self.roles.values()).count(types.Role.PREFILL)
        found = Split(at, readers, len(self.roles) - readers)
        if not self.splits or self.splits[-1][1:] != found[1:]:
            self.splits.append(found)

    def run(self) -> Run:
        """What the lines tell in the order of time, on their nodes' clocks."""
        for at, line in sorted(self.lines, key=operator.itemgetter(0)):
            if line.request:
                self.request(line, at)
            else:
                self.belief(line, at)
        self.lines.clear()
        return Run(
            self.journeys, self.splits, self.orders, self.told, self.unread
        )


def read(lines: Iterable[str]) -> Run:
    """Reads the lines of a run."""
    reader = Reader()
    for line in lines:
        reader.take(line)
    return reader.run()

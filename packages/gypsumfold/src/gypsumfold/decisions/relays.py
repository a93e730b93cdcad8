"""Chooses the relay of a data centre and when another node takes over.

Load pattern: hundreds of nodes that all need the state of the others and of
the store. When every node sent to every other, each of 195 nodes received from
each other one only once in 1.3 s, and each called the store 1.03 times a
second. So a node reports to one relay in its data centre, which collects the
reports, reads the store and sends updates to all others; a second node stands
by.

Relays aren't elected. Each node uses the first node in the common ranking of
its data centre that answers it; if that is the node itself, it relays. Two
relays at once cost some datagrams and calls. A data centre is without a relay
only until the silence of the old one is detected.
"""

import math
from typing import NamedTuple

from gypsumfold.decisions import members as members_module

# Seconds of silence after which the relay counts as failed: it sends ten times
# a second, and a link that loses one datagram in forty loses six in a row once
# in years.
RELAY_SILENCE_SECONDS = 0.6
# The same for a standby, which sends once a second.
STANDBY_SILENCE_SECONDS = 2.5
# Seconds within which a node that is asked to relay must answer: datagrams
# take 2 to 6 ms, and a starting node is busy for 0.4 s.
ANSWER_SECONDS = 0.5
# Seconds for which a node that doesn't answer isn't asked again, doubled each
# time up to the maximum.
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 8.0
# Better ranked nodes that are asked at the same time.
MAX_ASKED = 2
# Seconds of relaying after which a node is settled: starting nodes act as relay
# until the first answer.
SETTLED_SECONDS = 1.0
# Number of known nodes up to which each node sends to all others and reads the
# store itself: with 16, each peer still receives ten messages a second within
# 150 datagrams.
MAX_MESH_NODES = 16


class Choice(NamedTuple):
    """The nodes that a node reports to.

    Attributes:
        relay: The relay; None if it is this node.
        standby: The node that takes over; None if that is this node or there
            is none.
        asked: Better ranked nodes to ask, since they may be back.
    """

    relay: members_module.Member | None
    standby: members_module.Member | None
    asked: list[members_module.Member]


class Relays:
    """Chooses a node's relay among the nodes that answer it.

    >>> relays = Relays(members)
    >>> relays.choose(now=0.0)
    Choice(relay=None, standby=None, asked=[Member(...), Member(...)])
    """

    def __init__(self, members: members_module.Members):
        self.members = members
        self.answered_at: dict[str, float] = {}
        self.asked_at: dict[str, float] = {}
        self.pauses: dict[str, tuple[float, float]] = {}
        self.relay: members_module.Member | None = None
        self.relaying_since: float | None = None

    def choose(self, now: float) -> Choice:
        """Chooses the nodes to report to now."""
        ranked = self.members.ranked(self.members.own.data_centre)
        self.pause_unanswered(now)
        relay = None
        better = []
        for member in ranked:
            if member == self.members.own:
                break
            if self.is_answering(member, now):
                relay = member
                break
            if not self.is_paused(member, now):
                better.append(member)
        if relay is not None:
            self.relaying_since = None
        elif self.relaying_since is None:
            self.relaying_since = now
        self.relay = relay
        standby = None
        if relay is not None:
            behind = ranked[ranked.index(relay) + 1 :]
            standby = self.next_standby(behind, now)
        return Choice(relay, standby, better[:MAX_ASKED])

    def next_standby(
        self, ranked: list[members_module.Member], now: float
    ) -> members_module.Member | None:
        """Returns the next node in the ranking that isn't paused."""
        for member in ranked:
            if member == self.members.own:
                return None
            if not self.is_paused(member, now):
                return member
        return None

    def is_settled(self, now: float) -> bool:
        """Whether this node has relayed for its data centre for a while."""
        if self.relaying_since is None:
            return False
        return now - self.relaying_since >= SETTLED_SECONDS

    def is_answering(self, member: members_module.Member, now: float) -> bool:
        """Whether a node has recently answered as a relay."""
        if self.relay is not None and member.name == self.relay.name:
            limit = RELAY_SILENCE_SECONDS
        else:
            limit = STANDBY_SILENCE_SECONDS
        return now - self.answered_at.get(member.name, -math.inf) <= limit

    def is_paused(self, member: members_module.Member, now: float) -> bool:
        """Whether a node must not be asked yet."""
        until, _ = self.pauses.get(member.name, (-math.inf, 0.0))
        return now < until

    def pause_unanswered(self, now: float) -> None:
        """Pauses the nodes that did not answer in time."""
        for name, asked in list(self.asked_at.items()):
            limit = ANSWER_SECONDS
            if name in self.answered_at:
                limit = STANDBY_SILENCE_SECONDS
            if self.relay is not None and name == self.relay.name:
                limit = RELAY_SILENCE_SECONDS
            if now - max(asked, self.answered_at.get(name, asked)) > limit:
                self.pause(name, now)

    def pause(self, name: str, now: float) -> None:
        """Stops asking a node for a while."""
        _, pause = self.pauses.get(name, (0.0, FIRST_PAUSE_SECONDS))
        self.pauses[name] = (now + pause, min(2 * pause, MAX_PAUSE_SECONDS))
        self.asked_at.pop(name, None)
        self.answered_at.pop(name, None)

    def record_question(self, name: str, now: float) -> None:
        """Records that a node was asked to relay for this one."""
        self.asked_at.setdefault(name, now)

    def record_answer(self, name: str, now: float) -> None:
        """Records that a node relays for this one."""
        self.answered_at[name] = now
        self.pauses.pop(name, None)

    def forget(self, name: str) -> None:
        """Drops a node that was removed."""
        self.answered_at.pop(name, None)
        self.asked_at.pop(name, None)
        self.pauses.pop(name, None)

"""What a node says of itself: to its relay, or to every other node."""

import math

from gypsumfold.decisions import members as members_module
from gypsumfold.decisions import relays as relays_module
from gypsumfold.gateway.peers import loads as loads_module
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import sending
from gypsumfold.gateway.peers import summaries

# Seconds that a report takes to be in its relay's sums: the way there, and
# the wait for a processor that is in use.
REPORT_DELAY_SECONDS = 0.015
# Seconds after which a node of a mesh tells again what it has read; a little
# less than between two reports where nothing happens, so that each has it.
KNOWLEDGE_REFRESH_SECONDS = 0.9


class Reports:
    """Makes this node's reports and sends them.

    Attributes:
        sent: When this node told its relay what it has at the engines.

    >>> reports = Reports(members, relays, loads, sender)
    >>> reports.to_relay(choice, updates, now=0.0)
    """

    def __init__(
        self,
        members: members_module.Members,
        relays: relays_module.Relays,
        loads: loads_module.Loads,
        sender: sending.Sender,
    ):
        self.members = members
        self.relays = relays
        self.loads = loads
        self.sender = sender
        self.sent_loads: list[tuple[float, messages.EngineLoads]] = []
        self.knowledge_sent_at = -math.inf
        self.knowledge_sent_state = (0, 0)

    def send_to_all(
        self,
        updates: messages.Updates,
        knowledge: summaries.Knowledge | None,
        now: float,
    ) -> None:
        """Tells every node what this one has, and what it has read.

        One that does not reach the store learns who leaves by that.
        """
        self.sender.send_report(
            list(self.members.known.values()),
            messages.SUBSCRIBE_NONE,
            self.loads.own(now),
            updates,
            self.knowledge_if_due(knowledge, now),
        )

    def knowledge_if_due(
        self, knowledge: summaries.Knowledge | None, now: float
    ) -> messages.Knowledge | None:
        """What this node knows from the store, if it is time to tell it."""
        found = knowledge.outgoing(True) if knowledge is not None else None
        if found is None:
            return None
        state = (found.digest, found.version)
        due = now - self.knowledge_sent_at >= KNOWLEDGE_REFRESH_SECONDS
        if not due and not found.changed and state == self.knowledge_sent_state:
            return None
        self.knowledge_sent_at = now
        self.knowledge_sent_state = state
        return found

    def send_to_relay(
        self,
        choice: relays_module.Choice,
        updates: messages.Updates,
        now: float,
    ) -> None:
        """Tells the relay, and those that could be it, what this node has."""
        self.record_sent_loads(now)
        self.send([choice.relay], messages.SUBSCRIBE_ALL, updates, now)
        others = list(choice.asked)
        if choice.standby is not None:
            others.append(choice.standby)
        self.send(others, messages.SUBSCRIBE_HEARTBEATS, updates, now)

    def announce(self, choice: relays_module.Choice, now: float) -> None:
        """Makes this node known to those that could relay as well."""
        self.send(
            choice.asked, messages.SUBSCRIBE_HEARTBEATS, messages.Updates(), now
        )
        ranked = self.members.ranked(self.members.own.data_centre)
        place = ranked.index(self.members.own)
        next_ones = ranked[place + 1 : place + 1 + relays_module.MAX_ASKED]
        self.send(
            next_ones, messages.SUBSCRIBE_PRESENCE, messages.Updates(), now
        )

    def record_sent_loads(self, now: float) -> None:
        """Keeps what was reported, to be taken out of the relay's sums."""
        self.sent_loads.append((now, self.loads.own(now)))
        while (
            len(self.sent_loads) > 1
            and now - self.sent_loads[1][0] > REPORT_DELAY_SECONDS
        ):
            del self.sent_loads[0]

    def own_loads_at_relay(self) -> messages.EngineLoads:
        """What the relay's sums have of this node by now."""
        if self.sent_loads:
            return self.sent_loads[0][1]
        return messages.EngineLoads({}, {}, {}, {})

    def send(
        self,
        receivers: list[members_module.Member],
        level: int,
        updates: messages.Updates,
        now: float,
    ) -> None:
        """Sends a report, and notes who is asked for an answer by it."""
        self.sender.send_report(receivers, level, self.loads.own(now), updates)
        if level < messages.SUBSCRIBE_HEARTBEATS:
            return
        for member in receivers:
            self.relays.record_question(member.name, now)

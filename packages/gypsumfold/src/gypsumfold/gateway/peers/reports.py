"""Reports that a node sends to its relay or to every other node."""

import math

from gypsumfold.decisions import members as members_module
from gypsumfold.decisions import relays as relays_module
from gypsumfold.gateway.peers import loads as loads_module
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import sending
from gypsumfold.gateway.peers import summaries

# Seconds until a report is in its relay's load totals: network delay, and the
# wait for a busy processor.
REPORT_DELAY_SECONDS = 0.015
# Seconds after which a node of a mesh sends the state of its store copy again;
# slightly less than the time between two reports of an idle node, so that each
# of those carries it.
COPY_STATE_REFRESH_SECONDS = 0.9


class Reports:
    """Creates and sends this node's reports.

    Attributes:
        sent_loads: The loads recently reported to the relay, with the time.

    >>> reports = Reports(members, relays, loads, sender)
    >>> reports.send_to_relay(choice, updates, now=0.0)
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
        self.copy_state_sent_at = -math.inf
        self.sent_digest_and_version = (0, 0)

    def send_to_all(
        self,
        updates: messages.Updates,
        store_copy: summaries.StoreCopy | None,
        now: float,
    ) -> None:
        """Sends every node this one's loads and the state of its store copy.

        Nodes that cannot reach the store learn by it which replicas leave.
        """
        self.sender.send_report(
            list(self.members.known.values()),
            messages.SUBSCRIBE_NONE,
            self.loads.own(now),
            updates,
            self.copy_state_if_due(store_copy, now),
        )

    def copy_state_if_due(
        self, store_copy: summaries.StoreCopy | None, now: float
    ) -> messages.CopyState | None:
        """Returns the state of the store copy if it must be sent now."""
        found = store_copy.outgoing(True) if store_copy is not None else None
        if found is None:
            return None
        state = (found.digest, found.version)
        due = now - self.copy_state_sent_at >= COPY_STATE_REFRESH_SECONDS
        if (
            not due
            and not found.changed
            and state == self.sent_digest_and_version
        ):
            return None
        self.copy_state_sent_at = now
        self.sent_digest_and_version = state
        return found

    def send_to_relay(
        self,
        choice: relays_module.Choice,
        updates: messages.Updates,
        now: float,
    ) -> None:
        """Reports to the relay, the standby and nodes asked to relay."""
        self.record_sent_loads(now)
        self.send([choice.relay], messages.SUBSCRIBE_ALL, updates, now)
        others = list(choice.asked)
        if choice.standby is not None:
            others.append(choice.standby)
        self.send(others, messages.SUBSCRIBE_HEARTBEATS, updates, now)

    def announce(self, choice: relays_module.Choice, now: float) -> None:
        """Announces this node to others that might also be relays."""
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
        """Records reported loads, to subtract them from the relay's totals."""
        self.sent_loads.append((now, self.loads.own(now)))
        while (
            len(self.sent_loads) > 1
            and now - self.sent_loads[1][0] > REPORT_DELAY_SECONDS
        ):
            del self.sent_loads[0]

    def own_loads_at_relay(self) -> messages.EngineLoads:
        """Returns this node's loads that the relay's totals contain by now."""
        if self.sent_loads:
            return self.sent_loads[0][1]
        return messages.EngineLoads()

    def send(
        self,
        receivers: list[members_module.Member],
        level: int,
        updates: messages.Updates,
        now: float,
    ) -> None:
        """Sends a report and records which receivers have to answer it."""
        self.sender.send_report(receivers, level, self.loads.own(now), updates)
        if level < messages.SUBSCRIBE_HEARTBEATS:
            return
        for member in receivers:
            self.relays.record_question(member.name, now)

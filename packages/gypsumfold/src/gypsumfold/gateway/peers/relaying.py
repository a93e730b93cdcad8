"""State that a relay keeps about its subscribers and about other relays."""

from typing import NamedTuple

from gypsumfold.decisions import members as members_module
from gypsumfold.gateway.peers import loads as loads_module
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import outbox as outbox_module

# Seconds after its last report for which a node is sent summaries; it reports
# at least once a second.
SUBSCRIPTION_SECONDS = 3.0
# Seconds between two heartbeats to a node for which this one is the standby.
HEARTBEAT_INTERVAL_SECONDS = 1.0
# Seconds of silence after which a relay of another data centre is dropped.
RELAY_EXPIRY_SECONDS = 1.5
# Relays in each other data centre that are sent summaries; and seconds after
# which the next nodes are probed if these do not answer.
TARGETS_PER_DATA_CENTRE = 2
PROBE_SECONDS = 0.5
# Nodes of another data centre that are probed by turns: its relay is one of the
# highest ranked nodes that run.
MAX_PROBED = 8


class Subscriber:
    """A node that reports to this one."""

    def __init__(self, member: members_module.Member):
        self.member = member
        self.loads = messages.EngineLoads()
        self.level = messages.SUBSCRIBE_PRESENCE
        self.last_seen = 0.0
        self.heartbeat_sent_at = 0.0


class RemoteRelay:
    """A relay of another data centre, with the load totals it sent."""

    def __init__(self, member: members_module.Member):
        self.member = member
        self.decoder = loads_module.LoadDeltaDecoder()
        self.node_count = 0
        self.last_seen = 0.0


class DueSubscribers(NamedTuple):
    """Subscribers that are due a full summary or only a heartbeat."""

    full: list[Subscriber]
    heartbeats: list[Subscriber]


class Relaying:
    """Tracks subscribers and relays of other data centres by their messages.

    >>> relaying = Relaying(members)
    >>> relaying.receive_report(member, report, now=0.0)
    True
    """

    def __init__(self, members: members_module.Members):
        self.members = members
        self.subscribers: dict[str, Subscriber] = {}
        self.remote_relays: dict[str, dict[str, RemoteRelay]] = {}
        self.node_outbox = outbox_module.Outbox()
        self.relay_outbox = outbox_module.Outbox()
        self.probes: dict[str, tuple[int, float]] = {}
        self.last_relays: dict[str, members_module.Member] = {}

    def receive_report(
        self,
        member: members_module.Member,
        report: messages.Report,
        now: float,
    ) -> bool:
        """Records a report.

        Returns:
            Whether its sender is new and waits for an answer.
        """
        found = self.subscribers.get(member.name)
        new = found is None
        if found is None:
            found = Subscriber(member)
            self.subscribers[member.name] = found
        found.member = member
        found.loads = report.loads
        found.level = max(
            report.subscription_level, messages.SUBSCRIBE_PRESENCE
        )
        found.last_seen = now
        return new and report.subscription_level != messages.SUBSCRIBE_PRESENCE

    def add_mesh_node(self, member: members_module.Member, now: float) -> None:
        """Records a node that is still in a mesh; it is sent heartbeats."""
        found = self.subscribers.setdefault(member.name, Subscriber(member))
        found.level = messages.SUBSCRIBE_HEARTBEATS
        found.last_seen = now

    def expire(self, now: float) -> None:
        """Drops subscribers and relays that have been silent for too long."""
        for name, subscriber in list(self.subscribers.items()):
            if now - subscriber.last_seen > SUBSCRIPTION_SECONDS:
                del self.subscribers[name]
        for relays in self.remote_relays.values():
            for name, relay in list(relays.items()):
                if now - relay.last_seen > RELAY_EXPIRY_SECONDS:
                    del relays[name]

    def due_subscribers(self, now: float) -> DueSubscribers:
        """Returns the subscribers to which something is to be sent now."""
        full = []
        heartbeats = []
        for subscriber in self.subscribers.values():
            if subscriber.level == messages.SUBSCRIBE_ALL:
                full.append(subscriber)
                continue
            if subscriber.level != messages.SUBSCRIBE_HEARTBEATS:
                continue
            if now - subscriber.heartbeat_sent_at >= HEARTBEAT_INTERVAL_SECONDS:
                subscriber.heartbeat_sent_at = now
                heartbeats.append(subscriber)
        return DueSubscribers(full, heartbeats)

    def data_centre_loads(
        self, own: messages.EngineLoads
    ) -> messages.EngineLoads:
        """Returns the total loads of all nodes of this data centre."""
        parts = [own]
        for subscriber in self.subscribers.values():
            parts.append(subscriber.loads)
        return loads_module.total(parts)

    def receive_summary(
        self,
        member: members_module.Member,
        summary: messages.Summary,
        now: float,
    ) -> None:
        """Records a summary from a relay of another data centre."""
        relays = self.remote_relays.setdefault(member.data_centre, {})
        relay = relays.setdefault(member.name, RemoteRelay(member))
        relay.member = member
        relay.node_count = summary.node_count
        relay.last_seen = now
        relay.decoder.receive(summary.load_delta, now)
        self.last_relays[member.data_centre] = member

    def best_relay(self, data_centre: str) -> RemoteRelay | None:
        """Returns the relay of a data centre that covers most of its nodes."""
        found = None
        for relay in self.remote_relays.get(data_centre, {}).values():
            if found is None or rank_key(relay) > rank_key(found):
                found = relay
        return found

    def node_count(self) -> int:
        """Counts the nodes of the site by what relays have reported."""
        count = 1 + len(self.subscribers)
        for data_centre in self.remote_relays:
            relay = self.best_relay(data_centre)
            if relay is not None:
                count += relay.node_count
        return count

    def relay_targets(self, now: float) -> list[members_module.Member]:
        """Returns the nodes of other data centres that get summaries."""
        found = []
        for data_centre in self.members.data_centres():
            if data_centre == self.members.own.data_centre:
                continue
            relays = list(self.remote_relays.get(data_centre, {}).values())
            relays.sort(key=rank_key, reverse=True)
            if relays:
                found += [
                    relay.member for relay in relays[:TARGETS_PER_DATA_CENTRE]
                ]
            else:
                found += self.probe_targets(data_centre, now)
        return found

    def probe_targets(
        self, data_centre: str, now: float
    ) -> list[members_module.Member]:
        """Returns nodes to probe, by turns, where no relay is known.

        The last known relay is always one of them: when a network partition
        ends it gets summaries at once.
        """
        ranked = self.members.ranked(data_centre)[:MAX_PROBED]
        start, since = self.probes.get(data_centre, (0, now))
        if now - since >= PROBE_SECONDS:
            start, since = start + TARGETS_PER_DATA_CENTRE, now
        if start >= len(ranked):
            start = 0
        self.probes[data_centre] = (start, since)
        found = ranked[start : start + TARGETS_PER_DATA_CENTRE]
        last = self.last_relays.get(data_centre)
        if last is not None and last not in found:
            found = [*found, last]
        return found


def rank_key(relay: RemoteRelay) -> tuple[int, str]:
    """Sort key for relays of one data centre: most nodes last."""
    return relay.node_count, relay.member.name

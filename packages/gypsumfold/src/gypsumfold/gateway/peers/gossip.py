"""Exchanges load, placements and engine changes with the other nodes.

Each node sees a fraction of the requests, but all of them add to the queue at
an engine. Engines' own reports come too late and take up their time. So nodes
send each other small datagrams: the seconds of prefill that each engine still
has to do for them, and the prompt prefixes that were sent to it. The next
datagram makes up for a lost one; nothing depends on any single one.

Up to a handful of nodes form a mesh: each reports to every other one. More
nodes report to a relay of their data centre (`decisions/relays.py`), which
sends summaries to them and to the relays of the other data centres.
"""

import asyncio
import contextlib
import math
import time

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import bandwidth
from gypsumfold.decisions import departures
from gypsumfold.decisions import members as members_module
from gypsumfold.decisions import node_count as node_count_module
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import rate_limits
from gypsumfold.decisions import relays as relays_module
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import leadership as leadership_module
from gypsumfold.gateway import origins as origins_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import types
from gypsumfold.gateway import usage as usage_module
from gypsumfold.gateway.peers import crash_updates as crash_updates_module
from gypsumfold.gateway.peers import entries as entries_module
from gypsumfold.gateway.peers import loads as loads_module
from gypsumfold.gateway.peers import loans
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import origin_holders as origin_holders_module
from gypsumfold.gateway.peers import origin_updates as origin_updates_module
from gypsumfold.gateway.peers import outbox as outbox_module
from gypsumfold.gateway.peers import relaying as relaying_module
from gypsumfold.gateway.peers import remote_state as remote_state_module
from gypsumfold.gateway.peers import reports as reports_module
from gypsumfold.gateway.peers import seals
from gypsumfold.gateway.peers import sending
from gypsumfold.gateway.peers import summaries as summaries_module
from gypsumfold.gateway.peers import usage_exchange
from gypsumfold.platform import store as store_module

# Minimum seconds between two datagrams to the same peer: prefill of a prompt
# takes several times as long.
MIN_REPORT_INTERVAL_SECONDS = 0.03
# Maximum datagrams a second that one node sends; with more than four peers the
# interval grows. Each costs sender and receiver about 30 us.
MAX_DATAGRAMS_PER_SECOND = 150
# Seconds between two messages of a relay: a third of the time that prefill of a
# prompt takes, at ten datagrams a second for each node.
RELAY_INTERVAL_SECONDS = 0.1
# Minimum seconds between two messages, however urgent they are.
MIN_SEND_INTERVAL_SECONDS = 0.02
# Seconds after which an update that is sent immediately has reached all nodes,
# even if its first datagram was lost: in a mesh, and by relays.
PROPAGATION_SECONDS = 0.05
RELAYED_PROPAGATION_SECONDS = 0.25
# Seconds between two full datagrams while nothing changes.
REFRESH_SECONDS = 1.0
# Seconds without a turn of this node after which datagrams may have waited in
# its socket, and seconds from its next turn in which it reads what has waited.
PAUSE_SECONDS = 1.0
BACKLOG_SECONDS = 0.1
# Seconds from that turn after which it has heard again of all rate limits that
# are still in force: nodes send them once a second, and relays a moment later.
INFORMED_SECONDS = 1.5
# Fraction of the nodes from which the loads must be known to count as those of
# the site. With fewer, a part of the network is likely cut off.
MIN_HEARD_FRACTION = 0.75


class Gossip(asyncio.DatagramProtocol):
    """Sends this node's loads and updates to its peers and receives theirs.

    >>> gossip = Gossip(settings, store, router, leadership, directory)
    >>> await gossip.start()
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        store: store_module.Store,
        prefix_router: prefix_routing_module.PrefixRouter,
        leadership: leadership_module.Leadership,
        directory: directory_module.Directory,
        quarantine: quarantine_module.Quarantine,
        origins: origins_module.Origins,
    ):
        self.directory = directory
        self.address = settings.peers.address
        self.leadership = leadership
        self.member = leadership.member
        node = settings.node
        own = members_module.Member(
            self.member,
            node.name,
            node.data_centre,
            messages.parse_socket_address(self.address),
            node.relay_capacity,
        )
        self.members = members_module.Members(own)
        self.relays = relays_module.Relays(self.members)
        self.relaying = relaying_module.Relaying(self.members)
        self.loads = loads_module.Loads(prefix_router, directory)
        self.outbox = outbox_module.Outbox()
        self.sealer = seals.Sealer(settings.peers.keys)
        self.sender = sending.Sender(self.members, self.sealer)
        self.quarantine = quarantine
        link = settings.node.link_mbps
        self.crash_updates = crash_updates_module.CrashUpdates(
            self.sender,
            quarantine,
            bandwidth.Bandwidth(link, bandwidth.CRASHES_SHARE),
            self.crash_update_receivers,
        )
        self.origin_holders = origin_holders_module.OriginHolders(
            self, origins.memory
        )
        self.origin_updates = origin_updates_module.OriginUpdates(
            self.sender,
            bandwidth.Bandwidth(link, bandwidth.ORIGINS_SHARE),
            self.origin_holders.receivers,
        )
        self.origin_holders.pass_on = self.origin_updates.add
        origins.announce = self.origin_updates.add
        self.origin_updates.renew = origins.renew
        quarantine.notify_peers = self.crash_updates.due.set
        quarantine.is_relay = self.is_relay
        quarantine.propagation_time = self.propagation_time
        self.reports = reports_module.Reports(
            self.members, self.relays, self.loads, self.sender
        )
        self.clock = time.monotonic
        self.entries = entries_module.Entries(
            store,
            leadership,
            self.members,
            settings.peers.mesh,
            lambda: self.clock(),
        )
        self.entries.on_mesh_exceeded = self.leave_mesh
        self.entries.on_node_removed = self.drop_node
        self.node_counter = node_count_module.NodeCount(
            self.members, self.entries.others
        )
        self.summaries = summaries_module.Summaries(
            self.relaying,
            self.loads,
            self.sender,
            directory,
            bandwidth.Bandwidth(link, bandwidth.SUMMARIES_SHARE),
        )
        self.remote_state = remote_state_module.RemoteState(
            prefix_router, directory
        )
        self.usage = usage_module.Usage(
            store,
            self.member,
            settings.usage.policy,
            usage_exchange.UsageExchange(
                self.sender, self.members, self.relay_choice
            ),
        )
        self.meshed = True
        self.relay_chosen = False
        self.resend_due = False
        self.choice = relays_module.Choice(None, None, [])
        self.last_sequences: dict[str, int] = {}
        self.site_decoder = loads_module.LoadDeltaDecoder()
        self.announced_at = -math.inf
        # When this node had its last turn, by `clocks.now`; None before.
        self.ran_at: float | None = None
        self.paused_seconds = 0.0
        self.woke_at = -math.inf
        self.changed = asyncio.Event()
        self.urgent = asyncio.Event()
        prefix_router.listener = self
        directory.liveness.unreachable_listeners.append(self.report_unreachable)
        directory.removal_listeners.append(self.forget_replica)
        directory.statements.rate_limit_listeners.append(
            self.announce_rate_limit
        )
        directory.statements.departure_listeners.append(self.announce_departure)
        directory.rate_limits.unheard_seconds = self.unheard_seconds

    def find_others(self) -> list[members_module.Member]:
        """Returns the other nodes that this one has heard of."""
        found = dict(self.members.known)
        for entry in self.entries.others.entries.values():
            if entry.suspected_at is None:
                found.setdefault(entry.member.name, entry.member)
        found.pop(self.member, None)
        return list(found.values())

    def can_observe(self, member: members_module.Member) -> bool:
        """Whether this node would receive messages of another if that ran.

        A node that reports to a relay receives messages of relays only.
        """
        if self.meshed:
            return True
        own = self.members.own.data_centre
        return member.data_centre == own and self.relays.is_settled(
            self.clock()
        )

    def can_remove_entries(self) -> bool:
        """Whether this node removes the entries of dead nodes."""
        if self.meshed:
            return self.leadership.token(clocks.now()) is not None
        return self.relays.is_settled(self.clock())

    def can_renew(self, member: members_module.Member) -> bool:
        """Whether this node renews another one's entry on its behalf.

        A node that reports to a relay does not read the entries, so it does not
        learn that its own is suspected.
        """
        own = self.members.own.data_centre
        is_relay = not self.meshed and self.choice.relay is None
        return is_relay and member.data_centre == own

    def drop_node(self, name: str) -> None:
        """Forgets a node that has left or died."""
        self.members.remove(name)
        self.relays.forget(name)
        self.last_sequences.pop(name, None)
        self.loads.drop(name)

    async def start(self) -> None:
        """Opens the socket."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.sender.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    def sent(
        self, engine: str, prefix_hashes: list[int], tokens: list[int]
    ) -> None:
        """Records that this node sent a prompt to an engine."""
        self.outbox.add_placement(
            messages.Placement(engine, prefix_hashes, tokens)
        )
        self.changed.set()

    def report_unreachable(self, instance: str) -> None:
        """Makes the other nodes probe an unreachable replica as well."""
        self.outbox.add_unreachable(instance)
        self.changed.set()

    def forget_replica(self, replica: types.Replica) -> None:
        """Drops updates on an engine that was removed or has restarted."""
        for outbox in self.outboxes():
            outbox.forget(replica.instance)

    def outboxes(self) -> tuple[outbox_module.Outbox, ...]:
        """The outboxes for this node's own updates and for forwarded ones."""
        return (
            self.outbox,
            self.relaying.node_outbox,
            self.relaying.relay_outbox,
        )

    def done(self) -> None:
        """Records that this node's load at an engine has decreased."""
        self.changed.set()

    def announce_closing(self, engine: str, seconds: float) -> None:
        """Announces to all nodes that an engine gets no work for a while."""
        until = self.clock() + seconds
        if self.outbox.add_closing(engine, until, self.start_time(engine)):
            self.urgent.set()
        self.changed.set()

    def announce_role(
        self, engine: str, role: decision_types.Role, seconds: float
    ) -> None:
        """Announces that an engine has its new role."""
        until = self.clock() + seconds
        self.outbox.add_role(engine, role.value, until, self.start_time(engine))
        self.changed.set()

    def start_time(self, engine: str) -> int:
        """Returns an engine's newest known start time; 0 if unknown."""
        return self.directory.incarnations.known_starts([engine]).get(engine, 0)

    async def run(self) -> None:
        """Sends reports for as long as the node runs."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REFRESH_SECONDS):
                    await self.changed.wait()
            self.resend_due = self.changed.is_set()
            self.changed.clear()
            if self.meshed:
                self.urgent.clear()
            self.send_report(self.clock())
            pause = MIN_REPORT_INTERVAL_SECONDS
            if self.meshed:
                pause = max(
                    pause, len(self.members.known) / MAX_DATAGRAMS_PER_SECOND
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self.urgent.wait()

    async def run_relay(self) -> None:
        """Chooses a relay, and relays where this node is the relay."""
        while True:
            self.record_turn()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    RELAY_INTERVAL_SECONDS - MIN_SEND_INTERVAL_SECONDS
                ):
                    await self.urgent.wait()
            self.record_turn()
            await asyncio.sleep(MIN_SEND_INTERVAL_SECONDS)
            if self.meshed:
                continue
            self.urgent.clear()
            now = self.clock()
            self.relaying.expire(now)
            self.choose_relay(now)
            self.resend_to_relay(now)
            self.send_summaries(now)

    def record_turn(self) -> None:
        """Records that this node runs, and notices if it was paused."""
        now = clocks.now()
        if self.has_been_paused(now):
            self.paused_seconds = now - self.ran_at
            self.woke_at = now
        self.ran_at = now

    def has_been_paused(self, now: float) -> bool:
        """Whether this node has had no turn for long, by `clocks.now`."""
        return self.ran_at is not None and now - self.ran_at > PAUSE_SECONDS

    def may_have_waited(self) -> bool:
        """Whether a datagram that is read now may have waited for long."""
        now = clocks.now()
        return self.has_been_paused(now) or (
            now - self.woke_at < BACKLOG_SECONDS
        )

    def unheard_seconds(self) -> float:
        """Returns the seconds of a pause after which the others are unheard.

        Their silence in these seconds proves nothing.
        """
        now = clocks.now()
        if self.has_been_paused(now):
            return now - self.ran_at
        if now - self.woke_at < INFORMED_SECONDS:
            return self.paused_seconds
        return 0.0

    def resend_to_relay(self, now: float) -> None:
        """Sends the relay the last change again, as datagrams may be lost."""
        if self.resend_due and self.choice.relay is not None:
            self.resend_due = False
            self.send_report(now)

    def send_report(self, now: float) -> None:
        """Reports this node's loads to its relay or to every node."""
        if self.meshed:
            store_copy = self.summaries.store_copy
            self.reports.send_to_all(self.take_updates(now), store_copy, now)
            return
        choice = self.choice
        if choice.relay is None:
            # Its own updates go out with its next summary.
            if now - self.announced_at >= REFRESH_SECONDS:
                self.announce(now)
            return
        # All receivers get the same updates; the subscription levels differ.
        self.reports.send_to_relay(choice, self.take_updates(now), now)

    def note_store_read(self) -> None:
        """Schedules a report after this node has read changes in the store."""
        if self.meshed:
            self.changed.set()

    def announce(self, now: float) -> None:
        """Announces this node to others that might also be relays."""
        self.announced_at = now
        self.reports.announce(self.choice, now)

    def take_updates(self, now: float) -> messages.Updates:
        """Returns this node's own updates to send now."""
        self.outbox.retain_closings(self.directory.roles.changing_until)
        return self.outbox.take(now)

    def choose_relay(self, now: float) -> None:
        """Chooses the relay again and switches to it if it changed."""
        before = self.choice.relay
        asked = self.choice.asked
        self.choice = self.relays.choose(now)
        relay = self.choice.relay
        if relay is None and self.choice.asked != asked:
            self.announce(now)
        if relay == before and self.relay_chosen:
            return
        self.relay_chosen = True
        events.log(
            events.RELAY_CHOSEN,
            relay=relay.node if relay else self.members.own.node,
            before=before.node if before else self.members.own.node,
            known=len(self.members.known),
        )
        self.loads.clear_remote()
        self.site_decoder = loads_module.LoadDeltaDecoder()
        self.announced_at = -math.inf
        if relay is None:
            until = now + loads_module.EXPIRY_SECONDS
            for subscriber in self.relaying.subscribers.values():
                self.loads.set_remote(
                    subscriber.member.name, subscriber.loads, until
                )
        self.send_report(now)

    def leave_mesh(self) -> None:
        """Switches from reporting to all nodes to reporting to a relay."""
        if not self.meshed:
            return
        self.meshed = False
        self.loads.clear_remote()
        self.choose_relay(self.clock())

    def send_summaries(self, now: float) -> None:
        """Sends summaries to subscribers and, if a relay, to other relays."""
        is_relay = self.choice.relay is None
        if is_relay:
            self.forward(self.take_updates(now), now)
        due = self.relaying.due_subscribers(now)
        self.send_to_nodes(due, now)
        if is_relay and self.relays.is_settled(now):
            self.summaries.send_to_relays(now)

    def send_to_nodes(
        self, due: relaying_module.DueSubscribers, now: float
    ) -> None:
        """Sends summaries to the nodes that report to this one."""
        self.summaries.send_to_nodes(
            due, self.site_node_count(), self.is_partitioned(), now
        )

    def datagram_received(self, data: bytes, address) -> None:
        """Receives a peer's datagram; one older than the last is dropped."""
        try:
            if len(data) > messages.MAX_DATAGRAM_BYTES:
                raise exceptions.RecordInvalid(f"{len(data)} bytes: too many")
            message = messages.decode_message(self.sealer.open(data))
        except exceptions.RecordInvalid as error:
            events.log(events.FRAME_REFUSED, reason=str(error))
            return
        sender = message.sender
        if sender.member == self.member:
            return
        if message.sequence <= self.last_sequences.get(sender.member, -1):
            return
        now = self.clock()
        self.last_sequences[sender.member] = message.sequence
        if (
            isinstance(message, messages.Report | messages.Summary)
            and self.may_have_waited()
        ):
            self.receive_late(message.updates, now)
            return
        # This makes a node known that started after the entries were read.
        member = members_module.Member(
            sender.member,
            sender.node,
            sender.data_centre,
            address[:2],
            sender.power,
        )
        self.members.observe(member, now)
        self.entries.others.observe(member)
        if isinstance(message, messages.UsageUpdate):
            self.usage.receive(message)
        elif isinstance(message, messages.UsageStored):
            self.usage.receive_stored(message)
        elif isinstance(message, messages.OriginUpdate):
            self.origin_holders.receive(member, message, now)
        elif isinstance(message, messages.CrashUpdate):
            self.quarantine.merge_message(message)
        elif isinstance(message, messages.Report):
            self.receive_report(member, message, now)
        else:
            self.receive_summary(member, message, now)

    def receive_late(self, updates: messages.Updates, now: float) -> None:
        """Receives a datagram that may have waited while this node was paused.

        Its ages and remaining times count from when it was sent, which is not
        known. All but departures, which are for good, is sent again.
        """
        lasting = messages.Updates(departures=updates.departures)
        self.remote_state.apply(lasting, now)

    def receive_report(
        self,
        member: members_module.Member,
        report: messages.Report,
        now: float,
    ) -> None:
        """Receives a node's report."""
        until = now + loads_module.EXPIRY_SECONDS
        if report.subscription_level == messages.SUBSCRIBE_NONE:
            if self.meshed:
                self.loads.set_remote(member.name, report.loads, until)
                self.receive_copy_state(member, report.copy_state, True)
            else:
                self.relaying.add_mesh_node(member, now)
            self.apply_updates(report.updates, now)
            return
        self.leave_mesh()
        if self.relaying.receive_report(member, report, now):
            # The sender waits for an answer to know that a relay is there.
            due = self.relaying.due_subscribers(now)
            self.send_to_nodes(due, now)
        if self.choice.relay is None:
            self.loads.set_remote(member.name, report.loads, until)
        self.apply_updates(report.updates, now)
        if report.subscription_level == messages.SUBSCRIBE_ALL:
            self.forward(report.updates, now)

    def receive_summary(
        self,
        member: members_module.Member,
        summary: messages.Summary,
        now: float,
    ) -> None:
        """Receives a relay's summary."""
        self.leave_mesh()
        self.receive_copy_state(
            member, summary.copy_state, summary.between_relays
        )
        if summary.between_relays:
            self.receive_relay_summary(member, summary, now)
            return
        if member.data_centre != self.members.own.data_centre:
            return
        self.add_contacts(summary.members, now)
        self.relays.record_answer(member.name, now)
        if self.choice.relay is None or member.name != self.choice.relay.name:
            self.choose_relay(now)
        relay = self.choice.relay
        if relay is None or member.name != relay.name:
            return
        self.node_counter.receive(summary.node_count, summary.partitioned, now)
        self.site_decoder.receive(summary.load_delta, now)
        others = loads_module.subtract(
            self.site_decoder.loads(now), self.reports.own_loads_at_relay()
        )
        self.loads.set_remote(
            relay.data_centre, others, now + loads_module.EXPIRY_SECONDS
        )
        self.apply_updates(summary.updates, now)

    def receive_copy_state(
        self,
        member: members_module.Member,
        received: messages.CopyState | None,
        between_relays: bool,
    ) -> None:
        """Receives the state of another node's copy of the store."""
        store_copy = self.summaries.store_copy
        if received is not None and store_copy is not None:
            store_copy.receive(received, member.address, between_relays)

    def receive_relay_summary(
        self,
        member: members_module.Member,
        summary: messages.Summary,
        now: float,
    ) -> None:
        """Receives a summary from a relay of another data centre."""
        data_centre = member.data_centre
        if data_centre == self.members.own.data_centre:
            return
        self.relaying.receive_summary(member, summary, now)
        if self.choice.relay is not None:
            return
        best = self.relaying.best_relay(data_centre)
        if best is not None and best.member.name == member.name:
            until = now + loads_module.EXPIRY_SECONDS
            self.loads.set_remote(data_centre, best.decoder.loads(now), until)
            self.apply_updates(summary.updates, now)
            if self.relaying.node_outbox.add_updates(summary.updates, now):
                self.urgent.set()

    def apply_updates(self, updates: messages.Updates, now: float) -> None:
        """Applies what happened elsewhere.

        A former holder of the authority no longer announces the role of an
        engine that another holder changes by now: it would open the engine.
        """
        self.remote_state.apply(updates, now)
        if self.leadership.token(clocks.now()) is None:
            self.outbox.drop_roles(updates.closed)

    def forward(self, updates: messages.Updates, now: float) -> None:
        """Forwards updates of a node of this data centre."""
        self.relaying.relay_outbox.add_updates(updates, now)
        if self.relaying.node_outbox.add_updates(updates, now):
            self.urgent.set()

    def add_contacts(
        self, contacts: list[messages.Contact], now: float
    ) -> None:
        """Adds the nodes that a relay lists in its summary."""
        for contact in contacts:
            try:
                address = messages.parse_socket_address(contact.address)
            except exceptions.RecordInvalid as error:
                events.log(events.FRAME_REFUSED, reason=str(error))
                continue
            member = members_module.Member(
                contact.member,
                contact.node,
                contact.data_centre,
                address,
                contact.power,
            )
            self.members.add(member, now)

    def error_received(self, error: Exception) -> None:
        """Ignores errors: datagrams may be lost, dead peers time out."""

    def is_store_reader(self) -> bool:
        """Whether this node reads the store itself, and for others."""
        return self.meshed or self.choice.relay is None

    def relay_address(self) -> tuple[str, int] | None:
        """Returns the relay's address for queries; None if this node is it."""
        relay = self.choice.relay
        return None if relay is None else relay.address

    def relay_choice(self) -> relays_module.Choice | None:
        """Returns this node's choice of a relay; None in a mesh."""
        return None if self.meshed else self.choice

    def is_confirmed_reader(self) -> bool:
        """Whether it is certain that this node reads the store itself.

        A starting node is certain once it has read the other nodes' entries and
        no higher ranked node still has to answer.
        """
        return (
            self.entries.read_once
            and self.is_store_reader()
            and not self.choice.asked
        )

    def store_reader_count(self) -> int:
        """Counts the nodes that read the store for all."""
        if self.meshed:
            return self.node_count()
        return len(self.members.data_centres())

    def can_lead(self) -> bool:
        """Whether this node may become the leader, which orders engines."""
        if self.meshed:
            return self.entries.read_once
        return self.relays.is_settled(self.clock())

    def node_count(self) -> int:
        """Counts the recently seen nodes, this one included."""
        now = self.clock()
        if self.meshed:
            return self.node_counter.count_recent(now)
        if self.choice.relay is None:
            self.node_counter.record(self.relaying.node_count(), now)
        return self.node_counter.highest

    def site_node_count(self) -> int:
        """Counts the site's nodes, as sent to this node's subscribers."""
        if self.has_relay():
            return self.node_counter.highest
        return self.node_counter.with_entries(self.node_count())

    def sharing_node_count(self) -> int:
        """Counts the nodes that share site-wide budgets; 0 if unknown."""
        known_for = self.clock() - self.entries.others.first_read_at
        if known_for < node_count_module.STARTUP_SECONDS:
            return 0
        if self.has_relay() and not self.node_counter.received:
            return 0
        return self.site_node_count()

    def is_partitioned(self) -> bool:
        """Whether others may share site-wide budgets without this node."""
        if self.has_relay():
            return self.node_counter.partitioned
        return self.node_counter.is_partitioned(self.node_count(), self.clock())

    def hears_most_nodes(self) -> bool:
        """Whether the loads that this node knows are those of nearly all."""
        if self.is_partitioned():
            return False
        if self.has_relay():
            # The relay tells whether it is partitioned; a node whose relay is
            # silent soon has another one or none.
            return True
        if self.meshed:
            seconds = loads_module.EXPIRY_SECONDS
            heard = self.node_counter.count_recent(self.clock(), seconds)
        else:
            heard = self.relaying.node_count()
        return heard > MIN_HEARD_FRACTION * self.site_node_count()

    def is_relay(self) -> bool:
        """Whether this node forwards what other nodes send."""
        return not self.meshed and self.choice.relay is None

    def propagation_time(self) -> float:
        """Seconds until all nodes have an update that is sent immediately."""
        return (
            PROPAGATION_SECONDS if self.meshed else RELAYED_PROPAGATION_SECONDS
        )

    def crash_update_receivers(self) -> list[members_module.Member]:
        """Returns the receivers of updates on requests that crash replicas.

        A relay sends them to the nodes that report to it and to the relays of
        other data centres; other nodes send them to all or to their relays.
        """
        if self.meshed:
            return list(self.members.known.values())
        choice = self.choice
        if choice.relay is not None:
            found = [choice.relay, *choice.asked]
            if choice.standby is not None:
                found.append(choice.standby)
            return found
        found = self.relaying.relay_targets(self.clock())
        for subscriber in self.relaying.subscribers.values():
            if subscriber.level != messages.SUBSCRIBE_PRESENCE:
                found.append(subscriber.member)
        return found

    def lenders(self) -> list[loans.Lenders]:
        """Returns the nodes that may lend parts of allowances to this one."""
        if self.meshed:
            known = list(self.members.known.values())
            return [loans.Lenders(known, loans.ASK_ONE)]
        if self.choice.relay is not None:
            return [loans.Lenders([self.choice.relay], loans.ASK_SITE)]
        subscribers = []
        for subscriber in self.relaying.subscribers.values():
            subscribers.append(subscriber.member)
        relays = self.relaying.relay_targets(self.clock())
        return [
            loans.Lenders(subscribers, loans.ASK_ONE),
            loans.Lenders(relays, loans.ASK_DATA_CENTRE),
        ]

    def limit_share(self, instance: str, rate: float) -> float:
        """Returns this node's fraction of a replica's rate limit.

        In a mesh nodes hold it, else the relays of data centres, each for the
        nodes that follow it. A node that doesn't know the others, or that they
        may not count, holds nothing.
        """
        if self.sharing_node_count() == 0 or self.is_partitioned():
            return 0.0
        own = self.members.own
        if self.meshed:
            names = {own.node}
            names.update(self.members.names_by_node)
            names.update(self.entries.others.entries)
            return rate_limits.holder_share(own.node, names, instance, rate)
        if not self.relays.is_settled(self.clock()):
            return 0.0
        names = self.members.data_centres()
        share = rate_limits.holder_share(own.data_centre, names, instance, rate)
        return share * self.following_fraction()

    def following_fraction(self) -> float:
        """Returns the fraction of its data centre that this relay stands for.

        Where the data centre is divided, or a former relay wakes, there are two
        relays, which together must hold no more than one.
        """
        following = 1
        for subscriber in self.relaying.subscribers.values():
            following += subscriber.level == messages.SUBSCRIBE_ALL
        known = len(self.members.ranked(self.members.own.data_centre))
        return min(1.0, following / known)

    def announce_rate_limit(
        self, instance: str, rate: float | None, sent_at: float
    ) -> None:
        """Tells the other nodes what a replica has said of its limit."""
        if self.outbox.add_rate_limit(instance, rate, sent_at):
            self.changed.set()

    def announce_departure(self, instance: str, started_at: int) -> None:
        """Tells the other nodes that a replica has said that it leaves."""
        until = self.clock() + departures.ANNOUNCED_SECONDS
        if self.outbox.add_departure(instance, started_at, until):
            self.urgent.set()
        self.changed.set()

    def has_relay(self) -> bool:
        """Whether this node reports to a relay."""
        return not self.meshed and self.choice.relay is not None

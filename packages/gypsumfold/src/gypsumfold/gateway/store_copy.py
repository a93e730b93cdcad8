"""This node's copy of the store: read by itself, or sent by a relay.

`decisions/topic_staleness.py` decides when a node that follows a relay reads
the store itself.
"""

import asyncio
from collections.abc import Callable
import math

import msgspec

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import eras
from gypsumfold.decisions import read_timeouts as read_timeouts_module
from gypsumfold.decisions import registry as registry_module
from gypsumfold.decisions import topic_staleness
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import registrations as registrations_module
from gypsumfold.gateway import topic_watches
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import queries as queries_module

# Seconds between two requests to a peer for all registrations. If the answer
# doesn't resolve the difference, the store is read.
QUERY_INTERVAL_SECONDS = 1.0
ENCODER = msgspec.msgpack.Encoder()


class StoreCopy:
    """This node's copy of the two topics that every node follows.

    Attributes:
        newer_peer: Address of a node with a newer configuration.
        differing_peer: Address of a node with other registrations.
        next_query_at: Earliest time to ask a peer for all registrations.
        fetch_needed: Set when a peer may have to be asked.
        was_stale: Whether the registrations were stale at the last check.
        newest_era: The latest era of the store that another node has read.
        on_newer_era: Called when another node has read a later era of the store
            than this one.

    >>> copy = StoreCopy(
    ...     registrations, configurations, watches[0], watches[1],
    ...     gossip.is_store_reader, query_client,
    ...     read_timeouts.derive(contact=3.0)
    ... )
    >>> copy.should_read_registrations()
    True
    """

    def __init__(
        self,
        registrations: registrations_module.Registrations,
        configurations: configurations_module.Configurations,
        registrations_watch: topic_watches.TopicWatch,
        configuration_watch: topic_watches.TopicWatch,
        is_reader: Callable[[], bool],
        query_client: queries_module.QueryClient,
        read_timeouts: read_timeouts_module.ReadTimeouts,
    ):
        self.read_timeouts = read_timeouts
        self.registrations = registrations
        self.configurations = configurations
        self.registrations_watch = registrations_watch
        self.configuration_watch = configuration_watch
        self.is_reader = is_reader
        self.query_client = query_client
        self.newer_peer: tuple[str, int] | None = None
        self.differing_peer: tuple[str, int] | None = None
        self.next_query_at = -math.inf
        self.fetch_needed = asyncio.Event()
        self.was_stale = False
        self.newest_era = 0
        self.on_newer_era: Callable[[], None] = lambda: None
        for watch in (registrations_watch, configuration_watch):
            watch.is_reader = is_reader
        registrations_watch.should_read = self.should_read_registrations
        configuration_watch.should_read = self.should_read_configuration

    def should_read_registrations(self) -> bool:
        """Whether this node should read the registrations now."""
        watch = self.registrations_watch
        if self.is_reader() or not watch.has_read_all:
            return True
        now = clocks.now()
        stale = watch.staleness.is_stale(now)
        if stale and not self.was_stale:
            events.log(
                events.KNOWLEDGE_DOUBTED,
                age=round(
                    min(
                        watch.staleness.age(now), topic_watches.MAX_AGE_SECONDS
                    ),
                    3,
                ),
                differs=watch.staleness.differing_since is not None,
            )
        self.was_stale = stale
        return stale

    def should_read_configuration(self) -> bool:
        """Whether this node should read the configuration now.

        If it has just read the registrations because its relay's were stale,
        the relay's configuration is suspect too.
        """
        watch = self.configuration_watch
        if self.is_reader() or not watch.has_read_all:
            return True
        if self.is_behind():
            return True
        now = clocks.now()
        age = watch.staleness.age(now)
        if age > self.read_timeouts.max_age:
            return True
        longest = topic_staleness.MAX_AGE_FRACTION * watch.staleness.bound
        return now - self.registrations_watch.direct_read_at < longest < age

    def outgoing(self, between_relays: bool) -> messages.CopyState | None:
        """Returns the state for other nodes; None before the first read.

        Args:
            between_relays: Whether it is sent to other relays, which also send
                theirs to this one.
        """
        registrations = self.registrations_watch
        configuration = self.configuration_watch
        if not registrations.has_read_all:
            return None
        now = clocks.now()
        registry = self.registrations.registry
        changed = []
        for change in registry.changes(now):
            changed.append(messages.ChangedRegistration(*change))
        return messages.CopyState(
            registrations.position,
            sent_age(registrations.staleness, now, between_relays),
            registry.digest,
            changed,
            round(self.registrations.state.shared_grace(between_relays), 3),
            self.configurations.version(),
            configuration.position,
            sent_age(configuration.staleness, now, between_relays),
        )

    def receive(
        self,
        copy_state: messages.CopyState,
        address: tuple[str, int],
        between_relays: bool,
    ) -> None:
        """Applies the state of a relay's copy.

        Args:
            copy_state: State of the relay's copy.
            address: The relay's address for requests.
            between_relays: Whether it came from another relay, which sends
                only what it has read itself.
        """
        now = clocks.now()
        watch = self.registrations_watch
        if not watch.has_read_all:
            return
        changes = []
        for changed in copy_state.changed:
            changes.append(
                registry_module.Change(
                    changed.key, changed.offset, changed.value
                )
            )
        era = eras.era_of(copy_state.end)
        self.observe_era(era)
        if copy_state.grace <= 0 and era >= watch.store_era():
            self.registrations.state.confirm_relayed(between_relays)
        self.registrations.merge(changes, copy_state.grace)
        if self.registrations.registry.digest == copy_state.digest:
            watch.confirm_relayed(copy_state.end, now - copy_state.age)
        elif copy_state.end >= watch.position:
            watch.staleness.record_difference(now)
            if watch.staleness.differs(now) and now >= self.next_query_at:
                self.next_query_at = now + QUERY_INTERVAL_SECONDS
                self.differing_peer = address
                self.fetch_needed.set()
        self.receive_configuration(copy_state, address, now)

    def observe_era(self, era: int) -> None:
        """Checks whether another node has read a later era of the store."""
        if era <= max(self.newest_era, self.registrations_watch.store_era()):
            return
        self.newest_era = era
        # What that node finds missing may be written again.
        self.registrations.state.store_returned()
        self.on_newer_era()

    def receive_configuration(
        self,
        copy_state: messages.CopyState,
        address: tuple[str, int],
        now: float,
    ) -> None:
        """Compares a relay's configuration version with this node's."""
        self.configurations.announce(copy_state.version)
        version = self.configurations.version()
        if version < copy_state.version:
            self.newer_peer = address
            self.configuration_watch.wake.set()
            self.configuration_watch.cancel_overdue_read(
                self.configurations.announced_at,
                self.read_timeouts.overdue_after,
            )
            self.fetch_needed.set()
        elif version == copy_state.version:
            self.configuration_watch.confirm_relayed(
                copy_state.version_end, now - copy_state.version_age
            )

    def is_behind(self) -> bool:
        """Whether another node has a newer configuration."""
        return self.configurations.version() < self.configurations.announced

    async def fetch(self) -> None:
        """Asks peers with newer data, for as long as the node runs."""
        while True:
            await self.fetch_needed.wait()
            self.fetch_needed.clear()
            try:
                await self.fetch_configuration()
                await self.fetch_registrations()
            except (
                exceptions.PeerError,
                exceptions.RecordInvalid,
                msgspec.DecodeError,
            ) as error:
                # The store, which has the same data, is read next.
                events.log(events.PEER_SILENT, reason=str(error))

    async def fetch_configuration(self) -> None:
        """Asks a peer for a newer configuration that this node still lacks.

        Raises:
            exceptions.PeerError: The peer does not answer.
            exceptions.RecordInvalid: The answer is not sealed.
        """
        if self.newer_peer is None or not self.is_behind():
            return
        failed = self.configuration_watch.failures > 0
        if (
            not failed
            and self.configurations.seconds_behind()
            < self.read_timeouts.ask_after
        ):
            return
        record = await self.query_client.fetch(
            self.newer_peer, queries_module.CONFIGURATION
        )
        self.configurations.offer(record, "peer")

    async def fetch_registrations(self) -> None:
        """Asks a peer whose registrations differ for all of them.

        A node that cannot read the store has no other way to catch up.

        Raises:
            exceptions.PeerError: The peer does not answer.
            exceptions.RecordInvalid: The answer is not sealed.
            msgspec.DecodeError: The answer cannot be decoded.
        """
        address, self.differing_peer = self.differing_peer, None
        if address is None:
            return
        body = await self.query_client.fetch(
            address, queries_module.REGISTRATIONS
        )
        found = queries_module.REGISTRATIONS_DECODER.decode(body)
        changes = []
        for entry in found.entries:
            changes.append(
                registry_module.Change(entry.key, entry.offset, entry.value)
            )
        self.registrations.merge_all(changes, found.end)

    def encode_registrations(self) -> bytes:
        """Returns all registrations, for a node whose copy differs."""
        entries = []
        for key, known in self.registrations.registry.values.items():
            entries.append(
                messages.ChangedRegistration(key, known[0], known[1])
            )
        end = self.registrations_watch.position
        return ENCODER.encode(queries_module.RegistrationList(end, entries))


def sent_age(
    known: topic_staleness.TopicStaleness, now: float, between_relays: bool
) -> float:
    """Returns the age of a copy, as it is sent to other nodes."""
    known_at = known.read_at if between_relays else known.known_at
    return round(min(now - known_at, topic_watches.MAX_AGE_SECONDS), 3)

"""The topics of the store that a gateway follows, and how often it reads."""

from collections.abc import Awaitable
from collections.abc import Callable

from gypsumfold import clocks
from gypsumfold.decisions import client_keys
from gypsumfold.decisions import polling
from gypsumfold.decisions import read_timeouts
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import registrations as registrations_module
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import topic_watches
from gypsumfold.gateway.peers import gossip as gossip_module
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module


class Watches:
    """Watches the configuration, the replicas' registrations and the nodes.

    Attributes:
        configuration: Watch of the configuration.
        registrations: Watch of the replicas' registrations.
        nodes: Watch of the gateways' own entries.

    >>> watches = Watches(
    ...     settings, store, store_state, timeouts, configurations,
    ...     registrations, gossip
    ... )
    >>> watches.configuration.failures
    0
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        store: store_module.Store,
        store_state: topic_watches.StoreState,
        timeouts: read_timeouts.ReadTimeouts,
        configurations: configurations_module.Configurations,
        registrations: registrations_module.Registrations,
        gossip: gossip_module.Gossip,
    ):
        self.gossip = gossip
        self.timeouts = timeouts
        # Seconds after which a draining replica must get no work.
        self.leaving_time = settings.replicas.leaving_ms / 1000
        self.configuration = topic_watches.TopicWatch(
            store.reader(timeouts.answer),
            store_state,
            names.CONFIGURATION_TOPIC,
            configurations,
            lambda: 0.0,
            lambda: timeouts.wait,
            self.leaving_time,
        )
        self.registrations = topic_watches.TopicWatch(
            store.reader(timeouts.answer),
            store_state,
            names.REGISTRATIONS_TOPIC,
            registrations,
            self.registrations_pause,
            self.registrations_wait,
            self.leaving_time,
        )
        self.nodes = topic_watches.TopicWatch(
            store.reader(timeouts.answer),
            store_state,
            names.NODES_TOPIC,
            gossip.entries,
            lambda: topic_watches.REREAD_SECONDS,
            lambda: timeouts.wait,
        )
        self.nodes.is_reader = gossip.is_store_reader
        self.nodes.should_read = self.should_read_nodes
        gossip.entries.on_readable = self.nodes.wake.set

    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Returns the tasks to run, by name."""
        return {
            "watch-configuration": self.configuration.run,
            "watch-registrations": self.registrations.run,
            "watch-nodes": self.nodes.run,
        }

    def should_read_nodes(self) -> bool:
        """Whether this node reads the gateways' entries now."""
        if not self.gossip.entries.can_read():
            return False
        return self.gossip.is_store_reader() or not self.nodes.has_read_all

    def registrations_pause(self) -> float:
        """Returns the seconds until the registrations are read again.

        A node that reads for others waits at the store for a change instead,
        unless the last read returned records.
        """
        if not self.gossip.meshed and not self.registrations.has_new_records:
            return 0.0
        return polling.poll_interval(
            self.gossip.store_reader_count(), self.leaving_time
        )

    def registrations_wait(self) -> float:
        """Returns how long a read of the registrations waits, in seconds."""
        longest = registrations_module.MAX_WAIT_SECONDS
        if not self.gossip.meshed:
            longest = min(
                longest,
                registrations_module.READER_WAIT_FRACTION * self.leaving_time,
            )
        return read_timeouts.wait_after(
            self.registrations_pause(), longest, self.timeouts
        )

    def assess_keys(self, behind: bool) -> client_keys.Knowledge:
        """Returns how recent the keys of client accounts are.

        Args:
            behind: Whether another node has reported a newer configuration.
        """
        return client_keys.Knowledge(
            behind,
            self.configuration.failures == 0,
            self.configuration.staleness.age(clocks.now()),
        )

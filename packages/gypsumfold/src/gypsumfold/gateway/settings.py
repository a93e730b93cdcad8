"""Settings of a gateway: one TOML file, checked as a whole."""

import pathlib

from gypsumfold import settings as settings_module
from gypsumfold.decisions import relays

Seconds = settings_module.Seconds

# Megabits a second that relaying for a data centre may take; a node whose link
# has less relays where no other can, so that its power counts little.
MIN_RELAY_LINK_MBPS = 50.0
SMALL_LINK_WEIGHT = 0.002


class NodeSection(settings_module.Section):
    """Who this node is.

    Attributes:
        name: Unique among the nodes.
        data_centre: Where its VM stands.
        first_start: Whether the whole system starts for the first time, so
            that no engine has read a prompt yet.
        core_share: Share of one core that the process may use.
        core_speed: How many times as fast as a plain one that core is.
        link_mbps: Megabits a second of the VM's link.
    """

    name: str
    data_centre: str
    first_start: bool = False
    core_share: float = 1.0
    core_speed: float = 1.0
    link_mbps: float = 1000.0

    @property
    def relay_capacity(self) -> float:
        """What the VM can do for other nodes, in plain cores.

        A relay sends all news of the site to dozens of nodes; a small link is
        full before a small processor is busy.
        """
        power = self.core_share * self.core_speed
        if self.link_mbps < MIN_RELAY_LINK_MBPS:
            return power * SMALL_LINK_WEIGHT
        return power


class CallersSection(settings_module.Section):
    """Where callers and the balancer find the node.

    Attributes:
        front: IP:PORT for callers.
        ready: IP:PORT for the balancer's question whether it is ready.
    """

    front: str
    ready: str


class StoreSection(settings_module.Section):
    """The platform's store.

    Attributes:
        address: IP:PORT.
        shortest_lease_ms: Shortest life of a group's member.
        contact_ms: Time in touch with it after which a node must act on all
            that it says.
    """

    address: str
    shortest_lease_ms: float = 1000.0
    contact_ms: float = 3000.0


class PeersSection(settings_module.Section):
    """Node to node.

    Attributes:
        address: IP:PORT of this node's datagrams and, by TCP, of its peers'
            questions.
        keys: Secrets that all nodes share; the first one seals what is sent,
            and any of them is taken. Without one nothing is sealed.
        mesh: Nodes up to which each one tells all others by itself; more of
            them report to relays.
    """

    address: str
    keys: list[str] = []
    mesh: int = relays.MAX_MESH_NODES


class ReplicasSection(settings_module.Section):
    """The replicas of all services.

    Attributes:
        leaving_ms: Time after which a replica that leaves must get no work.
    """

    leaving_ms: float = 2000.0


class RetriesSection(settings_module.Section):
    """The site's budget of repeats.

    Attributes:
        share: As a share of the requests of a window.
        window_s: Seconds of a window.
        slack: Repeats in a window beyond the share.
    """

    share: float = 0.1
    window_s: Seconds = 10.0
    slack: float = 0.0


class OrdersSection(settings_module.Section):
    """Authority over engines.

    Attributes:
        lease_ms: For how long a holder may give orders unless it renews.
    """

    lease_ms: float = 3000.0


class ShutdownSection(settings_module.Section):
    """The graceful shutdown.

    Attributes:
        grace_s: Seconds until the process is killed.
    """

    grace_s: Seconds = 8.0


class MetricsSection(settings_module.Section):
    """Where counters and latency histograms are served; 0 for nowhere."""

    address: str = ""
    port: int = 0


class Settings(settings_module.Section):
    """All settings of a gateway, passed whole.

    >>> settings = load(pathlib.Path("gateway.toml"))
    >>> settings.node.data_centre
    'north-apron'
    """

    node: NodeSection
    callers: CallersSection
    store: StoreSection
    peers: PeersSection
    replicas: ReplicasSection = ReplicasSection()
    retries: RetriesSection = RetriesSection()
    orders: OrdersSection = OrdersSection()
    shutdown: ShutdownSection = ShutdownSection()
    metrics: MetricsSection = MetricsSection()


def load(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        exceptions.SettingsError: With the key, the reason and the line.
    """
    return settings_module.load(path, Settings)

"""Settings of a gateway: one TOML file, checked as a whole."""

import pathlib
from typing import Annotated

import msgspec

from gypsumfold import settings as settings_module
from gypsumfold.decisions import capacity
from gypsumfold.decisions import client_keys
from gypsumfold.decisions import decode_reserve
from gypsumfold.decisions import metering
from gypsumfold.decisions import relays
from gypsumfold.decisions import second_copies

Seconds = settings_module.Seconds

# Megabits a second that relaying for a data centre may take. A node with a
# smaller link relays only if no other can, so its capacity counts little.
MIN_RELAY_LINK_MBPS = 50.0
SMALL_LINK_WEIGHT = 0.002


class NodeSection(settings_module.Section):
    """The node itself.

    Attributes:
        name: Unique among the nodes.
        data_centre: The data centre of its VM.
        first_start: Whether the entire system starts for the first time, so
            that no engine has cached a prompt yet.
        core_share: Fraction of one core that the process may use.
        core_speed: Speed of that core relative to a reference core.
        link_mbps: Bandwidth of the VM's link in megabits a second.
    """

    name: str
    data_centre: str
    first_start: bool = False
    core_share: float = 1.0
    core_speed: float = 1.0
    link_mbps: float = 1000.0

    @property
    def relay_capacity(self) -> float:
        """The VM's capacity to relay for other nodes, in reference cores.

        A relay sends all updates of the site to dozens of nodes, which
        saturates a small link before it saturates a small processor.
        """
        capacity = self.core_share * self.core_speed
        if self.link_mbps < MIN_RELAY_LINK_MBPS:
            return capacity * SMALL_LINK_WEIGHT
        return capacity


class CallersSection(settings_module.Section):
    """Addresses for callers and the balancer.

    Attributes:
        front: IP:PORT for callers.
        ready: IP:PORT for the balancer's readiness checks.
    """

    front: str
    ready: str


class StoreSection(settings_module.Section):
    """The platform's store.

    Attributes:
        address: IP:PORT.
        shortest_lease_ms: Shortest lease of a member of a group.
        contact_ms: Time of uninterrupted contact after which a node must act
            on all of the store's data.
    """

    address: str
    shortest_lease_ms: float = 1000.0
    contact_ms: float = 3000.0


class PeersSection(settings_module.Section):
    """Messages between nodes.

    Attributes:
        address: IP:PORT of this node's datagrams and, by TCP, of its peers'
            requests.
        keys: Secrets shared by all nodes. Outgoing messages are sealed with
            the first one; incoming ones may use any. Without a key nothing is
            sealed.
        mesh: Largest number of nodes that all send to each other directly;
            if there are more, they report to relays.
    """

    address: str
    keys: list[str] = []
    mesh: int = relays.MAX_MESH_NODES


class AccountsSection(settings_module.Section):
    """Keys of client accounts.

    Attributes:
        strict: Whether a node that may have missed a change of the keys for
            `max_age_ms` refuses all requests that need one; otherwise it
            serves with the keys that it knows.
        max_age_ms: Age of the configuration in milliseconds.
    """

    strict: bool = False
    max_age_ms: float = 5000.0

    @property
    def policy(self) -> client_keys.Policy:
        """How long keys remain valid."""
        return client_keys.Policy(self.strict, self.max_age_ms / 1000)


class ReplicasSection(settings_module.Section):
    """The replicas of all services.

    Attributes:
        leaving_ms: Time after which a draining replica must get no work.
        source: IP from which connections are opened; empty for the system's
            choice.
    """

    leaving_ms: float = 2000.0
    source: str = ""


class RetriesSection(settings_module.Section):
    """The site's retry budget.

    Attributes:
        share: Retries as a fraction of the requests in a window.
        window_s: Length of a window in seconds.
        slack: Retries in a window beyond the fraction.
    """

    share: float = 0.1
    window_s: Seconds = 10.0
    slack: float = 0.0


class CopiesSection(settings_module.Section):
    """Second copies of slow requests.

    Attributes:
        share: Copies as a fraction of the requests of a service in a window,
            over all nodes; 0 for none.
        window_s: Length of a window in seconds.
        prefills: Whether prefills are copied, beside idempotent plain calls.
    """

    share: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0
    window_s: Seconds = 10.0
    prefills: bool = False

    @property
    def policy(self) -> second_copies.Policy:
        """How many copies are sent."""
        return second_copies.Policy(self.share, self.window_s, self.prefills)


class OrdersSection(settings_module.Section):
    """Authority to give orders to engines.

    Attributes:
        lease_ms: How long a holder may give orders without a renewal.
    """

    lease_ms: float = 3000.0


class RolesSection(settings_module.Section):
    """The split of engines between prefill and decode.

    Attributes:
        spare_decoders: Number of decode engines whose loss leaves room for
            the running streams, up to 64; 0 for no reserve. The time of a
            plan grows with it.
        survive_data_centre: Whether the loss of all decode engines in any one
            data centre does.
        refuse_early: Whether a request that waits for a decode engine is
            refused once it is known that none will be back in time.
    """

    spare_decoders: Annotated[int, msgspec.Meta(ge=0, le=64)] = 0
    survive_data_centre: bool = False
    refuse_early: bool = False

    @property
    def policy(self) -> decode_reserve.Policy:
        """What the decode engines of a service survive."""
        return decode_reserve.Policy(
            self.spare_decoders, self.survive_data_centre
        )


class OperationsSection(settings_module.Section):
    """The platform's own API.

    Attributes:
        address: IP:PORT; empty if there is none.
        duties: What one node at a time calls it for.
    """

    address: str = ""
    duties: list[str] = []


class UsageSection(settings_module.Section):
    """Reports of each account's usage.

    Attributes:
        window_s: Seconds of a window.
        due_s: Seconds from a window's end until its report is due.
    """

    window_s: Seconds = 5.0
    due_s: Seconds = 10.0

    @property
    def policy(self) -> metering.Policy:
        """How usage is reported."""
        return metering.Policy(self.window_s, self.due_s)


class PlainCallsSection(settings_module.Section):
    """Load balancing of calls to plain services.

    Attributes:
        shared: Whether replicas are chosen by the open calls of all nodes, and
            calls wait while all replicas are full; otherwise each node counts
            its own calls alone and nothing waits.
        max_waiting: Maximum number of calls that wait for a service at this
            node.
    """

    shared: bool = False
    max_waiting: settings_module.Count = 256


class ScalingSection(settings_module.Section):
    """Orders of replicas that are paid by the second.

    Attributes:
        steady_share: Share of a service's replicas that the platform can't
            reclaim.
        headroom: Number of replicas relative to what the load keeps busy.
        least_share: Share of the replicas present at first that is always
            needed; the reserve comes on top.
        follows_load: Whether the number of engines follows what callers need
            instead of the number present at first.
        period_s: Seconds of which the largest need counts; the number falls by
            at most a quarter in each such period.
    """

    steady_share: float = 0.1
    headroom: float = 1.5
    least_share: float = 1.0
    follows_load: bool = False
    period_s: Seconds = 20.0

    @property
    def policy(self) -> capacity.Policy:
        """How much capacity is kept."""
        return capacity.Policy(
            self.steady_share,
            self.headroom,
            self.least_share,
            self.follows_load,
            self.period_s,
        )


class PrefillSection(settings_module.Section):
    """Engines that prefill slowly at the moment.

    Attributes:
        shared_speed: Whether nodes tell each other which engines are slow, and
            send them fewer prompts.
        moves: Whether a prompt that waits at an engine that is slow or leaving
            may be sent to another one, out of the retry budget.
    """

    shared_speed: bool = False
    moves: bool = False


class ShutdownSection(settings_module.Section):
    """The graceful shutdown.

    Attributes:
        grace_s: Seconds until the process is killed.
    """

    grace_s: Seconds = 8.0


class ProcessSection(settings_module.Section):
    """What the VM allows the process.

    Attributes:
        memory_mb: Memory in megabytes (2**20 bytes).
        descriptors: Open file descriptors; 0 for the system's own limit.
    """

    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 300.0
    descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0


class MetricsSection(settings_module.Section):
    """Where counters and latency histograms are served; port 0: nowhere."""

    address: str = ""
    port: int = 0


class Settings(settings_module.Section):
    """All settings of a gateway.

    >>> settings = load(pathlib.Path("gateway.toml"))
    >>> settings.node.data_centre
    'north-apron'
    """

    node: NodeSection
    callers: CallersSection
    store: StoreSection
    peers: PeersSection
    replicas: ReplicasSection = ReplicasSection()
    accounts: AccountsSection = AccountsSection()
    retries: RetriesSection = RetriesSection()
    copies: CopiesSection = CopiesSection()
    orders: OrdersSection = OrdersSection()
    roles: RolesSection = RolesSection()
    operations: OperationsSection = OperationsSection()
    usage: UsageSection = UsageSection()
    scaling: ScalingSection = ScalingSection()
    prefill: PrefillSection = PrefillSection()
    plain_calls: PlainCallsSection = PlainCallsSection()
    shutdown: ShutdownSection = ShutdownSection()
    process: ProcessSection = ProcessSection()
    metrics: MetricsSection = MetricsSection()


def load(path: pathlib.Path) -> Settings:
    """Loads and checks a settings file.

    Raises:
        exceptions.SettingsError: The file is invalid. The error has the key,
            the reason and the line.
    """
    return settings_module.load(path, Settings)

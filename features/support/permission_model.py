"""Interleavings of a closing with four nodes that dispatch meanwhile.

Any node may be cut off from the log, from the others or from both, answers
come late.
"""

from hypothesis import stateful
from hypothesis import strategies

from gypsumfold import settings as settings_module
from gypsumfold.control import control_state
from gypsumfold.control import permissions
from gypsumfold.control import records
from gypsumfold.logservice import records as platform_records

SETTINGS = settings_module.ControlSection()
SERVICE = "dispatch"
ENGINE = "lm-1"
NODES = 4
RATES = (1.0, 1.02, 0.98, 1.0)
CLOSER = 0
at = strategies.integers(0, NODES - 1)


class Node:
    """One node's view and its questions that are not answered yet."""

    def __init__(self, rate):
        self.rate = rate
        self.now = 0.0
        self.control_state = control_state.ControlState(
            86400.0, lambda: self.now
        )
        self.permissions = permissions.Permissions(SETTINGS, self.control_state)
        self.permissions.nodes = NODES
        self.reads = []
        self.asks = []
        self.majority = None


class Closings(stateful.RuleBasedStateMachine):
    """Rules are single steps of nodes, log and time."""

    def __init__(self):
        super().__init__()
        self.time = 0.0
        self.nodes = [Node(rate) for rate in RATES]
        self.log = []
        state = control_state.ServiceState(SERVICE, 86400.0, 0, True).snapshot()
        self.append(
            records.LeaseChanged(
                SERVICE, "claim", "n", "n", "::1", 1, -1, -1, state
            )
        )
        self.closed_at = None
        self.no_log = self.island = frozenset()
        self.quiet = False
        for number in range(NODES):
            self.read_all(number)

    def append(self, record):
        entry = platform_records.Entry(len(self.log), self.time, (record,))
        self.log.append(entry)

    @stateful.initialize(no_log=strategies.sets(at), island=strategies.sets(at))
    def cut(self, no_log, island):
        """Draws who cannot read the log, and who is cut off together."""
        self.no_log = no_log - {CLOSER}
        self.island = island

    def reaches(self, one, other):
        return (one in self.island) == (other in self.island)

    @stateful.rule(seconds=strategies.sampled_from([0.2, 1.0, 2.5]))
    def pass_time(self, seconds):
        self.time += seconds
        for node in self.nodes:
            node.now = self.time * node.rate

    @stateful.rule(at=at)
    def ask_log(self, at):
        """The log answers now; the answer arrives with the next one."""
        if at in self.no_log:
            return
        node = self.nodes[at]
        node.reads.append((node.now, len(self.log)))

    def log_answers(self, at):
        node = self.nodes[at]
        if not node.reads:
            return
        asked, end = node.reads.pop(0)
        for entry in self.log[node.control_state.through + 1 : end]:
            node.control_state.apply(entry)
        node.permissions.confirmed = max(node.permissions.confirmed, asked)

    @stateful.rule(at=at, other=at)
    def ask_peer(self, at, other):
        """The peer answers now; the answer arrives with the next one."""
        node, peer = self.nodes[at], self.nodes[other]
        if at == other or not self.reaches(at, other):
            return
        closed = dict(peer.permissions.closed_engines())
        node.asks.append((other, node.now, peer.control_state.through, closed))

    def peer_answers(self, at):
        node = self.nodes[at]
        if node.asks:
            other, asked, through, closed = node.asks.pop(0)
            node.permissions.merge(str(other), asked, through, closed)

    @stateful.rule(at=at)
    def read_all(self, at):
        self.ask_log(at)
        while self.nodes[at].reads:
            self.log_answers(at)

    @stateful.rule(at=at, others=strategies.sets(at, min_size=1))
    def ask_peers(self, at, others):
        for other in sorted(others):
            self.ask_peer(at, other)
        while self.nodes[at].asks:
            self.peer_answers(at)

    @stateful.rule()
    def close(self):
        if self.closed_at is None:
            self.closed_at = len(self.log)
            self.append(records.EngineClosed(SERVICE, ENGINE, 0))

    @stateful.rule(reached=strategies.sets(at))
    def acknowledge(self, reached):
        """The one that closes calls the others; some answer."""
        self.read_all(CLOSER)
        node = self.nodes[CLOSER]
        if (
            self.closed_at is None
            or node.control_state.through < self.closed_at
        ):
            return
        asked = node.now
        reached = {o for o in reached if self.reaches(CLOSER, o)} | {CLOSER}
        for other in reached - {CLOSER}:
            self.nodes[other].permissions.record_closing(ENGINE, self.closed_at)
        if 2 * len(reached) > NODES and node.majority is None:
            node.majority = node.now
        since = asked if node.majority is None else node.majority
        if permissions.has_lapsed(len(reached), NODES, asked - since, SETTINGS):
            self.quiet = True

    @stateful.rule()
    def wait_and_acknowledge(self):
        """The one that closes goes on until all permissions have lapsed."""
        everyone = set(range(NODES))
        self.acknowledge(everyone)
        self.pass_time(2.9)
        self.pass_time(2.9)
        self.acknowledge(everyone)

    @stateful.invariant()
    def nobody_dispatches_to_a_quiet_engine(self):
        if not self.quiet:
            return
        for number, node in enumerate(self.nodes):
            assert not node.permissions.allows(ENGINE, node.now), number

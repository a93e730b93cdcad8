"""Tracks which replicas this node can open connections to.

Load pattern: a node that loses its links to all replicas, or to most, while
callers, the store and the other nodes still reach it. To that node each replica
looks failed, and connections that were open before may live on, so bytes on
them don't show that a new request would arrive. Without this the node blames
one replica after the other and refuses its callers, whom the other nodes could
serve.
"""

import collections
import math

# Fraction of a service's replicas below which other nodes serve it better.
MIN_REACHABLE_FRACTION = 0.5
# Number of replicas lost within some seconds after which a witness, another
# replica, is asked. If it does not answer either, all are probed.
DOUBT_THRESHOLD = 2
DOUBT_WINDOW_SECONDS = 3.0
# Minimum seconds between two witnesses: hundreds of nodes ask when several
# replicas crash at once, each over a new connection.
WITNESS_INTERVAL_SECONDS = 0.5
# Minimum seconds between two probes of all replicas.
SWEEP_INTERVAL_SECONDS = 3.0


class Reachability:
    """Remembers the replicas to which new connections fail.

    Attributes:
        unreachable: Instances whose last new connection failed.

    >>> reachability = Reachability()
    >>> reachability.lost("engine-1", now=0.0)
    >>> reachability.unreachable
    {'engine-1'}
    """

    def __init__(self):
        self.unreachable: set[str] = set()
        self.lost_at: collections.deque[float] = collections.deque()
        self.asked_at = -math.inf
        self.swept_at = -math.inf
        self.sweep_due = False

    def lost(self, instance: str, now: float) -> None:
        """Records that a new connection failed."""
        if instance in self.unreachable:
            return
        self.unreachable.add(instance)
        self.lost_at.append(now)

    def reached(self, instance: str) -> None:
        """Records that a replica answered on a new connection."""
        self.unreachable.discard(instance)

    def count_lost(self, now: float) -> int:
        """Counts the replicas that were lost a moment ago."""
        while self.lost_at and now - self.lost_at[0] > DOUBT_WINDOW_SECONDS:
            self.lost_at.popleft()
        return len(self.lost_at)

    def needs_witness(self, now: float) -> bool:
        """Whether to ask a witness, as several replicas were lost at once."""
        if self.count_lost(now) < DOUBT_THRESHOLD:
            return False
        if now - self.asked_at < WITNESS_INTERVAL_SECONDS:
            return False
        self.asked_at = now
        return True

    def take_sweep(self, now: float) -> bool:
        """Whether to probe all replicas now, as a witness did not answer."""
        if not self.sweep_due or now - self.swept_at < SWEEP_INTERVAL_SECONDS:
            return False
        self.sweep_due = False
        self.swept_at = now
        return True


def is_cut_off(counts: list[tuple[int, int]]) -> bool:
    """Whether other nodes are likely to serve a service better.

    Args:
        counts: For each role of its replicas, how many of them this node can
            use, and how many there are.
    """
    usable = 0
    known = 0
    for usable_in_role, known_in_role in counts:
        if known_in_role and not usable_in_role:
            return True
        usable += usable_in_role
        known += known_in_role
    return usable < MIN_REACHABLE_FRACTION * known

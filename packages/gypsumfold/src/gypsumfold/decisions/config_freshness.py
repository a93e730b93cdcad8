"""Decides whether a node's configuration is recent enough to serve.

Load pattern: none; this handles failures. Without it a node that starts while
the log is down, or that is cut off, would serve with a configuration that other
nodes have already replaced.
"""

from typing import NamedTuple

# Seconds without an answer from the log or from any peer until a node counts as
# cut off. A read of the log waits up to 1 s for a record and 2 s for an answer,
# so one slow answer alone doesn't exceed it.
CUT_OFF_SECONDS = 4.0

# Seconds after the first peer was seen until peers alone may confirm the
# configuration of a starting node: three default heartbeats, in which the other
# peers are seen too.
SETTLE_SECONDS = 1.5

# Seconds that a node may be behind a peer. A pull takes a fraction of a second;
# the requirement is "within seconds".
MAX_BEHIND_SECONDS = 3.0


class PeerView(NamedTuple):
    """What a peer reports of its configuration.

    Attributes:
        revision: Revision of the last change in force there; -1 if there is
            none or the peer doesn't know yet.
        last_seen: When the last question that it answered was sent.
    """

    revision: int
    last_seen: float


class View(NamedTuple):
    """What a node knows at one moment.

    Attributes:
        revision: Revision of the last change in force here.
        log_read: Whether the node has everything up to the log's end, as last
            read.
        log_last_seen: When the last question that the log answered was sent;
            None if it never answered.
        peers: All peers ever seen.
    """

    revision: int
    log_read: bool
    log_last_seen: float | None
    peers: tuple[PeerView, ...]


class ConfigFreshness:
    """Tracks what a node knows and whether that is recent enough to serve.

    >>> freshness = ConfigFreshness()
    >>> freshness.update(view, now=10.0)
    True

    Attributes:
        fresh: The last decision.
        settled: Whether the node was ever fresh; only then may it confirm its
            configuration to peers.
    """

    def __init__(self):
        self.fresh = False
        self.settled = False
        self.peers_seen_since: float | None = None
        self.up_to_date_at = 0.0
        self.confirmed_at = 0.0

    def update(self, view: View, now: float) -> bool:
        """Updates the decision.

        Args:
            view: What is known now.
            now: Seconds of a monotonic clock.

        Returns:
            Whether the node's configuration is recent enough to serve.
        """
        recent_peers = [
            p for p in view.peers if now - p.last_seen <= CUT_OFF_SECONDS
        ]
        log_up = (
            view.log_last_seen is not None
            and now - view.log_last_seen <= CUT_OFF_SECONDS
        )
        if not recent_peers:
            self.peers_seen_since = None
        elif self.peers_seen_since is None:
            self.peers_seen_since = now
        highest = max((p.revision for p in recent_peers), default=-1)
        up_to_date = view.revision >= highest and (view.log_read or not log_up)
        if up_to_date:
            self.up_to_date_at = now
        if self.fresh:
            self.fresh = self.remains_fresh(view, recent_peers, log_up, now)
        elif up_to_date and self.has_source(view, recent_peers, log_up, now):
            self.fresh = True
            self.settled = True
            self.confirmed_at = now
        return self.fresh

    def has_source(
        self, view: View, recent_peers: list[PeerView], log_up: bool, now: float
    ) -> bool:
        """Whether the log or settled peers can confirm the configuration."""
        if log_up and view.log_read:
            return True
        if not any(peer.revision >= 0 for peer in recent_peers):
            return False
        return now - self.peers_seen_since >= SETTLE_SECONDS

    def remains_fresh(
        self, view: View, recent_peers: list[PeerView], log_up: bool, now: float
    ) -> bool:
        """Whether a fresh node still learns of every change."""
        # A peer with an older revision can't report changes made meanwhile; it
        # has the settling time to pull what this node knows.
        if log_up or any(p.revision >= view.revision for p in recent_peers):
            self.confirmed_at = now
        if now - self.up_to_date_at > MAX_BEHIND_SECONDS:
            return False
        return now - self.confirmed_at <= SETTLE_SECONDS

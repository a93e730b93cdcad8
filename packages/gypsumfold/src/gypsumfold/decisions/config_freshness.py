"""Whether a node knows the configuration well enough to serve.

Load pattern: none; this answers failures. Without it a node that starts
while the log is down, or that is cut off, would serve by a configuration
that others have already left behind.
"""

from typing import NamedTuple

# Seconds without the log and without any peer until a node counts as cut
# off. The tail waits up to 1 s for a record and 2 s for an answer, so one
# slow answer alone does not reach it.
CUT_OFF_SECONDS = 4.0

# Seconds after the first peer was heard until peers alone may vouch for the
# configuration of a starting node: time for the others to be heard, too, at
# three of the default heartbeats.
SETTLE_SECONDS = 1.5

# Seconds that a node may be behind a peer. A pull takes a fraction of one;
# the users ask for "within seconds".
MAX_BEHIND_SECONDS = 3.0


class PeerView(NamedTuple):
    """What a peer says of its configuration.

    Attributes:
        revision: Of the last change that it has in force; -1 if it has
            none, or does not yet know.
        heard: When the question was sent that it answered last.
    """

    revision: int
    last_seen: float


class View(NamedTuple):
    """What a node knows at one moment.

    Attributes:
        revision: Of the last change that it has in force.
        log_read: Whether it has everything up to the log's end as it was
            last read.
        log_heard: When the question was sent that the log answered last;
            None for never.
        peers: All peers that were ever heard.
    """

    revision: int
    log_read: bool
    log_last_seen: float | None
    peers: tuple[PeerView, ...]


class ConfigFreshness:
    """Follows what a node knows and says whether that is enough.

    >>> freshness = Freshness()
    >>> freshness.update(view, now=10.0)
    True

    Attributes:
        fresh: The last answer.
        settled: Whether the answer was ever yes; only then may the node
            vouch for its configuration to peers.
    """

    def __init__(self):
        self.fresh = False
        self.settled = False
        self.peers_seen_since: float | None = None
        self.up_to_date_at = 0.0
        self.confirmed_at = 0.0

    def update(self, view: View, now: float) -> bool:
        """Takes a look and decides.

        Args:
            view: What is known now.
            now: Seconds of a monotonic clock.

        Returns:
            Whether the node knows the configuration well enough.
        """
        heard = [p for p in view.peers if now - p.last_seen <= CUT_OFF_SECONDS]
        log_up = (
            view.log_last_seen is not None
            and now - view.log_last_seen <= CUT_OFF_SECONDS
        )
        if not heard:
            self.peers_seen_since = None
        elif self.peers_seen_since is None:
            self.peers_seen_since = now
        highest = max((p.revision for p in heard), default=-1)
        level = view.revision >= highest and (view.log_read or not log_up)
        if level:
            self.up_to_date_at = now
        if self.fresh:
            self.fresh = self.stays_fresh(view, heard, log_up, now)
        elif level and self.has_source(view, heard, log_up, now):
            self.fresh = True
            self.settled = True
            self.confirmed_at = now
        return self.fresh

    def has_source(
        self, view: View, heard: list[PeerView], log_up: bool, now: float
    ) -> bool:
        """Whether a node that was not fresh hears from someone who knows."""
        if log_up and view.log_read:
            return True
        if not any(peer.revision >= 0 for peer in heard):
            return False
        return now - self.peers_seen_since >= SETTLE_SECONDS

    def stays_fresh(
        self, view: View, heard: list[PeerView], log_up: bool, now: float
    ) -> bool:
        """Whether a running node still hears of every change."""
        # A peer that knows less cannot tell of changes made meanwhile; it
        # has the settling time to pull what this node knows.
        if log_up or any(p.revision >= view.revision for p in heard):
            self.confirmed_at = now
        if now - self.up_to_date_at > MAX_BEHIND_SECONDS:
            return False
        return now - self.confirmed_at <= SETTLE_SECONDS

"""Tracks contact with the store and how long missing entries are kept.

Load pattern: a store that fails for seconds loses the entries of running
replicas and has them back within two seconds of its return. A node that was
itself cut off from a working store also finds entries missing, but then the
replicas have left, and requests to them end with them. The node can't
distinguish the two cases by its own calls. So it keeps a missing replica only
while no other node was in contact with the store, and never beyond the moment
at which it must act on all that the store says.
"""

import math

# Seconds for which a replica is kept whose entry is missing after the store
# failed: running ones are back within two seconds of its return.
GRACE_SECONDS = 2.0
# Seconds before the node must act at which the grace ends: requests that were
# just sent arrive meanwhile.
MARGIN_SECONDS = 0.2
# Seconds for which another node's confirmation of contact counts; it is sent at
# least once a second. An entry expires three heartbeats after the store fails,
# when the last confirmation from before the failure has long expired.
CONFIRMATION_SECONDS = 1.2
# Seconds for which a relay forwards such a confirmation; it receives messages
# from other nodes ten times a second.
FORWARD_SECONDS = 0.5


class Contact:
    """One node's contact with the store.

    Attributes:
        bound: Seconds of contact after which the node must act on all that
            the store has said.
        connected_since: When the first call of this contact was answered;
            None while there is no contact.
        lost_at: When contact was lost; None while it lasts.
        unanswered_at: When the last call without an answer was made, or the
            node was started: it had no contact then.
        confirmed_at: When another node last confirmed that the store is up.
        directly_confirmed_at: When a node that calls the store itself last
            did so.

    >>> contact = Contact(bound=3.0, now=0.0)
    >>> contact.answered(now=0.1)
    >>> contact.failed(asked=9.0, now=9.8)
    True
    >>> contact.answered(now=20.0)
    >>> contact.grace(now=20.5)
    1.5
    """

    def __init__(self, bound: float, now: float):
        self.bound = bound
        self.connected_since: float | None = None
        self.lost_at: float | None = None
        self.unanswered_at = now
        self.confirmed_at = -math.inf
        self.directly_confirmed_at = -math.inf

    def failed(self, asked: float, now: float) -> bool:
        """Records a failed call.

        A call made before this contact began that fails only now is no new
        loss: counted as one, it would restart the grace period.

        Args:
            asked: When the call was made.
            now: The time.

        Returns:
            Whether contact is lost because of it.
        """
        self.unanswered_at = max(self.unanswered_at, asked)
        if self.connected_since is not None and asked < self.connected_since:
            return False
        self.connected_since = None
        if self.lost_at is not None:
            return False
        self.lost_at = now
        return True

    def answered(self, now: float) -> float | None:
        """Records an answered call.

        Returns:
            Seconds for which contact was lost; None if it wasn't.
        """
        if self.connected_since is not None:
            return None
        self.connected_since = now
        if self.lost_at is None:
            return None
        seconds = now - self.lost_at
        self.lost_at = None
        return seconds

    def restart(self, now: float) -> None:
        """Records that entries may be missing in the store for a while.

        It has returned from an older copy, and what replicas wrote since then
        is written again. What other nodes have confirmed concerns the log
        before.
        """
        self.unanswered_at = now
        self.confirmed_at = -math.inf
        self.directly_confirmed_at = -math.inf
        if self.connected_since is not None:
            self.connected_since = now

    def confirm(self, direct: bool, now: float) -> None:
        """Records that another node had uninterrupted contact with the store.

        Args:
            direct: Whether it knows that from its own calls.
            now: The time.
        """
        self.confirmed_at = now
        if direct:
            self.directly_confirmed_at = now

    def shared_grace(self, may_forward: bool, now: float) -> float:
        """Returns the grace to send to other nodes.

        Two nodes that only confirm each other would know nothing of the store.
        So the confirmation of a node that calls it is forwarded only once.

        Args:
            may_forward: Whether the receivers might forward it.
            now: The time.

        Returns:
            Seconds for which a missing entry is kept.
        """
        if (
            not may_forward
            and now - self.directly_confirmed_at < FORWARD_SECONDS
        ):
            return 0.0
        return self.own_grace(now)

    def own_grace(self, now: float) -> float:
        """Returns the grace in seconds, by this node's own calls alone."""
        if self.connected_since is None:
            return GRACE_SECONDS
        until = min(
            self.connected_since + GRACE_SECONDS,
            self.unanswered_at + self.bound - MARGIN_SECONDS,
        )
        return max(0.0, until - now)

    def grace(self, now: float) -> float:
        """Returns the seconds for which a missing entry is kept."""
        if now - self.confirmed_at < CONFIRMATION_SECONDS:
            return 0.0
        if self.connected_since is None and self.lost_at is None:
            # Nothing is known before the first contact.
            return 0.0
        return self.own_grace(now)

"""Whether a node is in touch with the store, and what a gap there means.

Load pattern: a store that is away for seconds loses the entries of replicas
that live, and has them back within two seconds of its return. A node that was
itself cut off from a store that worked finds gaps as well; there they mean
that replicas have left, and requests to those end with them. The node cannot
tell the two apart by its own calls. So it believes in a missing replica only
while nobody else was in touch, and never beyond the moment at which it must
act on all that the store says.
"""

import math

# Seconds for which a replica is believed in whose entry is missing after the
# store was away: living ones are back within two seconds of its return.
GRACE_SECONDS = 2.0
# Seconds before the node must act at which it believes no more: requests that
# were just sent arrive meanwhile.
MARGIN_SECONDS = 0.2
# Seconds for which the word of another node counts that is in touch; it comes
# once a second at the least. An entry lapses three heartbeats after the store
# went away, when the last word of before has long been void.
CONFIRMATION_SECONDS = 1.2
# Seconds for which such a word is passed on by a relay, which hears others ten
# times a second.
FORWARD_SECONDS = 0.5


class Contact:
    """One node's contact with the store.

    Attributes:
        bound: Seconds of contact after which the node must act on all that
            the store has said.
        since: When the first call of this contact was answered; none while
            there is no contact.
        lost_at: When contact was lost; none while it lasts.
        missed: When the last call was made that had no answer, or the node
            was started: it was not in touch then.
        vouched: When another node said last that the store is there.
        witnessed: When one said so last that had called it itself.

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
        """Notes a call that failed.

        One that was made before this contact began, and ends only now, says
        nothing new: taken for another loss it would start the grace again.

        Args:
            asked: When the call was made.
            now: The time.

        Returns:
            Whether contact is lost by it.
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
        """Notes a call that was answered.

        Returns:
            Seconds for which contact was lost; none where it was not.
        """
        if self.connected_since is not None:
            return None
        self.connected_since = now
        if self.lost_at is None:
            return None
        seconds = now - self.lost_at
        self.lost_at = None
        return seconds

    def confirm(self, direct: bool, now: float) -> None:
        """Notes that another node says that the store was there all along.

        Args:
            direct: Whether it knows that by its own calls.
            now: The time.
        """
        self.confirmed_at = now
        if direct:
            self.directly_confirmed_at = now

    def shared_grace(self, may_forward: bool, now: float) -> float:
        """Seconds for which a missing entry is believed, as sent to others.

        Two nodes that vouch for each other would know nothing of the store.
        So the word of one that calls it is passed on once.

        Args:
            may_forward: Whether it is sent to those who might pass it on.
            now: The time.
        """
        if (
            not may_forward
            and now - self.directly_confirmed_at < FORWARD_SECONDS
        ):
            return 0.0
        return self.own_grace(now)

    def own_grace(self, now: float) -> float:
        """Seconds for which a missing entry is believed, by own calls alone."""
        if self.connected_since is None:
            return GRACE_SECONDS
        until = min(
            self.connected_since + GRACE_SECONDS,
            self.unanswered_at + self.bound - MARGIN_SECONDS,
        )
        return max(0.0, until - now)

    def grace(self, now: float) -> float:
        """Seconds for which a missing entry is believed."""
        if now - self.confirmed_at < CONFIRMATION_SECONDS:
            return 0.0
        if self.connected_since is None and self.lost_at is None:
            # Nothing was known before the first contact.
            return 0.0
        return self.own_grace(now)

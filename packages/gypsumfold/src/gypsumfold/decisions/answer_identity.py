"""Decides whether an answer on a connection belongs to the request just sent.

A replica may answer a request twice, the second time where the answer to the
next request on the connection is due. An answer bears the id of its attempt, so
that an id identifies nothing on a connection on which it was sent before.
"""

from typing import NamedTuple

# Attempts after which a connection is not used again: it remembers them all.
MAX_ATTEMPTS = 512


class Identity(NamedTuple):
    """What identifies the answer to a request.

    Attributes:
        attempt: Id of the attempt, which the answer bears too; empty for a call
            of the node's own, whose answer bears none.
        call: The kind of such a call; empty for a caller's request.
        is_repeatable: Whether the answer to an earlier call of this kind may be
            taken for this one's.
    """

    attempt: str = ""
    call: str = ""
    is_repeatable: bool = False


# A request whose answer can't be told from that to any call of the node's own.
ANONYMOUS = Identity()


class SentRequests:
    """The requests that were sent on one connection.

    Attributes:
        count: How many.
        attempts: Ids of the attempts among them.
        calls: Kinds of the node's own calls among them.
        may_continue: Whether the connection may be used once more.

    >>> sent = SentRequests()
    >>> sent.record(Identity(attempt="9c41d07be2a35f68"))
    >>> sent.can_identify(Identity(attempt="9c41d07be2a35f68"))
    False
    """

    def __init__(self):
        self.count = 0
        self.attempts: set[str] = set()
        self.calls: set[str] = set()
        self.may_continue = True

    def can_identify(self, identity: Identity) -> bool:
        """Whether an answer can be told from late ones to earlier requests."""
        if identity.attempt:
            return identity.attempt not in self.attempts
        if identity.is_repeatable:
            return self.calls <= {identity.call}
        return not self.calls

    def record(self, identity: Identity) -> None:
        """Records that a request is sent."""
        self.count += 1
        if not identity.attempt:
            self.calls.add(identity.call)
            return
        self.attempts.add(identity.attempt)
        if len(self.attempts) >= MAX_ATTEMPTS:
            self.may_continue = False

    def find_mismatch(
        self, identity: Identity, attempt: str, not_run: bool = False
    ) -> str:
        """Compares an answer with the request that was sent last.

        Args:
            identity: What identifies the answer to that request.
            attempt: The attempt's id that the answer bears; empty for none.
            not_run: Whether it says that the request has not run, which no
                answer to a call of the node's own does.

        Returns:
            Why it is, or may be, the answer to another request; empty if it is
            the right one.
        """
        if attempt == identity.attempt:
            return ""
        if attempt:
            return "an answer to another request came"
        if self.calls and not not_run:
            return "an answer without an id came that may be to another call"
        # A second answer like it couldn't be told from the next one.
        self.may_continue = False
        return ""

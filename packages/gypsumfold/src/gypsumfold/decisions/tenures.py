"""Decides when a node that was assigned the authority may act.

Two nodes may be told at once that they hold it: the store divides it anew
without asking, and a holder learns of that with its next renewal, or not at all
while it is frozen or cut off. Engines and the platform need not compare tokens.
So a node acts only once the tenure before its own is over, which its holder
says, or which follows from time: what it was last permitted to do has ended
within a lease, whether it runs or not.
"""

from typing import NamedTuple

import msgspec

from gypsumfold.decisions import eras


class Tenure(msgspec.Struct, frozen=True):
    """The time for which one node may act.

    Attributes:
        member: The node's incarnation.
        address: Its address, which a later incarnation takes over.
        token: Fencing token of all that it does.
        ended: Whether the node has ended it: nothing of it is under way.
    """

    member: str
    address: str
    token: int
    ended: bool = False


# Stands for a record that can't be read.
UNKNOWN = Tenure("", "", 0)


class Claim(NamedTuple):
    """When a node may begin its tenure, and why then.

    Attributes:
        at: The time; not in the future if it may begin now.
        reason: How the tenure before has ended, for the log.
        is_proven: Whether its holder is known not to act any more; otherwise
            that follows from the time alone.
    """

    at: float
    reason: str
    is_proven: bool


class Candidate(NamedTuple):
    """A node that was assigned the authority and doesn't act yet.

    Attributes:
        member: Its incarnation.
        assigned_at: When it has learned of it. Since then all its renewals
            were answered in the same generation of the group: in another one,
            the authority may have been elsewhere in between.
        acted_at: When it last acted, in an earlier tenure.
        generation: The group's generation, as a token.
        is_first: Whether the whole system starts for the first time.
    """

    member: str
    assigned_at: float
    acted_at: float
    generation: int
    is_first: bool = False


def next_token(generation: int, last: Tenure | None) -> int:
    """Returns a token above those of all tenures so far.

    The generation alone is not enough: a group that loses all its members may
    begin anew, and a division need not change it.
    """
    return generation if last is None else max(generation, last.token + 1)


def claim(
    candidate: Candidate,
    last: Tenure | None,
    proof: str,
    lease: float,
) -> Claim:
    """Decides when a node may begin its tenure.

    Args:
        candidate: The node.
        last: The last tenure in the store; None if there was none.
        proof: What else than its record proves that the last tenure is over;
            empty if nothing does.
        lease: Seconds of a lease.
    """
    over = candidate.assigned_at + lease
    if last is None:
        if candidate.is_first:
            return Claim(candidate.assigned_at, "first", True)
        return Claim(over, "unknown", False)
    if is_of_earlier_era(last.token, candidate.generation):
        # Later tenures may be missing in the copy.
        return Claim(over, "earlier era", False)
    if last.member == candidate.member:
        return Claim(candidate.assigned_at, "own", True)
    # Another node may have acted since this one did.
    turn = candidate.acted_at + lease
    if last.ended:
        return Claim(max(candidate.assigned_at, turn), "ended", True)
    if proof:
        return Claim(max(candidate.assigned_at, turn), proof, True)
    return Claim(max(over, turn), "silent", False)


def is_of_earlier_era(token: int, than: int) -> bool:
    """Whether a token was given out in an earlier era of the store."""
    return token >> eras.GENERATION_BITS < than >> eras.GENERATION_BITS

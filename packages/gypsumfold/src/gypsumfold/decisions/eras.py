"""Orders positions in the store's log over the store's eras.

In a drill the store returns from a copy that is some seconds old. Offsets go
back then and are given out again, as do the generations of groups, so neither
means anything without the era in which the store gave it out. A position is one
number that holds both; positions of a later era are greater than all earlier
ones, wherever they are compared, kept or sent.
"""

from collections.abc import Callable

from gypsumfold import events

# Bits of a position for the offset. Positions have 62 bits in messages between
# nodes, which leaves 18 for the era.
OFFSET_BITS = 44
MAX_ERA = (1 << 18) - 1
# Bits of a fencing token for the generation of a group; engines may keep tokens
# in 32 bits.
GENERATION_BITS = 24


def position(era: int, offset: int) -> int:
    """Returns the position of an offset in an era."""
    return (era << OFFSET_BITS) | offset


def era_of(found: int) -> int:
    """Returns the era of a position."""
    return found >> OFFSET_BITS


def offset_of(found: int) -> int:
    """Returns the offset of a position in its era."""
    return found & ((1 << OFFSET_BITS) - 1)


def token(era: int, generation: int) -> int:
    """Returns the fencing token of a group's generation in an era."""
    return (era << GENERATION_BITS) + generation


def generation_of(found: int, era: int) -> int:
    """Returns the generation of a token; 0 if that is of another era."""
    generation = found - (era << GENERATION_BITS)
    return generation if 0 <= generation < 1 << GENERATION_BITS else 0


class Eras:
    """The store's newest era that this node has seen.

    Attributes:
        current: The era; 0 before the first answer that names one.
        is_known: Whether an answer has named one.
        listeners: Called after the store has returned from a copy.

    >>> eras = Eras()
    >>> eras.observe(3), eras.observe(2), eras.observe(None)
    (3, None, 3)
    """

    def __init__(self):
        self.current = 0
        self.is_known = False
        self.listeners: list[Callable[[], None]] = []

    def observe(self, era: int | None) -> int | None:
        """Records the era that an answer of the store names.

        Args:
            era: The era; None if the answer names none that can be read.

        Returns:
            The era of the answer; None if it is an earlier one, of which
            nothing may be used any more.
        """
        if era is None:
            return self.current
        if era < self.current:
            return None
        has_returned = self.is_known and era > self.current
        before = self.current
        self.current = era
        self.is_known = True
        if has_returned:
            events.log(events.STORE_RETURNED, era=era, before=before)
            for listener in self.listeners:
                listener()
        return era

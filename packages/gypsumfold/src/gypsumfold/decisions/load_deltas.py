"""Sums of many nodes' work, told as what changed since the last time.

Load pattern: a hundred engines of which a few get or lose work in each tenth
of a second, and hundreds of nodes that are told. Whole sums would fill two
packets each time; what changed fills half a packet. A lost one is made good
within a second, since all amounts are told again by turns.
"""

import xxhash

# Amounts are told in thousandths.
SCALE = 1000
# Messages within which each amount is told again.
RESEND_ROUNDS = 10
# Seconds after which an amount that was not told again no longer counts; with
# a message each tenth of a second two of its turns were lost.
EXPIRY_SECONDS = 2.5


class DeltaEncoder:
    """Says which amounts are to be told.

    >>> teller = Teller()
    >>> teller.changed({"engine-1": 0.5})
    {'engine-1': 500}
    >>> teller.changed({})
    {'engine-1': 0}
    """

    def __init__(self):
        self.sent: dict[str, int] = {}
        self.resend: set[str] = set()
        self.round_number = 0

    def encode(self, amounts: dict[str, float]) -> dict[str, int]:
        """What is new in the last two times, and a part of the rest."""
        self.round_number = (self.round_number + 1) % RESEND_ROUNDS
        rounded = {}
        for key, amount in amounts.items():
            value = round(amount * SCALE)
            if value > 0:
                rounded[key] = value
        changed = set()
        for key in rounded.keys() | self.sent.keys():
            if rounded.get(key) != self.sent.get(key):
                changed.add(key)
        found = {}
        for key in changed | self.resend:
            found[key] = rounded.get(key, 0)
        for key, value in rounded.items():
            if self.is_due(key):
                found[key] = value
        self.sent = rounded
        self.resend = changed
        return found

    def is_due(self, key: str) -> bool:
        """Whether it is an amount's turn to be told again."""
        return (
            xxhash.xxh3_64_intdigest(key.encode()) % RESEND_ROUNDS
            == self.round_number
        )


class DeltaDecoder:
    """Keeps the amounts that one teller has told.

    >>> listener = Listener()
    >>> listener.hear({"engine-1": 500}, now=0.0)
    >>> listener.amounts(now=0.1)
    {'engine-1': 0.5}
    """

    def __init__(self):
        self.received: dict[str, tuple[float, float]] = {}

    def receive(self, changed: dict[str, int], now: float) -> None:
        """Takes in what a teller told."""
        for key, value in changed.items():
            if value:
                self.received[key] = (value / SCALE, now)
            else:
                self.received.pop(key, None)

    def amounts(self, now: float) -> dict[str, float]:
        """The amounts that still count."""
        found = {}
        for key, (amount, told) in list(self.received.items()):
            if now - told > EXPIRY_SECONDS:
                del self.received[key]
                continue
            found[key] = amount
        return found


def subtract(
    amounts: dict[str, float], own: dict[str, float]
) -> dict[str, float]:
    """What is left of sums without a node's own part of them."""
    found = {}
    for key, amount in amounts.items():
        left = amount - own.get(key, 0.0)
        if left > 1 / SCALE:
            found[key] = left
    return found

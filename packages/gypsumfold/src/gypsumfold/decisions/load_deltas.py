"""Encodes load totals as changes since the last message.

Load pattern: a hundred engines, a few of which get or lose work in each tenth
of a second, and hundreds of nodes that receive the totals. Complete totals
would fill two packets each time; the changes fill half a packet. A lost packet
is recovered within a second, since all amounts are resent in rounds.
"""

import xxhash

# Amounts are sent in thousandths.
SCALE = 1000
# Number of messages within which each amount is resent.
RESEND_ROUNDS = 10
# Seconds after which an amount that wasn't resent expires; with a message each
# tenth of a second two of its resends were lost.
EXPIRY_SECONDS = 2.5


class DeltaEncoder:
    """Selects the amounts to send in each message.

    >>> encoder = DeltaEncoder()
    >>> encoder.encode({"engine-1": 0.5})
    {'engine-1': 500}
    >>> encoder.encode({})
    {'engine-1': 0}
    """

    def __init__(self):
        self.sent: dict[str, int] = {}
        self.resend: set[str] = set()
        self.round_number = 0

    def encode(self, amounts: dict[str, float]) -> dict[str, int]:
        """Returns amounts changed in the last two calls and some others."""
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
        """Whether an amount is resent in this round."""
        return (
            xxhash.xxh3_64_intdigest(key.encode()) % RESEND_ROUNDS
            == self.round_number
        )


class DeltaDecoder:
    """Keeps the amounts that one encoder has sent.

    >>> decoder = DeltaDecoder()
    >>> decoder.receive({"engine-1": 500}, now=0.0)
    >>> decoder.amounts(now=0.1)
    {'engine-1': 0.5}
    """

    def __init__(self):
        self.received: dict[str, tuple[float, float]] = {}

    def receive(self, changed: dict[str, int], now: float) -> None:
        """Applies the changes of a message."""
        for key, value in changed.items():
            if value:
                self.received[key] = (value / SCALE, now)
            else:
                self.received.pop(key, None)

    def amounts(self, now: float) -> dict[str, float]:
        """Returns the amounts that haven't expired."""
        found = {}
        for key, (amount, received_at) in list(self.received.items()):
            if now - received_at > EXPIRY_SECONDS:
                del self.received[key]
                continue
            found[key] = amount
        return found


def subtract(
    amounts: dict[str, float], own: dict[str, float]
) -> dict[str, float]:
    """Subtracts a node's own amounts from totals."""
    found = {}
    for key, amount in amounts.items():
        left = amount - own.get(key, 0.0)
        if left > 1 / SCALE:
            found[key] = left
    return found

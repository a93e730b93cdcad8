"""How much of a VM's link nodes use for what they tell each other.

Load pattern: one node passes news of dozens on to dozens, over a link of
10 Mbit/s that its requests use too. The news grow with the requests and with
what goes wrong, so that they are most when the link is needed most; a request
that waits behind them reaches its replica after its caller has left.
"""

# Shares of the link for news of requests that may crash replicas, and for
# sums and hints; requests and answers have the rest.
CRASHES_SHARE = 0.1
SUMMARIES_SHARE = 0.4
# Seconds of its rate that a bucket holds.
BURST_SECONDS = 0.2
# Bits of a byte, and of a megabit.
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6


class Bandwidth:
    """A token bucket in bytes.

    >>> bandwidth = Bandwidth(link_mbps=10.0, share=0.1)
    >>> bandwidth.spend(20_000, now=0.0)
    >>> bandwidth.left(now=0.1)
    17500.0
    """

    def __init__(self, link_mbps: float, share: float):
        self.rate = link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE * share
        self.tokens = self.rate * BURST_SECONDS
        self.filled_at: float | None = None

    def available(self, now: float) -> float:
        """Bytes that may be sent now; below zero while there is a debt."""
        if self.filled_at is not None:
            self.tokens += (now - self.filled_at) * self.rate
        self.filled_at = now
        self.tokens = min(self.tokens, self.rate * BURST_SECONDS)
        return self.tokens

    def spend(self, size: int, now: float) -> None:
        """Takes bytes out that were sent; what must be sent makes a debt."""
        self.available(now)
        self.tokens -= size

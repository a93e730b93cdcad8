"""Limits the share of a VM's link that messages between nodes use.

Load pattern: one node forwards updates from dozens of nodes to dozens, over a
link of 10 Mbit/s that its requests use too. Updates grow with the requests and
with failures, so they are most frequent when the link is needed most. A
request that queues behind them reaches its replica after its caller has left.
"""

# Shares of the link for updates on requests that may crash replicas, for the
# origins of streams, and for load totals and hints; requests and answers have
# the rest.
CRASHES_SHARE = 0.1
ORIGINS_SHARE = 0.05
SUMMARIES_SHARE = 0.4
# Size of the bucket, in seconds at its fill rate.
BURST_SECONDS = 0.2
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6


class Bandwidth:
    """A token bucket in bytes.

    >>> bandwidth = Bandwidth(link_mbps=10.0, share=0.1)
    >>> bandwidth.spend(20_000, now=0.0)
    >>> bandwidth.available(now=0.1)
    17500.0
    """

    def __init__(self, link_mbps: float, share: float):
        self.rate = link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE * share
        self.tokens = self.rate * BURST_SECONDS
        self.filled_at: float | None = None

    def available(self, now: float) -> float:
        """Returns the bytes that may be sent now; negative while overdrawn."""
        if self.filled_at is not None:
            self.tokens += (now - self.filled_at) * self.rate
        self.filled_at = now
        self.tokens = min(self.tokens, self.rate * BURST_SECONDS)
        return self.tokens

    def spend(self, size: int, now: float) -> None:
        """Deducts sent bytes.

        Messages that can't wait are sent anyway and overdraw the bucket.
        """
        self.available(now)
        self.tokens -= size

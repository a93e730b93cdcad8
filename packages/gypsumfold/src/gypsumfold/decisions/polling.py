"""Sets how often nodes read topics that change all the time.

Load pattern: replicas that each write about once a second, so that every read
returns something, and a store that all nodes share. When each node read as
often as a handful of nodes may, 58 nodes made 1.9 calls a second each, and most
returned nothing that a node needed; 73 nodes that read less often made 1.1
(calls over node seconds of a calm minute).
"""

# Calls a second of all nodes together, unless `MAX_INTERVAL_FRACTION` requires
# more.
SITE_CALLS_PER_SECOND = 10.0
# Minimum seconds between two reads of a node. A short interval skips a leaving
# replica sooner, and at this one six nodes stay at the site's rate.
MIN_INTERVAL_SECONDS = 0.6
# Longest interval, as a fraction of the time after which a leaving replica must
# get no more work. The rest is for the store's answer, a retry of the call and
# requests under way.
MAX_INTERVAL_FRACTION = 0.5
# Seconds before the first retry of a failed call, and maximum before any. Up to
# as much again is added at random to the first, so that nodes don't retry
# together. A node has three seconds to regain contact once the store is back.
FIRST_RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 1.0
# Maximum seconds before the first retry of a call that timed out.
MAX_REPEAT_SECONDS = FIRST_RETRY_SECONDS


def retry_delay(failures: int, chance: float, took: float = 0.0) -> float:
    """Returns the seconds until a failed call is retried.

    Without the doubling, a store that refused a third of 73 nodes for 9 s got
    four calls a second from each of the three among them that read the store.
    A call that timed out has already waited; a longer delay would only make
    the node notice late that its path to the store is back.

    Args:
        failures: Calls that failed in a row, this one included.
        chance: Uniformly random, from 0 to 1.
        took: Seconds that the failed call took.
    """
    pause = FIRST_RETRY_SECONDS * 2 ** min(failures - 1, 4) * (1 + chance)
    pause = min(pause, MAX_RETRY_SECONDS * (1 + chance) / 2)
    return max(pause - took, FIRST_RETRY_SECONDS * (1 + chance) / 2)


def poll_interval(nodes: int, bound: float) -> float:
    """Returns the seconds between two reads of one node.

    Args:
        nodes: The number of nodes that read the store.
        bound: Seconds within which a write must be known.
    """
    longest = MAX_INTERVAL_FRACTION * bound
    return min(
        longest, max(MIN_INTERVAL_SECONDS, nodes / SITE_CALLS_PER_SECOND)
    )

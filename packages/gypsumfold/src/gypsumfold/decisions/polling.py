"""How often nodes read what changes all the time.

Load pattern: replicas that all write about once a second, so that every read
finds something, and a store that all nodes share. Read by each node as often
as a handful of nodes may, 58 nodes made 1.9 calls a second each, and most of
them brought nothing that a node needed to know; 73 that read less often made
1.1 (calls over node seconds of a calm minute).
"""

# Calls a second of all nodes together, as long as each reads often enough.
SITE_CALLS_PER_SECOND = 10.0
# Seconds between two reads of a node at the least: a replica that goes is
# passed over that much sooner, and six nodes stay at the rate of the site.
MIN_INTERVAL_SECONDS = 0.6
# Share of the time within which a leaving replica must get no more work; the
# rest is for the store's answer, a repeat of the call and requests under way.
MAX_INTERVAL_FRACTION = 0.5
# Seconds before the first try after a failed call, and before each at most; as
# much again at random for the first, so that nodes do not come back together.
# A node has three seconds to be in touch again once the store is back.
FIRST_RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 1.0
# Seconds before the repeat of the first failed call, at the most, where that
# call was given up.
MAX_REPEAT_SECONDS = FIRST_RETRY_SECONDS


def retry_delay(failures: int, chance: float, took: float = 0.0) -> float:
    """Seconds until a failed call is made again.

    A store that refuses a third of 73 nodes for 9 s got four calls a second
    from each of their three readers without the doubling. A call that had to
    be given up has waited already; a longer pause would only let a node notice
    late that its path to the store is back.

    Args:
        failures: Calls that failed in a row, this one included.
        chance: From 0 to 1, evenly spread.
        took: Seconds that the failed call took.
    """
    pause = FIRST_RETRY_SECONDS * 2 ** min(failures - 1, 4) * (1 + chance)
    pause = min(pause, MAX_RETRY_SECONDS * (1 + chance) / 2)
    return max(pause - took, FIRST_RETRY_SECONDS * (1 + chance) / 2)


def poll_interval(nodes: int, bound: float) -> float:
    """Seconds between two reads of one node.

    Args:
        nodes: The nodes that read.
        bound: Seconds after which what was written must be known.
    """
    longest = MAX_INTERVAL_FRACTION * bound
    return min(
        longest, max(MIN_INTERVAL_SECONDS, nodes / SITE_CALLS_PER_SECOND)
    )

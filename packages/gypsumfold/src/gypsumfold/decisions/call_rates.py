"""Paces the plain calls that wait at all gateways.

Load pattern: more calls than the replicas can run, waiting at dozens of
gateways whose reports are a quarter of a second old. If each gateway sent when
it saw a free slot, all would send to the same one; if none did until it was
theirs for certain, slots would stay idle.
"""

from collections.abc import Sequence
import math
import statistics

from gypsumfold.decisions import call_queue
from gypsumfold.decisions import plain_loads
from gypsumfold.decisions import plain_placement

# Share of the slots that have to be free for calls to be sent without waiting
# and without regard to the rate: those that other gateways have taken since.
RESERVE = 0.1
# Open calls beyond its slots up to which a replica is filled out of queues, so
# that its slots are in use although the totals are old and calls spend time on
# the way.
QUEUED = 2.0
# Least rate of waiting calls, as a share of what the replicas serve: stale
# totals may show all replicas full for 3 s.
MIN_RATE_SHARE = 0.1
# Share of free slots up to which the calls that other gateways report as
# waiting count in full, and share from which they are known to wait no more:
# they would have been sent.
BUSY_SHARE = 0.25
IDLE_SHARE = 0.75
# How many times as much a waiting call counts as one of the next urgency.
URGENCY_WEIGHT = 4.0
# Share of the rate that is split evenly between the urgencies that wait. It is
# that of the turns which the queue of each gateway reserves for them: a gateway
# where no urgent call waits would otherwise have hardly any share.
EVEN_SHARE = 1 / call_queue.RESERVED_TURN
# Calls of an urgency from which it counts as waiting; reports are old.
MIN_WAITING = 0.5


def free_share(candidates: Sequence[plain_placement.Candidate]) -> float:
    """Returns the share of all slots that is free; negative if none is."""
    slots = sum(one.slots for one in candidates)
    return sum(one.free for one in candidates) / max(1, slots)


def service_rate(
    candidates: Sequence[plain_placement.Candidate], usual: float
) -> float:
    """Returns the calls a second that replicas serve if all slots are used."""
    return sum(one.slots / (usual * one.slowness) for one in candidates)


def dispatch_rate(
    candidates: Sequence[plain_placement.Candidate], usual: float
) -> float:
    """Returns the waiting calls a second that all nodes together may send.

    This is what the replicas serve, and the room that is left there within the
    time in which all nodes learn that it is taken.

    Args:
        candidates: The replicas.
        usual: Usual seconds of a call.
    """
    served = service_rate(candidates, usual)
    slots = sum(one.slots for one in candidates)
    surplus = free_share(candidates) * slots + QUEUED * len(candidates)
    return max(
        MIN_RATE_SHARE * served, served + surplus / plain_loads.REPORT_SECONDS
    )


def credible_waiting(
    waiting: Sequence[float], candidates: Sequence[plain_placement.Candidate]
) -> list[float]:
    """Returns the calls that still wait at other nodes, by urgency.

    Reports of a node that has ended or has sent its calls are counted less the
    more slots are free.
    """
    idle = (free_share(candidates) - BUSY_SHARE) / (IDLE_SHARE - BUSY_SHARE)
    share = min(1.0, max(0.0, 1 - idle))
    return [share * count for count in waiting]


def own_share(own: Sequence[float], others: Sequence[float]) -> float:
    """Returns a node's share of the calls to send, by what waits where.

    Urgent calls count more, and each waiting urgency has a share whatever
    waits of the others.

    Args:
        own: Calls that wait at this node, by urgency.
        others: Calls that wait at the other nodes.
    """
    mine = weigh(own)
    total = mine + weigh(others)
    if not total:
        return 1.0
    shares = []
    for here, elsewhere in zip(own, others, strict=True):
        if here + elsewhere >= MIN_WAITING:
            shares.append(here / (here + elsewhere))
    even = statistics.fmean(shares) if shares else mine / total
    return (1 - EVEN_SHARE) * mine / total + EVEN_SHARE * even


def turn_seconds(
    urgency: int, own: Sequence[float], others: Sequence[float], rate: float
) -> float:
    """Returns the seconds between two calls that a node may send.

    Urgent calls that wait elsewhere go first but are gone soon, so each counts
    as one call. Less urgent ones count for their part of the share. The node
    sends at least its share.

    Args:
        urgency: Urgency of the calls that the node sends.
        own: Calls that wait at this node, by urgency.
        others: The same at the other nodes.
        rate: Calls a second that the replicas serve.

    Returns:
        The seconds; infinity if the replicas serve nothing.
    """
    if rate <= 0:
        return math.inf
    ahead = 0.0
    for level, count in enumerate(others):
        ahead += count * min(1.0, URGENCY_WEIGHT ** (urgency - level))
    calls = 1 + ahead / max(1, sum(own))
    share = own_share(own, others)
    return (min(calls, 1 / share) if share else calls) / rate


def backlog_seconds(
    waiting: float,
    candidates: Sequence[plain_placement.Candidate],
    usual: float,
) -> float:
    """Returns the seconds in which replicas serve the calls that wait.

    It is at least the time of one call, in which slots become free.
    """
    rate = service_rate(candidates, usual)
    return max(usual, waiting / rate) if rate else usual


def weigh(counts: Sequence[float]) -> float:
    """Adds up waiting calls, weighted by urgency."""
    total = 0.0
    for urgency, count in enumerate(counts):
        total += count * URGENCY_WEIGHT**-urgency
    return total


def has_room(
    candidates: Sequence[plain_placement.Candidate], granted: int
) -> bool:
    """Whether more slots are free than the reserve and those about to be taken.

    Args:
        candidates: The replicas.
        granted: Calls about to be sent, each of which takes a slot.
    """
    slots = sum(one.slots for one in candidates)
    free = sum(max(0.0, one.free) for one in candidates)
    return free - granted >= max(1.0, RESERVE * slots)

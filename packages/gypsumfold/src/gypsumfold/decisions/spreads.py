"""Divides replicas over data centres.

Load pattern: a platform that takes back all reclaimable replicas of a data
centre at once. If most were in the cheapest one, its loss would leave too few;
if all had the same number, the most expensive one would have more than the
reserve asks for.
"""

import math


def spread(total: int, names: list[str], least: int, most: int) -> list[int]:
    """Divides a number as evenly as possible, the first names getting more."""
    if not names:
        return []
    share, rest = divmod(total, len(names))
    found = []
    for place in range(len(names)):
        wanted = share + (1 if place < rest else 0)
        found.append(max(least, min(most, wanted)))
    return found


def reduce_evenly(counts: list[int], total: int) -> list[int]:
    """Lowers the largest numbers, of equal ones the last, down to a total.

    None rises: what one data centre gives up would be missing until it serves
    in another.
    """
    found = list(counts)
    while sum(found) > total:
        largest = max(found)
        place = max(
            place for place, count in enumerate(found) if count == largest
        )
        found[place] -= 1
    return found


def spread_by_price(
    needed: int, names: list[str], prices: dict[str, float], most: int
) -> list[int]:
    """Divides reclaimable replicas over data centres at the lowest price.

    So many are left when any one data centre's are lost as are needed. The more
    a single data centre has, the more are kept for its loss; the fewer, the
    more go to expensive ones. All sizes of the largest one are compared.

    Args:
        needed: Replicas that must be left.
        names: The data centres, cheapest first.
        prices: Price of a replica-second by data centre.
        most: Largest number in a data centre.

    Returns:
        The number for each name. If no division leaves enough, the largest.
    """
    best = [most] * len(names)
    if needed <= 0:
        return [0] * len(names)
    best_price = math.inf
    for largest in range(1, most + 1):
        left = needed + largest
        counts = []
        for _ in names:
            counts.append(min(largest, left))
            left -= counts[-1]
        if left:
            continue
        price = 0.0
        for name, count in zip(names, counts, strict=True):
            price += prices[name] * count
        if price < best_price:
            best, best_price = counts, price
    return best


def reserve_factor(data_centres: int) -> float:
    """Returns how many replicas to keep for one that must remain.

    With as many in each data centre, the loss of any one leaves enough. With
    fewer data centres or a smaller difference in price the reserve costs more
    than it saves.
    """
    if data_centres < 2:
        return math.inf
    return data_centres / (data_centres - 1)


def spread_reserved(needed: int, names: list[str], most: int) -> list[int]:
    """Divides reclaimable replicas evenly, with what is kept for a loss."""
    count = math.ceil(needed * reserve_factor(len(names)))
    return spread(count, names, 0, most)


def wanted_steady(
    total: int,
    present_steady: int,
    present_spot: int,
    remaining: int,
    busy: float,
    floor: int,
) -> int:
    """Returns how many of the replicas shall not be reclaimable.

    Reclaimable replicas take the place of the others once they serve. While a
    data centre's are gone, others are ordered at once so that the next loss
    leaves enough as well: nobody knows when there are reclaimable ones again.

    Args:
        total: Number of replicas that are needed.
        present_steady: Replicas that serve and are not reclaimable.
        present_spot: Reclaimable replicas that serve.
        remaining: Reclaimable replicas, those on their way included, that
            remain if any one data centre's are reclaimed.
        busy: Number of replicas that the load keeps busy.
        floor: The least number.
    """
    missing = total - remaining
    kept = 0
    if busy > 0:
        kept = min(present_steady, total - present_spot)
    return max(floor, missing, kept)


def remaining(spots: dict[str, int]) -> int:
    """Counts the replicas left if the largest data centre's are reclaimed.

    Args:
        spots: Reclaimable replicas by data centre.
    """
    return sum(spots.values()) - max(spots.values(), default=0)

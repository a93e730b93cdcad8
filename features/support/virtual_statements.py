"""Judges what reaches replicas that say that they leave or ask for rest."""

# Seconds after an answer that says that its replica leaves until no request
# may be sent there.
LEAVING = 2.0
# Seconds after a replica has asked for rest from which nothing may reach it.
REST = 0.5


def after_leaving(fleet, callers, told_anybody=False):
    """Requests sent too late to replicas that had said that they leave.

    Args:
        fleet: The replicas.
        callers: The callers, which know when each request was sent.
        told_anybody: Whether an answer to any gateway counts.
    """
    told = dict(fleet.told_leaving)
    first = {}
    for (_, instance), at in told.items():
        first[instance] = min(at, first.get(instance, at))
    found = []
    for arrival in fleet.arrivals:
        at = told.get((arrival.process, arrival.instance))
        if told_anybody:
            at = first.get(arrival.instance)
        if at is not None and callers.sent[arrival.attempt] > at + LEAVING:
            found.append(arrival)
    return found


def in_rest(fleet):
    """Times, processes and instances of what reached a resting replica."""
    reached = list(fleet.own_calls)
    for arrival in fleet.arrivals:
        reached.append((arrival.at, arrival.process, arrival.instance))
    found = set()
    for asked in fleet.rests:
        for call in reached:
            if call[1:] != (asked.process, asked.instance):
                continue
            if asked.at + REST <= call[0] < asked.at + asked.seconds:
                found.add(call)
    return sorted(found)


def rest_ends(fleet, process, at):
    """When the rests end that replicas had asked of a process before a time."""
    found = {}
    for asked in fleet.rests:
        end = asked.at + asked.seconds
        if asked.process == process and asked.at <= at < end:
            found[asked.instance] = max(end, found.get(asked.instance, end))
    return found


def served(callers, begin, end):
    """Share of the first attempts in a time that were answered."""
    counted = []
    for one in callers.ends:
        if one.first and begin <= one.at < end:
            counted.append(one.status == 200)
    return sum(counted) / max(1, len(counted))

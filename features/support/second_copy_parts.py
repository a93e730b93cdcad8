"""Faults, callers and replicas of the steps on second copies."""

import asyncio
import collections
import time

from features.support import virtual_engines
from gypsumfold import exceptions
from gypsumfold.decisions import canaries as canaries_module
from gypsumfold.decisions import second_copies

# Requests a second of all callers.
RATE = 60.0
# Seconds of work at a slow replica, and tokens a second at which a slow engine
# reads a prompt.
SLOW_WORK = 0.3
SLOW_READING = 4000.0
# Seconds for which a fault lasts.
SPELL = 0.6


async def inject_fault(site, trouble):
    """Makes one kind of trouble for a moment."""
    replicas = site.fleet.first(4, "plain")
    if trouble == "replicas crash by turns":
        site.fleet.kill("")
    if trouble == "gateways start again by turns":
        await site.restart_one(site.rng.choice(sorted(site.nodes)))
    if trouble == "replicas refuse as full":
        site.fleet.refusing_share = 0.5
    slow = replicas if trouble == "all replicas are slow" else replicas[:1]
    slow = slow if len(slow) > 1 else [site.rng.choice(replicas)]
    for replica in slow:
        replica.work = SLOW_WORK
    reader = site.rng.choice(site.fleet.first(6, "prefill"))
    reader.reading = SLOW_READING
    await site.pass_time(SPELL)
    site.fleet.refusing_share = 0.0
    for replica in slow:
        replica.work = virtual_engines.WORK
    reader.reading = virtual_engines.READING


async def ask_often(callers, leave, kind):
    """Sends requests; some callers leave before the answer."""
    site = callers.site
    for number in range(10**6):
        await asyncio.sleep(site.rng.expovariate(RATE))
        body = f"request {number}".encode()
        callers.fleet.spawn(callers.ask(kind, body))
        if leave and number % 5 == 0:
            node = site.nodes[site.rng.choice(sorted(site.nodes))]
            for task in list(node.calls):
                task.cancel()


def exchange(nodes, now, is_split):
    """Lets nodes know the counts of their half, and of the other if they can.

    What they know of the other half lives on for 3 s.
    """
    halves = nodes[::2], nodes[1::2]
    totals = collections.Counter(), collections.Counter()
    for half, total in zip(halves, totals, strict=True):
        for node in half:
            total.update(node.own(now))
    for place, half in enumerate(halves):
        for node in half:
            near = totals[place].copy()
            near.subtract(node.own(now))
            node.others.set_remote("near", +near, now + 3.0)
            if not is_split:
                node.others.set_remote("far", totals[1 - place], now + 3.0)


def learn(limits, count, cut):
    """Sees answers of which 6 in 100 are slow, and perhaps cut short."""
    now = 100.0
    for number in range(count):
        now += 0.02
        seconds = 0.2 if number % 50 in (0, 17, 34) else 0.02
        threshold = limits.threshold("lookups", now)
        if cut and threshold is not None and seconds > threshold:
            seconds = threshold * 1.01
        limits.record_answer("lookups", seconds, now)
    return limits.read_quantile("lookups", second_copies.QUANTILE, now)


class Answer:
    """The head of a replica's answer."""

    reason, fields, length = "", (), None
    is_framed, not_run = True, False

    def __init__(self, status, name):
        self.status = status
        self.sealed = status == 200
        self.name = name

    async def read(self):
        """The name of the replica that answered."""
        return self.name.encode()

    def close(self):
        """Ends the exchange."""


class Endpoints:
    """Replicas that answer as they are told; all others answer at once."""

    def __init__(self, *ways):
        self.ways = list(ways)
        self.names = []

    async def send(self, replica, call, instructions):
        """Gives one answer, or the way in which there is none."""
        self.names.append(replica.instance)
        number = len(self.names)
        way = self.ways[number - 1] if number <= len(self.ways) else "answers"
        if way == "hangs":
            await asyncio.sleep(60.0)
        if "late" in way:
            await asyncio.sleep(0.15 if "later" in way else 0.1)
        if way.startswith("refuses"):
            raise exceptions.EndpointRefused("full")
        if way.startswith("breaks"):
            raise exceptions.AnswerBroken("the connection ended")
        return Answer(500 if way.startswith("fails") else 200, str(number))


def add_obstacle(context, obstacle, others):
    """Makes one obstacle to copies once the first copy is under way."""
    directory, limits = context.directory, context.directory.second_copies
    now = time.monotonic()
    if obstacle == "the request is suspected":
        canary = canaries_module.Canary(
            context.progress.fingerprint, 1, 1, "i-9", now + 1.0
        )
        context.quarantine.canaries.merge(canary, now)
    for _ in range(20):
        if "slow" in obstacle:
            limits.record_speed("app", "r", True, now)
        if "share is used" in obstacle:
            limits.record_copy("app", now)
    if "retry budget" in obstacle:
        while context.calls.retry_permits.budget.allow("app", now):
            pass
    for instance in others:
        replica = directory.replicas[instance]
        if "backoff" in obstacle:
            directory.statements.record_backoff(replica, 9.0)
        if "draining" in obstacle:
            directory.put(replica._replace(draining=True))
        if "leave" in obstacle:
            directory.statements.record_departure(replica)
        if "permits" in obstacle:
            directory.statements.record_rate_limit(replica, 0.001, now)
        if "full" in obstacle:
            for _ in range(3):
                context.calls.copies.record_failure(
                    replica, exceptions.EndpointRefused("full")
                )

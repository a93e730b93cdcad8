"""Processor time of the decisions, by accounts and by waiting requests.

``python -m bench.scheduler`` drives one node's scheduler in process, before
16 replicas, and prints microseconds for one request (offer and end) and for
one tick. Slopes for docs/CAPACITY.md.
"""

import random
import time

import click
from features.support import patterns
from features.support import replicas
from features.support import variants

from gypsumfold.decisions import types

REPLICAS = 16
REQUESTS = 2000
TICKS = 200


def fleet(now: float) -> list[types.Replica]:
    """Sixteen engines that report as idle."""
    found = []
    for number in range(REPLICAS):
        engine = replicas.Engine(f"engine-{number}", batch=32, lag=0.0)
        engine.report(now)
        found.append(engine.replica(now))
    return found


def play(accounts: int) -> tuple[float, float]:
    """Microseconds of one request and of one tick with nothing waiting."""
    scheduler = variants.policy(random.Random(1))
    done = types.Result(types.Finish.DONE, 0.1, 1.0, 50)
    now = 0.0
    spent = 0.0
    for number in range(REQUESTS):
        if number % 10 == 0:
            scheduler.update(fleet(now), now)
        request = patterns.request(
            f"r-{number}", now, account=f"account-{number % accounts}"
        )
        began = time.perf_counter()
        scheduler.offer(request, now)
        scheduler.finished(request.id, done, now + 0.01)
        spent += time.perf_counter() - began
        now += 0.07
    began = time.perf_counter()
    for _ in range(TICKS):
        scheduler.tick(now)
        now += 0.05
    ticks = time.perf_counter() - began
    return spent / REQUESTS * 1e6, ticks / TICKS * 1e6


def waiting(count: int, accounts: int) -> float:
    """Microseconds of one tick while so many requests wait."""
    scheduler = variants.policy(random.Random(1))
    for number in range(count):
        request = patterns.request(
            f"w-{number}",
            0.0,
            account=f"account-{number % accounts}",
            patience=1e6,
        )
        scheduler.offer(request, 0.0)
    now = 0.0
    began = time.perf_counter()
    for _ in range(TICKS):
        scheduler.tick(now)
        now += 0.05
    return (time.perf_counter() - began) / TICKS * 1e6


@click.command()
def main() -> None:
    """Measure the slopes."""
    for accounts in (10, 100, 1000, 3800):
        request, tick = play(accounts)
        click.echo(
            f"accounts {accounts}: {request:.0f} us a request,"
            f" {tick:.0f} us a tick"
        )
    for count, accounts in ((64, 4), (256, 4), (256, 64), (500, 64)):
        click.echo(
            f"waiting {count} of {accounts} accounts:"
            f" {waiting(count, accounts):.0f} us a tick"
        )


if __name__ == "__main__":
    main()

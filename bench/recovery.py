"""Where the work of a crashed engine re-enters: rear, arrival or head.

A trial in process on the small engines of features/support (no processes):
``python -m bench.recovery``. Prints, for each rule, the median and the range
over the seeds of the share on time, of recovered and of regular requests.
"""

import random
import statistics

import click
from features.support import patterns
from features.support import variants

from gypsumfold.decisions import policy_scheduler
from gypsumfold.decisions import recovery

RULES = {
    "rear": recovery.BackOfQueue,
    "arrival": recovery.ByArrival,
    "head": recovery.FrontOfQueue,
}
# Seconds that a crashed engine is away.
AWAY = 4.0
CRASHES = (("engine-1", 8.0), ("engine-2", 14.0), ("engine-3", 20.0))


def play(
    rule: recovery.ReentryOrder, seed: int, rate: float
) -> tuple[float, float]:
    """Plays three crashes and returns both shares on time."""

    def make(rng: random.Random) -> policy_scheduler.PolicyScheduler:
        parts = policy_scheduler.default_components(variants.POLICY, rng)
        parts = parts._replace(reentry=rule)
        return policy_scheduler.PolicyScheduler(variants.POLICY, rng, parts)

    rng = random.Random(seed)
    served = patterns.fleet(make)
    recovered: set[str] = set()

    def crash(name: str, now: float) -> None:
        for one in served.engines[name].queue:
            recovered.add(one.request.id)
        served.engines[name].open = False
        served.crash(name, now)

    changes = []
    for name, at in CRASHES:
        changes.append((at, lambda name=name, at=at: crash(name, at)))
        back = served.engines[name]
        changes.append((at + AWAY, lambda back=back: reopen(back)))
    calls = patterns.stream(rng, "call", rate, 0, 28, patience=6.0)
    answers = served.run(calls, 38, changes)
    shares = []
    for wanted in (True, False):
        found = []
        for answer in answers:
            if (answer.request.id in recovered) is wanted:
                found.append(answer.on_time())
        shares.append(sum(found) / len(found))
    return shares[0], shares[1]


def reopen(engine) -> None:
    """Lets an engine take work again."""
    engine.open = True


@click.command()
@click.option("--seeds", default=10)
@click.option("--rate", default=16.0, help="Of 17 that the engines can do.")
def main(seeds: int, rate: float) -> None:
    """Measure the three rules."""
    for name, rule in RULES.items():
        results = [play(rule(), seed, rate) for seed in range(1, seeds + 1)]
        for which, label in enumerate(("recovered", "regular")):
            found = [result[which] for result in results]
            click.echo(
                f"{name:8} {label:10} median {statistics.median(found):.3f}"
                f" range {min(found):.3f} to {max(found):.3f}"
            )


if __name__ == "__main__":
    main()

"""Steps on the load tool."""

import json
import subprocess
import sys

import behave
from features.support import deployments
from features.support import fleets
from features.support import profiled

from gypsumfold_standins import arrivals
from gypsumfold_standins import load
from gypsumfold_standins import profiles

PROFILE = profiles.RAMP_TOWAGE


@behave.then("two draws of the load tool with seed {seed:d} are the same")
def step_same(context, seed):
    context.drawn = arrivals.draw(PROFILE, 50.0, 20.0, 10.0, seed)
    assert context.drawn == arrivals.draw(PROFILE, 50.0, 20.0, 10.0, seed)


@behave.then(
    "its mix has more output tokens in the second half than in the first"
)
def step_swings(context):
    halves = [0, 0]
    for arrival in context.drawn:
        halves[int(arrival.at >= 10.0)] += arrival.output
    assert halves[1] > 1.5 * halves[0], halves


@behave.then("the load tool calls each of these answers by its name")
def step_verdicts(context):
    cases = (
        (["a", "b"], True, "complete", "right"),
        (["a", "c"], True, "complete", "wrong"),
        (["a"], True, "complete", "wrong"),
        (["a", "a", "b"], True, "complete", "wrong"),
        (["a"], False, "", "cut"),
        ([], False, "not-run", "refused"),
        ([], False, "undetermined", "failed"),
    )
    for words, ended, outcome, verdict in cases:
        reading = load.Reading(0.0)
        reading.expected = "ab"
        reading.outcome = outcome
        for word in words:
            reading.take(word)
        reading.ended = ended
        assert reading.verdict() == verdict, (words, reading.verdict())


@behave.given("two nodes before two engines and two plain services")
def step_fleet(context):
    fleet = context.fleet = fleets.Fleet("load")
    fleet.start_platform()
    for number in (1, 2):
        fleet.start_engine(f"lm-{number}", speed=20.0)
        fleet.start_service(f"app-{number}")
    fleet.start_nodes("entry-1", "entry-2")
    profiled.declare(fleet, PROFILE)


@behave.when(
    "the load tool sends {rate:d} requests a second for {seconds:d} seconds"
)
def step_load(context, rate, seconds):
    command = [sys.executable, "-m", "gypsumfold_standins.load"]
    for node in context.fleet.nodes.values():
        command += ["--node", node.url]
    command += ["--token", deployments.TOKEN, "--profile", "ramp-towage"]
    command += ["--rate", str(rate), "--seconds", str(seconds)]
    path = context.fleet.folder / "results.csv"
    command += ["--swing", "1", "--csv", str(path)]
    result = subprocess.run(command, capture_output=True, text=True)
    assert result.returncode == 0, result
    context.summary = json.loads(result.stdout)
    context.lines = path.read_text().splitlines()


@behave.then("it finds every answer right")
def step_right(context):
    sent = context.summary["all"]["sent"]
    assert sent > 30 and len(context.lines) == sent + 1, context.summary
    for kind in PROFILE.kinds:
        verdicts = context.summary[kind.name]["verdicts"]
        assert set(verdicts) <= {"right"}, context.summary

"""Steps on the burn report."""

import os
import subprocess
import sys

import behave
from features.support import deployments
from features.support import fleets
import hypothesis
from hypothesis import strategies
import msgspec

from gypsumfold import burn
from gypsumfold import objects
from gypsumfold.logservice import records

FUZZ = hypothesis.settings(
    derandomize=True, database=None, max_examples=200, deadline=None
)
# Some minute on the clock of the pure tests.
NOW = 1_800_000_030.0


def report_of(counters, target):
    """Makes the report after a round trip of the records."""
    ledger = burn.Ledger()
    batch = counters.due(NOW)
    decoded = records.decode(records.encode(batch))
    ledger.apply(records.Entry(0, NOW, decoded))
    objective = objects.Objective(
        service="dispatch", urgency=1, target=target, within=1.0
    )
    return burn.report(ledger, {"swaps": objective}, NOW)


@behave.given(
    "an objective of {percent:f} percent with 1 bad answer in {every:d} "
    "for {minutes:d} minutes"
)
def step_objective(context, percent, every, minutes):
    context.target = percent / 100
    context.counters = burn.Counters("entry-1")
    for minute in range(minutes):
        for number in range(every):
            context.counters.add(
                "dispatch", 1, number > 0, NOW - minute * burn.MINUTE_SECONDS
            )


@behave.then("the report pages for the windows 60 and 360 and tickets for 4320")
def step_pages(context):
    report = report_of(context.counters, context.target)
    rates = report.objectives[0].rates
    assert [rate.window.long for rate in rates] == [60, 360, 4320]
    assert all(rate.alert for rate in rates), rates
    # One bad in five is twenty times what 99 % allows.
    assert all(abs(rate.long - 20.0) < 1e-9 for rate in rates), rates


@behave.when("the last {minutes:d} minutes were good")
def step_good(context, minutes):
    context.counters = burn.Counters("entry-1")
    for minute in range(70):
        for number in range(5):
            good = number > 0 or minute < minutes
            context.counters.add(
                "dispatch", 1, good, NOW - minute * burn.MINUTE_SECONDS
            )


@behave.then("the rule of 60 minutes no longer alerts")
def step_ended(context):
    rate = report_of(context.counters, context.target).objectives[0].rates[0]
    assert rate.long > rate.window.rate and not rate.alert, rate


@behave.then(
    "hypothesis finds no repeats or orders that change the burn report"
)
def step_repeats(context):
    @FUZZ
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 2), strategies.booleans()),
            max_size=30,
        ),
        strategies.randoms(use_true_random=False),
    )
    def check(answers, random):
        nodes = [burn.Counters(f"entry-{n}") for n in range(3)]
        entries = []
        for place, (node, good) in enumerate(answers):
            nodes[node].add("dispatch", 1, good, NOW)
            batch = tuple(nodes[node].due(NOW))
            # An append whose answer was lost is simply made again.
            for _ in range(random.randint(1, 2)):
                entries.append(records.Entry(place, NOW, batch))
        ledger = burn.Ledger()
        for entry in entries:
            ledger.apply(entry)
        good, bad = burn.total(ledger.series("dispatch", 1), 5, NOW)
        assert good == sum(good for _, good in answers)
        assert bad == sum(not good for _, good in answers)

    check()


@behave.given("a burn fleet with an objective of {target:f} for urgency 5")
def step_fleet(context, target):
    fleet = context.fleet = fleets.Fleet("burn")
    fleet.start_platform()
    fleet.start_engine("lm-0")
    fleet.start_nodes("entry-0", "entry-1")
    deployments.declare(fleet)
    fields = {
        "service": deployments.ENGINES,
        "urgency": 5,
        "target": target,
        "within": 30.0,
    }
    fleet.apply(deployments.create("objective", "briefings", fields))


@behave.when("{whole:d} briefings are answered and {failed:d} fail")
def step_answers(context, whole, failed):
    fleet = context.fleet
    nodes = list(fleet.nodes.values())
    for number in range(whole):
        found = deployments.complete(nodes[number % 2], f"briefing {number}")
        assert found.right, found
    fleet["lm-0"].faults(refused=1000)
    for number in range(failed):
        found = deployments.complete(nodes[number % 2], f"failing {number}")
        assert found.status != 200, found
    fleet["lm-0"].faults(refused=0)


@behave.when("every node is stopped and new ones are started")
def step_replace(context):
    fleet = context.fleet
    for node in list(fleet.nodes.values()):
        node.stop()
    fleet.nodes.clear()
    fleet.start_nodes("entry-2", "entry-3")


@behave.then(
    "the burn report of a new node counts {good:d} good and {bad:d} bad"
)
def step_report(context, good, bad):
    node = context.fleet["entry-2"]
    context.nodes = f"{node.host}:{fleets.OPERATORS_PORT}"
    found = report_by_command(context.nodes, "json")
    (objective,) = msgspec.json.decode(found)["objectives"]
    assert (objective["good"], objective["bad"]) == (good, bad), objective
    assert "briefings" in report_by_command(context.nodes, "text")


def report_by_command(nodes, form):
    """Runs gypsumfoldctl as an operator does."""
    environment = {**os.environ, "GYPSUMFOLD_TOKEN": fleets.OPERATOR_TOKEN}
    command = [sys.executable, "-m", "gypsumfoldctl.main", "--node", nodes]
    found = subprocess.run(
        [*command, "report", "burn", "--format", form],
        env=environment,
        capture_output=True,
        text=True,
    )
    assert found.returncode == 0, found
    return found.stdout


@behave.then("gypsumfold's page of it needs no other file")
def step_page(context):
    page = report_by_command(context.nodes, "html")
    assert "<svg" in page and "briefings" in page
    for reference in ("src=", 'href="http', "@import", "url(http"):
        assert reference not in page, reference

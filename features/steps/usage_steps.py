"""Steps on counting usage and reporting it."""

import asyncio
import collections
import random
import types

import behave
from features.support import fixed_leader
from features.support import gateway_calls as callers
from features.support import gateways
from features.support import virtual_gateways
from features.support import virtual_operations
from features.support import virtual_store

from gypsumfold import events
from gypsumfold.decisions import metering
from gypsumfold.gateway import usage_reports
from gypsumfold.platform import names
from gypsumfold.platform import operations as operations_module

ACCOUNTS = {"north-air": "k-north", "south-air": "k-south"}
CHAIN = "aa:4000,bb:300"
POLICY = metering.Policy(5.0, 10.0)
# Seconds of a play in virtual time: until all gateways know each other, of
# requests, and until all reports were due.
START = 8.0
LOAD = 36.0
REST = 14.0
REQUESTS_PER_SECOND = 120.0
# Share by which a report may be off.
ERROR = 0.05


@behave.given("the platform's own API")
def step_api(context):
    fleet = context.fleet
    fleet.start_standin("api", "platform_operations", [])
    fleet["api"].until_ready("/_test/record")
    fleet.accounts = [
        {"name": name, "apiKeys": [key]} for name, key in ACCOUNTS.items()
    ]
    fleet.configure()
    context.relieve = lambda: None


@behave.given("the platform's own API, which {fault}")
def step_api_fault(context, fault):
    step_api(context)
    api = context.fleet["api"]
    if fault.startswith("answers none"):
        api.faults(late=3, late_seconds=1.5)
        return
    api.faults(busy=True)

    def relieve():
        gateways.until(
            lambda: context.gateway.events(events.USAGE_DELAYED.number),
            "no report was refused",
        )
        api.faults(busy=False)

    context.relieve = relieve


@behave.given("a gateway that reports usage in windows of {seconds:g} s")
def step_reporter(context, seconds):
    fleet = context.fleet
    fleet.sections = {
        "operations": {
            "address": fleet["api"].address,
            "duties": [names.USAGE_DUTY],
        },
        "usage": {"window_s": seconds, "due_s": 10.0},
    }
    fleet.give_authority()
    context.gateway = fleet.start_gateway("edge-1")
    for name in fleet.entries:
        fleet.until_known("edge-1", name)


@behave.when(
    "callers of two accounts send {calls:d} calls and {streams:d} streams"
)
def step_calls(context, calls, streams):
    keys = [*ACCOUNTS.values(), ACCOUNTS["north-air"]]
    for number in range(calls):
        key = {names.KEY: keys[number % len(keys)]}
        callers.call(context, "POST", f"/seats/{number}", b"hold", **key)
        callers.sealed(context.sent, context.answer)
    for number in range(streams):
        key = {names.KEY: keys[number % len(keys)]}
        callers.stream(context, f"/briefs/{number}", CHAIN, **key)
        assert context.status == 200, context.status
    context.relieve()


def begun(context):
    """What replicas ran, by account."""
    found = collections.Counter()
    for record in callers.records(context).values():
        for run in record["runs"]:
            found[run["headers"][names.ACCOUNT]] += 1
    return dict(found)


def reported(context):
    """The accepted counts of all windows, added up."""
    windows = {}
    for call in context.fleet["api"].test("record")["calls"]:
        if call["accepted"]:
            windows[call["body"]["windowSeq"]] = call["body"]["counts"]
    found = collections.Counter()
    for counts in windows.values():
        found.update(counts)
    return dict(found)


@behave.then(
    "the reports of all windows add up to what replicas began for each account"
)
def step_add_up(context):
    def add_up() -> bool:
        context.totals = reported(context), begun(context)
        return context.totals[0] == context.totals[1]

    try:
        gateways.until(add_up, "the reports don't add up")
    except AssertionError as error:
        record = context.fleet["api"].test("record")["calls"]
        raise AssertionError(f"{context.totals}: {record}") from error


@behave.then("no window was reported with different counts")
def step_no_contradiction(context):
    record = context.fleet["api"].test("record")
    assert record["contradictions"] == [], record
    assert record["shared_tokens"] == [], record


class Play:
    """Requests of some accounts at a site, and what is true of them.

    Attributes:
        truth: Requests by window and account.
    """

    def __init__(self, seed: int, nodes: int, trouble: str):
        self.site = virtual_gateways.Site(seed)
        self.site.platform = virtual_operations.Platform(self.site.rng)
        self.nodes = nodes
        self.trouble = trouble
        self.truth = collections.defaultdict(collections.Counter)
        self.accounts = [f"account-{number}" for number in range(20)]

    def run(self) -> None:
        """Plays it."""
        self.site.play(self.story())

    async def story(self) -> None:
        """Starts gateways, sends requests, and waits for the reports."""
        self.site.configure(3)
        self.site.start(self.nodes)
        await self.site.pass_time(START)
        if self.trouble.startswith("clocks"):
            for node in self.site.nodes.values():
                node.ahead = self.site.rng.uniform(-0.05, 0.05)
        tasks = [
            asyncio.create_task(self.requests()),
            asyncio.create_task(self.cause()),
        ]
        await self.site.pass_time(LOAD)
        tasks[0].cancel()
        await self.site.pass_time(REST)
        await virtual_gateways.cancelled(tasks)

    async def requests(self) -> None:
        """Lets gateways count requests at random times."""
        rng = self.site.rng
        while True:
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
            node = rng.choice(list(self.site.nodes.values()))
            account = rng.choice(self.accounts)
            node.gateway.gossip.usage.add(account)
            window = POLICY.index(self.site.clock())
            self.truth[window][account] += 1

    def leader(self) -> str | None:
        """The gateway that holds the authority."""
        for name, node in self.site.nodes.items():
            if node.gateway.leadership.token(self.site.clock()) is not None:
                return name
        return None

    async def cause(self) -> None:
        """Causes the play's trouble."""
        site = self.site
        if self.trouble.startswith("an API that is silent"):
            await asyncio.sleep(9.0)
            site.platform.silent = True
            await asyncio.sleep(4.0)
            site.platform.silent = False
            return
        if "calls" in self.trouble:
            site.platform.late_share = 0.4
        if self.trouble.startswith("a store"):
            await asyncio.sleep(9.0)
            site.cut(list(site.nodes))
            await asyncio.sleep(4.0)
            site.heal(list(site.nodes))
            return
        while True:
            await asyncio.sleep(site.rng.uniform(2.0, 4.0))
            await self.disturb()

    async def disturb(self) -> None:
        """Disturbs one gateway."""
        site = self.site
        if self.trouble.startswith("gateways that start again"):
            name = site.rng.choice(list(site.nodes))
            # A stopping gateway writes its counts.
            await site.nodes[name].gateway.duties.flush()
            await site.restart_one(name)
            return
        name = self.leader()
        if name is None:
            return
        if "killed" in self.trouble:
            await asyncio.sleep(4.0)
            await site.restart_one(name)
        elif "cut off" in self.trouble:
            site.cut([name])
            await asyncio.sleep(site.rng.uniform(2.0, 5.0))
            if name in site.nodes:
                site.heal([name])

    def check(self, missed: int) -> None:
        """Checks what was reported."""
        duties = self.site.platform.duties
        assert duties.contradictions() == [], duties.calls
        assert duties.shared_tokens() == [], duties.calls
        wrong = []
        windows = sorted(self.truth)
        for window in windows:
            if not self.is_right(window):
                wrong.append((window, self.reports(window)[:1]))
        assert len(windows) >= LOAD / POLICY.window, windows
        assert len(wrong) <= missed, (self.site.seed, wrong)

    def reports(self, window: int) -> list:
        """The accepted reports of a window that were in time."""
        found = []
        for call in self.site.platform.duties.accepted(names.USAGE_PATH):
            if call.body["windowSeq"] != window:
                continue
            if call.at <= POLICY.end(window) + POLICY.due:
                found.append(call)
        return found

    def is_right(self, window: int) -> bool:
        """Whether a window was reported in time, within the error."""
        for call in self.reports(window):
            counts = call.body["counts"]
            for account, count in self.truth[window].items():
                # Below 20 requests, one more or less is beyond the share.
                allowed = max(ERROR * count, self.uncertain())
                if abs(counts.get(account, 0) - count) > allowed:
                    return False
            return True
        return False

    def uncertain(self) -> float:
        """Requests of an account at a window's edges, by clocks alone."""
        if not self.trouble.startswith("clocks"):
            return 0.0
        return 4.0


@behave.then(
    "in each of {plays:d} plays of {nodes:d} gateways with {trouble} all "
    "usage is reported once, and at most {missed:d} windows are missed or off"
)
def step_plays(context, plays, nodes, trouble, missed):
    for seed in range(plays):
        play = Play(seed, nodes, trouble)
        play.run()
        play.check(missed)


def reporter(log, platform, token, clock):
    """Makes what reports, for one gateway in virtual time."""
    store = virtual_store.Store(log, virtual_store.Path())
    found = usage_reports.UsageReporter(
        store,
        platform,
        fixed_leader.FixedLeader(token),
        POLICY,
        f"edge-{token}",
        lambda: 0.0,
    )
    found.clock = clock
    return found


def in_virtual_time(make):
    """Runs a coroutine that is made with a site, in virtual time."""
    site = virtual_gateways.Site(seed=1)
    platform = virtual_operations.Platform(random.Random(1))
    found = types.SimpleNamespace(site=site, platform=platform)
    site.play(make(found))
    return found


def write_counts(site, member, window, counts):
    """Writes one incarnation's counts."""
    value = {"members": {member: counts}}
    site.log.write(names.USAGE_TOPIC, f"{member}/{window}", value)


@behave.given("a window whose total another gateway has recorded")
def step_recorded(context):
    async def make(found):
        site = found.site
        window = POLICY.index(site.clock())
        write_counts(site, "edge-1-a", window, {"north-air": 5})
        await asyncio.sleep(10.0)
        first = reporter(site.log, found.platform, 1, site.clock)
        first.operations = virtual_operations.Platform(random.Random(1))
        await first.check()
        write_counts(site, "edge-2-a", window, {"north-air": 3})
        second = reporter(site.log, found.platform, 2, site.clock)
        await second.check()
        found.window = window

    context.make = make


@behave.when("a gateway that counts more becomes the leader")
def step_successor(context):
    context.found = in_virtual_time(context.make)


@behave.then("it reports the recorded total")
def step_same_total(context):
    calls = context.found.platform.duties.calls
    bodies = [call.body for call in calls]
    expected = {
        "windowSeq": context.found.window,
        "counts": {"north-air": 5},
    }
    assert expected in bodies, bodies


@behave.given("a platform that has seen a higher token")
def step_fenced(context):
    async def make(found):
        site = found.site
        await asyncio.sleep(40.0)
        seen = operations_module.encode_usage(1, {})
        await found.platform.report_usage(seen, "edge-9", fixed_leader.grant(9))
        one = reporter(site.log, found.platform, 3, site.clock)
        for _ in range(4):
            await one.check()
        found.refused = len(found.platform.duties.calls)
        one.leadership.held = 10
        await one.check()

    context.make = make


@behave.when("a gateway reports 4 windows with its own")
def step_report_fenced(context):
    context.found = in_virtual_time(context.make)


@behave.then("the platform was called once, until the token is higher")
def step_once(context):
    calls = context.found.platform.duties.calls
    # The first call is the one with the higher token.
    assert context.found.refused == 2, calls
    assert len(calls) > 2, calls
    assert all(call.accepted for call in calls[2:]), calls


@behave.then(
    "counts of {jumps:d} jumps of the clock and {accounts:d} accounts stay "
    "within {windows:d} windows of {most:d} accounts"
)
def step_bounded(context, jumps, accounts, windows, most):
    copies = metering.UsageCopies(POLICY)
    rng = random.Random(3)
    for _ in range(jumps):
        copies.add("edge-1-a", "north-air", rng.uniform(0.0, 1e6))
    for number in range(accounts):
        copies.add("edge-1-a", f"a{number}", 1e6)
    assert len(copies.counts["edge-1-a"]) <= windows, copies.counts.keys()
    for found in copies.counts["edge-1-a"].values():
        assert len(found) <= most, len(found)

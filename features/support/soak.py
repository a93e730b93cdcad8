"""A randomized soak of gateways: real processes, faults from outside them.

Faults come in series and overlap: connections that are delayed, reset, cut
or silenced by a loopback proxy; processes that are stopped, paused, killed
and started again by signals; a store that is busy, silent, loses answers or
its history. Callers keep their connections until a process is gone. What must
always hold is checked from callers' and replicas' records alone. The order
of faults follows from a seed; how the processes interleave does not.
"""

from collections.abc import Callable
import contextlib
import http.client
import pathlib
import random
import threading
import time
from typing import NamedTuple

from features.support import gateways
from features.support import http as http_calls
from features.support import processes
from features.support import soak_arrivals
from features.support import soak_authority
from features.support import soak_callers
from features.support import soak_crowds
from features.support import soak_parts
from features.support import soak_stops
from gypsumfold.platform import names

# Gateways and engines of a short run, and the number of gateways up to which
# they need no relay.
GATEWAYS = 3
ENGINES = 7
MESH = 16
PLAINS = ("app-1", "app-2")
CALLERS = 6
# Seconds of a call at a plain service.
CALL = 0.2
# Seconds that a fault lasts, and between the beginnings of two: most overlap.
LASTS = (0.5, 3.5)
BETWEEN = (0.2, 1.5)
# What replicas do to answers, as their stand-in names it; "reset" and
# "crossed" come after the request has run.
SPOILED = (
    "reset",
    "crossed",
    "stray",
    "unsealed",
    "refused",
    "broken",
    "unframed",
    "halved",
)
# Requests a second that replicas name as their limits, 0 for none, and how many
# requests a replica rejects that is full for a while.
RATE_LIMITS = (0.2, 0.5, 1.0, 2.0, 0.0)
REJECTED = 40
# Seconds of rest that replicas ask for, seconds that the copy of a store lacks,
# and answers without end that a replica gives.
RESTS = (0.8, 1.5, 2.5)
LOST = (0.5, 6.0)
ENDLESS = 2
# Seconds of calm in which a fleet has to serve again. The bound is 12 s; three
# times that leaves a loaded machine room, and the wait is on the condition.
CALM = 36.0
# Seconds between two events, attempts at taking a stream up, and seconds until
# a caller comes back for it, at most.
EVENT = 0.1
TAKE_UPS = 2
RETURN = 0.3
# Seconds of a lease, as gateways of a fleet are set up.
LEASE = 1.5
# Promises that nothing has run or will.
NOT_RUN = (408, 421, 429, 503)


class Fault(NamedTuple):
    """One fault that was injected, for the report."""

    at: float
    what: str
    where: str
    seconds: float


class Soak:
    """Runs callers against a fleet while faults come and go by a seed.

    >>> soak = Soak(fleet, seed=1, seconds=20.0)
    >>> soak.run()
    >>> soak.broken()
    []
    """

    def __init__(
        self,
        fleet: gateways.GatewayFleet,
        seed: int,
        seconds: float,
        gateway_count: int = GATEWAYS,
        engine_count: int = ENGINES,
        mesh: int = MESH,
    ):
        self.fleet = fleet
        self.mesh = mesh
        self.gateways = [f"edge-{n}" for n in range(1, gateway_count + 1)]
        self.engines = [f"engine-{n}" for n in range(1, engine_count + 1)]
        self.seed = seed
        self.seconds = seconds
        self.random = random.Random(seed)
        self.asks: list[soak_callers.Ask] = []
        self.faults: list[Fault] = []
        self.runs: dict[str, int] = {}
        self.orders: dict[str, list[dict]] = {}
        self.counted: set[tuple[str, str]] = set()
        self.arrivals: dict[str, list[soak_arrivals.Arrival]] = {}
        self.services: dict[str, str] = {}
        self.disturbed: dict[str, list[float]] = {}
        self.ended = threading.Event()
        self.lock = threading.Lock()
        self.streams: list[soak_callers.Stream] = []
        self.newest = 2
        self.recovered = True
        self.starts = dict.fromkeys(self.gateways, 1)
        self.started = 0.0
        self.parts = soak_parts.CrashingParts(self)
        self.divisions = soak_authority.Divisions(fleet, seed)
        self.crowds = soak_crowds.Crowds(fleet, seed, self.gateways)
        self.replicas = (*PLAINS, *self.engines)
        # When each gateway was cut off or frozen.
        self.frozen: dict[str, list[float]] = {}
        self.stops = soak_stops.Stops(self)

    def prepare(self) -> None:
        """Starts the fleet, each replica and the store behind a proxy."""
        # So few spare retries that a soak can exceed the budget.
        self.fleet.sections["retries"] = {
            "share": soak_arrivals.SHARE,
            "window_s": soak_arrivals.WINDOW,
            "slack": soak_arrivals.SPARE,
        }
        self.fleet.start_store()
        wanted = [(name, "app", "") for name in PLAINS]
        for number, name in enumerate(self.engines):
            wanted.append((name, "lm", "decode" if number < 4 else "prefill"))
        for name, _, stage in wanted:
            options = []
            if stage:
                version = f"v{1 + self.engines.index(name) % self.newest}"
                options = ["--stage", stage, "--version", version]
            self.fleet.start_standin(name, "platform_replica", options)
        self.fleet.proxy("store")
        for name, service, _ in wanted:
            self.fleet[name].until_ready("/_test/record")
            self.fleet.proxy(name)
            self.fleet.register(name, service)
        for name in PLAINS:
            # Long enough that most faults meet a call in progress.
            self.fleet[name].faults(seconds=CALL)
        for name in self.engines:
            self.fleet[name].faults(
                event_seconds=EVENT, crashing_part=soak_parts.PREFIX
            )
        for name in self.gateways:
            self.fleet.start_gateway(name, mesh=self.mesh)

    def run(self) -> None:
        """Plays faults and calls, then lets all calm down and serve again."""
        self.prepare()
        self.started = time.monotonic()
        threads = []
        for number in range(CALLERS):
            rng = random.Random(self.seed * 1000 + number)
            threads.append(threading.Thread(target=self.call, args=(rng,)))
        for thread in threads:
            thread.start()
        self.parts.spawn(self.parts.watch)
        self.divisions.start()
        self.crowds.start()
        pending: list[tuple[float, Callable[[], None]]] = []
        end = self.started + self.seconds
        while time.monotonic() < end:
            pending.append(self.strike())
            pending += self.stops.strike()
            time.sleep(self.random.uniform(*BETWEEN))
            pending = self.heal(pending, time.monotonic())
            self.revive(time.monotonic())
        self.heal(pending, float("inf"))
        self.divisions.stop()
        self.crowds.stop()
        self.calm()
        self.ended.set()
        for thread in threads:
            thread.join()
        self.parts.join()
        self.collect()

    def heal(self, pending, now: float):
        """Ends the faults that are over; returns the others."""
        left = []
        for until, undo in pending:
            if until > now:
                left.append((until, undo))
                continue
            undo()
        return left

    def revive(self, now: float) -> None:
        """Starts engines again that a part of prompts has ended."""
        for name in self.parts.due(now):
            entry = self.fleet.entries.get(name)
            if entry is not None and not self.fleet[name].alive:
                self.start_engine(name, entry["instance"])
            del self.parts.down[name]

    def set_faults(self, name: str, **changes) -> None:
        """Changes a replica's faults, unless a part of prompts ends it."""
        if not self.fleet[name].alive:
            return
        try:
            self.fleet[name].faults(**changes)
        except (OSError, http.client.HTTPException):
            if self.fleet[name].alive:
                raise

    def strike(self) -> tuple[float, Callable[[], None]]:
        """Injects one fault; returns when and how it ends."""
        kinds = (
            self.slow_link,
            self.cut_link,
            self.partition,
            self.cut_off,
            self.silence,
            self.store_fault,
            self.pause,
            self.kill,
            self.stop,
            self.crash_engine,
            self.crash_on_part,
            self.crash_on_part,
            self.release,
            self.release,
            self.spoil_answers,
            self.spoil_answers,
            self.limit,
            self.limit,
            self.fill,
            self.rest,
            self.rest,
            self.say_leaving,
            self.say_leaving,
            self.pour,
            self.drill,
            self.drill,
            self.kill_twice,
            self.configure,
        )
        seconds = self.random.uniform(*LASTS)
        kind = self.random.choice(kinds)
        where, undo = kind()
        at = time.monotonic() - self.started
        self.faults.append(Fault(at, kind.__name__, where, seconds))
        return time.monotonic() + seconds, undo

    def link(self) -> str:
        """Picks what is behind a proxy."""
        return self.random.choice(("store", *PLAINS, *self.engines))

    def slow_link(self):
        """Delays every chunk of one link."""
        name = self.link()
        self.fleet.proxies[name].delay(self.random.uniform(0.02, 0.4))
        return name, self.fleet.proxies[name].heal

    def cut_link(self):
        """Resets the connections of one link and refuses new ones."""
        name = self.link()
        self.fleet.proxies[name].cut()
        return name, self.fleet.proxies[name].heal

    def partition(self):
        """Lets nothing pass between one replica and one gateway."""
        name = self.random.choice((*PLAINS, *self.engines))
        gateway = self.random.choice(self.gateways)
        source = self.fleet[gateway].host
        self.disturb(gateway)
        self.fleet.proxies[name].partition(source)
        return name, self.fleet.proxies[name].heal

    def cut_off(self):
        """Cuts one or two gateways off from all replicas, in one of two ways.

        Nothing passes, or connections are reset, old and new ones.
        """
        cut = self.random.sample(self.gateways, self.random.choice((1, 1, 2)))
        how = self.random.choice(("partition", "cut"))
        self.disturb(*cut)
        for name in (*PLAINS, *self.engines):
            for gateway in cut:
                proxy = self.fleet.proxies[name]
                getattr(proxy, how)(self.fleet[gateway].host)

        def undo() -> None:
            for name in (*PLAINS, *self.engines):
                self.fleet.proxies[name].heal()
            self.disturb(*cut)

        return f"{how} {', '.join(cut)}", undo

    def silence(self):
        """Makes open connections of one link silent for good."""
        name = self.link()
        self.fleet.proxies[name].silence()
        return name, lambda: None

    def store_fault(self):
        """Makes the store busy, silent, or lose answers or its history."""
        changes = self.random.choice(
            ({"busy": True}, {"silent": True}, {"lost": 3})
        )
        self.fleet["store"].faults(**changes)

        def undo() -> None:
            self.fleet["store"].faults(busy=False, silent=False, lost=0)

        return f"store {changes}", undo

    def spoil_answers(self):
        """Has a replica lose, cross, refuse or break its next answers."""
        name = self.random.choice((*PLAINS, *self.engines))
        kind = self.random.choice(SPOILED)
        if not self.fleet[name].alive:
            return f"{name} (not there)", lambda: None
        self.set_faults(name, **{kind: 3})
        return f"{name} {kind}", lambda: None

    def disturb(self, *gateways: str) -> None:
        """Notes that gateways were cut, frozen or started just now."""
        for name in gateways:
            self.disturbed.setdefault(name, []).append(time.monotonic())

    def limit(self):
        """Has some replicas name a rate limit until they name another."""
        chosen = self.random.sample((*PLAINS, *self.engines), 3)
        rate = self.random.choice(RATE_LIMITS)
        for name in chosen:
            self.set_faults(name, rate_limit=rate)
        return f"{', '.join(chosen)} at {rate}", lambda: None

    def fill(self):
        """Has all replicas of a service reject their next requests."""
        chosen = self.random.choice((PLAINS, tuple(self.engines)))
        for name in chosen:
            self.set_faults(name, refused=REJECTED)

        def undo() -> None:
            for name in chosen:
                self.set_faults(name, refused=0)

        return chosen[0], undo

    def rest(self):
        """Has one replica or a whole service turn away and ask for rest."""
        service = self.random.choice((PLAINS, tuple(self.engines)))
        chosen = self.random.choice((service, (self.random.choice(service),)))
        seconds = self.random.choice(RESTS)
        for name in chosen:
            self.set_faults(name, rest=seconds)

        def undo() -> None:
            for name in chosen:
                self.set_faults(name, rest=0.0)

        return f"{', '.join(chosen)} {seconds}", undo

    def say_leaving(self):
        """Has an engine leave that only says so in its answers."""
        name = self.random.choice(self.engines)
        entry = self.fleet.entries.get(name)
        if entry is None or not self.fleet[name].alive:
            return f"{name} (not there)", lambda: None
        self.set_faults(name, leaving=True)

        def undo() -> None:
            if self.fleet.entries.get(name) is not entry:
                return
            if not self.fleet[name].alive:
                return
            self.count(name)
            self.fleet.crash(name)
            self.start_engine(name, entry["instance"])

        return name, undo

    def pour(self):
        """Has a replica give answers without end."""
        name = self.random.choice((*PLAINS, *self.engines))
        self.set_faults(name, endless=ENDLESS)
        return name, lambda: None

    def drill(self):
        """Has the store return from an older copy, after a moment away."""
        seconds = self.random.uniform(*LOST)
        self.fleet["store"].faults(busy=True)
        url = self.fleet["store"].url
        answer = http_calls.post(f"{url}/_test/go_back?seconds={seconds}", b"")
        assert answer.status == 200, answer

        def undo() -> None:
            self.fleet["store"].faults(busy=False)

        return f"{seconds:.1f} s", undo

    def kill_twice(self):
        """Kills a gateway, starts it, and kills it once more."""
        process = self.fleet[self.random.choice(self.gateways)]
        if process.alive and not process.frozen:
            process.kill()
            process.child.wait()
            self.restart(process)
        return self.end_gateway(lambda process: process.kill())

    def pause(self):
        """Pauses a gateway and lets it go on."""
        process = self.fleet[self.random.choice(self.gateways)]
        if process.alive and not process.frozen:
            self.frozen.setdefault(process.name, []).append(time.monotonic())
            process.freeze()

        def undo() -> None:
            self.disturb(process.name)
            if process.frozen and process.alive:
                process.thaw()

        return process.name, undo

    def kill(self):
        """Kills a gateway; it is started again."""
        return self.end_gateway(lambda process: process.kill())

    def stop(self):
        """Stops a gateway gracefully; it is started again."""
        return self.end_gateway(lambda process: process.terminate())

    def end_gateway(self, end):
        """Ends a gateway in some way; it is started again."""
        process = self.fleet[self.random.choice(self.gateways)]
        if not process.alive or process.frozen:
            return f"{process.name} (not there)", lambda: None
        end(process)
        ended = process.child

        def undo() -> None:
            # Paused on its way out, or started again for another fault.
            if process.frozen or process.child is not ended:
                return
            ended.wait()
            self.restart(process)

        return process.name, undo

    def restart(self, process: processes.Process) -> None:
        """Starts a gateway again."""
        process.restart()
        self.starts[process.name] += 1
        self.disturb(process.name)

    def crash_on_part(self):
        """Lets requests come with a part that ends each engine."""
        return self.parts.begin(), lambda: None

    def crash_engine(self):
        """Kills an engine; a new one comes at its address."""
        name = self.random.choice(self.engines)
        if name not in self.fleet.entries or not self.fleet[name].alive:
            return name, lambda: None
        self.count(name)
        entry = self.fleet.entries[name]
        self.fleet.crash(name)

        def undo() -> None:
            self.start_engine(name, entry["instance"])

        return name, undo

    def release(self):
        """Has an engine leave; one of another version comes at its address."""
        name = self.random.choice(self.engines)
        entry = self.fleet.entries.get(name)
        if entry is None or entry["state"] == "draining":
            return f"{name} (not there)", lambda: None
        entry["state"] = "draining"
        self.set_faults(name, leaving=True)
        self.fleet.write(names.REGISTRATIONS_TOPIC, entry["instance"], entry)
        # A release goes on, is rolled back, or stops half way.
        number = self.newest + self.random.choice((1, 0, 0, -1))
        self.newest = max(self.newest, number)
        version = f"v{max(1, number)}"

        def undo() -> None:
            if self.fleet.entries.get(name) is not entry:
                return
            self.count(name)
            self.fleet.crash(name)
            command = self.fleet[name].command
            command[command.index("--version") + 1] = version
            self.start_engine(name, entry["instance"])

        return f"{name} {version}", undo

    def start_engine(self, name: str, instance: str) -> None:
        """Starts an engine again, in the place of another instance."""
        self.fleet[name].restart()
        self.fleet[name].until_ready("/_test/record")
        self.fleet[name].faults(
            event_seconds=EVENT, crashing_part=soak_parts.PREFIX
        )
        self.fleet.write(names.REGISTRATIONS_TOPIC, instance, None)
        self.fleet.register(name, "lm")

    def configure(self):
        """Writes a newer configuration."""
        return f"version {self.fleet.configure()}", lambda: None

    def calm(self) -> None:
        """Waits until every gateway serves every kind of request again."""
        self.parts.stop()
        for name in self.gateways:
            process = self.fleet[name]
            if process.frozen:
                process.thaw()
        for name in (*PLAINS, *self.engines):
            self.set_faults(
                name,
                rate_limit=0.0,
                rest=0.0,
                endless=0,
                endless_events=0,
                odd_status=0,
            )
        self.replace_leaving()
        rng = random.Random(self.seed)
        limit = time.monotonic() + CALM
        wanted = {
            (name, path)
            for name in self.gateways
            for path in soak_callers.PATHS
        }
        while wanted and time.monotonic() < limit:
            self.revive(time.monotonic())
            for name, path in sorted(wanted):
                if not self.fleet[name].alive:
                    self.restart(self.fleet[name])
                with contextlib.closing(
                    soak_callers.Caller(self.fleet, rng)
                ) as caller:
                    ask = caller.ask(name, path)
                if ask.status == 200 and ask.whole:
                    wanted.discard((name, path))
        self.recovered = not wanted

    def replace_leaving(self) -> None:
        """Replaces the engines that have only said that they leave."""
        for name in self.engines:
            entry = self.fleet.entries.get(name)
            if entry is None or not self.fleet[name].alive:
                continue
            try:
                leaving = self.fleet[name].test("faults")["leaving"]
            except (OSError, http.client.HTTPException):
                if self.fleet[name].alive:
                    raise
                continue
            if not leaving:
                continue
            self.count(name)
            self.fleet.crash(name)
            self.start_engine(name, entry["instance"])

    def call(self, rng: random.Random) -> None:
        """Asks for one thing after the other, on kept connections."""
        caller = soak_callers.Caller(self.fleet, rng)
        while not self.ended.is_set():
            ask = caller.ask(
                rng.choice(self.gateways), rng.choice(soak_callers.PATHS)
            )
            with self.lock:
                self.asks.append(ask)
            if ask.path == soak_callers.SWAP and ask.events:
                self.take_up(caller, rng, soak_callers.Stream([ask]))
        caller.close()

    def take_up(
        self,
        caller: soak_callers.Caller,
        rng: random.Random,
        stream: soak_callers.Stream,
    ) -> None:
        """Takes a stream up at any gateway as long as it breaks off."""
        for _ in range(TAKE_UPS):
            if stream.asks[-1].status == 200 and stream.asks[-1].whole:
                break
            time.sleep(rng.uniform(0.0, RETURN))
            gateway = rng.choice(self.gateways)
            ask = caller.ask(gateway, soak_callers.SWAP, stream)
            stream.asks.append(ask)
            with self.lock:
                self.asks.append(ask)
        with self.lock:
            self.streams.append(stream)

    def count(self, name: str) -> None:
        """Adds what a replica has run and was ordered, before it ends.

        What one has run that a part of prompts has ended isn't known.
        """
        try:
            record = self.fleet[name].test("record")
        except (OSError, http.client.HTTPException):
            if self.fleet[name].alive:
                raise
            return
        key = (name, record["instance"])
        assert key not in self.counted, key
        self.counted.add(key)
        for run in record["runs"]:
            attempt = run["attempt"]
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.orders[record["instance"]] = record["orders"]
        self.services[record["instance"]] = "app" if name in PLAINS else "lm"
        arrivals = self.arrivals.setdefault(record["instance"], [])
        for row in record["arrival_log"]:
            arrivals.append(
                soak_arrivals.Arrival(
                    row["at"],
                    row["attempt"],
                    row["prefilled"],
                    row["rate_limit"],
                    row["leaving"],
                    row["rest"],
                )
            )

    def collect(self) -> None:
        """Reads the records of all replicas that are left."""
        for name in (*PLAINS, *self.engines):
            self.count(name)

    def broken(self) -> list[str]:
        """Lists each promise that was broken, with the request or engine."""
        found = []
        for ask in self.asks:
            found += self.judge(ask)
        for stream in self.streams:
            found += judge_stream(stream)
        for instance, orders in self.orders.items():
            tokens = [order["fence"] for order in orders]
            if tokens != sorted(tokens):
                found.append(f"{instance}: lower token after higher: {tokens}")
            holders: dict[int, str] = {}
            for order in orders:
                first = holders.setdefault(order["fence"], order["holder"])
                if first != order["holder"]:
                    found.append(f"{instance}: two holders of one token")
            found += soak_authority.turns(instance, orders, LEASE)
        found += self.judge_arrivals()
        found += self.parts.broken()
        found += self.crowds.broken()
        found += self.stops.broken()
        for name in self.gateways:
            found += self.regressed(name)
        if not self.recovered:
            found.append("a gateway does not serve again")
        return found

    def judge(self, ask: soak_callers.Ask) -> list[str]:
        """Judges one request by its answer and by what ran."""
        found = []
        runs = self.runs.get(ask.attempt, 0)
        if ask.path not in soak_callers.REPEATABLE and runs > 1:
            found.append(f"{ask}: ran {runs} times")
        if (
            ask.status in NOT_RUN
            and ask.path not in soak_callers.REPEATABLE
            and runs
        ):
            found.append(f"{ask}: said not to have run, ran {runs} times")
        if ask.status == 200 and ask.whole and not ask.sealed:
            found.append(f"{ask}: a success that nobody vouches for")
        if ask.status > 599:
            found.append(f"{ask}: no status of an answer")
        complete = ask.status == 200 and ask.whole
        if (
            complete
            and "stream" in ask.path
            and not ask.is_take_up
            and not soak_callers.in_order(ask.body)
        ):
            found.append(f"{ask}: not all events in order")
        return found

    def judge_arrivals(self) -> list[str]:
        """Judges what replicas got by the retry budget and by their limits."""
        gateways_by_attempt = {ask.attempt: ask.gateway for ask in self.asks}
        found = []
        for instance, arrivals in self.arrivals.items():
            kept = []
            for arrival in arrivals:
                gateway = gateways_by_attempt.get(arrival.attempt)
                if not self.is_excused(gateway, arrival.at):
                    kept.append(arrival)
            found += soak_arrivals.over_limit(instance, kept)
            for judge in (soak_arrivals.after_leaving, soak_arrivals.in_rest):
                found += judge(instance, kept, gateways_by_attempt)
        for service in ("app", "lm"):
            arrivals = []
            for instance, some in self.arrivals.items():
                if self.services[instance] == service:
                    arrivals += some
            sent = []
            for ask in self.asks:
                if ("stream" in ask.path) == (service == "lm"):
                    sent.append(ask.at)
            found += soak_arrivals.over_budget(service, arrivals, sent)
        return found

    def is_excused(self, gateway: str | None, at: float) -> bool:
        """Whether a gateway was cut, frozen or started a moment before."""
        if gateway is None:
            return True
        for moment in self.disturbed.get(gateway, ()):
            if 0.0 <= at - moment < soak_arrivals.CONTACT:
                return True
        return False

    def regressed(self, name: str) -> list[str]:
        """Checks that no process of a gateway went back in configuration.

        The first one of a process has none before it.
        """
        version = 0
        firsts = 0
        found = []
        for line in self.fleet[name].events(710):
            if line["before"] is None:
                firsts += 1
                version = 0
            if line["version"] <= version:
                found.append(f"{name}: {version} then {line['version']}")
            version = line["version"]
        if firsts > self.starts[name]:
            found.append(f"{name}: {firsts} firsts in {self.starts[name]} runs")
        return found


def judge_stream(stream: soak_callers.Stream) -> list[str]:
    """Judges a stream by the events of all of its attempts."""
    found = []
    events = stream.events()
    numbers = [number for number, _ in events]
    if numbers != list(range(1, len(numbers) + 1)):
        found.append(f"{stream.asks}: events {numbers}")
    versions = {version for _, version in events}
    if len(versions) > 1:
        found.append(f"{stream.asks}: events of {sorted(versions)}")
    return found


def count_take_ups(soak: Soak) -> tuple[int, int]:
    """Counts the attempts at taking streams up, and those that went on."""
    attempts = 0
    went_on = 0
    for stream in soak.streams:
        for ask in stream.asks[1:]:
            attempts += 1
            went_on += bool(ask.events)
    return attempts, went_on


def timeline(soak: Soak, path: pathlib.Path) -> None:
    """Writes the faults and the ends of requests for a person to read."""
    ends: dict[int, int] = {}
    for ask in soak.asks:
        ends[ask.status] = ends.get(ask.status, 0) + 1
    lines = [f"seed {soak.seed}: {len(soak.asks)} requests, by status {ends}"]
    attempts, went_on = count_take_ups(soak)
    lines.append(f"{went_on} of {attempts} attempts took a stream up")
    lines.append(f"engines ended by parts of prompts: {soak.parts.ended()}")
    for fault in soak.faults:
        lines.append(
            f"{fault.at:7.2f} s  {fault.what:13} {fault.where}"
            f" for {fault.seconds:.2f} s"
        )
    lines += soak.broken() or ["no promise was broken"]
    path.write_text("\n".join(lines) + "\n")

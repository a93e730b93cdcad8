"""Callers, operators and faults all at once, and what came of them.

The order of faults follows from a seed. How the processes interleave does
not, so only what must always hold is checked, from records alone.
"""

from collections.abc import Callable
import random
import threading
import time
from typing import NamedTuple

import uuid6

from features.support import deployments
from features.support import fleets
from features.support import http

NODES = ("entry-0", "entry-1", "entry-2", "entry-3")
ENGINES = ("lm-0", "lm-1", "lm-2")
MAX_TOKENS = 30
# Seconds that a fault lasts: longer than a lease in these settings.
LASTS = 2.0
# Seconds between a fault's end and the next one's begin.
BETWEEN = 0.5
# Seconds of one call at a plain service: some are always in progress.
SERVICE = 0.2
# Seconds after which a caller turns to another node, as one at a frozen
# node does.
PATIENCE = 1.0
# Tries of a caller with an idempotency key, each through another node.
TRIES = 6


class Call(NamedTuple):
    """One call of the plain service, to its last answer.

    Attributes:
        content: Its body, unlike any other.
        keyed: Whether it had an idempotency key.
        outcomes: What each answer said; empty where none came.
        exact: Whether each answer with a result was the right one.
    """

    content: str
    keyed: bool
    outcomes: tuple[str, ...]
    exact: bool


class Mixture:
    """Runs callers against a fleet while faults come and go.

    >>> mixture = Mixture(fleet, proxies, plain, seed=1)
    >>> mixture.run()
    >>> mixture.calls
    [Call(...)]
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        proxies: dict,
        plain: list[str],
        seed: int,
    ):
        self.fleet = fleet
        self.proxies = proxies
        self.plain = plain
        self.random = random.Random(seed)
        self.seed = seed
        self.ended = threading.Event()
        self.completions: list[deployments.Completion] = []
        self.calls: list[Call] = []
        self.orders: dict[str, list[dict]] = {name: [] for name in ENGINES}
        self.faults: list[str] = []

    def run(self) -> None:
        """Runs two rounds of every fault, in an order by the seed."""
        threads = []
        for number in range(3):
            for work in (self.complete, self.call, self.call_by_key):
                threads.append(self.start(work, number))
        threads.append(self.start(self.operate, 0))
        threads.append(self.start(self.operate, 1))
        try:
            for _ in range(2):
                self.strike_all()
        finally:
            self.ended.set()
            for thread in threads:
                thread.join()

    def start(self, work: Callable, number: int) -> threading.Thread:
        """Runs one caller or operator until the faults are over."""
        rng = random.Random(f"{self.seed} {work.__name__} {number}")
        label = f"{work.__name__}-{number}"

        def loop() -> None:
            count = 0
            while not self.ended.is_set():
                work(f"{label}-{count}", rng)
                count += 1
                self.ended.wait(rng.uniform(0.0, 0.1))

        thread = threading.Thread(target=loop, name=label)
        thread.start()
        return thread

    def node(self, rng: random.Random):
        """Picks a node, as a balancer without any knowledge would."""
        return self.fleet[rng.choice(NODES)]

    def complete(self, content: str, rng: random.Random) -> None:
        """Asks for one streamed completion."""
        node = self.node(rng)
        found = deployments.complete(node, content, MAX_TOKENS)
        self.completions.append(found)

    def call(self, content: str, rng: random.Random) -> None:
        """Makes one call without a key, and never again."""
        self.note(content, False, [self.send(content, rng)])

    def call_by_key(self, content: str, rng: random.Random) -> None:
        """Makes one call with a key, again until its end is known."""
        key = {"Idempotency-Key": str(uuid6.uuid7())}
        answers = []
        for _ in range(TRIES):
            answers.append(self.send(content, rng, **key))
            last = outcome_of(answers[-1])
            if last not in ("", "undetermined"):
                break
            self.ended.wait(0.3)
        self.note(content, True, answers)

    def send(
        self, content: str, rng: random.Random, **extra: str
    ) -> http.Answer | None:
        """Sends one call to some node; None where no answer came in time."""
        path = f"/v1/services/{deployments.PLAIN}/{deployments.CALL}"
        try:
            return http.post(
                self.node(rng).url + path,
                content.encode(),
                headers=deployments.headers(**extra),
                timeout=PATIENCE,
            )
        except http.Gone:
            return None

    def note(
        self, content: str, keyed: bool, answers: list[http.Answer | None]
    ) -> None:
        """Remembers what a caller was told."""
        exact = True
        for answer in answers:
            if answer is not None and answer.status == 200:
                wanted = deployments.expected_call(content)
                exact = exact and answer.body == wanted
        outcomes = tuple(map(outcome_of, answers))
        self.calls.append(Call(content, keyed, outcomes, exact))

    def operate(self, label: str, rng: random.Random) -> None:
        """Orders a role or changes a declaration, through any node."""
        engine = rng.choice(ENGINES)
        role = rng.choice(("mixed", "prefill", "decode"))
        text = f'order endpoint "{engine}" role {role};'
        if rng.random() < 0.5:
            deadline = rng.randrange(20, 60)
            text = f'alter kind "briefing" set deadline = {deadline};'
        body = {
            "text": text,
            "change_id": str(uuid6.uuid7()),
            "preconditions": [],
        }
        # Any answer is fine here; what came of it stands in the records.
        try:
            self.fleet.operate("/v1/statements", body, self.node(rng))
        except http.Gone:
            self.ended.wait(0.2)
        self.ended.wait(1.0)

    def strike_all(self) -> None:
        """Strikes with each kind of fault once; some overlap."""
        kinds = [
            self.kill_node,
            self.freeze_node,
            self.cut_peer,
            self.silence_engine,
            self.cut_service,
            self.silence_service,
            self.stop_log,
            self.lose_appends,
            self.crash_engine,
            self.freeze_engine,
            self.silence_log,
        ]
        self.random.shuffle(kinds)
        # Two at a time, then the odd one alone.
        for place in range(0, len(kinds), 2):
            undo = [strike() for strike in kinds[place : place + 2]]
            time.sleep(LASTS)
            for heal in undo:
                heal()
            time.sleep(BETWEEN)

    def told(self, text: str) -> None:
        """Keeps the order of faults, for a failure's report."""
        self.faults.append(text)

    def kill_node(self) -> Callable[[], None]:
        """Kills a node; it comes back with a new incarnation."""
        node = self.fleet[self.random.choice(NODES)]
        self.told(f"kill {node.name}")
        if node.frozen:
            node.thaw()
        node.kill()
        return node.restart

    def freeze_node(self) -> Callable[[], None]:
        """Freezes a node, which then wakes with its old beliefs."""
        node = self.fleet[self.random.choice(NODES)]
        self.told(f"freeze {node.name}")
        if not node.alive:
            return lambda: None
        node.freeze()

        def wake() -> None:
            if node.alive:
                node.thaw()

        return wake

    def cut_peer(self) -> Callable[[], None]:
        """Cuts an engine off from one node."""
        engine = self.random.choice(ENGINES)
        node = self.fleet[self.random.choice(NODES)]
        self.told(f"cut {engine} from {node.name}")
        self.proxies[engine].cut(source=node.host)
        return self.proxies[engine].heal

    def silence_engine(self) -> Callable[[], None]:
        """Makes the open connections to an engine silent for good."""
        engine = self.random.choice(ENGINES)
        self.told(f"silence {engine}")
        self.proxies[engine].silence()
        return lambda: None

    def cut_service(self) -> Callable[[], None]:
        """Cuts a plain service off from all nodes, calls in progress too."""
        service = self.random.choice(self.plain)
        self.told(f"cut {service}")
        self.proxies[service].cut()
        return self.proxies[service].heal

    def silence_service(self) -> Callable[[], None]:
        """Makes the open connections to a plain service silent for good."""
        service = self.random.choice(self.plain)
        self.told(f"silence {service}")
        self.proxies[service].silence()
        return lambda: None

    def silence_log(self) -> Callable[[], None]:
        """Makes the open connections to the log silent for good."""
        self.told("silence the log")
        self.proxies["log"].silence()
        return lambda: None

    def stop_log(self) -> Callable[[], None]:
        """Has the log refuse all for a while."""
        self.told("log outage")
        log = self.fleet["log"]
        log.faults(appends_down=True, reads_down=True)
        return lambda: log.faults(appends_down=False, reads_down=False)

    def lose_appends(self) -> Callable[[], None]:
        """Has the log take appends whose answers are lost."""
        self.told("lost appends")
        self.fleet["log"].faults(lost_answers=5)
        return lambda: self.fleet["log"].faults(lost_answers=0)

    def crash_engine(self) -> Callable[[], None]:
        """Kills an engine; its records are kept first."""
        engine = self.fleet[self.random.choice(ENGINES)]
        self.told(f"crash {engine.name}")
        if engine.frozen:
            engine.thaw()
        self.orders[engine.name] += engine.test("orders")
        engine.kill()
        return engine.restart

    def freeze_engine(self) -> Callable[[], None]:
        """Freezes an engine in whatever it does."""
        engine = self.fleet[self.random.choice(ENGINES)]
        self.told(f"freeze {engine.name}")
        if not engine.alive:
            return lambda: None
        engine.freeze()

        def wake() -> None:
            if engine.alive:
                engine.thaw()

        return wake

    def all_orders(self, engine: str) -> list[dict]:
        """Lists what an engine recorded, also before it crashed."""
        return self.orders[engine] + self.fleet[engine].test("orders")


def outcome_of(answer: http.Answer | None) -> str:
    """What an answer says of the request; empty where there is none."""
    if answer is None:
        return ""
    return answer.headers.get("gypsumfold-outcome", "")

"""Runs requests whose replicas cut their answers; checks what callers get."""

from concurrent import futures
import threading
from typing import NamedTuple

from features.support import cut_replicas
from features.support import gateways
from gypsumfold.platform import names

CHAIN = "aa:4000,bb:300"
# Requests of a generation that may be repeated, but not resumed.
REPEATS = {
    **gateways.BRIEF,
    "name": "repeats",
    "pathPrefix": "/repeats/",
    "kind": "idempotent",
    "attempts": 2,
}
METHODS = {"seats": "POST", "lookups": "GET"}
MAX_RUNS = {"seats": 1, "lookups": 2, "briefs": 1, "swaps": 2, "repeats": 2}
CALLERS = 12
STREAM = b"".join(cut_replicas.EVENTS)
ATTEMPT_ID = "0" * 16


class Case(NamedTuple):
    """One request.

    Attributes:
        route: Name of its route.
        cut: How its answer ends.
        content: "events" or "json".
        method: HTTP method; empty for the route's.
    """

    route: str
    cut: cut_replicas.Cut
    content: str = "json"
    method: str = ""


class Site:
    """Gateways before replicas that cut their answers.

    Attributes:
        results: Number of cases by what the caller got.
        violations: What must not happen but did.
    """

    def __init__(self, context_fleet: gateways.GatewayFleet):
        self.fleet = context_fleet
        self.replicas = cut_replicas.CutReplicas()
        self.results: dict[str, int] = {}
        self.violations: list[str] = []
        self.lock = threading.Lock()
        self.known: list[cut_replicas.CutReplica] = []

    def start(self, edges: tuple[str, ...] = ("edge-1",)) -> None:
        """Starts the store, the replicas and the gateways."""
        self.fleet.routes = [*self.fleet.routes, REPEATS]
        # Repetitions are what is tested, so that all of them are allowed.
        self.fleet.sections["retries"] = {
            "share": 1.0,
            "window_s": 10,
            "slack": 10_000,
        }
        self.fleet.start_store()
        self.fleet.take_authority()
        wanted = [("app", "")] * 8 + [("lm", "prefill")] * 6
        wanted += [("lm", "decode")] * 8
        for service, stage in wanted:
            replica = self.replicas.add(service, stage)
            self.known.append(replica)
            self.fleet.write(
                names.REGISTRATIONS_TOPIC, replica.instance, replica.entry()
            )
        for edge in edges:
            self.fleet.start_gateway(edge)
        for edge in edges:
            gateways.until(lambda edge=edge: self.knows(edge), "unknown")

    def knows(self, edge: str) -> bool:
        """Whether a gateway knows all replicas."""
        found = {line["instance"] for line in self.fleet[edge].events(310)}
        return found >= {replica.instance for replica in self.known}

    def run(self, cases: list[Case], edge: str = "edge-1") -> None:
        """Runs cases side by side, each followed by a sound request."""
        remaining = list(reversed(cases))

        def call() -> None:
            caller = cut_replicas.Caller(
                self.fleet[edge].host, gateways.FRONT_PORT
            )
            while remaining:
                try:
                    case = remaining.pop()
                except IndexError:
                    break
                self.check(case, *self.ask(caller, case))
                self.check_next(caller, case)
            caller.close()

        with futures.ThreadPoolExecutor(CALLERS) as pool:
            for found in [pool.submit(call) for _ in range(CALLERS)]:
                found.result()

    def ask(
        self, caller: cut_replicas.Caller, case: Case
    ) -> tuple[str, cut_replicas.Reply]:
        """Sends a case's request; returns its attempt and the answer."""
        method, path, body, fields = request(case)
        answer = caller.ask(method, path, body, fields)
        return fields[names.ATTEMPT], answer

    def exchange(self, cases: list[Case], edge: str = "edge-1") -> bytes:
        """Sends requests at once on one connection; returns all that comes."""
        data = b""
        for case in cases:
            method, path, body, fields = request(case)
            fields["Content-Length"] = str(len(body or b""))
            if case == cases[-1]:
                fields["Connection"] = "close"
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            data += "\r\n".join([*lines, "", ""]).encode() + (body or b"")
        return gateways.exchange(self.fleet[edge], data)

    def check(
        self, case: Case, attempt: str, reply: cut_replicas.Reply
    ) -> None:
        """Checks a case's answer and runs."""
        expected = STREAM if case.content == "events" else cut_replicas.BODY
        if case.method == "HEAD" or case.cut.kind in ("204", "304"):
            expected = b""
        runs = self.replicas.runs_of(attempt)
        result = f"{reply.status} {'whole' if reply.is_whole else 'broken'}"
        wrong = ""
        if reply.body == cut_replicas.TIMED_OUT:
            wrong = "the caller waits for more than comes"
        elif runs > MAX_RUNS[case.route]:
            wrong = f"{runs} runs"
        elif reply.status and reply.status < 300:
            if reply.is_whole and reply.body != expected:
                if not may_be_whole(case, reply.body):
                    wrong = "a short or wrong answer looks complete"
            elif not expected.startswith(reply.body):
                wrong = "pieces are lost or doubled"
            elif reply.seal != f"s.{attempt}":
                wrong = "another request's answer"
        elif reply.status and reply.status < 400 and reply.body:
            wrong = "a body where none may be"
        with self.lock:
            self.results[result] = self.results.get(result, 0) + 1
            if wrong:
                self.violations.append(f"{wrong}: {case} got {reply}")

    def check_next(self, caller: cut_replicas.Caller, before: Case) -> None:
        """Checks the answer to a sound request on the same connection."""
        case = Case("lookups", cut_replicas.Cut("length"))
        attempt, reply = self.ask(caller, case)
        sound = (
            reply.status == 200
            and reply.is_whole
            and reply.body == cut_replicas.BODY
            and reply.seal == f"s.{attempt}"
        )
        result = "next sound" if sound else f"next {reply.status}"
        with self.lock:
            self.results[result] = self.results.get(result, 0) + 1
            # A replica that failed may rest for a moment.
            if not sound and reply.status not in (503, 429):
                self.violations.append(f"after {before}: {reply}")

    def close(self) -> None:
        """Ends the replicas."""
        self.replicas.close()


def request(case: Case) -> tuple[str, str, bytes | None, dict[str, str]]:
    """The method, path, body and header fields of a case's request."""
    method = case.method or METHODS.get(case.route, "POST")
    chain = "" if case.route in METHODS else CHAIN
    fields = gateways.headers(10.0, chain, stream=case.content == "events")
    fields[cut_replicas.CUT] = case.cut.encode()
    attempt = fields[names.ATTEMPT]
    body = attempt.encode() if method == "POST" else None
    # Each target differs, as repeated failures of one are suspicious.
    return method, f"/{case.route}/{attempt}", body, fields


def may_be_whole(case: Case, body: bytes) -> bool:
    """Whether nothing can tell that a body was cut.

    Without a length or chunks, a stream that is closed in order after a whole
    event is one that has ended.
    """
    if case.cut.kind != "unframed" or case.cut.ends != "closed":
        return False
    at_event_end = body.endswith(b"\n\n") and STREAM.startswith(body)
    return case.content == "events" and at_event_end


def size_of(kind: str, content: str, body: bytes) -> int:
    """Bytes of a whole answer."""
    full = "text/event-stream" if content == "events" else "application/json"
    return len(cut_replicas.answer(kind, ATTEMPT_ID, body, full))


def cuts(
    kind: str,
    ends: str,
    content: str = "json",
    stage: str = "",
    step: int = 1,
) -> list[cut_replicas.Cut]:
    """Cuts an answer after each of its bytes, except the last one."""
    body = cut_replicas.BODY if content == "json" else STREAM
    if stage == "prefill":
        content = "json"
        body = b'{"handle": "h%b"}' % ATTEMPT_ID.encode()
    elif stage == "resume":
        body = b"".join(cut_replicas.EVENTS[1:])
    size = size_of(kind, content, body)
    return [
        cut_replicas.Cut(kind, place, ends, stage)
        for place in range(0, size, step)
    ]

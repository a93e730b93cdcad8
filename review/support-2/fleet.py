"""Starts a small deployment: gateways as the deploy file has it, stand-ins."""

from collections.abc import Callable
import contextlib
import copy
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
SUPPORT = pathlib.Path(__file__).resolve().parent
HOST = "ficu95.example"
# Seconds until a process has to serve.
START_SECONDS = 20.0
# Seconds between two entries of a replica.
BEAT_SECONDS = 1.2
BEAT_SPREAD = 0.1
# What the platform makes of `deploy/gateway.toml.template`.
SETTINGS = """
[node]
name = "{name}"
data_centre = "north-apron"
core_share = 0.537
core_speed = 2
link_mbps = 1000.0
first_start = {first_start}
[callers]
front = "{front}"
ready = "{ready}"
[store]
address = "{store}"
shortest_lease_ms = 1000
contact_ms = 3000
[peers]
address = "{peers}"
[replicas]
leaving_ms = 2000
[accounts]
strict = false
[retries]
share = 0.2
window_s = 10
slack = 52
[orders]
lease_ms = 3000
[operations]
duties = []
[shutdown]
grace_s = 8
[process]
memory_mb = 300
descriptors = 4100
[metrics]
port = {metrics}
"""
ROUTE = {
    "host": HOST,
    "kind": "idempotent",
    "timeoutMs": 2000,
    "goalMs": 200,
    "priority": 1,
    "attempts": 2,
    "service": "wuno96b",
}
CONFIG = {
    "version": 7,
    "routes": [
        {**ROUTE, "name": "r-lookup", "pathPrefix": "/puxa403/"},
        {
            **ROUTE,
            "name": "r-hold",
            "pathPrefix": "/rapu33/",
            "kind": "non_idempotent",
            "attempts": 1,
        },
    ],
    "services": [
        {
            "name": "wuno96b",
            "healthPath": "/healthz",
            "maxConns": 96,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": {
        "maxHeaderBytes": 65536,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 10000,
        "idleTimeoutMs": 60000,
    },
}


class CannotRun(Exception):
    """The case couldn't be run."""


def free_address(host: str) -> str:
    """Returns a free address of a loopback host."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


def call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    seconds: float = 5.0,
) -> tuple[int, bytes]:
    """Makes one call; returns status and body."""
    connection = http.client.HTTPConnection(address, timeout=seconds)
    try:
        connection.request(method, target, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


class Fleet:
    """The processes of one case, and its record.

    >>> with Fleet(pathlib.Path("review/6/record.txt")) as fleet:
    ...     fleet.start_store()
    """

    def __init__(self, record: pathlib.Path):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = open(record, "w", encoding="utf-8")  # noqa: SIM115
        self.started = time.time()
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}
        self.config = copy.deepcopy(CONFIG)
        self.ready_addresses: dict[str, str] = {}
        self.settings: dict[str, str] = {}
        self.entries: dict[str, dict[str, object]] = {}
        self.phases: dict[str, float] = {}
        # When each replica writes its entry next.
        self.dues: dict[str, float] = {}
        self.lock = threading.Lock()
        self.closing = threading.Event()
        self.beats: threading.Thread | None = None
        network = random.randint(16, 200)
        self.hosts = (f"127.{network}.7.{number}" for number in range(1, 250))

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *ignored) -> None:
        self.closing.set()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()

    def note(self, text: str) -> None:
        """Writes a line of the record."""
        since = time.time() - self.started
        with self.lock:
            print(f"{since:8.3f} s  {text}", file=self.record_file, flush=True)

    def start(
        self, name: str, command: list[str], environment: dict[str, str]
    ) -> None:
        """Starts a process at the root."""
        log = open(self.folder / f"{name}.log", "w")  # noqa: SIM115
        kept = {"PATH": os.environ["PATH"], "HOME": str(self.folder)}
        self.processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**kept, **environment},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def start_standin(self, name: str, module: str, *options: str) -> None:
        """Starts a stand-in and waits until it serves."""
        address = free_address(next(self.hosts))
        host, _, port = address.rpartition(":")
        script = str(SUPPORT / f"{module}.py")
        command = [sys.executable, script, "--address", host, "--port", port]
        self.addresses[name] = address
        self.start(name, [*command, *options], {"PYTHONPATH": str(SUPPORT)})
        self.wait_until(name, address, "/healthz", lambda status: True)

    def start_store(self) -> None:
        """Starts the store and writes the first config."""
        self.start_standin("store", "store")
        self.write("keyed.op", "config", json.dumps(self.config).encode())

    def start_replica(self, name: str, phase: float, *options: str) -> None:
        """Starts a replica that writes its entry from now on.

        Args:
            name: Its id.
            phase: Seconds until it writes its entry again.
            *options: Options of the stand-in.
        """
        self.start_standin(name, "replica", "--instance", name, *options)
        self.entries[name] = {
            "service": "wuno96b",
            "addr": self.addresses[name],
            "zone": "north-apron",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "born": int(time.time() * 1000),
            "seq": 0,
        }
        self.phases[name] = phase
        self.write_entry(name)

    def start_gateway(self, name: str) -> None:
        """Starts a gateway and waits until it is ready."""
        host = next(self.hosts)
        self.addresses[name] = free_address(host)
        ready = free_address(host)
        metrics = free_address(host).rpartition(":")[2]
        self.ready_addresses[name] = ready
        text = SETTINGS.format(
            name=name,
            first_start="{first_start}",
            front=self.addresses[name],
            ready=ready,
            store=self.addresses["store"],
            peers=free_address(host),
            metrics=metrics,
        )
        self.settings[name] = text
        self.run_gateway(name, "true")
        self.wait_until_ready(name)

    def restart_gateway(self, name: str) -> None:
        """Starts a gateway that has ended, on its addresses."""
        self.run_gateway(name, "false")

    def run_gateway(self, name: str, first_start: str) -> None:
        """Starts a gateway's process with the command of the deploy file."""
        path = self.folder / f"{name}.toml"
        path.write_text(self.settings[name].format(first_start=first_start))
        self.start(
            name,
            ["python3", "-m", "gypsumfold.gateway.main"],
            {
                "PYTHONPATH": "target/deps",
                "GYPSUMFOLD_SETTINGS": str(path),
                "SSL_CERT_FILE": "/dev/null",
            },
        )

    def wait_until_ready(self, name: str) -> None:
        """Waits until a gateway says that it is ready."""
        self.wait_until(
            name,
            self.ready_addresses[name],
            "/v1/readyz",
            lambda status: status == 200,
        )

    def wait_until(self, name: str, address: str, path: str, fits) -> None:
        """Waits until a process gives an answer that fits."""
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            if self.processes[name].poll() is not None:
                break
            try:
                if fits(call(address, "GET", path)[0]):
                    return
            except OSError:
                pass
            time.sleep(0.02)
        text = (self.folder / f"{name}.log").read_text()[-2000:]
        raise CannotRun(f"{name} does not serve: {text}")

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record as the operator and replicas do."""
        target = f"/_test/write?topic={topic}&key={key}"
        status, _ = call(self.addresses["store"], "POST", target, value)
        if status != 200:
            raise CannotRun(f"the store answered {status}")

    def mute(self, topic: str) -> None:
        """Has reads of a topic hear nothing until its history is deleted."""
        target = f"/_test/mute?topic={topic}"
        call(self.addresses["store"], "POST", target)

    def forget(self, topic: str) -> None:
        """Has the store delete a topic's history."""
        target = f"/_test/forget?topic={topic}"
        call(self.addresses["store"], "POST", target)

    def has_read_last(self, topic: str, key: str) -> bool:
        """Whether a topic's last record is of a key and a node has read it."""
        target = f"/_test/last?topic={topic}"
        _, body = call(self.addresses["store"], "GET", target)
        return json.loads(body)["key"] == key

    def reads(self) -> list[list]:
        """Returns the reads at the store: time, topic, and offset or -1."""
        store = self.addresses["store"]
        return json.loads(call(store, "GET", "/_test/reads")[1])

    def write_entry(self, name: str) -> None:
        """Writes a replica's entry, if it is still registered."""
        entry = self.entries.get(name)
        if entry is None:
            return
        entry["seq"] = int(entry["seq"]) + 1
        self.write("keyed.servers", name, json.dumps(entry).encode())

    def start_beats(self) -> None:
        """Has all replicas write their entries again and again from now on."""
        now = time.monotonic()
        for name, phase in self.phases.items():
            self.dues[name] = now + phase
        self.beats = threading.Thread(target=self.beat, daemon=True)
        self.beats.start()

    def beat(self) -> None:
        """Writes the entries as they are due, about each `BEAT_SECONDS`."""
        rng = random.Random(1)
        while not self.closing.wait(0.005):
            for name, due in list(self.dues.items()):
                if time.monotonic() < due:
                    continue
                spread = rng.uniform(1 - BEAT_SPREAD, 1 + BEAT_SPREAD)
                self.dues[name] = due + BEAT_SECONDS * spread
                with contextlib.suppress(OSError, CannotRun):
                    self.write_entry(name)

    def memory_mb(self, name: str) -> int:
        """Returns a process's resident memory in MB (2**20 bytes)."""
        pid = self.processes[name].pid
        pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE") // 2**20

    def runs(self, name: str) -> list[dict]:
        """Returns what a replica has run."""
        return json.loads(call(self.addresses[name], "GET", "/_test/runs")[1])


def run_case(play: Callable[[Fleet, bool], bool], record: pathlib.Path) -> int:
    """Plays a case and writes its record; returns the exit code.

    Args:
        play: Plays it with or without the disruption; returns whether the rule
            held.
        record: Path of the record.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with Fleet(record) as deployment:
        try:
            held = play(deployment, has_trouble)
        except Exception:
            # A failure of the case must not count as a broken rule.
            deployment.note(f"the case couldn't run: {traceback.format_exc()}")
            return 2
        deployment.note("the rule held" if held else "the rule was broken")
        return 0 if held else 1

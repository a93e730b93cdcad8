"""Starts a small site: the store, replicas and gateways, and callers.

Gateways start with the command of the deploy file and settings like those that
its template gives.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parents[2]
SUPPORT = ROOT / "review" / "support"
HOST = "desk.example"
HEARTBEAT_SECONDS = 1.2
READY_SECONDS = 20.0


class NotRun(Exception):
    """The case could not be run."""


def new_ip() -> str:
    """Returns a loopback address."""
    return f"127.{random.randint(64, 250)}.{random.randint(1, 250)}.7"


def free_port(ip: str) -> int:
    """Returns a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Site:
    """The processes of one case and its record."""

    def __init__(self, case: pathlib.Path):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = (case / "record.txt").open("w")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.outputs: dict[str, pathlib.Path] = {}
        self.entries: dict[str, dict] = {}
        # Attempts that were answered as not run.
        self.refused: list[str] = []
        self.addresses: dict[str, str] = {}
        self.started_at = time.monotonic()
        self.session: aiohttp.ClientSession | None = None

    def note(self, what: str, **fields) -> None:
        """Adds a line to the record."""
        at = round(time.monotonic() - self.started_at, 3)
        line = json.dumps({"t": at, "what": what, **fields})
        self.record_file.write(line + "\n")
        self.record_file.flush()

    def start(
        self, name: str, command: list[str], extra: dict[str, str]
    ) -> subprocess.Popen:
        """Starts a process at the repository's root."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": "target/deps",
            **extra,
        }
        self.outputs[name] = self.folder / f"{name}.log"
        with self.outputs[name].open("ab") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.processes[name] = process
        self.note("started", name=name)
        return process

    def start_standin(self, name: str, module: str, *more: str) -> None:
        """Starts a stand-in on an address of its own."""
        ip = new_ip()
        port = free_port(ip)
        self.addresses[name] = f"{ip}:{port}"
        path = str(SUPPORT / f"{module}.py")
        self.start(name, [sys.executable, path, ip, str(port), *more], {})

    async def until_open(self, name: str) -> None:
        """Waits until a stand-in listens."""
        ip, _, port = self.addresses[name].rpartition(":")
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            try:
                _, writer = await asyncio.open_connection(ip, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise NotRun(f"{name} does not listen")

    async def write(self, topic: str, key: str, value: bytes) -> float:
        """Writes a record to the store; returns when it was confirmed."""
        url = f"http://{self.addresses['store']}/standin/write"
        query = {"topic": topic, "key": key}
        async with self.session.post(url, params=query, data=value) as answer:
            if answer.status != 200:
                raise NotRun(f"the store answered {answer.status}")
        return time.monotonic()

    async def configure(self, version: int, routes: list, services: list):
        """Writes a configuration as the operator does."""
        value = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        await self.write("keyed.op", "config", json.dumps(value).encode())
        self.note("configuration written", version=version)

    async def register(self, name: str, service: str, state: str) -> float:
        """Writes a replica's entry; returns when it was confirmed."""
        entry = self.entries.setdefault(name, {"seq": 0})
        entry.update(
            service=service,
            addr=self.addresses[name],
            zone="zone-1",
            version="v1",
            slots=6,
            state=state,
            coldLeftMs=0,
            seq=entry["seq"] + 1,
        )
        value = json.dumps(entry).encode()
        return await self.write("keyed.servers", name, value)

    async def beat(self) -> None:
        """Renews the entries of all registered replicas."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for name, entry in list(self.entries.items()):
                await self.register(name, entry["service"], entry["state"])

    def start_gateway(self, name: str, settings: str) -> None:
        """Starts a gateway with the command of the deploy file."""
        path = self.folder / f"{name}.toml"
        path.write_text(settings)
        self.start(
            name,
            ["python3", "-m", "gypsumfold.gateway.main"],
            {
                "GYPSUMFOLD_SETTINGS": str(path),
                "SSL_CERT_FILE": "/dev/null",
            },
        )

    def gateway_settings(
        self, name: str, first_start: bool, leaving_ms: int, contact_ms: int
    ) -> str:
        """Returns settings as the deploy file's template gives them."""
        ip = new_ip()
        ports = {free_port(ip) for _ in range(8)}
        front, ready, peers, metrics = sorted(ports)[:4]
        self.addresses[name] = f"{ip}:{front}"
        self.addresses[f"{name} ready"] = f"{ip}:{ready}"
        return f"""
[node]
name = "{name}"
data_centre = "zone-1"
core_share = 0.537
core_speed = 2
link_mbps = 1000.0
first_start = {str(first_start).lower()}
[callers]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[store]
address = "{self.addresses["store"]}"
shortest_lease_ms = 1000
contact_ms = {contact_ms}
[peers]
address = "{ip}:{peers}"
[replicas]
leaving_ms = {leaving_ms}
[retries]
share = 0.2
window_s = 10
slack = 52
[orders]
lease_ms = 3000
[shutdown]
grace_s = 8
[metrics]
port = {metrics}
"""

    async def is_ready(self, name: str) -> bool:
        """Asks a gateway's readiness as the platform does."""
        url = f"http://{self.addresses[f'{name} ready']}/v1/readyz"
        limit = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.session.get(url, timeout=limit) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def until_ready(self, name: str, seconds: float) -> bool:
        """Waits until a gateway is ready; returns whether it is."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready(name):
                self.note("ready", name=name)
                return True
            await asyncio.sleep(0.2)
        self.note("not ready", name=name, seconds=seconds)
        return False

    async def call(
        self,
        gateway: str,
        path: str,
        wait_ms: int,
        body: bytes | None,
        more: dict[str, str] | None = None,
    ) -> tuple[int, bytes, str]:
        """Sends one request; returns status (0 for none), body and id."""
        attempt = uuid.uuid4().hex[:16]
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(wait_ms),
            **(more or {}),
        }
        url = f"http://{self.addresses[gateway]}{path}"
        limit = aiohttp.ClientTimeout(total=wait_ms / 1000)
        method = "GET" if body is None else "POST"
        self.note("sent", attempt=attempt, to=gateway, path=path)
        try:
            async with self.session.request(
                method, url, headers=headers, data=body, timeout=limit
            ) as answer:
                found = await answer.read()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.note("no answer", attempt=attempt, reason=repr(error))
            return 0, b"", attempt
        self.note("answered", attempt=attempt, status=status)
        if status in (408, 421, 429, 503):
            self.refused.append(attempt)
        return status, found, attempt

    def printed(self, name: str) -> list[dict]:
        """Returns the lines that a stand-in has printed."""
        found = []
        for line in self.outputs[name].read_text().splitlines():
            if line.startswith("{"):
                found.append(json.loads(line))
        return found

    def close(self) -> None:
        """Ends all processes that this case has started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record_file.close()


def run(case: pathlib.Path, main) -> None:
    """Runs a case; exits with 1 if it shows a broken rule, 2 if it can't run.

    Args:
        case: The case's folder.
        main: Coroutine that gets the site and returns whether the rule broke.
    """

    def stop(*_) -> None:
        sys.exit(2)

    async def play(site: Site) -> bool:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            site.session = session
            async with asyncio.timeout(110):
                return await main(site)

    site = Site(case)
    signal.signal(signal.SIGTERM, stop)
    try:
        broken = asyncio.run(play(site))
    except Exception as error:
        # A failure of the case itself says nothing of the rule.
        site.note("could not run", reason=repr(error))
        print(f"could not run: {error!r}")
        code = 2
    else:
        site.note("result", broken=broken, trouble=site.trouble)
        print("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    finally:
        site.close()
    sys.exit(code)

"""A fleet of gateways for one scenario, before stand-ins of the platform."""

import json
import pathlib
import socket
import tempfile
import threading
import time
from typing import Any
import uuid

from features.support import fleets
from features.support import http
from features.support import processes
from features.support import proxies
from gypsumfold.gateway import leadership
from gypsumfold.platform import names

FRONT_PORT = 8090
READY_PORT = 8091
PEER_PORT = 8092
HOST = "desk.example"
# Seconds; the upper limit of a wait, far above what any takes.
LIMIT = 30.0
LOOK = 0.02
# Seconds between two entries of a registered replica.
HEARTBEAT = 0.3

PLAIN = {
    "name": "seats",
    "host": HOST,
    "pathPrefix": "/seats/",
    "kind": "non_idempotent",
    "timeoutMs": 2000,
    "goalMs": 200,
    "priority": 1,
    "attempts": 1,
    "service": "app",
}
LOOKUP = {
    **PLAIN,
    "name": "lookups",
    "pathPrefix": "/lookups/",
    "kind": "idempotent",
    "attempts": 2,
}
BRIEF = {
    **PLAIN,
    "name": "briefs",
    "pathPrefix": "/briefs/",
    "kind": "streaming",
    "timeoutMs": 6000,
    "service": "lm",
    "resumable": False,
    "gapAimMs": 300,
}
SWAP = {
    **BRIEF,
    "name": "swaps",
    "pathPrefix": "/swaps/",
    "attempts": 2,
    "resumable": True,
}
ENGINE = {
    "slots": 64,
    "kvTokens": 440_000,
    "tokenKvBytes": 18_432,
    "linkMbps": 370_000.0,
    "handleTtlS": 5.0,
    "stageSwitchS": 0.5,
}


class GatewayFleet:
    """Store, replicas and gateways of one scenario.

    >>> fleet = GatewayFleet()
    >>> fleet.start_store()
    >>> fleet.start_replica("app-1", "app")
    >>> gateway = fleet.start_gateway("edge-1")
    >>> fleet.close()
    """

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gateways-"))
        self.processes: dict[str, processes.Process] = {}
        self.entries: dict[str, dict[str, Any]] = {}
        self.proxies: dict[str, proxies.Proxy] = {}
        self.store_proxies: dict[str, proxies.Proxy] = {}
        self.version = 0
        self.routes = [PLAIN, LOOKUP, BRIEF, SWAP]
        self.accounts: list[dict[str, Any]] | None = None
        self.limits = {
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        # Sections that are added to the settings of gateways.
        self.sections: dict[str, dict[str, Any]] = {}
        self.failed = False
        self.closing = threading.Event()
        self.heartbeats = threading.Thread(target=self.beat, daemon=True)

    def __getitem__(self, name: str) -> processes.Process:
        """Gives a process by its name."""
        return self.processes[name]

    def start(
        self, name: str, module: str, arguments: list[str], port: int
    ) -> processes.Process:
        """Starts a process on an address of its own."""
        process = processes.Process(
            name,
            module,
            arguments,
            fleets.new_host(),
            port,
            self.folder,
            {"PYTHONUNBUFFERED": "1"},
        )
        self.processes[name] = process
        return process

    def start_standin(
        self, name: str, module: str, options: list[str]
    ) -> processes.Process:
        """Starts a stand-in and waits until it serves."""
        host = fleets.new_host()
        port = fleets.STANDIN_PORT
        arguments = ["--address", host, "--port", str(port), *options]
        process = processes.Process(
            name,
            f"gypsumfold_standins.{module}",
            arguments,
            host,
            port,
            self.folder,
            {"PYTHONUNBUFFERED": "1"},
        )
        self.processes[name] = process
        return process

    def start_store(self) -> None:
        """Starts the store and writes the first configuration."""
        process = self.start_standin("store", "platform_store", [])
        process.until_ready("/_test/record")
        self.configure()
        self.heartbeats.start()

    def take_authority(self) -> None:
        """Joins the gateways' group first, so that none gives orders."""
        body = {
            "group": leadership.GROUP,
            "member": "a-test",
            "topics": [leadership.TOPIC],
            "ttlMs": 600_000,
            "generation": 0,
        }
        answer = http.post(self["store"].url + names.JOIN_PATH, body)
        assert answer.status == 200, answer

    def give_authority(self) -> None:
        """Leaves the gateways' group, so that one of them leads."""
        body = {"group": leadership.GROUP, "member": "a-test"}
        answer = http.post(self["store"].url + names.LEAVE_PATH, body)
        assert answer.status == 200, answer

    def write(self, topic: str, key: str, value: Any) -> None:
        """Writes a record as operators and replicas do; None drops it."""
        body = b"" if value is None else json.dumps(value).encode()
        url = f"{self['store'].url}/_test/write?topic={topic}&key={key}"
        answer = http.post(url, body)
        assert answer.status == 200, answer

    def configure(self, version: int | None = None) -> int:
        """Writes a configuration; returns its version."""
        self.version = version or self.version + 3
        value = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": "app", "maxConns": 96},
                {"name": "lm", "maxConns": 360, "engine": ENGINE},
            ],
            "limits": self.limits,
        }
        if self.accounts is not None:
            value["tenants"] = self.accounts
        self.write(names.CONFIGURATION_TOPIC, names.CONFIGURATION_KEY, value)
        return self.version

    def start_replica(
        self, name: str, service: str, stage: str = ""
    ) -> processes.Process:
        """Starts a replica and registers it."""
        self.start_replicas([(name, service, stage)])
        return self[name]

    def start_replicas(
        self, wanted: list[tuple[str, str, str]], switch: float = 0.5
    ) -> None:
        """Starts replicas side by side: names, services and stages.

        Args:
            wanted: The replicas.
            switch: Seconds that an engine's change of role takes.
        """
        for name, _, stage in wanted:
            options = ["--switch", str(switch)]
            if stage:
                options += ["--stage", stage]
            self.start_standin(name, "platform_replica", options)
        for name, service, _ in wanted:
            self[name].until_ready("/_test/record")
            self.register(name, service)

    def proxy(self, name: str) -> proxies.Proxy:
        """Puts a fault proxy before a process; gateways use its address."""
        self.proxies[name] = self.forward(name)
        return self.proxies[name]

    def store_proxy(self, gateway: str) -> proxies.Proxy:
        """Puts a fault proxy between one gateway and the store."""
        self.store_proxies[gateway] = self.forward("store")
        return self.store_proxies[gateway]

    def forward(self, name: str) -> proxies.Proxy:
        """Makes another address before a process."""
        if "proxy" not in self.processes:
            proxy = self.start_standin("proxy", "proxy", [])
            proxy.until_ready("/_test/forwards")
        control = self["proxy"].url
        listen = f"{fleets.new_host()}:{self[name].port}"
        forward = {"listen": listen, "target": self[name].address}
        answer = http.post(f"{control}/_test/forwards", forward)
        assert answer.status == 200, answer
        return proxies.Proxy(control, listen)

    def store_address(self, gateway: str) -> str:
        """Where a gateway reaches the store."""
        if gateway in self.store_proxies:
            return self.store_proxies[gateway].address
        return self.address("store")

    def address(self, name: str) -> str:
        """Where gateways reach a process."""
        if name in self.proxies:
            return self.proxies[name].address
        return self[name].address

    def register(self, name: str, service: str, **changes) -> None:
        """Puts a replica's entry into the store, and keeps it there."""
        record = self[name].test("record")
        entry = {
            "instance": record["instance"],
            "service": service,
            "addr": self.address(name),
            "zone": "north-apron",
            "slots": 6,
            "state": "ready",
            "version": record["version"],
            "stage": record["stage"],
            "born": record["born"],
            **changes,
        }
        self.entries[name] = entry
        self.write(names.REGISTRATIONS_TOPIC, record["instance"], entry)

    def unregister(self, name: str) -> None:
        """Removes a replica's entry."""
        entry = self.entries.pop(name)
        self.write(names.REGISTRATIONS_TOPIC, entry["instance"], None)

    def crash(self, name: str) -> None:
        """Kills a replica; its entry stays in the store."""
        del self.entries[name]
        self[name].kill()

    def beat(self) -> None:
        """Follows the engines' roles, as their heartbeats do."""
        while not self.closing.wait(HEARTBEAT):
            for name in list(self.entries):
                entry = self.entries.get(name)
                if entry is None or not entry["stage"]:
                    continue
                try:
                    stage = self[name].test("record")["stage"]
                except http.Gone:
                    continue
                if stage == entry["stage"] or name not in self.entries:
                    continue
                entry["stage"] = stage
                self.write(names.REGISTRATIONS_TOPIC, entry["instance"], entry)

    def start_gateway(
        self,
        name: str,
        ready: bool = True,
        data_centre: str = "north-apron",
        leaving_ms: int = 2000,
        first_start: bool = False,
        **peers,
    ):
        """Starts a gateway and waits until it is ready.

        Args:
            name: Its VM's name.
            ready: Whether to wait.
            data_centre: Where it stands.
            leaving_ms: Time after which a leaving replica must get no work.
            first_start: Whether it starts with the whole system.
            **peers: More of its settings for peers.
        """
        host = fleets.new_host()
        sections = {
            "node": {
                "name": name,
                "data_centre": data_centre,
                "first_start": first_start,
            },
            "callers": {
                "front": f"{host}:{FRONT_PORT}",
                "ready": f"{host}:{READY_PORT}",
            },
            "store": {"address": self.store_address(name)},
            "peers": {"address": f"{host}:{PEER_PORT}", **peers},
            "replicas": {"leaving_ms": leaving_ms, "source": host},
            "retries": {"share": 0.2, "window_s": 10, "slack": 52},
            "orders": {"lease_ms": 1500},
            "shutdown": {"grace_s": 6},
            "metrics": {"port": 8093},
            **self.sections,
        }
        path = self.folder / f"{name}.toml"
        path.write_text(fleets.toml(sections))
        process = processes.Process(
            name,
            "gypsumfold.gateway.main",
            [str(path)],
            host,
            FRONT_PORT,
            self.folder,
            {"PYTHONUNBUFFERED": "1"},
        )
        self.processes[name] = process
        if ready:
            self.until_ready(name)
        return process

    def is_ready(self, name: str) -> bool:
        """Whether the balancer is told that a gateway is ready."""
        url = f"http://{self[name].host}:{READY_PORT}{names.READY_PATH}"
        try:
            return http.get(url, timeout=2.0).status == 200
        except http.Gone:
            return False

    def until_ready(self, name: str) -> None:
        """Waits until a gateway is ready and knows its configuration."""
        until(lambda: self.is_ready(name), f"{name} is not ready")

    def until_known(self, name: str, replica: str) -> None:
        """Waits until a gateway knows a replica as it is registered now."""
        entry = self.entries[replica]

        def known() -> bool:
            found = self[name].events(310)
            return any(
                line["instance"] == entry["instance"]
                and line["draining"] == (entry["state"] == "draining")
                for line in found
            )

        until(known, f"{name} does not know {replica}")

    def until_sharing(self, name: str) -> None:
        """Waits until a gateway knows its share of the site's spare retries.

        One that has started without the whole system retries nothing before.
        """
        until(
            lambda: self[name].events(801),
            f"{name} does not know how many share the retry budget",
        )

    def stages(self) -> dict[str, str]:
        """The role of each engine."""
        found = {}
        for name, entry in self.entries.items():
            if entry["stage"]:
                found[name] = self[name].test("record")["stage"]
        return found

    def close(self) -> None:
        """Ends all processes; keeps the logs of a failed scenario."""
        self.closing.set()
        for process in self.processes.values():
            if process.frozen:
                process.thaw()
            if process.alive:
                process.kill()
        if self.failed:
            for name, process in self.processes.items():
                print(f"--- {name}\n{process.tail()}")


def until(condition, reason: str) -> None:
    """Waits for a condition."""
    limit = time.monotonic() + LIMIT
    while not condition():
        assert time.monotonic() < limit, reason
        time.sleep(LOOK)


def headers(
    wait: float = 5.0, chain: str = "", stream: bool = False
) -> dict[str, str]:
    """The headers of a caller's request, under a new attempt id."""
    found = {
        "Host": HOST,
        names.ATTEMPT: uuid.uuid4().hex[:16],
        names.TIME_LEFT: str(int(wait * 1000)),
    }
    if chain:
        counts = [part.rpartition(":")[2] for part in chain.split(",")]
        total = sum(int(count) for count in counts)
        found[names.MODEL] = "m"
        found[names.TOKEN_COUNTS] = f"{total},40"
        found[names.CHAIN] = chain
    if stream:
        found["Accept"] = "text/event-stream"
    return found


def exchange(process: processes.Process, data: bytes) -> bytes:
    """Sends bytes on a connection of its own; reads until it closes."""
    with socket.create_connection(
        (process.host, FRONT_PORT), timeout=10
    ) as sock:
        sock.sendall(data)
        parts = []
        while True:
            try:
                part = sock.recv(65536)
            except ConnectionResetError:
                break
            if not part:
                break
            parts.append(part)
    return b"".join(parts)

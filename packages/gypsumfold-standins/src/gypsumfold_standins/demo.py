"""``make demo``: the whole path on one machine, started, used and stopped."""

import asyncio
import hashlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple

import aiohttp
import click
import uvloop

from gypsumfold_standins import tokens

# Seconds that a process may take to be ready, and to stop by itself.
START_LIMIT = 60.0
STOP_LIMIT = 30.0
LOOK = 0.05
STANDIN_PORT = 9000
CALLERS_PORT = 8080
OPERATORS_PORT = 8081
PEERS_PORT = 8082
OPERATOR_TOKEN = "demo-operator"
CALLER_TOKEN = "demo-caller"
DATA_CENTRES = ("north-apron", "cargo-ramp", "south-pen")
NODES = ("entry-1", "entry-2", "entry-3")
MODEL = "dispatch-lm"
QUESTION = "Stand 14 is blocked. Where does flight 208 park?"
MAX_TOKENS = 48
COLUMNS = ("process", "what", "address", "pid", "served", "stopped")


class Failed(Exception):
    """The demo did not show what it should."""


class Started(NamedTuple):
    """One process of the demo."""

    name: str
    what: str
    address: str
    process: asyncio.subprocess.Process
    log: pathlib.Path


def host(number: int) -> str:
    """Gives an address of this process's own part of 127.0.0.0/8."""
    pid = os.getpid()
    return f"127.{16 + pid // 250 % 200}.{1 + pid % 250}.{2 + number}"


def digest(token: str) -> str:
    """Hashes a token as settings and declarations keep it."""
    return hashlib.sha256(token.encode()).hexdigest()


def node_settings(name: str, data_centre: str, address: str, seeds) -> str:
    """Writes the settings file of a node."""
    return f"""[node]
name = "{name}"
data_centre = "{data_centre}"
address = "{address}"
[callers]
port = {CALLERS_PORT}
[operators]
port = {OPERATORS_PORT}
tokens = {{demo = "{digest(OPERATOR_TOKEN)}"}}
[peers]
port = {PEERS_PORT}
secret = "a-secret-for-the-demo-only"
seeds = {json.dumps(seeds)}
[platform]
log = "http://{host(0)}:{STANDIN_PORT}"
vms = "http://{host(1)}:{STANDIN_PORT}"
weights = "http://{host(2)}:{STANDIN_PORT}"
[shutdown]
notice = 0.5
"""


def declarations(endpoints: list[tuple[str, str, str]]) -> str:
    """Writes the declarations: services, a model, kinds, an account."""
    lines = [
        'create service "dispatch" set protocol = "engine";',
        'create service "ramp" set protocol = "plain";',
        f'create model "{MODEL}" set service = "dispatch";',
        'create kind "swap" set service = "dispatch", urgency = 1, '
        "repeatable = true, default = true;",
        'create kind "tug" set service = "ramp", urgency = 0, '
        "repeatable = false;",
        'create account "airline" set '
        f'token_sha256 = "{digest(CALLER_TOKEN)}";',
    ]
    for number, (name, service, address) in enumerate(endpoints):
        lines.append(
            f'create endpoint "{name}" set service = "{service}", '
            f'address = "{address}", vm = "{name}", '
            f'data_centre = "{DATA_CENTRES[number]}";'
        )
    return "\n".join(lines) + "\n"


class Demo:
    """Starts the processes, asks for an answer and a call, and stops all."""

    def __init__(self, folder: pathlib.Path, session: aiohttp.ClientSession):
        self.folder = folder
        self.session = session
        self.started: list[Started] = []

    async def start(
        self, name: str, what: str, address: str, *command: str
    ) -> None:
        """Starts one process with a log file of its own."""
        log = self.folder / f"{name}.log"
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *command, stdout=output, stderr=output
            )
        self.started.append(Started(name, what, address, process, log))

    async def start_standin(
        self, name: str, what: str, number: int, *arguments: str
    ) -> None:
        """Starts one stand-in."""
        address = host(number)
        module = f"gypsumfold_standins.{what}"
        options = ["--address", address, "--port", str(STANDIN_PORT)]
        await self.start(
            name,
            what,
            f"{address}:{STANDIN_PORT}",
            module,
            *options,
            *arguments,
        )

    async def start_all(self) -> None:
        """Starts platform, endpoints and nodes, and waits for them."""
        await self.start_standin("log", "log", 0)
        await self.start_standin("vms", "vms", 1)
        await self.start_standin("weights", "weights", 2)
        await self.start_standin("lm-1", "engine", 3, "--models", MODEL)
        await self.start_standin("lm-2", "engine", 4, "--models", MODEL)
        await self.start_standin("app-1", "plain", 5)
        seeds = [host(10 + number) for number in range(len(NODES))]
        for number, name in enumerate(NODES):
            path = self.folder / f"{name}.toml"
            place = DATA_CENTRES[number]
            path.write_text(node_settings(name, place, seeds[number], seeds))
            await self.start(
                name,
                "node",
                f"{seeds[number]}:{CALLERS_PORT}",
                "gypsumfold.main",
                "run",
                str(path),
            )
        for each in self.started:
            await self.until_ready(each)
        await self.publish_vms()

    async def until_ready(self, started: Started) -> None:
        """Waits until a process answers."""
        paths = {"node": "/ready", "log": "/streams/config/records"}
        paths |= {"vms": "/vms", "weights": "/weights"}
        paths |= {"engine": "/v1/state", "plain": "/health"}
        url = f"http://{started.address}{paths[started.what]}"
        limit = time.monotonic() + START_LIMIT
        while time.monotonic() < limit:
            try:
                async with self.session.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(LOOK)
        raise Failed(f"{started.name}:\n{started.log.read_text()}")

    async def publish_vms(self) -> None:
        """Names all VMs in the platform's list."""
        vms = []
        for each in self.started:
            if each.what not in ("node", "engine", "plain"):
                continue
            purpose = "entry" if each.what == "node" else "endpoint"
            vms.append(
                {
                    "name": each.name,
                    "address": each.address.partition(":")[0],
                    "data_centre": DATA_CENTRES[0],
                    "state": "live",
                    "purpose": purpose,
                }
            )
        url = f"http://{host(1)}:{STANDIN_PORT}/_test/vms"
        async with self.session.post(url, json=vms) as answer:
            await answer.read()

    async def declare(self) -> None:
        """Publishes the declarations by ``gypsumfoldctl apply``."""
        services = {"engine": "dispatch", "plain": "ramp"}
        endpoints = []
        for each in self.started:
            if each.what in services:
                endpoints.append((each.name, services[each.what], each.address))
        path = self.folder / "declarations.gf"
        path.write_text(declarations(endpoints))
        node = f"{host(10)}:{OPERATORS_PORT}"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "gypsumfoldctl.main", "--node", node, "apply", str(path)),
            env={**os.environ, "GYPSUMFOLD_TOKEN": OPERATOR_TOKEN},
        )
        if await process.wait():
            raise Failed("gypsumfoldctl apply failed")

    async def post(self, number: int, path: str, **options):
        """Sends a caller's request to a node, until endpoints are open."""
        url = f"http://{host(10 + number)}:{CALLERS_PORT}{path}"
        headers = {"Authorization": f"Bearer {CALLER_TOKEN}"}
        limit = time.monotonic() + START_LIMIT
        while True:
            answer = await self.session.post(url, headers=headers, **options)
            outcome = answer.headers.get("Gypsumfold-Outcome")
            if outcome != "not-run" or time.monotonic() > limit:
                return answer
            # The declaration is a moment old; nothing has run.
            answer.close()
            await asyncio.sleep(LOOK)

    async def complete(self, number: int) -> None:
        """Prints a streamed answer as it comes and checks it."""
        messages = [{"role": "user", "content": QUESTION}]
        body: dict[str, Any] = {"model": MODEL, "messages": messages}
        body |= {"max_tokens": MAX_TOKENS, "stream": True}
        click.echo(f"\n{QUESTION}\n  through {NODES[number]}: ", nl=False)
        text = ""
        answer = await self.post(number, "/v1/chat/completions", json=body)
        async with answer:
            async for line in answer.content:
                data = line.decode().strip().removeprefix("data: ")
                if not data.startswith("{"):
                    continue
                for choice in json.loads(data).get("choices", []):
                    word = choice["delta"].get("content", "")
                    text += word
                    click.echo(word, nl=False)
        click.echo()
        if text != "".join(tokens.answer(MODEL, messages, MAX_TOKENS)):
            raise Failed("the answer is not whole")

    async def call(self, number: int) -> None:
        """Makes a call that may run once only, and checks its answer."""
        body = b"tug 7 to stand 14"
        path = "/v1/services/ramp/tug"
        answer = await self.post(number, path, data=body)
        async with answer:
            content = await answer.read()
        outcome = answer.headers.get("Gypsumfold-Outcome", "")
        click.echo(f"call tug through {NODES[number]}: {outcome}")
        if content != tokens.call_answer("tug", body):
            raise Failed("the call's answer is not whole")

    async def served(self, started: Started) -> str:
        """Counts what an endpoint ran."""
        if started.what not in ("engine", "plain"):
            return ""
        url = f"http://{started.address}/_test/dispatches"
        async with self.session.get(url) as answer:
            return str(len(await answer.json()))

    async def stop_all(self) -> dict[str, str]:
        """Stops every process, nodes first, and gives the exit codes."""
        codes = {}
        for each in reversed(self.started):
            if each.process.returncode is None:
                each.process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(STOP_LIMIT):
                    code = await each.process.wait()
            except TimeoutError:
                each.process.kill()
                code = await each.process.wait()
            codes[each.name] = f"exit code {code}"
        return codes


async def run() -> None:
    """Runs the demo and prints the table of what ran."""
    with tempfile.TemporaryDirectory() as folder:
        async with aiohttp.ClientSession() as session:
            demo = Demo(pathlib.Path(folder), session)
            served = {}
            try:
                await demo.start_all()
                await demo.declare()
                for number in range(len(NODES)):
                    await demo.complete(number)
                    await demo.call(number)
                for each in demo.started:
                    served[each.name] = await demo.served(each)
            finally:
                codes = await demo.stop_all()
            print_table(demo.started, served, codes)


def print_table(
    started: list[Started], served: dict[str, str], codes: dict[str, str]
) -> None:
    """Prints what ran, one line for each process."""
    rows = [COLUMNS]
    for each in started:
        rows.append(
            (
                each.name,
                each.what,
                each.address,
                str(each.process.pid),
                served[each.name],
                codes[each.name],
            )
        )
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    click.echo()
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())


def main() -> None:
    """Runs the demo; the exit code is 1 if it failed."""
    try:
        uvloop.run(run())
    except Failed as error:
        click.echo(f"failed: {error}", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()

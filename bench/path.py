"""What the path adds to an engine, and what one node carries.

``python -m bench.path latency|throughput|memory`` starts its own fleet of
stand-ins on this machine and prints JSON. Latency is paired: each request is
made through the node and directly at the endpoint, in turn, in one run.
"""

import asyncio
import itertools
import json
import os
import time
from typing import Any

import aiohttp
import click
from features.support import deployments
from features.support import fleets
import msgspec
import psutil
import uvloop

NODE = "entry-1"
# Tokens of each answer of the latency run; one comes each 10 ms.
ANSWER = 16
# Tokens of each answer of the other runs.
LONG = 400
# Slow factor that keeps streams open while memory is read.
OPEN = 300.0


def start(engines: int, speed: float) -> fleets.Fleet:
    """Starts one node before some engines and a plain service."""
    fleet = fleets.Fleet("bench-path")
    fleet.start_platform()
    for number in range(engines):
        fleet.start_engine(f"lm-{number}", speed=speed)
    fleet.start_service("app-0")
    fleet.start_node(NODE, endpoints={"idle_timeout": 30.0})
    deployments.declare(fleet)
    return fleet


def body(content: str, count: int) -> dict[str, Any]:
    """Makes the body of a streamed completion of so many tokens."""
    return {
        "model": deployments.MODEL,
        "messages": deployments.messages(f"{content} ({count} words)"),
        "max_tokens": count,
        "stream": True,
    }


async def stream(
    session: aiohttp.ClientSession, url: str, asked: dict[str, Any], mark: bytes
) -> list[float]:
    """Reads a stream and gives the time of each token since sending."""
    began = time.perf_counter()
    found = []
    data = msgspec.json.encode(asked)
    headers = deployments.headers()
    async with session.post(url, data=data, headers=headers) as answer:
        assert answer.status == 200, await answer.text()
        async for line in answer.content:
            if mark in line:
                found.append(time.perf_counter() - began)
    return found


async def call(session: aiohttp.ClientSession, url: str, content: str) -> float:
    """Makes a call and gives its seconds."""
    began = time.perf_counter()
    data = content.encode()
    async with session.post(
        url, data=data, headers=deployments.headers()
    ) as answer:
        got = await answer.read()
    assert got == deployments.expected_call(content), got
    return time.perf_counter() - began


def quantiles(seconds: list[float]) -> dict[str, float]:
    """Gives median and 99th percentile in milliseconds."""
    ordered = sorted(seconds)
    found = {}
    for percent in (50, 99):
        index = min(len(ordered) * percent // 100, len(ordered) - 1)
        found[f"p{percent}_ms"] = round(1000 * ordered[index], 3)
    return found


async def latency(fleet: fleets.Fleet, pairs: int) -> dict[str, Any]:
    """Pairs requests through the node with direct ones."""
    node, engine, plain = fleet[NODE], fleet["lm-0"], fleet["app-0"]
    found: dict[str, list[float]] = {}
    async with aiohttp.ClientSession() as session:
        for number in range(pairs):
            content = f"pair {number}"
            asked = body(content, ANSWER)
            direct = {
                **asked,
                "id": content,
                "prior": [],
                "priority": 0,
                "prefill_from": "",
            }
            del direct["stream"]
            runs = [
                (
                    "node",
                    f"{node.url}/v1/chat/completions",
                    asked,
                    b'"content"',
                ),
                ("direct", f"{engine.url}/v1/dispatches", direct, b'"token"'),
            ]
            service = f"/v1/services/{deployments.PLAIN}/{deployments.CALL}"
            calls = [
                ("node", f"{node.url}{service}"),
                ("direct", f"{plain.url}/calls/{deployments.CALL}"),
            ]
            if number % 2:
                runs.reverse()
                calls.reverse()
            for side, url, sent, mark in runs:
                times = await stream(session, url, sent, mark)
                assert len(times) == ANSWER, len(times)
                gaps = [b - a for a, b in itertools.pairwise(times)]
                found.setdefault(f"first {side}", []).append(times[0])
                found.setdefault(f"between {side}", []).extend(gaps)
            for side, url in calls:
                seconds = await call(session, url, content)
                found.setdefault(f"call {side}", []).append(seconds)
    summary: dict[str, Any] = {k: quantiles(v) for k, v in found.items()}
    for kind in ("first", "call"):
        pairs_of = zip(
            found[f"{kind} node"], found[f"{kind} direct"], strict=True
        )
        summary[f"{kind} added"] = quantiles([a - b for a, b in pairs_of])
    return summary


async def throughput(
    fleet: fleets.Fleet, seconds: float, clients: int
) -> dict[str, Any]:
    """Keeps so many callers busy and counts what one node carries."""
    node = fleet[NODE]
    process = psutil.Process(node.pid)
    summary = {}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for kind in ("calls", "tokens"):
            over = time.perf_counter() + seconds
            counts = [0] * clients
            used = sum(process.cpu_times()[:2])
            began = time.perf_counter()
            async with asyncio.TaskGroup() as group:
                for number in range(clients):
                    group.create_task(
                        keep_busy(kind, session, node.url, number, counts, over)
                    )
            spent = time.perf_counter() - began
            used = sum(process.cpu_times()[:2]) - used
            summary[kind] = {
                "each_second": round(sum(counts) / spent, 1),
                "node_cores": round(used / spent, 3),
                "each_core_second": round(sum(counts) / used, 1),
            }
    return summary


async def keep_busy(kind, session, base, number, counts, over) -> None:
    """Makes one request after another until the time is over."""
    turn = 0
    while time.perf_counter() < over:
        turn += 1
        content = f"{kind} {number} {turn}"
        if kind == "calls":
            path = f"/v1/services/{deployments.PLAIN}/{deployments.CALL}"
            await call(session, base + path, content)
            counts[number] += 1
            continue
        url = f"{base}/v1/chat/completions"
        asked = body(content, LONG)
        times = await stream(session, url, asked, b'"content"')
        counts[number] += len(times)


async def memory(fleet: fleets.Fleet, steps: int) -> dict[str, Any]:
    """Reads the node's resident memory with more and more open streams."""
    node = fleet[NODE]
    process = psutil.Process(node.pid)
    for name in fleet.endpoints:
        if name.startswith("lm"):
            fleet[name].faults(slow=OPEN)
    found = [{"streams": 0, "rss_mb": rss(process)}]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        opened = []
        for step in range(steps):
            asks = []
            for number in range(100):
                asked = body(f"open {step} {number}", LONG)
                asks.append(
                    session.post(
                        f"{node.url}/v1/chat/completions",
                        data=msgspec.json.encode(asked),
                        headers=deployments.headers(),
                    )
                )
            answers = await asyncio.gather(*asks)
            opened += [each for each in answers if each.status == 200]
            await asyncio.sleep(1.0)
            found.append({"streams": len(opened), "rss_mb": rss(process)})
        for answer in opened:
            answer.close()
    return {"steps": found}


def rss(process: psutil.Process) -> float:
    """Gives resident memory in MB."""
    return round(process.memory_info().rss / 1e6, 1)


@click.command()
@click.argument("what", type=click.Choice(["latency", "throughput", "memory"]))
@click.option("--pairs", default=100, help="Of requests, for latency.")
@click.option("--seconds", default=8.0, help="Of each kind, for throughput.")
@click.option("--clients", default=64, help="Callers, for throughput.")
@click.option("--steps", default=3, help="Of 100 streams, for memory.")
def main(what, pairs, seconds, clients, steps) -> None:
    """Measure WHAT and print it as JSON."""
    engines = {"latency": 1, "throughput": 6, "memory": 10}[what]
    fleet = start(engines, 1.0)
    try:
        runs = {
            "latency": lambda: latency(fleet, pairs),
            "throughput": lambda: throughput(fleet, seconds, clients),
            "memory": lambda: memory(fleet, steps),
        }
        found = uvloop.run(runs[what]())
    finally:
        fleet.close()
    found["load_average"] = round(os.getloadavg()[0], 2)
    click.echo(json.dumps(found, indent=2))


if __name__ == "__main__":
    main()

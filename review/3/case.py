"""A holder that is stopped takes the duty back from its successor."""

import asyncio
import itertools
import pathlib
import signal
import subprocess
import time

import small_site

# Bounds of the site.
DRAIN_MS = 3000
CONTACT_MS = 4000
LEASE_MS = 3000
GRACE_SECONDS = 8
BOOT_SECONDS = 4.0
SERVICE = "boekingsdienst"
ZONE = "zone-1"
GATEWAYS = ("gateway-1", "gateway-2", "gateway-3")
ROUNDS = 12
FIRST_COUNT = 2
ROUTE = {
    "name": "confirms",
    "host": small_site.HOST,
    "pathPrefix": "/confirms/",
    "kind": "idempotent",
    "timeoutMs": 3184,
    "goalMs": 424,
    "priority": 1,
    "attempts": 1,
    "service": SERVICE,
}


def orders(site: small_site.Site) -> list[dict]:
    """Returns the orders of replicas that the platform got."""
    return [
        line
        for line in site.printed("operations")
        if line.get("path") == "/scale"
    ]


async def configure(site: small_site.Site, version: int, least: int) -> None:
    """Writes a configuration with the least number of replicas."""
    scale = {
        "min": least,
        "max": 23,
        "bootS": BOOT_SECONDS,
        "spotPrice": 1.0,
        "zonePrices": {ZONE: 1.0},
    }
    service = {"name": SERVICE, "maxConns": 440, "scale": scale}
    await site.configure(version, [ROUTE], [service])


def start_gateway(site: small_site.Site, name: str, first: bool) -> None:
    """Starts a gateway that performs the duty of ordering replicas."""
    settings = site.gateway_settings(name, first, DRAIN_MS, CONTACT_MS)
    settings += f"""
[operations]
address = "{site.addresses["operations"]}"
duties = ["autoscale"]
[roles]
spare_decoders = 1
survive_data_centre = true
"""
    site.start_gateway(name, settings)


async def call_often(site: small_site.Site, gateway: str) -> None:
    """Sends requests to a gateway."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(site.call(gateway, "/confirms/7", 3184, None))
            await asyncio.sleep(0.2)


async def until_ordered(site: small_site.Site, count: int) -> dict:
    """Waits for an order of a number of replicas."""
    end = time.monotonic() + 12
    while time.monotonic() < end:
        for line in orders(site):
            if line["body"]["desired"] == count:
                return line
        await asyncio.sleep(0.005)
    raise small_site.NotRun(f"nobody has ordered {count} replicas")


async def add_replica(site: small_site.Site, number: int) -> None:
    """Starts an ordered replica, which serves after its start-up time."""
    name = f"i-{number}"
    site.start_standin(name, "replica", name)
    await asyncio.sleep(BOOT_SECONDS)
    await site.until_open(name)
    await site.register(name, SERVICE, "ready")


def taken_turns(found: list[dict]) -> list[tuple[dict, dict, dict]]:
    """Returns the orders in which holders act as A, B, A inside the lease."""
    turns = []
    for place, first in enumerate(found):
        between = None
        for line in found[place + 1 :]:
            if line["at"] - first["at"] > LEASE_MS / 1000:
                break
            if line["holder"] != first["holder"]:
                between = between or line
            elif between is not None:
                turns.append((first, between, line))
                break
    return turns


async def play(site: small_site.Site) -> bool:
    """Stops the holder shortly after an order, several times."""
    site.start_standin("store", "store")
    site.start_standin("operations", "operations")
    await site.until_open("store")
    await site.until_open("operations")
    await configure(site, 3, FIRST_COUNT)
    for number in range(1, FIRST_COUNT + 1):
        name = f"i-{number}"
        site.start_standin(name, "replica", name)
        await site.until_open(name)
        await site.register(name, SERVICE, "ready")
    beats = asyncio.create_task(site.beat())
    for name in GATEWAYS:
        start_gateway(site, name, True)
    for name in GATEWAYS:
        if not await site.until_ready(name, small_site.READY_SECONDS):
            raise small_site.NotRun(f"{name} isn't ready")
    calls = {
        name: asyncio.create_task(call_often(site, name)) for name in GATEWAYS
    }
    await asyncio.sleep(4)
    for number in range(ROUNDS):
        count = FIRST_COUNT + 1 + number
        await configure(site, 6 + 3 * number, count)
        order = await until_ordered(site, count)
        holder = order["holder"]
        site.note("ordered", by=holder, count=count, fence=order["fence"])
        starting = asyncio.create_task(add_replica(site, count))
        if site.trouble:
            process = site.processes[holder]
            process.send_signal(signal.SIGTERM)
            site.note("SIGTERM", to=holder)
            try:
                code = await asyncio.to_thread(process.wait, GRACE_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                code = process.wait()
            site.note("ended", name=holder, code=code)
            calls[holder].cancel()
            start_gateway(site, holder, False)
            if not await site.until_ready(holder, small_site.READY_SECONDS):
                raise small_site.NotRun(f"{holder} isn't ready")
            calls[holder] = asyncio.create_task(call_often(site, holder))
        await starting
    for task in calls.values():
        task.cancel()
    found = orders(site)
    for line in found:
        at = round(line["at"] - site.started_at, 3)
        fields = {"holder": line["holder"], "fence": line["fence"]}
        site.note(
            "order arrived", at=at, desired=line["body"]["desired"], **fields
        )
    turns = taken_turns(found)
    for first, between, last in turns:
        names = [one["holder"] for one in (first, between, last)]
        seconds = round(last["at"] - first["at"], 3)
        site.note("turns", holders=names, seconds=seconds)
    lower = 0
    for before, after in itertools.pairwise(found):
        lower += after["fence"] < before["fence"]
    site.note("counts", orders=len(found), turns=len(turns), lower=lower)
    print(f"{len(found)} orders, {len(turns)} times A, B, A, {lower} lower")
    beats.cancel()
    return bool(turns or lower)


if __name__ == "__main__":
    small_site.run(pathlib.Path(__file__).resolve().parent, play)

"""An entry of another writer stops a gateway from following the replicas."""

import asyncio
import json
import pathlib
import time

import small_site

# Bounds of the site.
DRAIN_MS = 3000
CONTACT_MS = 4000
# Seconds for which the leaving replica serves on after the bound.
SERVES_ON_SECONDS = 5.0
# A whole number that no 64 bits hold, for a service that isn't configured.
FOREIGN_ENTRY = {
    "service": "ledger",
    "addr": "127.0.0.9:9",
    "zone": "zone-1",
    "version": "7",
    "slots": 2**128 - 1,
    "state": "ready",
    "seq": 1,
}
ROUTE = {
    "name": "orders",
    "host": small_site.HOST,
    "pathPrefix": "/orders/",
    "kind": "non_idempotent",
    "timeoutMs": 1500,
    "goalMs": 274,
    "priority": 1,
    "attempts": 1,
    "service": "grid-ops",
}


async def call_often(site: small_site.Site) -> None:
    """Sends a request each 50 ms."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(
                site.call("gateway-1", "/orders/7", 1500, b"switch")
            )
            await asyncio.sleep(0.05)


async def play(site: small_site.Site) -> bool:
    """Has a replica leave after another writer's entry has come."""
    site.start_standin("store", "store")
    await site.until_open("store")
    services = [{"name": "grid-ops", "maxConns": 590}]
    await site.configure(3, [ROUTE], services)
    for name in ("i-1", "i-2"):
        site.start_standin(name, "replica", name)
        await site.until_open(name)
        await site.register(name, "grid-ops", "ready")
    beats = asyncio.create_task(site.beat())
    settings = site.gateway_settings("gateway-1", True, DRAIN_MS, CONTACT_MS)
    site.start_gateway("gateway-1", settings)
    if not await site.until_ready("gateway-1", small_site.READY_SECONDS):
        raise small_site.NotRun("the gateway isn't ready")
    calls = asyncio.create_task(call_often(site))
    await asyncio.sleep(CONTACT_MS / 1000 + 1)
    if site.trouble:
        value = json.dumps(FOREIGN_ENTRY).encode()
        await site.write("keyed.servers", "i-ledger", value)
        site.note("entry of another writer")
    await asyncio.sleep(3)
    confirmed = await site.register("i-1", "grid-ops", "draining")
    site.note("the store has confirmed that i-1 is draining")
    bound = confirmed + DRAIN_MS / 1000
    await asyncio.sleep(DRAIN_MS / 1000 + SERVES_ON_SECONDS)
    calls.cancel()
    late = []
    for line in site.printed("i-1"):
        if line["what"] == "runs" and line["at"] > bound:
            late.append(line)
            seconds = round(line["at"] - confirmed, 3)
            site.note("late", attempt=line["attempt"], seconds=seconds)
    runs = len(site.printed("i-1")) + len(site.printed("i-2"))
    site.note("counts", runs=runs, late=len(late))
    print(f"{len(late)} of {runs} requests reached i-1 after the bound")
    if not runs:
        raise small_site.NotRun("no request ran")
    # Not part of the check: a gateway that starts now.
    settings = site.gateway_settings("gateway-2", False, DRAIN_MS, CONTACT_MS)
    site.start_gateway("gateway-2", settings)
    await site.until_ready("gateway-2", 15.0)
    site.note("end", at=time.monotonic())
    beats.cancel()
    return bool(late)


if __name__ == "__main__":
    small_site.run(pathlib.Path(__file__).resolve().parent, play)

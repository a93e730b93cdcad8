"""A late second answer is taken for that of the same attempt's next try."""

import asyncio
import collections
import pathlib
import random

import small_site

# Bounds of the site.
DRAIN_MS = 2000
CONTACT_MS = 3000
SERVICE = "caption-llm"
DECODER = "i-decode"
PREFILLERS = ("i-prefill-1", "i-prefill-2", "i-prefill-3")
# Doses of the impairments: seconds, and the share of a replica's answers.
WINDOW_SECONDS = 4.0
PAUSE_SECONDS = 3.0
EXTRA_SHARE = 0.03
WINDOWS = 11
REQUESTS_A_SECOND = 20
ROUTE = {
    "name": "captions",
    "host": small_site.HOST,
    "pathPrefix": "/captions/",
    "kind": "streaming",
    "timeoutMs": 5000,
    "goalMs": 500,
    "priority": 1,
    "attempts": 1,
    "service": SERVICE,
    "sticky": True,
    "resumable": False,
    "gapAimMs": 150,
}
ENGINE = {
    "slots": 24,
    "kvTokens": 393693,
    "tokenKvBytes": 327680,
    "linkMbps": 3000000.0,
    "handleTtlS": 5.0,
    "stageSwitchS": 3.0,
    "models": [{"name": "m"}],
}


def prompt() -> dict[str, str]:
    """Returns the headers of a new prompt."""
    parts = [f"{random.getrandbits(32):08x}:{size}" for size in (92, 291)]
    return {
        "Model": "m",
        "Token-Counts": "383,40",
        "Prefix-Hash": ",".join(parts),
    }


async def call_often(site: small_site.Site) -> None:
    """Sends requests for streams."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(
                site.call("gateway-1", "/captions/7", 5000, b"x", prompt())
            )
            await asyncio.sleep(1 / REQUESTS_A_SECOND)


async def impair(
    site: small_site.Site, name: str, lapsing: bool, extra_share: float
) -> None:
    """Begins or ends the impairments of a replica."""
    url = f"http://{site.addresses[name]}/standin/impair"
    body = {"lapsing": lapsing, "extra_share": extra_share}
    async with site.session.post(url, json=body):
        site.note("impairment", replica=name, **body)


async def follow_stages(site: small_site.Site) -> None:
    """Has the replicas' entries show their stages."""
    while True:
        await asyncio.sleep(0.5)
        for name in (DECODER, *PREFILLERS):
            url = f"http://{site.addresses[name]}/standin/stage"
            async with site.session.get(url) as answer:
                found = await answer.json()
            if found["stage"] != site.entries[name]["stage"]:
                site.entries[name]["stage"] = found["stage"]
                await site.register(name, SERVICE, "ready")


async def play(site: small_site.Site) -> bool:
    """Has handles lapse while some answers are followed by a second one."""
    site.start_standin("store", "store")
    await site.until_open("store")
    service = {"name": SERVICE, "maxConns": 210, "engine": ENGINE}
    await site.configure(3, [ROUTE], [service])
    for name in (DECODER, *PREFILLERS):
        stage = "decode" if name == DECODER else "prefill"
        site.start_standin(name, "engine", name, stage)
        await site.until_open(name)
        site.entries[name] = {"seq": 0, "stage": stage}
        await site.register(name, SERVICE, "ready")
    beats = asyncio.create_task(site.beat())
    stages = asyncio.create_task(follow_stages(site))
    settings = site.gateway_settings("gateway-1", True, DRAIN_MS, CONTACT_MS)
    site.start_gateway("gateway-1", settings)
    if not await site.until_ready("gateway-1", small_site.READY_SECONDS):
        raise small_site.NotRun("the gateway isn't ready")
    calls = asyncio.create_task(call_often(site))
    await asyncio.sleep(5)
    for number in range(WINDOWS):
        lapsing = PREFILLERS[number % len(PREFILLERS)]
        if site.trouble:
            await impair(site, lapsing, True, 0.0)
            await impair(site, DECODER, False, EXTRA_SHARE)
        await asyncio.sleep(WINDOW_SECONDS)
        if site.trouble:
            await impair(site, lapsing, False, 0.0)
            await impair(site, DECODER, False, 0.0)
        await asyncio.sleep(PAUSE_SECONDS)
    calls.cancel()
    await asyncio.sleep(1)
    stages.cancel()
    beats.cancel()
    runs = collections.Counter()
    whats = collections.Counter()
    for name in (DECODER, *PREFILLERS):
        for line in site.printed(name):
            whats[line["what"]] += 1
            if line["what"] == "runs":
                runs[line["attempt"]] += 1
                at = round(line["at"] - site.started_at, 3)
                site.note("runs", at=at, replica=name, attempt=line["attempt"])
    twice = [attempt for attempt, count in runs.items() if count > 1]
    refused = [one for one in site.refused if one in runs]
    for attempt in twice:
        site.note("twice", attempt=attempt, runs=runs[attempt])
    for attempt in refused:
        site.note("refused and run", attempt=attempt, runs=runs[attempt])
    site.note("counts", requests=len(runs), **whats)
    print(f"{len(runs)} ran, {len(twice)} twice, {len(refused)} refused too")
    print(dict(whats))
    if not runs:
        raise small_site.NotRun("no request ran")
    return bool(twice or refused)


if __name__ == "__main__":
    small_site.run(pathlib.Path(__file__).resolve().parent, play)

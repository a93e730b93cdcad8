"""An open-loop load driver: arrivals come whether or not answers do."""

import asyncio
import random
import time
from typing import NamedTuple

import aiohttp
from features.support import deployments as declared
import msgspec

from bench import deployments

# Characters of one prompt token, as the stand-in engine counts them.
CHARACTERS = 4
# Prompt beginnings that requests share, and their length in tokens.
TEMPLATES = 12
TEMPLATE_TOKENS = 150
# Seconds that the driver waits beyond a request's deadline.
SLACK = 5.0


class Arrival(NamedTuple):
    """One request to be made.

    Attributes:
        at: Seconds from the start.
        kind: Of the deployment.
        account: Who sends it.
        node: Index of the node that it goes to.
        content: Of its prompt or body.
    """

    at: float
    kind: deployments.Kind
    account: str
    node: int
    content: str


class Outcome(NamedTuple):
    """What a caller got.

    Attributes:
        kind: The kind's name.
        at: Seconds from the start.
        status: Of HTTP; 0 if there was no answer.
        seconds: Until the final answer.
        on_time: Whether it was whole and before its deadline.
    """

    kind: str
    at: float
    status: int
    seconds: float
    on_time: bool


def content(rng: random.Random, kind: deployments.Kind, number: int) -> str:
    """Makes a prompt with a shared beginning and an end of its own."""
    if kind.service == "plain":
        return f"{kind.name}-{number}"
    template = rng.randrange(TEMPLATES)
    shared = f"template {template} {kind.name} ".ljust(
        TEMPLATE_TOKENS * CHARACTERS, "x"
    )
    rest = max(0, kind.prompt - TEMPLATE_TOKENS) * CHARACTERS
    return shared + f"request {number} {rng.random()} ".ljust(rest, "y")


def arrivals(
    deployment: deployments.Deployment,
    phases: list[tuple[float, float]],
    seed: int,
) -> list[Arrival]:
    """Draws Poisson arrivals.

    Args:
        deployment: Whose kinds are sent.
        phases: Seconds and requests a second of each.
        seed: The same one gives the same arrivals.
    """
    rng = random.Random(seed)
    weights = [kind.share for kind in deployment.kinds]
    found = []
    start = 0.0
    for seconds, rate in phases:
        at = start + rng.expovariate(rate)
        while at < start + seconds:
            kind = rng.choices(deployment.kinds, weights)[0]
            account = rng.choices(deployments.ACCOUNTS, (6, 2, 1, 1))[0]
            node = rng.randrange(deployments.ENTRY_NODES)
            text = content(rng, kind, len(found))
            found.append(Arrival(at, kind, account, node, text))
            at += rng.expovariate(rate)
        start += seconds
    return found


async def request(
    session: aiohttp.ClientSession, base: str, arrival: Arrival
) -> tuple[int, bool]:
    """Makes one request and returns its status and whether it was whole."""
    headers = {"Authorization": f"Bearer {arrival.account}-token"}
    kind = arrival.kind
    if kind.service == "plain":
        url = f"{base}/v1/services/{declared.PLAIN}/{kind.name}"
        body = arrival.content.encode()
    else:
        url = f"{base}/v1/chat/completions"
        headers["Gypsumfold-Kind"] = kind.name
        body = msgspec.json.encode(
            {
                "model": declared.MODEL,
                "messages": declared.messages(arrival.content),
                "max_tokens": kind.output,
            }
        )
    async with session.post(url, data=body, headers=headers) as answer:
        await answer.read()
        outcome = answer.headers.get("Gypsumfold-Outcome", "")
        return answer.status, outcome == "complete"


async def one(
    session: aiohttp.ClientSession, bases: list[str], arrival: Arrival
) -> Outcome:
    """Makes one request and judges what came."""
    began = time.monotonic()
    limit = arrival.kind.deadline + SLACK
    status, whole = 0, False
    try:
        async with asyncio.timeout(limit):
            status, whole = await request(session, bases[arrival.node], arrival)
    except (aiohttp.ClientError, TimeoutError):
        status = 0
    seconds = time.monotonic() - began
    on_time = whole and status == 200 and seconds <= arrival.kind.deadline
    return Outcome(arrival.kind.name, arrival.at, status, seconds, on_time)


async def play(bases: list[str], plan: list[Arrival]) -> list[Outcome]:
    """Makes all requests at their times."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        began = time.monotonic()
        tasks = []
        for arrival in plan:
            ahead = arrival.at - (time.monotonic() - began)
            if ahead > 0:
                await asyncio.sleep(ahead)
            tasks.append(asyncio.create_task(one(session, bases, arrival)))
        return list(await asyncio.gather(*tasks))

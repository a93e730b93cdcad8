"""An open-loop load tool: ``python -m gypsumfold_standins.load``.

Requests are sent at their drawn times whether or not answers come. Each
answer is compared byte by byte with the exact one.
"""

import asyncio
import csv
import json
import pathlib
import time
from typing import Any
from typing import NamedTuple

import aiohttp
import click
from hdrh.histogram import HdrHistogram
import msgspec
import uvloop

from gypsumfold_standins import arrivals
from gypsumfold_standins import profiles
from gypsumfold_standins import tokens

# Histograms hold microseconds, up to an hour, with three digits.
MICROSECONDS = 1_000_000
LONGEST = 3600 * MICROSECONDS
DIGITS = 3
# Seconds that a caller waits for an answer beyond its aim.
PATIENCE = 60.0


class Result(NamedTuple):
    """What a caller got; times in seconds.

    Attributes:
        at: When it was to be sent, from the start.
        late: By how much it was sent later.
        kind: Of the request.
        urgency: Of the kind.
        status: Of HTTP; 0 if the connection failed.
        outcome: As the answer says.
        verdict: ``right``, ``cut`` (part of the answer), ``wrong`` (other
            bytes), ``refused`` (not-run) or ``failed``.
        first: Until the first token or a call's answer; 0 without.
        total: Until the end.
        tokens: That came.
        gap: The longest time between two tokens.
    """

    at: float
    late: float
    kind: str
    urgency: int
    status: int
    outcome: str
    verdict: str
    first: float
    total: float
    tokens: int
    gap: float


class Load:
    """Sends the drawn requests and gathers what came."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        nodes: list[str],
        token: str,
        profile: profiles.Profile,
    ):
        self.session = session
        self.nodes = nodes
        self.headers = {"Authorization": f"Bearer {token}"}
        self.profile = profile
        self.gaps = HdrHistogram(1, LONGEST, DIGITS)
        self.started = 0.0

    async def run(self, drawn: list[arrivals.Arrival]) -> list[Result]:
        """Sends all requests at their times and waits for the last."""
        self.started = time.monotonic()
        tasks = []
        for arrival in drawn:
            ahead = self.started + arrival.at - time.monotonic()
            if ahead > 0:
                await asyncio.sleep(ahead)
            tasks.append(asyncio.create_task(self.send(arrival)))
        return list(await asyncio.gather(*tasks))

    async def send(self, arrival: arrivals.Arrival) -> Result:
        """Sends one request and judges its answer."""
        sent = time.monotonic()
        late = sent - self.started - arrival.at
        node = self.nodes[int(arrival.node * len(self.nodes))]
        ask = self.call if arrival.kind.service == "plain" else self.complete
        reading = Reading(sent)
        try:
            async with asyncio.timeout(PATIENCE):
                await ask(node, arrival, reading)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            reading.broken = True
        return Result(
            round(arrival.at, 6),
            round(late, 6),
            arrival.kind.name,
            arrival.kind.urgency,
            reading.status,
            reading.outcome,
            reading.verdict(),
            round(reading.first, 6),
            round(time.monotonic() - sent, 6),
            reading.count,
            round(reading.gap, 6),
        )

    async def call(
        self, node: str, arrival: arrivals.Arrival, reading: "Reading"
    ) -> None:
        """Makes a call of the plain service."""
        body = arrival.content.encode()
        name = arrival.kind.name
        reading.expected = tokens.call_answer(name, body).decode()
        url = f"{node}/v1/services/{self.profile.plain}/{name}"
        async with self.session.post(
            url, data=body, headers=self.headers
        ) as answer:
            reading.status = answer.status
            reading.outcome = answer.headers.get("Gypsumfold-Outcome", "")
            content = await answer.text()
            if answer.status == 200:
                reading.take(content)
                reading.ended = True

    async def complete(
        self, node: str, arrival: arrivals.Arrival, reading: "Reading"
    ) -> None:
        """Asks for a streamed completion."""
        messages = [{"role": "user", "content": arrival.content}]
        body: dict[str, Any] = {"model": self.profile.model}
        body |= {"messages": messages, "max_tokens": arrival.output}
        body["stream"] = True
        words = tokens.answer(self.profile.model, messages, arrival.output)
        reading.expected = "".join(words)
        headers = {**self.headers, "Gypsumfold-Kind": arrival.kind.name}
        async with self.session.post(
            f"{node}/v1/chat/completions",
            data=msgspec.json.encode(body),
            headers=headers,
        ) as answer:
            reading.status = answer.status
            reading.outcome = answer.headers.get("Gypsumfold-Outcome", "")
            if answer.status != 200:
                return
            async for line in answer.content:
                self.read(line, reading)

    def read(self, line: bytes, reading: "Reading") -> None:
        """Takes one line of a stream in."""
        if line == b"data: [DONE]\n":
            reading.ended = True
            return
        if not line.startswith(b"data: {"):
            return
        document = msgspec.json.decode(line[6:])
        reading.outcome = document.get("outcome", reading.outcome)
        for choice in document.get("choices", ()):
            text = choice["delta"].get("content")
            if not text:
                continue
            gap = reading.take(text)
            if gap:
                micros = max(int(gap * MICROSECONDS), 1)
                self.gaps.record_value(micros)


class Reading:
    """An answer while it comes in."""

    def __init__(self, sent: float):
        self.sent = sent
        self.last = 0.0
        self.first = 0.0
        self.gap = 0.0
        self.count = 0
        self.status = 0
        self.outcome = ""
        self.expected = ""
        self.text = ""
        self.ended = False
        self.broken = False

    def take(self, text: str) -> float:
        """Adds a part and gives the seconds since the one before it."""
        now = time.monotonic()
        self.text += text
        self.count += 1
        gap = now - self.last if self.last else 0.0
        self.last = now
        if not self.first:
            self.first = now - self.sent
        self.gap = max(self.gap, gap)
        return gap

    def verdict(self) -> str:
        """Judges what came; see `Result`."""
        if not self.expected.startswith(self.text):
            return "wrong"
        if self.ended and not self.broken:
            return "right" if self.text == self.expected else "wrong"
        if self.outcome == "not-run":
            return "refused"
        return "cut" if self.text else "failed"


def summary(
    results: list[Result], profile: profiles.Profile, load: Load
) -> dict[str, Any]:
    """Counts the verdicts and gives the quantiles, by kind."""
    found: dict[str, Any] = {}
    for kind in profile.kinds:
        mine = [each for each in results if each.kind == kind.name]
        firsts = HdrHistogram(1, LONGEST, DIGITS)
        verdicts: dict[str, int] = {}
        good = 0
        for each in mine:
            verdicts[each.verdict] = verdicts.get(each.verdict, 0) + 1
            if each.verdict != "right":
                continue
            good += each.first <= kind.first
            firsts.record_value(max(int(each.first * MICROSECONDS), 1))
        found[kind.name] = {
            "urgency": kind.urgency,
            "sent": len(mine),
            "verdicts": verdicts,
            "good_share": round(good / len(mine), 4) if mine else None,
            "first_ms": quantiles(firsts),
        }
    found["all"] = {
        "sent": len(results),
        "tokens": sum(each.tokens for each in results),
        "between_tokens_ms": quantiles(load.gaps),
        "most_late_ms": round(1000 * max(each.late for each in results), 1),
    }
    return found


def quantiles(histogram: HdrHistogram) -> dict[str, float]:
    """Gives some quantiles in milliseconds."""
    found = {}
    for percent in (50, 95, 99):
        value = histogram.get_value_at_percentile(percent)
        found[f"p{percent}"] = value / 1000
    return found


def write_csv(path: pathlib.Path, results: list[Result]) -> None:
    """Writes one line for each request."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(Result._fields)
        writer.writerows(results)


async def run(
    profile: profiles.Profile,
    drawn: list[arrivals.Arrival],
    nodes: list[str],
    token: str,
    output: pathlib.Path | None,
) -> dict[str, Any]:
    """Runs one load and gives its summary."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        load = Load(session, nodes, token, profile)
        results = await load.run(drawn)
    if output is not None:
        write_csv(output, results)
    return summary(results, profile, load)


@click.command()
@click.option("--node", "nodes", multiple=True, required=True, help="Base URL.")
@click.option("--token", required=True, help="The account's bearer token.")
@click.option(
    "--profile", type=click.Choice(list(profiles.PROFILES)), required=True
)
@click.option("--rate", default=10.0, help="Requests a second.")
@click.option("--seconds", default=30.0, help="For how long.")
@click.option("--swing", default=10.0, help="Seconds of each end of the mix.")
@click.option("--seed", default=1, help="Of the arrivals.")
@click.option("--csv", "output", type=click.Path(path_type=pathlib.Path))
def main(nodes, token, profile, rate, seconds, swing, seed, output) -> None:
    """Load nodes with one deployment's mix and print a summary in JSON.

    The exit code is 1 if any answer was wrong or cut.
    """
    chosen = profiles.PROFILES[profile]
    drawn = arrivals.draw(chosen, rate, seconds, swing, seed)
    found = uvloop.run(run(chosen, drawn, list(nodes), token, output))
    click.echo(json.dumps(found, indent=2))
    for kind in chosen.kinds:
        if found[kind.name]["verdicts"].keys() & {"wrong", "cut"}:
            raise SystemExit(1)


if __name__ == "__main__":
    main()

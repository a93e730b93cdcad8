"""Borrows parts of the site's allowances from other nodes, and lends them.

An allowance of the whole site, such as its retry budget, is divided between
the nodes, and callers spread unevenly over these. A node whose share is used up
asks a few others. A node that reports to a relay asks that; a relay that has
nothing left asks some of the nodes that report to it, then other relays.
"""

import asyncio
from collections.abc import Callable
import random
import time
from typing import NamedTuple
from typing import Protocol
import urllib.parse

import msgspec

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import members as members_module
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import queries

# Path prefixes: the node that is asked may ask all others, those that report to
# it, or none.
ASK_SITE = "/loans/"
ASK_DATA_CENTRE = "/data-centre-loans/"
ASK_ONE = "/own-loans/"
# Prefixes by which a question of some prefix is passed on.
PASSED_ON = {
    ASK_SITE: (ASK_ONE, ASK_DATA_CENTRE),
    ASK_DATA_CENTRE: (ASK_ONE,),
    ASK_ONE: (),
}
# Seconds in which a node has to answer, while a request waits.
TIMEOUT_SECONDS = {ASK_SITE: 0.3, ASK_DATA_CENTRE: 0.12, ASK_ONE: 0.06}
# Nodes of a group asked one after the other, and amount asked for.
MAX_ASKED = 3
LOAN_SIZE = 4
# Seconds for which an allowance isn't asked for after all have refused.
REFUSED_SECONDS = 0.5
# Number of allowances whose refusal is remembered.
MAX_REFUSED = 4096


class Ledger(Protocol):
    """This node's part of some allowances of the site."""

    def lend(self, key: str, wanted: int, now: float) -> int:
        """Deducts up to `wanted` from an allowance; returns how many."""

    def borrow(self, key: str, count: int, asked_at: float) -> None:
        """Adds what another node has deducted after `asked_at`."""


class Lenders(NamedTuple):
    """Nodes that may lend, and the path prefix by which they are asked."""

    members: list[members_module.Member]
    prefix: str


class Question(NamedTuple):
    """What a node asks for.

    Attributes:
        kind: Kind of the allowance.
        key: The allowance.
        wanted: How much of it.
    """

    kind: str
    key: str
    wanted: int


class LoanAnswer(msgspec.Struct, array_like=True):
    """How much of an allowance a node lends."""

    count: messages.Count


DECODER = msgspec.msgpack.Decoder(LoanAnswer)


class Loans:
    """Asks other nodes for loans, and answers those that ask.

    Attributes:
        lenders: Returns the nodes to ask, in this order.
        ledgers: This node's allowances by kind.
        borrowed: Loans received since the start, by kind.

    >>> loans = Loans(client, lenders, random.Random(1))
    >>> loans.ledgers["retries"] = budget
    >>> await loans.request("retries", "lm")
    True
    """

    def __init__(
        self,
        client: queries.QueryClient,
        lenders: Callable[[], list[Lenders]],
        rng: random.Random,
    ):
        self.client = client
        self.lenders = lenders
        self.rng = rng
        self.ledgers: dict[str, Ledger] = {}
        self.borrowed: dict[str, int] = {}
        self.refused_until: dict[tuple[str, str], float] = {}
        self.requests: dict[tuple[str, str], asyncio.Task] = {}

    async def request(self, kind: str, key: str) -> bool:
        """Asks for a part of an allowance, once for all that wait for it.

        Returns:
            Whether another node has lent some.
        """
        now = time.monotonic()
        if self.refused_until.get((kind, key), now) > now:
            return False
        task = self.requests.get((kind, key))
        if task is None:
            task = asyncio.create_task(self.borrow(kind, key))
            self.requests[kind, key] = task
            task.add_done_callback(
                lambda _: self.requests.pop((kind, key), None)
            )
        return await asyncio.shield(task)

    async def close(self) -> None:
        """Ends all requests for loans."""
        tasks = list(self.requests.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def borrow(self, kind: str, key: str) -> bool:
        """Asks a few nodes one after the other until one lends."""
        asked_at = time.monotonic()
        question = Question(kind, key, LOAN_SIZE)
        count = await self.ask_groups(self.lenders(), question)
        if count:
            self.ledgers[kind].borrow(key, count, asked_at)
            self.borrowed[kind] = self.borrowed.get(kind, 0) + count
            return True
        if len(self.refused_until) >= MAX_REFUSED:
            self.refused_until.clear()
        self.refused_until[kind, key] = time.monotonic() + REFUSED_SECONDS
        return False

    async def ask_groups(
        self, groups: list[Lenders], question: Question
    ) -> int:
        """Asks one group after the other; returns what a node has lent."""
        for lenders in groups:
            count = await self.ask_some(lenders, question)
            if count:
                return count
        return 0

    async def ask_some(self, lenders: Lenders, question: Question) -> int:
        """Asks a few nodes at random; returns what the first lender lends."""
        name = urllib.parse.quote(question.key, safe="")
        path = f"{lenders.prefix}{question.kind}/{question.wanted}/{name}"
        number = min(len(lenders.members), MAX_ASKED)
        for member in self.rng.sample(lenders.members, number):
            try:
                async with asyncio.timeout(TIMEOUT_SECONDS[lenders.prefix]):
                    frame = await self.client.fetch(member.address, path)
                count = DECODER.decode(frame).count
            except (
                exceptions.PeerError,
                exceptions.RecordInvalid,
                TimeoutError,
                *messages.DECODE_ERRORS,
            ) as error:
                events.log(
                    events.LOAN_FAILED,
                    to=member.node,
                    kind=question.kind,
                    key=question.key,
                    reason=repr(error),
                )
                continue
            if count:
                return min(count, question.wanted)
        return 0

    async def answer(self, path: str) -> bytes:
        """Answers another node; empty if the path is invalid."""
        for prefix in TIMEOUT_SECONDS:
            if path.startswith(prefix):
                question = parse(path.removeprefix(prefix))
                break
        else:
            return b""
        if question is None or question.kind not in self.ledgers:
            return b""
        ledger = self.ledgers[question.kind]
        count = ledger.lend(question.key, question.wanted, time.monotonic())
        if not count:
            others = self.lenders_for(prefix)
            count = await self.ask_groups(others, question)
        return msgspec.msgpack.encode(LoanAnswer(count))

    def lenders_for(self, prefix: str) -> list[Lenders]:
        """Returns the nodes to ask on behalf of a node that asked by a prefix.

        A question is passed on to fewer nodes each time, so that it ends.
        """
        passed_on = PASSED_ON[prefix]
        return [
            lenders for lenders in self.lenders() if lenders.prefix in passed_on
        ]


def parse(path: str) -> Question | None:
    """Parses KIND/AMOUNT/KEY; None if it is invalid."""
    kind, _, rest = path.partition("/")
    amount, _, name = rest.partition("/")
    if not kind or not name or not amount.isdecimal():
        return None
    return Question(
        kind, urllib.parse.unquote(name), min(int(amount), LOAN_SIZE)
    )

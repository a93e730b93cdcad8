"""Calls with a key that is bound to one incarnation of one node.

These keys allow safe retries during an outage of the log, when no claim can
be made. The key names an incarnation: only this incarnation may run the call,
and any other node forwards to it. It keeps the results in memory, so once it
has ended, every attempt with the key is undetermined.
"""

import asyncio
import collections
import itertools
import time
from typing import NamedTuple

import itsdangerous

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.callers import call_results
from gypsumfold.callers import call_runner
from gypsumfold.callers import key_errors
from gypsumfold.peers import framing

thrift = framing.peers_thrift

# How long a key may be used. Longer than a caller's retries (a few deadlines of
# 60 s); short enough that the limits below refuse few callers.
KEY_LIFETIME_SECONDS = 600.0
# Limits of keys in a node's memory, in total and per account. With answers of
# up to 8 KiB, 2,000 keys take 16 MB, a quarter of a node's memory for control;
# no account may use all of it.
MAX_KEYS = 2000
MAX_KEYS_PER_ACCOUNT = 500
# A call between nodes has at most 64 KiB.
MAX_FORWARDED_BODY_BYTES = 48 * 1024
# A reply between nodes has at most 1 MiB.
MAX_RETURNED_ANSWER_BYTES = 512 * 1024
# How long after the call's deadline the reply may arrive.
REPLY_GRACE_SECONDS = 0.5


class BoundKey(NamedTuple):
    """The signed content of a bound key.

    Attributes:
        incarnation: The only incarnation that may run the call.
        address: IP address of its node.
        number: Unique within the incarnation.
        account: The account that owns the key.
    """

    incarnation: str
    address: str
    number: int
    account: str


class IssuedKey:
    """A key that this incarnation issued.

    Attributes:
        account: The account that owns the key.
        expires: Expiry (monotonic time).
        digest: Digest of the call and its body; empty before the first use.
        task: Runs the call; None before the first use.
    """

    def __init__(self, account: str, expires: float):
        self.account = account
        self.expires = expires
        self.digest = ""
        self.task: asyncio.Future[call_results.CallResult] | None = None


class BoundCalls:
    """Issues bound keys and serves calls with them.

    >>> key = bound.issue("airline")
    >>> result = await bound.call(key, digest, service_call)
    """

    def __init__(self, node):
        self.node = node
        self.runner = call_runner.CallRunner(node)
        self.signer = itsdangerous.URLSafeSerializer(
            node.settings.peers.secret, salt="gypsumfold-bound-key"
        )
        self.issued_keys: dict[int, IssuedKey] = {}
        self.accounts: collections.Counter[str] = collections.Counter()
        self.numbers = itertools.count(1)

    def issue(self, account: str) -> str:
        """Issues a key.

        Raises:
            exceptions.Refused: Too many keys are in use.
        """
        self.remove_expired()
        full = len(self.issued_keys) >= MAX_KEYS
        if full or self.accounts[account] >= MAX_KEYS_PER_ACCOUNT:
            oldest = next(iter(self.issued_keys.values()))
            raise exceptions.Refused(
                "too many keys are in use",
                outcomes.Outcome.NOT_RUN,
                max(1.0, oldest.expires - time.monotonic()),
            )
        number = next(self.numbers)
        expires = time.monotonic() + KEY_LIFETIME_SECONDS
        self.issued_keys[number] = IssuedKey(account, expires)
        self.accounts[account] += 1
        address = self.node.settings.node.address
        key = BoundKey(self.node.incarnation, address, number, account)
        return self.signer.dumps(list(key))

    def remove_expired(self) -> None:
        """Removes expired keys, except those whose call is running."""
        now = time.monotonic()
        for number, issued in list(self.issued_keys.items()):
            if issued.expires > now:
                return
            if issued.task is not None and not issued.task.done():
                continue
            del self.issued_keys[number]
            self.accounts[issued.account] -= 1

    def verify(self, text: str, account: str) -> BoundKey | None:
        """Verifies a key; returns None if it was not signed for the account."""
        try:
            key = BoundKey(*self.signer.loads(text))
        except (itsdangerous.BadData, TypeError):
            return None
        return key if key.account == account else None

    async def call(
        self,
        text: str,
        key: BoundKey,
        digest: str,
        service_call: call_runner.ServiceCall,
    ) -> call_results.CallResult:
        """Serves one request with a key that `verify` accepted."""
        if key.incarnation == self.node.incarnation:
            return await self.run_here(key, digest, service_call)
        return await self.forward(text, key, service_call)

    async def run_here(
        self, key: BoundKey, digest: str, service_call: call_runner.ServiceCall
    ) -> call_results.CallResult:
        """Runs the call of a key, or waits for the attempt in progress."""
        self.remove_expired()
        issued = self.issued_keys.get(key.number)
        if issued is None:
            return call_results.CallResult(
                None,
                exceptions.KeyExpired(
                    "this key has expired; what ran under it is forgotten",
                    outcomes.Outcome.UNDETERMINED,
                ),
            )
        if not issued.digest:
            issued.digest = digest
            issued.task = asyncio.create_task(self.run(service_call))
        if issued.digest != digest:
            return call_results.CallResult(None, key_errors.conflict())
        # The call continues if its caller disconnects: a retry gets its result.
        result = await asyncio.shield(issued.task)
        issued.task = completed_future(
            call_results.without_large_answer(result)
        )
        return result

    async def run(
        self, service_call: call_runner.ServiceCall
    ) -> call_results.CallResult:
        """Runs the only attempt; a refused call cannot run any more."""
        try:
            return call_results.CallResult(
                await self.runner.run(service_call), None
            )
        except exceptions.RequestError as error:
            return call_results.CallResult(None, error)

    async def forward(
        self, text: str, key: BoundKey, service_call: call_runner.ServiceCall
    ) -> call_results.CallResult:
        """Forwards the request to the node that issued the key."""
        if len(service_call.body) > MAX_FORWARDED_BODY_BYTES:
            return call_results.CallResult(None, body_too_large())
        request = service_call.request
        time_left = max(0.0, request.deadline - time.monotonic())
        message = thrift.BoundCall(
            request.account,
            request.service,
            service_call.name,
            text,
            service_call.body,
            time_left,
        )
        try:
            reply = await self.node.peers.call(
                key.address,
                "calls.bound",
                message,
                thrift.CallEnding,
                time_left + REPLY_GRACE_SECONDS,
            )
            return call_results.from_thrift(reply)
        except exceptions.PeerError as error:
            return call_results.CallResult(
                None,
                exceptions.AnswerUndetermined(
                    f"the node that gave this key does not answer: {error!r}",
                    outcomes.Outcome.UNDETERMINED,
                    key_errors.RETRY_AFTER,
                ),
            )


def completed_future(result: call_results.CallResult) -> asyncio.Future:
    """Returns a future that already has its result."""
    future = asyncio.get_running_loop().create_future()
    future.set_result(result)
    return future


def body_too_large() -> exceptions.RequestInvalid:
    """Returns the error of a body that is too large to forward."""
    return exceptions.RequestInvalid(
        f"under a bound key, bodies have {MAX_FORWARDED_BODY_BYTES} bytes "
        "at the most",
        outcomes.Outcome.UNDETERMINED,
    )

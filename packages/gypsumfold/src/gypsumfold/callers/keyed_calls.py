"""Calls with a caller's idempotency key: claimed on the log, run once.

`claims.Claims` decides which attempt runs. This module appends claims, reads
them back, queries other nodes and dispatches. The claim of a node stays the
winning one until that node itself ends it. A pause at any point can therefore
only make a call late, and the deadline is checked again when the body is sent.
"""

import asyncio
import itertools
import time

from gypsumfold import claims as claims_module
from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.callers import call_results
from gypsumfold.callers import call_runner
from gypsumfold.callers import key_errors
from gypsumfold.logservice import batches
from gypsumfold.logservice import records
from gypsumfold.peers import framing

thrift = framing.peers_thrift

# Timeout of a query to the node that holds a key, and the interval between
# queries. Heartbeats are sent every 0.5 s; a node that is silent for longer is
# frozen, partitioned or stopped, and the caller gets an error at once.
QUERY_TIMEOUT_SECONDS = 1.0
QUERY_INTERVAL_SECONDS = 1.0
# How long the log may be silent before keyed calls are refused at once. A reset
# connection alone is replaced within half a second.
MAX_LOG_SILENCE_SECONDS = 2.0
# How long a keyed call waits for the first reads after one has failed: a silent
# connection is noticed only by its time limit, and a new one works at once.
RECONNECT_SECONDS = 1.0
LOG_CHECK_SECONDS = 0.02

AccountKey = tuple[str, str]


class Attempt:
    """A node's attempt at one key, shared by all its requests with the key.

    Attributes:
        claim: The claim for the key.
        service_call: The call to run.
        claimed: Whether the log may contain the claim.
        read_back: Whether the log was read up to the claim's offset.
        released: Whether the attempt will never dispatch (again).
        result: The result; None while the attempt is in progress.
        changed: Set when the log has a new record of the key.
        task: Runs the attempt.
    """

    def __init__(
        self, claim: claims_module.Claim, service_call: call_runner.ServiceCall
    ):
        self.claim = claim
        self.service_call = service_call
        self.claimed = False
        self.read_back = False
        self.released = False
        self.result: call_results.CallResult | None = None
        self.changed = asyncio.Event()
        self.task: asyncio.Task | None = None

    @property
    def account_key(self) -> AccountKey:
        """The account and the key."""
        return (self.claim.account, self.claim.key)

    @property
    def time_left(self) -> float:
        """Seconds until the deadline."""
        return max(0.0, self.service_call.request.deadline - time.monotonic())


class KeyedCalls:
    """Serves keyed calls on one node.

    >>> result = await keyed.call(key, digest, service_call)
    """

    def __init__(self, node):
        self.node = node
        self.claim_timeout = node.settings.platform.timeout
        self.claims = claims_module.Claims(node.settings.platform.retention)
        self.batcher = batches.Batcher(node.log, records.CLAIMS)
        self.runner = call_runner.CallRunner(node)
        self.tail = node.tails[records.CLAIMS]
        self.tail.subscribe(self.apply, self.claims.gap)
        self.attempts: dict[AccountKey, Attempt] = {}
        self.sequence = itertools.count(1)
        node.peers.handle(
            "calls.ask", thrift.ClaimQuestion, self.on_claim_question
        )

    def apply(self, entry: records.Entry) -> None:
        """Applies an entry of the claims stream and wakes affected attempts."""
        self.claims.apply(entry)
        for record in entry.records:
            attempt = self.attempts.get((record.account, record.key))
            if attempt is None:
                continue
            attempt.changed.set()
            self.remove_ended(attempt)

    async def call(
        self, key: str, digest: str, service_call: call_runner.ServiceCall
    ) -> call_results.CallResult:
        """Serves one request with a key.

        Args:
            key: The idempotency key in canonical form.
            digest: Digest of the call and its body.
            service_call: The requested call.

        Returns:
            The result of the call, from this attempt or another one.
        """
        account_key = (service_call.request.account, key)
        attempt = self.attempts.get(account_key)
        if attempt is None:
            claim_id = f"{self.node.incarnation}/{next(self.sequence)}"
            claim = claims_module.Claim(claim_id, *account_key, digest)
            attempt = Attempt(claim, service_call)
            self.attempts[account_key] = attempt
            attempt.task = asyncio.create_task(self.run(attempt))
        if attempt.claim.digest != digest:
            return call_results.CallResult(None, key_errors.conflict())
        # The call continues if its caller disconnects: a retry gets its result.
        return await asyncio.shield(attempt.task)

    async def run(self, attempt: Attempt) -> call_results.CallResult:
        """Runs one attempt to its end."""
        try:
            result = await self.advance(attempt)
        except exceptions.RequestError as error:
            result = call_results.CallResult(None, error)
        if attempt.claimed and not attempt.released:
            self.release(attempt, closes=False)
        attempt.result = result
        self.remove_ended(attempt)
        return result

    async def advance(self, attempt: Attempt) -> call_results.CallResult:
        """Performs the steps that the claims allow, until there is a result."""
        while attempt.service_call.is_in_time():
            step = self.claims.step(attempt.claim, attempt.read_back)
            if step == claims_module.Step.CLAIM:
                await self.append(attempt)
                continue
            if step == claims_module.Step.DISPATCH:
                return await self.dispatch(attempt)
            if step == claims_module.Step.ANSWER:
                return call_results.from_record(
                    self.claims.outcome(*attempt.account_key)
                )
            if step != claims_module.Step.WAIT:
                raise key_errors.cannot_run(step)
            result = await self.wait(attempt)
            if result is not None:
                return result
        return await self.refuse(
            attempt,
            exceptions.Unavailable(
                "the deadline passed before the call could run",
                outcomes.Outcome.NOT_RUN,
                key_errors.RETRY_AFTER,
            ),
        )

    async def append(self, attempt: Attempt) -> None:
        """Appends the claim and reads it back.

        Raises:
            exceptions.RequestError: The claim cannot be made now.
        """
        now = max(time.time(), self.claims.time)
        age = self.claims.age(attempt.claim.key, now)
        if age != claims_module.Age.VALID:
            raise key_errors.out_of_window(age)
        if not await self.wait_for_log(attempt):
            raise key_errors.claim_failed("the log cannot be read")
        timeout = min(self.claim_timeout, attempt.time_left)
        try:
            offset = await self.batcher.append(attempt.claim, timeout)
            attempt.claimed = True
            async with asyncio.timeout(timeout):
                await self.tail.wait_until_delivered(offset)
        except exceptions.LogUnavailable as error:
            raise key_errors.claim_failed("the log takes no claim") from error
        except (exceptions.AppendUndetermined, TimeoutError) as error:
            attempt.claimed = True
            raise key_errors.claim_failed(
                "the claim was not read back"
            ) from error
        attempt.read_back = True

    async def wait_for_log(self, attempt: Attempt) -> bool:
        """Waits for a log that was lost a moment ago; whether it is readable.

        Args:
            attempt: The attempt, which waits for half of its time at most.
        """
        limit = self.tail.lost_at + RECONNECT_SECONDS
        end = clocks.now() + attempt.time_left / 2
        while not self.is_log_readable():
            if clocks.now() > min(limit, end):
                return False
            await asyncio.sleep(LOG_CHECK_SECONDS)
        return True

    def is_log_readable(self) -> bool:
        """Whether the window was read and the log is not known to be down."""
        silence = clocks.now() - self.tail.last_seen
        up = self.tail.healthy or silence < MAX_LOG_SILENCE_SECONDS
        return up and self.tail.caught_up.is_set()

    def can_run(self, attempt: Attempt) -> bool:
        """Whether the attempt may dispatch now."""
        step = self.claims.step(attempt.claim, attempt.read_back)
        return step == claims_module.Step.DISPATCH and not attempt.released

    async def dispatch(self, attempt: Attempt) -> call_results.CallResult:
        """Runs the call; the attempt's claim is the winning one."""
        try:
            answer = await self.runner.run(
                attempt.service_call, lambda: self.can_run(attempt)
            )
            result = call_results.CallResult(answer, None)
        except exceptions.RequestError as error:
            if error.outcome == outcomes.Outcome.NOT_RUN:
                return await self.refuse(attempt, error)
            result = call_results.CallResult(None, error)
        attempt.released = True
        self.post(call_results.to_record(attempt.claim, result))
        return result

    async def refuse(
        self, attempt: Attempt, error: exceptions.RequestError
    ) -> call_results.CallResult:
        """Ends an attempt that has not run and will not run.

        Returns:
            The unchanged error if the log closes the key for all attempts;
            otherwise the error with an undetermined outcome.
        """
        if attempt.claimed:
            self.release(attempt, closes=True)
            await self.wait_until_closed(attempt)
        step = self.claims.step(attempt.claim, attempt.read_back)
        if step == claims_module.Step.CLOSED:
            return call_results.CallResult(None, error)
        return call_results.CallResult(None, key_errors.as_undetermined(error))

    async def wait_until_closed(self, attempt: Attempt) -> None:
        """Waits until the release is read back, at most `claim_timeout`."""
        try:
            async with asyncio.timeout(self.claim_timeout):
                while attempt.claim.id in self.open_claims(attempt):
                    attempt.changed.clear()
                    await attempt.changed.wait()
        except TimeoutError:
            return

    def open_claims(self, attempt: Attempt) -> list[str]:
        """Returns the valid claims of the attempt's key."""
        slot = self.claims.key_states.get(attempt.account_key)
        return [] if slot is None else slot.claims

    def release(self, attempt: Attempt, closes: bool) -> None:
        """Gives up the claim permanently."""
        attempt.released = True
        self.post(claims_module.Release(*attempt.claim[:3], closes))

    def post(self, record: tuple) -> None:
        """Queues a record for the log; logs an event if it is lost."""
        try:
            self.batcher.enqueue(record)
        except exceptions.LogUnavailable as error:
            events.log(events.CLAIM_RECORD_LOST, reason=str(error))

    async def wait(self, attempt: Attempt) -> call_results.CallResult | None:
        """Waits for another node's attempt and queries that node.

        Returns:
            The result of the attempt; None if the key's state must be checked
            again.

        Raises:
            exceptions.AnswerUndetermined: The node does not answer or does
                not know the attempt.
        """
        attempt.changed.clear()
        winner = self.claims.winner(*attempt.account_key)
        state = await self.query_holder(winner, attempt)
        if attempt.changed.is_set():
            return None
        if state is None or not state.known:
            raise key_errors.holder_unreachable()
        if state.ending is not None:
            try:
                return call_results.from_thrift(state.ending)
            except exceptions.FrameInvalid as error:
                raise key_errors.holder_unreachable() from error
        try:
            async with asyncio.timeout(
                min(QUERY_INTERVAL_SECONDS, attempt.time_left)
            ):
                await attempt.changed.wait()
        except TimeoutError:
            return None
        return None

    async def query_holder(self, winner: str, attempt: Attempt):
        """Queries the node that made a claim; None if it does not answer."""
        incarnation = claims_module.incarnation_of(winner)
        for peer in self.node.peers.recently_seen():
            if peer.incarnation != incarnation:
                continue
            question = thrift.ClaimQuestion(winner, *attempt.account_key)
            try:
                return await self.node.peers.call(
                    peer.address,
                    "calls.ask",
                    question,
                    thrift.ClaimState,
                    min(QUERY_TIMEOUT_SECONDS, attempt.time_left),
                )
            except exceptions.PeerError:
                return None
        return None

    async def on_claim_question(self, message, address: str):
        """Answers another node's query about a claim."""
        account_key = (message.account, message.key)
        attempt = self.attempts.get(account_key)
        if attempt is not None and attempt.claim.id == message.claim:
            ending = attempt.result
            if ending is not None:
                ending = call_results.to_thrift(
                    call_results.without_large_answer(ending)
                )
            return thrift.ClaimState(known=True, ending=ending)
        outcome = self.claims.outcome(*account_key)
        if outcome is None or outcome.claim != message.claim:
            return thrift.ClaimState(known=False)
        ending = call_results.to_thrift(call_results.from_record(outcome))
        return thrift.ClaimState(known=True, ending=ending)

    def remove_ended(self, attempt: Attempt) -> None:
        """Removes an ended attempt once its end is on the log for all nodes."""
        if attempt.result is None:
            return
        step = self.claims.step(attempt.claim, attempt.read_back)
        if step != claims_module.Step.DISPATCH:
            self.attempts.pop(attempt.account_key, None)

    async def close(self) -> None:
        """Waits for the attempts in progress and flushes their records."""
        tasks = [a.task for a in self.attempts.values()]
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.batcher.flush(self.claim_timeout)

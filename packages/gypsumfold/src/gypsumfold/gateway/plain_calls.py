"""Serves calls to plain services, with retries on other replicas."""

import asyncio
from collections.abc import Callable
import functools
import time

import msgspec

from gypsumfold import exceptions
from gypsumfold.decisions import routes
from gypsumfold.gateway import copies as copies_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import plain_queue
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import rate_permits as rate_permits_module
from gypsumfold.gateway import replies
from gypsumfold.gateway import retry_permits as retry_permits_module
from gypsumfold.gateway import run_results
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import types

# Multiple of a route's objective after which a repeatable call is retried
# elsewhere: nearly all answers that come at all have come by then.
ATTEMPT_TIMEOUT_FACTOR = 2.0
# Attempts, refused ones included; each retry counts against the site's budget.
MAX_ATTEMPTS = 4
JSON_TYPE = b"application/json"


class PlainCalls:
    """Sends a call to the least busy replica and retries it if allowed.

    Attributes:
        shared: Chooses replicas by the load of all nodes; None if only this
            node's own calls count.

    >>> await plain_calls.serve(route, service, reply, progress)
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        endpoints: types.Endpoints,
        retry_permits: retry_permits_module.RetryPermits,
        rate_permits: rate_permits_module.RatePermits,
        data_centre: str,
        quarantine: quarantine_module.Quarantine,
    ):
        self.directory = directory
        self.results = run_results.RunResults(directory)
        self.quarantine = quarantine
        self.endpoints = endpoints
        self.retry_permits = retry_permits
        self.rate_permits = rate_permits
        self.data_centre = data_centre
        self.copies = copies_module.Copies(
            directory, retry_permits, quarantine, data_centre
        )
        self.shared: plain_queue.PlainQueue | None = None

    async def serve(
        self,
        route: routes.Route,
        service: str,
        reply: replies.Reply,
        progress: progress_module.Progress,
    ) -> None:
        """Answers a call.

        Raises:
            exceptions.RequestError: No replica answered.
        """
        last_answer = None
        refusal = None
        for attempt in range(MAX_ATTEMPTS):
            if last_answer is not None and not self.quarantine.is_unsuspected(
                progress
            ):
                break
            self.quarantine.admit(progress)
            if not self.may_take_later(service) and not await self.take_retry(
                service, progress
            ):
                break
            await self.borrow_permit(service, progress)
            if self.shared is not None:
                refusal = await self.shared.wait(service, route, progress)
                if refusal is not None:
                    break
                if not await self.take_retry(service, progress):
                    break
            replica = await self.quarantine.place(
                progress,
                route,
                functools.partial(self.choose, service, progress),
            )
            if replica is None:
                progress.backoff_end = self.directory.eligible.backoff_end(
                    service, None, time.monotonic()
                )
                break
            if attempt:
                progress.log_retry("the previous attempt failed")
            try:
                send = functools.partial(self.attempt, route, progress)
                found = await self.copies.run(replica, route, progress, send)
            except exceptions.EndpointNotStarted as error:
                progress.record_not_started(error)
                continue
            except exceptions.AnswerBroken:
                progress.record_arrival()
                if self.can_retry(route, progress):
                    continue
                break
            last_answer = found
            progress.record_arrival()
            if not run_results.is_failure(found.status):
                break
            if not self.can_retry(route, progress):
                break
        if last_answer is not None:
            await reply.send(*last_answer)
            return
        if refusal is None and self.shared is not None:
            refusal = self.shared.final_error(service, progress)
        raise refusal or progress.final_error()

    def may_take_later(self, service: str) -> bool:
        """Whether a retry is taken from the budget after the wait for a turn.

        A call that is refused there then uses none. If none is left here, the
        call isn't to wait before it is refused for that.
        """
        if self.shared is None:
            return False
        budget = self.retry_permits.budget
        return budget.remaining(service, time.monotonic()) >= 1.0

    async def take_retry(
        self, service: str, progress: progress_module.Progress
    ) -> bool:
        """Takes a retry from the budget if the next attempt needs one."""
        if not progress.needs_retry():
            return True
        if not await self.retry_permits.take(service):
            progress.log_retry_refused(service)
            return False
        progress.has_retry = True
        return True

    async def borrow_permit(
        self, service: str, progress: progress_module.Progress
    ) -> None:
        """Borrows a permit if only replicas that limit requests are left."""
        if not self.directory.rate_limits.named:
            return
        now = time.monotonic()
        if self.directory.eligible.ready(service, now, avoid=progress.avoid):
            return
        limited = self.directory.eligible.limited(service, None, now)
        if limited:
            await self.rate_permits.borrow(limited)

    def choose(
        self,
        service: str,
        progress: progress_module.Progress,
        fits: Callable[[types.Replica], bool],
    ) -> types.Replica | None:
        """Chooses a replica that has not failed this call, if it fits."""
        if self.shared is not None:
            found = self.shared.replicas.choose(service, progress.avoid)
        else:
            ready = self.directory.eligible.ready(
                service, time.monotonic(), avoid=progress.avoid
            )
            found = self.directory.choice.least_busy(ready, self.data_centre)
        return found if found is not None and fits(found) else None

    def can_retry(
        self, route: routes.Route, progress: progress_module.Progress
    ) -> bool:
        """Whether a call that may have run may run again."""
        return route.repeatable and progress.runs < route.attempts

    async def attempt(
        self,
        route: routes.Route,
        progress: progress_module.Progress,
        replica: types.Replica,
        notify_head: Callable[[], None],
    ) -> types.WholeAnswer:
        """Sends a call to one replica and reads its complete answer.

        Args:
            route: The call's route.
            progress: Its progress.
            replica: The replica.
            notify_head: Called once the head of an answer that isn't a failure
                has come.

        Raises:
            exceptions.EndpointNotStarted: The replica ran nothing of it.
            exceptions.AnswerBroken: It may have run.
        """
        # The last attempt may use all the time left; the handler enforces
        # the deadline.
        limit = None
        if route.repeatable and progress.runs + 1 < route.attempts:
            limit = ATTEMPT_TIMEOUT_FACTOR * route.objective
        try:
            self.directory.statements.take_permit(replica)
        except exceptions.EndpointWithheld:
            self.quarantine.end_canaries(progress.subjects, replica)
            raise
        self.directory.request_started(replica.instance, time.monotonic())
        progress.record_sent(replica, route=route.name)
        run = runs_module.Run(
            progress.fingerprint, progress.parts, replica, is_prefill=False
        )
        self.quarantine.record_start(run)
        sent_at = time.time()
        open_call = self.shared.replicas.begin(replica) if self.shared else None
        try:
            async with asyncio.timeout(limit):
                answer = await self.exchange(replica, progress, notify_head)
            if open_call is not None:
                open_call.is_answered = not run_results.is_failure(
                    answer.status
                )
            progress.record_begin(sent_at)
            self.quarantine.record_completion(run)
            return answer
        except TimeoutError as error:
            self.record_failure(replica, progress, "silent", error)
            raise exceptions.AnswerBroken("no answer in time") from error
        except exceptions.EndpointNotStarted as error:
            progress.record_not_run(replica)
            self.record_failure(replica, progress, str(error), error)
            raise
        except exceptions.AnswerBroken as error:
            progress.record_begin(sent_at)
            self.quarantine.record_interruption(run)
            self.record_failure(replica, progress, str(error), error)
            raise
        finally:
            # Before the queue's, so that a failure there leaves none open.
            self.quarantine.end_canary(run)
            self.directory.request_ended(replica.instance)
            if open_call is not None:
                self.shared.end(open_call)

    def record_failure(
        self,
        replica: types.Replica,
        progress: progress_module.Progress,
        reason: str,
        error: Exception,
    ) -> None:
        """Records a replica's failure."""
        progress.record_failure(replica, reason)
        if isinstance(error, exceptions.EndpointRefused) and not isinstance(
            error, exceptions.EndpointMismatch
        ):
            progress.refused_as_full |= {replica.instance}
        self.results.failed(replica, error, time.monotonic())
        self.copies.record_failure(replica, error)

    async def exchange(
        self,
        replica: types.Replica,
        progress: progress_module.Progress,
        notify_head: Callable[[], None],
    ) -> types.WholeAnswer:
        """Sends a call to a replica and reads the answer to its end."""
        instructions = types.Instructions(progress.time_left())
        answer = await self.endpoints.send(replica, progress.call, instructions)
        try:
            if answer.not_run:
                await answer.drain()
                raise exceptions.EndpointRefused(
                    "the replica has no free capacity"
                )
            if not run_results.is_failure(answer.status):
                notify_head()
            body = await answer.read()
        finally:
            answer.close()
        check_answer(answer)
        check_body(answer, body)
        self.results.answered(replica, answer.status, time.monotonic())
        if run_results.is_failure(answer.status):
            progress.record_failure(replica, f"it answered {answer.status}")
        return types.WholeAnswer(
            answer.status, answer.reason, answer.fields, body
        )


def check_answer(answer: types.Answer) -> None:
    """Checks that an answer may be forwarded to the caller.

    Raises:
        exceptions.AnswerBroken: It is a success without the replica's seal,
            or a refusal that does not state that nothing has run.
    """
    if answer.status < 300 and not answer.sealed:
        raise exceptions.AnswerBroken("a success without the replica's seal")
    if answer.status in (408, 421, 429, 503):
        raise exceptions.AnswerBroken(
            f"{answer.status} without the statement that nothing has run"
        )


def check_body(answer: types.Answer, body: bytes) -> None:
    """Checks that the end of a connection was the end of a body.

    Only the content can tell. A body of another type than JSON counts as whole
    if its connection was closed in order.

    Raises:
        exceptions.AnswerBroken: The body is JSON and has been cut off.
    """
    if not is_unframed_json(answer):
        return
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise exceptions.AnswerBroken(
            "the connection ended inside the body"
        ) from error


def is_unframed_json(answer: types.Answer) -> bool:
    """Whether only its content tells where an answer ends."""
    return not answer.is_framed and is_json(answer.fields)


def is_json(fields: types.Fields) -> bool:
    """Whether header fields state that a body is JSON."""
    for name, value in fields:
        if name.lower() != b"content-type":
            continue
        media_type = value.partition(b";")[0].strip().lower()
        return media_type == JSON_TYPE or media_type.endswith(b"+json")
    return False

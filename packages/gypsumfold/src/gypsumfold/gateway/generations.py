"""Serves generations: prefill on one engine, decode on another.

The decode engine is chosen once the prefill is complete, from the state known
then. If a stream is interrupted and its route is resumable, it resumes on
another engine after the last event that the caller received completely.
"""

import asyncio
from collections.abc import Callable
import functools
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import role_split
from gypsumfold.decisions import routes
from gypsumfold.gateway import copies
from gypsumfold.gateway import decode_waits
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import prefill_copies
from gypsumfold.gateway import prefills
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import rate_permits as rate_permits_module
from gypsumfold.gateway import replies
from gypsumfold.gateway import retry_permits as retry_permits_module
from gypsumfold.gateway import run_results
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import streams
from gypsumfold.gateway import types

# Attempts at prefill or decode, refused ones included.
MAX_ATTEMPTS = 4
# Failures after which a KV cache can still be fetched: the request did not
# reach the decode engine, or reached one other than the engine addressed.
HANDLE_KEEPING_ERRORS = (
    exceptions.EndpointUnreachable,
    exceptions.EndpointMismatch,
    exceptions.EndpointWithheld,
)
# Status of an answer that was forwarded to its end.
SUCCESS_STATUS = 200
# Seconds between two checks for a decode engine.
POLL_INTERVAL = 0.03
# Maximum seconds to wait for an engine of a stream's version that is silent or
# refuses work: callers abandon a stream after a gap of two seconds.
VERSION_WAIT_SECONDS = 1.0


class EngineListener:
    """Records that an engine sends data, and that a run gives output."""

    def __init__(
        self,
        directory: directory_module.Directory,
        quarantine: quarantine_module.Quarantine,
        run: runs_module.Run,
        progress: progress_module.Progress,
        notify_begin: Callable[[progress_module.Progress], None],
    ):
        self.directory = directory
        self.quarantine = quarantine
        self.run = run
        self.progress = progress
        self.notify_begin = notify_begin

    def bytes_received(self) -> None:
        """Records that the engine is alive."""
        self.directory.liveness.record_activity(
            self.run.replica.instance, time.monotonic()
        )

    def output_received(self) -> None:
        """Records which version begins the stream."""
        self.progress.record_output(self.run.replica)
        self.notify_begin(self.progress)

    def output_forwarded(self) -> None:
        """Records that output was sent to the caller."""
        self.progress.record_begin()
        self.quarantine.record_output(self.run)


class Generations:
    """Runs prefill and decode, and forwards the events to the caller.

    Attributes:
        notify_begin: Called before output of a run is sent to its caller.

    >>> await generations.serve(route, service, reply, progress)
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        endpoints: types.Endpoints,
        retry_permits: retry_permits_module.RetryPermits,
        rate_permits: rate_permits_module.RatePermits,
        prefix_router: prefix_routing_module.PrefixRouter,
        quarantine: quarantine_module.Quarantine,
    ):
        self.directory = directory
        self.results = run_results.RunResults(directory)
        self.quarantine = quarantine
        self.endpoints = endpoints
        self.retry_permits = retry_permits
        self.rate_permits = rate_permits
        self.prefix_router = prefix_router
        self.notify_begin = lambda progress: None
        self.waits = decode_waits.DecodeWaits(directory)
        self.prefills = prefills.Prefills(
            directory, endpoints, prefix_router, quarantine
        )
        self.prefill_copies = prefill_copies.PrefillCopies(
            copies.Copies(directory, retry_permits, quarantine, ""),
            self.prefills,
        )

    async def serve(
        self,
        route: routes.Route,
        service: types.Service,
        reply: replies.Reply,
        progress: progress_module.Progress,
    ) -> None:
        """Answers a request for a generation.

        Raises:
            exceptions.RequestError: No engine answered, and nothing was sent
                to the caller.
            exceptions.AnswerBroken: The answer has started and cannot be
                completed.
        """
        stream = streams.Stream(reply, route.resumable)
        try:
            await self.run_attempts(route, service, stream, progress)
        except exceptions.RequestError:
            if stream.failure is None:
                raise
            # The engine's own answer says more than this node's would.
            await reply.send(*stream.failure)
        finally:
            self.prefills.release_handle(progress)

    async def run_attempts(
        self,
        route: routes.Route,
        service: types.Service,
        stream: streams.Stream,
        progress: progress_module.Progress,
    ) -> None:
        """Makes attempts until an engine has answered or no more are allowed.

        Raises:
            exceptions.RequestError: As `serve`.
            exceptions.AnswerBroken: As `serve`.
        """
        for attempt in range(MAX_ATTEMPTS):
            self.quarantine.admit(progress)
            if not await self.retry_permits.may_attempt(
                service.name, progress, self.waits.refuse_early
            ):
                progress.log_retry_refused(service.name)
                break
            if attempt:
                progress.log_retry(
                    "the prompt was taken back"
                    if progress.moved_from
                    else "the previous attempt failed"
                )
            try:
                await self.attempt(route, service, stream, progress)
                return
            except exceptions.EndpointNotStarted as error:
                progress.record_not_started(error)
                continue
            except exceptions.AnswerAbandoned:
                raise
            except exceptions.EndpointFailed:
                progress.record_arrival()
                if not self.can_retry(route, progress):
                    break
                # What fails at one replica and is suspected of crashes isn't
                # tried at the next.
                if not self.quarantine.is_unsuspected(progress):
                    break
            except exceptions.AnswerBroken:
                progress.record_arrival()
                if not self.can_retry(route, progress):
                    break
        if progress.answer_started:
            raise exceptions.AnswerBroken("no engine could resume the answer")
        raise progress.final_error()

    def can_retry(
        self, route: routes.Route, progress: progress_module.Progress
    ) -> bool:
        """Whether a request that may have run may run again."""
        can_repeat = route.resumable or route.repeatable
        return can_repeat and progress.attempts_used < route.attempts

    async def attempt(
        self,
        route: routes.Route,
        service: types.Service,
        stream: streams.Stream,
        progress: progress_module.Progress,
    ) -> None:
        """Runs the prefill if it is still needed, then the decode.

        Raises:
            exceptions.EndpointNotStarted: Nothing has run in this attempt.
            exceptions.EndpointFailed: An engine ran it and failed.
            exceptions.AnswerBroken: An engine may have started to run it.
        """
        is_limited = await self.borrow_permit(service, False, progress)
        # A stream that goes on, or a prompt that was processed, waits for its
        # engines.
        is_tied = progress.origin is not None or progress.handle is not None
        if is_limited and not is_tied and not progress.may_have_run:
            raise exceptions.Unavailable(
                "the engines limit their requests",
                outcomes.Outcome.NOT_RUN,
                progress.retry_after(),
            )
        self.check_backoffs(service, progress)
        await self.waits.wait(route, service, progress)
        if progress.origin is not None:
            await self.wait_for_version(service, progress)
        if self.prefills.has_lost_handle(progress):
            may_repeat = progress.may_prefill
            if may_repeat:
                may_repeat = await self.retry_permits.take(service.name)
            self.prefills.discard_handle(progress, may_repeat)
        choice = None
        # The decode engine processes the prompt of a recurring suspect itself,
        # so that nothing of it arrives anywhere before its turn, and that of a
        # moved prompt whose second prefill failed.
        is_suspect = self.quarantine.crash_log.has_repeated_crashes(
            progress.parts
        )
        may_prefill = progress.may_prefill and not is_suspect
        if not progress.prefill_address and may_prefill:
            await self.borrow_permit(service, True, progress)
            choice = self.prefills.place(route, service, progress)
        if choice is not None and progress.needs_retry():
            await self.retry_permits.take_for(service.name, progress)
            # The engine may have left while this node waited for a loan.
            choice = self.prefills.place(route, service, progress)
        if choice is not None:
            handle = await self.prefill_copies.run(
                choice, route, service, progress
            )
            progress.record_prefill(handle)
            await self.borrow_permit(service, False, progress)
        if progress.needs_retry() and self.choose_decode_engine(
            service, progress, lambda engine: True
        ):
            await self.retry_permits.take_for(service.name, progress)
        self.quarantine.admit(progress)
        # Nothing may wait from here until the run begins: the request may be a
        # canary, which others wait for.
        decoder = await self.quarantine.place(
            progress,
            route,
            functools.partial(self.choose_decode_engine, service, progress),
        )
        if decoder is None:
            if self.directory.eligible.limited(
                service.name, False, time.monotonic(), progress.origin
            ):
                raise exceptions.EndpointLimited(
                    "decode engines limit requests"
                )
            raise exceptions.EndpointUnavailable(
                "no decode engine is available"
            )
        await self.run(decoder, route, service, stream, progress)

    async def borrow_permit(
        self,
        service: types.Service,
        prefill: bool,
        progress: progress_module.Progress,
    ) -> bool:
        """Borrows a permit if only engines that limit requests are left.

        Returns:
            Whether a limit leaves no engine for the request.
        """
        if not self.directory.rate_limits.named:
            return False
        now = time.monotonic()
        origin = None if prefill else progress.origin
        if self.directory.eligible.engines(
            service.name, prefill, now, origin=origin
        ):
            return False
        limited = self.directory.eligible.limited(
            service.name, prefill, now, origin
        )
        if not limited:
            return False
        return not await self.rate_permits.borrow(limited)

    def check_backoffs(
        self, service: types.Service, progress: progress_module.Progress
    ) -> None:
        """Refuses a request at once if all decode engines want none.

        A stream that goes on waits for its version's engines for a moment.

        Raises:
            exceptions.RequestError: They do.
        """
        if progress.origin is not None:
            return
        now = time.monotonic()
        progress.backoff_end = self.directory.eligible.backoff_end(
            service.name, False, now
        )
        if progress.backoff_end is None:
            return
        if progress.may_have_run:
            raise progress.final_error()
        raise exceptions.Unavailable(
            "all engines have asked to back off",
            outcomes.Outcome.NOT_RUN,
            progress.retry_after(),
        )

    async def wait_for_version(
        self, service: types.Service, progress: progress_module.Progress
    ) -> None:
        """Waits a moment for a decode engine of the version of a stream.

        Where the version's engines are merely out of reach, another node may
        serve the request at once.

        Raises:
            exceptions.RequestError: None is expected in time.
            exceptions.AnswerAbandoned: The same, and the answer has started.
        """
        started = time.monotonic()
        while True:
            now = time.monotonic()
            origin = progress.origin
            found = self.directory.eligible.engines(
                service.name, False, now, origin=origin
            )
            waited = now - started
            if found:
                if self.quarantine.is_last_engine(found, progress):
                    break
                return
            lost = self.directory.eligible.lost_version(origin, now)
            progress.missed |= lost
            if (
                waited >= VERSION_WAIT_SECONDS
                or (
                    lost
                    and progress.may_forward
                    and not progress.answer_started
                )
                or progress.time_left() < VERSION_WAIT_SECONDS
                or not self.directory.eligible.may_return(
                    origin, now, started + VERSION_WAIT_SECONDS
                )
            ):
                break
            await asyncio.sleep(POLL_INTERVAL)
        events.log(
            events.STREAM_STRANDED,
            request=progress.call.id,
            resumes=progress.call.resumes,
            service=origin.service,
            version=origin.version,
            waited=round(waited, 3),
        )
        if progress.answer_started:
            raise exceptions.AnswerAbandoned(
                "no engine of the stream's version is available"
            )
        if progress.may_have_run:
            raise progress.final_error()
        raise exceptions.Unavailable(
            "no engine of the stream's version is available",
            outcomes.Outcome.NOT_RUN,
            progress.retry_after(),
        )

    def choose_decode_engine(
        self,
        service: types.Service,
        progress: progress_module.Progress,
        fits: Callable[[types.Replica], bool],
    ) -> types.Replica | None:
        """Chooses a decode engine that fits, for a stream of its version."""
        now = time.monotonic()
        handle = progress.handle
        origin = progress.origin
        data_centre = ""
        if handle is not None and handle.engine in self.directory.replicas:
            data_centre = self.directory.replicas[handle.engine].data_centre
        found = self.directory.eligible.engines(
            service.name, False, now, progress.avoid, origin
        )
        # A failed stream does not exclude the only engine.
        found = found or self.directory.eligible.engines(
            service.name, False, now, origin=origin
        )
        fitting = [engine for engine in found if fits(engine)]
        return self.directory.choice.least_loaded(
            fitting, data_centre, self.endpoints.is_connected
        )

    async def run(
        self,
        replica: types.Replica,
        route: routes.Route,
        service: types.Service,
        stream: streams.Stream,
        progress: progress_module.Progress,
    ) -> None:
        """Runs the decode on one engine and forwards its answer.

        The handle of the KV cache is kept for the next attempt if this one
        certainly did not fetch it.

        Raises:
            exceptions.EndpointNotStarted: It ran nothing.
            exceptions.EndpointFailed: It ran it and failed.
            exceptions.AnswerBroken: Its answer ended early.
        """
        handle = progress.handle
        instructions = types.Instructions(
            progress.time_left(),
            urgency=progress.rank(route, 0.0).urgency,
            handle=handle,
            # After a prefill the cached blocks are copied from its engine
            # instead of a second prefill: a retry is one call, not two.
            cache_peer=""
            if handle
            else self.prefills.cache_peer(progress.prefill_address),
            last_event=stream.last_event,
        )
        try:
            self.directory.statements.take_permit(replica)
        except exceptions.EndpointWithheld:
            self.quarantine.end_canaries(progress.subjects, replica)
            raise
        share = stream_share(replica, service, progress.call)
        self.directory.request_started(replica.instance, time.monotonic())
        self.directory.streams.add(replica.instance, share)
        self.prefix_router.notify_load_change()
        progress.record_sent(
            replica,
            route=route.name,
            resumed=stream.last_event,
        )
        run = runs_module.Run(
            progress.fingerprint, progress.parts, replica, is_prefill=False
        )
        self.quarantine.record_start(run)
        try:
            await self.exchange(run, instructions, stream, progress)
            self.quarantine.record_completion(run)
        except exceptions.EndpointNotStarted as error:
            progress.record_not_run(replica)
            progress.record_failure(replica, str(error))
            self.results.failed(replica, error, time.monotonic())
            if not isinstance(error, HANDLE_KEEPING_ERRORS):
                self.prefills.release_handle(progress)
            raise
        except exceptions.EndpointFailed as error:
            progress.record_failure(replica, str(error))
            self.quarantine.record_completion(run)
            self.results.failed(replica, error, time.monotonic())
            self.prefills.release_handle(progress)
            raise
        except exceptions.AnswerBroken as error:
            progress.record_failure(replica, str(error))
            self.quarantine.record_interruption(run)
            self.results.failed(replica, error, time.monotonic())
            self.prefills.release_handle(progress)
            raise
        finally:
            self.quarantine.end_canary(run)
            self.directory.request_ended(replica.instance)
            self.directory.streams.remove(replica.instance, share)
            self.prefix_router.notify_load_change()
        progress.handle = None
        self.results.answered(replica, SUCCESS_STATUS, time.monotonic())

    async def exchange(
        self,
        run: runs_module.Run,
        instructions: types.Instructions,
        stream: streams.Stream,
        progress: progress_module.Progress,
    ) -> None:
        """Sends the request to a decode engine and forwards its answer.

        Raises:
            exceptions.EndpointNotStarted: It ran nothing.
            exceptions.AnswerBroken: Its answer ended early.
        """
        answer = await self.endpoints.send(
            run.replica, progress.call, instructions
        )
        try:
            if answer.not_run:
                await answer.drain()
                raise exceptions.EndpointRefused(
                    f"the engine answered {answer.status}"
                )
            listener = EngineListener(
                self.directory,
                self.quarantine,
                run,
                progress,
                self.notify_begin,
            )
            await stream.forward(answer, progress, listener)
        finally:
            answer.close()


def stream_share(
    replica: types.Replica, service: types.Service, call: types.Call
) -> float:
    """The share of an engine's capacity that a stream takes."""
    tokens = call.prompt_tokens + call.output_tokens
    return role_split.stream_share(tokens, service.cache_tokens, replica.slots)

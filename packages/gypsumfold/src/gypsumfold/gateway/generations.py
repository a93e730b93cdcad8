"""Serves generations: one engine reads the prompt, another makes the tokens.

The engine that makes the tokens is chosen after the prompt was read, from
what is known then. A stream that breaks off goes on at another engine where
its route allows that, after the last event that the caller has whole.
"""

import asyncio
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import outages
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import retry_budget
from gypsumfold.decisions import role_split
from gypsumfold.decisions import routes
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import prefills
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import replies
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import streams
from gypsumfold.gateway import types

# Attempts at reading a prompt or making tokens, refused ones included.
MAX_ATTEMPTS = 4
# Failures after which a KV cache still waits to be taken: the engine that was
# to take it never saw the request, or is not the one meant.
HANDLE_KEEPING_ERRORS = (
    exceptions.EndpointUnreachable,
    exceptions.EndpointMistaken,
)
# Seconds between two looks for an engine that generates.
POLL_INTERVAL = 0.03


class EngineListener:
    """Notes each sign of life of one engine, and that a run gives output."""

    def __init__(
        self,
        directory: directory_module.Directory,
        quarantine: quarantine_module.Quarantine,
        run: runs_module.Run,
    ):
        self.directory = directory
        self.quarantine = quarantine
        self.run = run

    def bytes_received(self) -> None:
        """Bytes came."""
        self.directory.record_activity(
            self.run.replica.instance, time.monotonic()
        )

    def output_forwarded(self) -> None:
        """An event went to the caller."""
        self.quarantine.record_output(self.run)


class Generations:
    """Places prompts and streams, and passes the events on.

    >>> await generations.serve(route, service, reply, progress)
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        endpoints: types.Endpoints,
        budget: retry_budget.RetryBudget,
        prefix_router: prefix_routing_module.PrefixRouter,
        quarantine: quarantine_module.Quarantine,
    ):
        self.directory = directory
        self.quarantine = quarantine
        self.endpoints = endpoints
        self.budget = budget
        self.prefix_router = prefix_router
        self.prefills = prefills.Prefills(
            directory, endpoints, prefix_router, quarantine
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
            exceptions.RequestError: It ends without an engine's answer, and
                nothing has gone to the caller.
            exceptions.AnswerBroken: The answer has begun and cannot be
                completed.
        """
        stream = streams.Stream(reply, route.resumable)
        try:
            await self.run_attempts(route, service, stream, progress)
        finally:
            self.prefills.release_handle(progress)

    async def run_attempts(
        self,
        route: routes.Route,
        service: types.Service,
        stream: streams.Stream,
        progress: progress_module.Progress,
    ) -> None:
        """Tries until an engine has answered or nothing is left to try.

        Raises:
            exceptions.RequestError: As `serve`.
            exceptions.AnswerBroken: As `serve`.
        """
        for attempt in range(MAX_ATTEMPTS):
            self.quarantine.admit(progress)
            if attempt:
                if not self.take_retry(service):
                    progress.log_retry_refused(service.name)
                    break
                progress.log_retry("the attempt before failed")
            try:
                await self.attempt(route, service, stream, progress)
                return
            except exceptions.EndpointNotStarted:
                continue
            except exceptions.AnswerAbandoned:
                raise
            except exceptions.AnswerBroken:
                may_repeat = route.resumable or route.repeatable
                if not may_repeat or progress.runs >= route.attempts:
                    break
        if progress.answer_started:
            raise exceptions.AnswerBroken("no engine could go on")
        raise progress.final_error()

    async def attempt(
        self,
        route: routes.Route,
        service: types.Service,
        stream: streams.Stream,
        progress: progress_module.Progress,
    ) -> None:
        """Reads the prompt, then makes the tokens.

        Raises:
            exceptions.EndpointNotStarted: Nothing has run in this attempt.
            exceptions.AnswerBroken: An engine may have begun.
        """
        await self.wait_for_decode_engine(route, service, progress)
        self.prefills.discard_lost_handle(
            progress, lambda: self.take_retry(service)
        )
        choice = None
        if not progress.prefill_address:
            choice = self.prefills.place(route, service, progress)
        if choice is not None:
            handle = await self.prefills.prefill(
                choice, route, service, progress
            )
            progress.handle = handle
            progress.prefill_address = handle.address
        self.quarantine.admit(progress)
        decoder = await self.quarantine.place(
            progress,
            route,
            lambda: self.choose_decode_engine(
                service, progress.handle, progress
            ),
        )
        if decoder is None:
            raise exceptions.EndpointNotStarted("no engine generates")
        await self.run(decoder, route, service, stream, progress)

    def take_retry(self, service: types.Service) -> bool:
        """Takes one repeat out of the site's budget, if one is left."""
        return self.budget.allow(service.name, time.monotonic())

    async def wait_for_decode_engine(
        self,
        route: routes.Route,
        service: types.Service,
        progress: progress_module.Progress,
    ) -> None:
        """Waits until an engine generates, if it is expected in time.

        Raises:
            exceptions.Unavailable: It is not.
        """
        held = False
        while True:
            now = time.monotonic()
            if self.directory.engines(service.name, False, now):
                return
            since = self.directory.decode_available_at.setdefault(
                service.name, now
            )
            age = now - progress.call.arrival
            verdict = outages.decide(
                since,
                service.switch_time,
                route.remaining_wait(progress.time_left(), age),
                progress.time_left(),
                now,
            )
            if not verdict.hold:
                if progress.may_have_run:
                    raise exceptions.AnswerBroken("no engine generates")
                raise exceptions.Unavailable(
                    "no engine generates",
                    outcomes.Outcome.NOT_RUN,
                    verdict.retry_after,
                )
            if not held:
                held = True
                events.log(
                    events.CALL_HELD,
                    request=progress.call.id,
                    since=round(now - since, 3),
                    left=round(progress.time_left(), 3),
                )
            await asyncio.sleep(POLL_INTERVAL)

    def choose_decode_engine(
        self,
        service: types.Service,
        handle: types.Handle | None,
        progress: progress_module.Progress,
    ) -> types.Replica | None:
        """Picks the engine that makes the tokens."""
        now = time.monotonic()
        near = ""
        if handle is not None and handle.engine in self.directory.replicas:
            near = self.directory.replicas[handle.engine].data_centre
        found = self.directory.engines(service.name, False, now, progress.avoid)
        # One broken stream does not make the only engine useless.
        found = found or self.directory.engines(service.name, False, now)
        return self.directory.least_loaded(
            found, near, self.endpoints.is_connected
        )

    async def run(
        self,
        replica: types.Replica,
        route: routes.Route,
        service: types.Service,
        stream: streams.Stream,
        progress: progress_module.Progress,
    ) -> None:
        """Has one engine make the tokens and passes them on.

        A prompt's KV cache stays for the next attempt where this one surely
        did not take it.

        Raises:
            exceptions.EndpointNotStarted: It ran nothing.
            exceptions.AnswerBroken: It broke off.
        """
        handle = progress.handle
        instructions = types.Instructions(
            progress.time_left(),
            urgency=progress.rank(route, 0.0).urgency,
            handle=handle,
            # Once read, a prompt is copied and not read a second time: a
            # repeat is one call and not two.
            cache_peer=""
            if handle
            else self.prefills.cache_peer(progress.prefill_address),
            last_event=stream.last_event,
        )
        share = stream_share(replica, service, progress.call)
        self.directory.request_started(replica.instance, time.monotonic())
        self.directory.streams.add(replica.instance, share)
        self.prefix_router.notify_load_change()
        progress.record_sent(
            replica,
            route=route.name,
            resumed=stream.last_event,
        )
        run = runs_module.Run(progress.fingerprint, replica, is_prefill=False)
        self.quarantine.record_start(run)
        try:
            await self.exchange(run, instructions, stream, progress)
            self.quarantine.record_completion(run)
        except exceptions.EndpointNotStarted as error:
            progress.record_not_run(replica)
            progress.record_failure(replica, str(error))
            self.record_failure(replica, error)
            if not isinstance(error, HANDLE_KEEPING_ERRORS):
                self.prefills.release_handle(progress)
            raise
        except exceptions.AnswerBroken as error:
            progress.record_failure(replica, str(error))
            self.quarantine.record_interruption(run)
            self.directory.request_failed(
                replica.instance, error, time.monotonic()
            )
            self.prefills.release_handle(progress)
            raise
        finally:
            self.quarantine.end_canary(run)
            self.directory.request_ended(replica.instance)
            self.directory.streams.remove(replica.instance, share)
            self.prefix_router.notify_load_change()
        progress.handle = None
        self.directory.health.succeeded(replica.instance, time.monotonic())

    def record_failure(
        self, replica: types.Replica, error: exceptions.EndpointNotStarted
    ) -> None:
        """Judges an engine that did not take a request."""
        now = time.monotonic()
        if isinstance(error, exceptions.EndpointRefused):
            self.directory.request_refused(replica.instance, error, now)
            return
        self.directory.request_failed(replica.instance, error, now)

    async def exchange(
        self,
        run: runs_module.Run,
        instructions: types.Instructions,
        stream: streams.Stream,
        progress: progress_module.Progress,
    ) -> None:
        """One exchange with an engine that generates.

        Raises:
            exceptions.EndpointNotStarted: It ran nothing.
            exceptions.AnswerBroken: It broke off.
        """
        answer = await self.endpoints.send(
            run.replica, progress.call, instructions
        )
        try:
            if answer.not_run:
                await answer.read()
                raise exceptions.EndpointRefused(
                    f"the engine answered {answer.status}"
                )
            listener = EngineListener(self.directory, self.quarantine, run)
            await stream.forward(answer, progress, listener)
        finally:
            answer.close()


def stream_share(
    replica: types.Replica, service: types.Service, call: types.Call
) -> float:
    """The share of an engine that a stream takes."""
    tokens = call.prompt_tokens + call.output_tokens
    return role_split.stream_share(tokens, service.cache_tokens, replica.slots)

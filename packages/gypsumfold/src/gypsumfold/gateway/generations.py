"""Serves generations: one engine reads the prompt, another makes the tokens.

The engine that makes the tokens is chosen after the prompt was read, from
what is known then. A stream that breaks off goes on at another engine where
its route allows that, after the last event that the caller has whole.
"""

import asyncio
from collections.abc import Coroutine
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import budgets
from gypsumfold.decisions import homes as homes_module
from gypsumfold.decisions import lateness
from gypsumfold.decisions import outages
from gypsumfold.decisions import routes
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import replies
from gypsumfold.gateway import streams
from gypsumfold.gateway import types

# Attempts at reading a prompt or making tokens, refused ones included.
MOST_ATTEMPTS = 4
# Times the expected seconds after which a prompt is read elsewhere, and the
# least that it is given: a burst of long prompts queues for about as long.
PROMPT_PATIENCE = 4.0
LEAST_PATIENCE = 3.0
# Seconds between two looks whether an engine gives no sign of life.
SUSPECT_LOOK = 0.1
# Seconds for freeing a KV cache; it lapses by itself after a few.
FREE_LIMIT = 1.0
# Seconds between two looks for an engine that generates.
LOOK = 0.03
# Seconds after which a caller may come back where there is no room.
RETRY_AFTER = 0.5


class Ear:
    """Notes each sign of life of one engine."""

    def __init__(self, directory: directory_module.Directory, instance: str):
        self.directory = directory
        self.instance = instance

    def heard(self) -> None:
        """Bytes came."""
        self.directory.heard(self.instance, time.monotonic())


class Generations:
    """Places prompts and streams, and passes the events on.

    >>> await generations.serve(route, service, reply, progress)
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        endpoints: types.Endpoints,
        budget: budgets.RetryBudget,
        homes: homes_module.Homes,
    ):
        self.directory = directory
        self.endpoints = endpoints
        self.budget = budget
        self.homes = homes
        self.tasks: set[asyncio.Task] = set()

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
        for attempt in range(MOST_ATTEMPTS):
            if attempt:
                if not self.budget.allow(service.name, time.monotonic()):
                    break
                progress.repeated("the attempt before failed")
            try:
                await self.attempt(route, service, stream, progress)
                return
            except exceptions.EndpointNotStarted:
                continue
            except exceptions.AnswerBroken:
                may_repeat = route.resumable or route.repeatable
                if not may_repeat or progress.runs >= route.attempts:
                    break
        if progress.begun:
            raise exceptions.AnswerBroken("no engine could go on")
        raise self.failure(progress)

    def failure(
        self, progress: progress_module.Progress
    ) -> exceptions.RequestError:
        """Makes the final answer of a request that has none."""
        if progress.may_have_run:
            return exceptions.AnswerFailed(
                "an engine broke off", outcomes.Outcome.UNDETERMINED
            )
        return exceptions.Unavailable(
            "no engine has room",
            outcomes.Outcome.NOT_RUN,
            min(RETRY_AFTER, max(0.0, progress.left() / 3)),
        )

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
        await self.engine_back(route, service, progress)
        handle = None
        choice = None
        if not progress.read_at:
            choice = self.place(service, progress)
        if choice is not None:
            handle = await self.read(choice, route, service, progress)
            progress.read_at = handle.address
        taken = False
        try:
            decoder = self.decoder(service, handle, progress)
            if decoder is None:
                raise exceptions.EndpointNotStarted("no engine generates")
            taken = await self.run(
                decoder, handle, route, service, stream, progress
            )
        finally:
            if handle is not None and not taken:
                self.drop(handle)

    async def engine_back(
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
            since = self.directory.generating.setdefault(service.name, now)
            age = now - progress.call.arrival
            verdict = outages.judge(
                since,
                service.switch_time,
                route.waits(progress.left(), age),
                progress.left(),
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
                    left=round(progress.left(), 3),
                )
            await asyncio.sleep(LOOK)

    def place(
        self, service: types.Service, progress: progress_module.Progress
    ) -> homes_module.Choice | None:
        """Picks the engine that reads the prompt; None for any."""
        call = progress.call
        if not call.prompt_tokens:
            return None
        rate = 0.0
        if service.token_bytes:
            rate = service.link_rate / service.token_bytes
        return self.homes.choose(
            homes_module.Prompt(call.chain, call.model, call.prompt_tokens),
            self.readers(service, progress.avoid),
            self.holders(service),
            rate,
            time.monotonic(),
        )

    def holders(self, service: types.Service) -> list[homes_module.Engine]:
        """The engines that may have parts of prompts, also leaving ones."""
        found = []
        for replica in self.directory.replicas.values():
            if replica.service != service.name or replica.role is None:
                continue
            if replica.instance not in self.directory.suspects:
                found.append(
                    homes_module.Engine(replica.instance, replica.address)
                )
        return found

    def decoder(
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
        return self.directory.emptiest(found, near, service.cache_tokens)

    def readers(
        self, service: types.Service, avoid: frozenset[str]
    ) -> list[homes_module.Engine]:
        """The engines that read prompts."""
        found = []
        now = time.monotonic()
        for replica in self.directory.engines(service.name, True, now, avoid):
            found.append(homes_module.Engine(replica.instance, replica.address))
        return found

    def rank(
        self,
        route: routes.Route,
        expected: float,
        progress: progress_module.Progress,
    ) -> lateness.Rank:
        """Ranks a request by when its first event is expected."""
        age = time.monotonic() - progress.call.arrival
        waits = route.waits(progress.left(), age)
        return lateness.rank(
            route.urgency, age, expected, route.objective, waits
        )

    async def read(
        self,
        choice: homes_module.Choice,
        route: routes.Route,
        service: types.Service,
        progress: progress_module.Progress,
    ) -> types.Handle:
        """Has the chosen engine read the prompt.

        Raises:
            exceptions.EndpointNotStarted: It did not; nothing has run.
            exceptions.Unavailable: It would take longer than the caller
                waits.
        """
        replica = self.directory.replicas[choice.engine]
        rank = self.rank(route, choice.total, progress)
        if rank.hopeless and not progress.may_have_run:
            raise exceptions.Unavailable(
                "the engines have too much to read",
                outcomes.Outcome.NOT_RUN,
                min(choice.total, max(0.0, progress.left() / 3)),
            )
        call = progress.call
        events.log(
            events.PROMPT_PLACED,
            request=call.id,
            instance=choice.engine,
            tokens=choice.tokens,
            expected=round(choice.total, 3),
            copied_from=choice.peer,
            urgency=rank.urgency,
            left=round(progress.left(), 3),
        )
        instructions = types.Instructions(
            progress.left(),
            urgency=rank.urgency,
            prefill=True,
            cache_peer=choice.peer,
        )
        sent = time.monotonic()
        choice = self.homes.sent(
            choice, call.chain, call.model, service.cache_tokens, rank.late
        )
        done = False
        try:
            handle = await self.patiently(
                self.endpoints.prefill(replica, call, instructions),
                choice,
            )
            done = True
        except TimeoutError as error:
            self.directory.health.failed(
                replica.instance, True, time.monotonic()
            )
            progress.failed(replica, "the engine is silent")
            raise exceptions.EndpointNotStarted(
                "the engine is silent"
            ) from error
        except exceptions.EndpointRefused as error:
            self.directory.pause(replica.instance, time.monotonic())
            progress.failed(replica, str(error))
            raise
        except exceptions.EndpointError as error:
            silent = isinstance(error, exceptions.EndpointNotStarted)
            self.directory.health.failed(
                replica.instance, silent, time.monotonic()
            )
            progress.failed(replica, str(error))
            raise exceptions.EndpointNotStarted(str(error)) from error
        finally:
            if not done:
                self.homes.dropped(choice)
        now = time.monotonic()
        self.directory.heard(choice.engine, now)
        self.homes.done(choice, now - sent, now)
        self.directory.health.succeeded(replica.instance, time.monotonic())
        return handle

    async def patiently(
        self, prefill: Coroutine, choice: homes_module.Choice
    ) -> types.Handle:
        """Waits for a prompt to be read while its engine reads any.

        A queue is no reason to read the prompt a second time elsewhere; an
        engine that finishes none is.

        Raises:
            TimeoutError: The engine has finished nothing for too long.
            exceptions.EndpointError: It failed.
        """
        patience = max(LEAST_PATIENCE, PROMPT_PATIENCE * choice.reading)
        started = time.monotonic()
        self.directory.started(choice.engine, started)
        task = asyncio.ensure_future(prefill)
        try:
            while True:
                heard = self.directory.health.heard.get(choice.engine, started)
                until = max(started, heard) + patience
                left = until - time.monotonic()
                if left <= 0 or choice.engine in self.directory.suspects:
                    raise TimeoutError
                done, _ = await asyncio.wait(
                    [task], timeout=min(left, SUSPECT_LOOK)
                )
                if done:
                    return task.result()
        finally:
            self.directory.ended(choice.engine)
            task.cancel()

    async def run(
        self,
        replica: types.Replica,
        handle: types.Handle | None,
        route: routes.Route,
        service: types.Service,
        stream: streams.Stream,
        progress: progress_module.Progress,
    ) -> bool:
        """Has one engine make the tokens and passes them on.

        Returns:
            Whether the engine has taken the KV cache.

        Raises:
            exceptions.EndpointNotStarted: It ran nothing.
            exceptions.AnswerBroken: It broke off.
        """
        instructions = types.Instructions(
            progress.left(),
            urgency=self.rank(route, 0.0, progress).urgency,
            handle=handle,
            # Once read, a prompt is copied and not read a second time: a
            # repeat is one call and not two.
            cache_peer="" if handle else progress.read_at,
            last_event=stream.last_event,
        )
        size = progress.call.prompt_tokens + progress.call.output_tokens
        self.directory.started(replica.instance, time.monotonic())
        self.directory.streams.add(replica.instance, size)
        self.homes.tell()
        progress.sent(
            replica,
            route=route.name,
            resumed=stream.last_event,
        )
        try:
            answer = await self.endpoints.send(
                replica, progress.call, instructions
            )
            try:
                if answer.not_run:
                    self.directory.pause(replica.instance, time.monotonic())
                    await answer.read()
                    raise exceptions.EndpointRefused(
                        f"the engine answered {answer.status}"
                    )
                await stream.pass_on(
                    answer, progress, Ear(self.directory, replica.instance)
                )
            finally:
                answer.close()
        except exceptions.EndpointNotStarted as error:
            progress.did_not_run(replica)
            progress.failed(replica, str(error))
            raise
        except exceptions.AnswerBroken as error:
            progress.failed(replica, str(error))
            self.directory.health.failed(
                replica.instance, False, time.monotonic()
            )
            raise
        finally:
            self.directory.ended(replica.instance)
            self.directory.streams.remove(replica.instance, size)
            self.homes.tell()
        self.directory.health.succeeded(replica.instance, time.monotonic())
        return True

    def drop(self, handle: types.Handle) -> None:
        """Frees a KV cache that nobody will take, beside the request."""
        replica = self.directory.replicas.get(handle.engine)
        if replica is None:
            return
        task = asyncio.create_task(self.free(replica, handle))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def free(self, replica: types.Replica, handle: types.Handle) -> None:
        """Frees a KV cache; it lapses by itself where that fails."""
        try:
            async with asyncio.timeout(FREE_LIMIT):
                await self.endpoints.drop(replica, handle)
        except (exceptions.EndpointError, TimeoutError) as error:
            events.log(
                events.ATTEMPT_FAILED,
                instance=replica.instance,
                handle=handle.id,
                reason=repr(error),
            )

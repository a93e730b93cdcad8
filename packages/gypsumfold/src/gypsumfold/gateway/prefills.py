"""Runs prefills: chooses the engine, sets the timeout, handles failures."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import incarnations
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import prompts as prompts_module
from gypsumfold.decisions import routes
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import fingerprints
from gypsumfold.gateway import prefill_moves
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import refusals
from gypsumfold.gateway import run_results
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import types

# A prefill is retried elsewhere once its engine has completed nothing for this
# multiple of the expected duration, but no sooner than the minimum: a burst of
# long prompts queues for about that long.
PREFILL_TIMEOUT_FACTOR = 4.0
MIN_PREFILL_TIMEOUT_SECONDS = 3.0
# Status of a prefill that completed.
SUCCESS_STATUS = 200
# Seconds between two checks whether the engine is suspected to have failed.
SUSPECT_CHECK_INTERVAL = 0.1
# An engine frees an unused KV cache by itself after a few seconds.
FREE_TIMEOUT_SECONDS = 1.0


class Prefills:
    """Sends prompts to prefill engines and waits for their KV caches.

    >>> choice = prefills.place(route, service, progress)
    >>> handle = await prefills.prefill(choice, route, service, progress)
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        endpoints: types.Endpoints,
        prefix_router: prefix_routing_module.PrefixRouter,
        quarantine: quarantine_module.Quarantine,
    ):
        self.directory = directory
        self.results = run_results.RunResults(directory)
        self.quarantine = quarantine
        self.endpoints = endpoints
        self.prefix_router = prefix_router
        self.moves = prefill_moves.PrefillMoves(
            directory, prefix_router, quarantine
        )
        self.tasks: set[asyncio.Task] = set()

    def place(
        self,
        route: routes.Route,
        service: types.Service,
        progress: progress_module.Progress,
        avoid: frozenset[str] = frozenset(),
    ) -> prompts_module.Choice | None:
        """Chooses the prefill engine; None if no prefill is sent."""
        avoid |= progress.avoid
        call = progress.call
        if not call.prompt_tokens:
            return None
        rate = 0.0
        if service.token_bytes:
            rate = service.link_rate / service.token_bytes
        return self.prefix_router.choose(
            prompts_module.Prompt(
                call.chain, call.model, call.prompt_tokens, route.urgency
            ),
            self.prefill_engines(service, avoid),
            self.cache_holders(service, avoid),
            rate,
            time.monotonic(),
        )

    def cache_holders(
        self, service: types.Service, avoid: frozenset[str]
    ) -> list[prompts_module.Engine]:
        """Engines that may have cached prefix blocks, also draining ones."""
        found = []
        # What was prefilled at an engine is cached only once it completes.
        avoid = avoid if self.moves.budget is not None else frozenset()
        for replica in self.directory.replicas.values():
            if replica.service != service.name or replica.role is None:
                continue
            if replica.instance in avoid:
                continue
            if replica.instance not in self.directory.suspects:
                found.append(
                    prompts_module.Engine(replica.instance, replica.address)
                )
        return found

    def prefill_engines(
        self, service: types.Service, avoid: frozenset[str]
    ) -> list[prompts_module.Engine]:
        """Engines that can run the prefill."""
        found = []
        now = time.monotonic()
        for replica in self.directory.eligible.engines(
            service.name, True, now, avoid
        ):
            found.append(
                prompts_module.Engine(replica.instance, replica.address)
            )
        return found

    def cache_peer(self, address: str) -> str:
        """Returns the address if blocks can be copied from it, else ``""``."""
        for replica in self.directory.replicas.values():
            if replica.address != address:
                continue
            if replica.instance not in self.directory.suspects:
                return address
        return ""

    async def prefill(
        self,
        choice: prompts_module.Choice,
        route: routes.Route,
        service: types.Service,
        progress: progress_module.Progress,
    ) -> types.Handle:
        """Runs the prefill on the chosen engine.

        Raises:
            exceptions.EndpointNotStarted: The prefill failed; nothing has run.
            exceptions.Unavailable: It would take longer than the caller
                waits.
        """
        replica = self.directory.replicas[choice.engine]
        rank = progress.rank(
            route, choice.total_seconds, choice.late_ahead, choice.load
        )
        call = progress.call
        self.prefix_router.demand.add(
            service.name, choice.load, time.monotonic()
        )
        if rank.hopeless and not progress.may_have_run:
            deferred_ahead = choice.late_ahead if rank.deferred else 0.0
            raise refusals.deadline_refusal(choice, progress, deferred_ahead)
        events.log(
            events.PROMPT_PLACED,
            request=call.id,
            fingerprint=fingerprints.to_hex(progress.fingerprint),
            instance=choice.engine,
            tokens=choice.tokens,
            expected=round(choice.total_seconds, 3),
            copied_from=choice.peer,
            urgency=rank.urgency,
            left=round(progress.time_left(), 3),
        )
        self.directory.statements.take_permit(replica)
        instructions = types.Instructions(
            progress.time_left(),
            urgency=rank.urgency,
            prefill=True,
            cache_peer=choice.peer,
        )
        sent = time.monotonic()
        choice = self.prefix_router.sent(
            choice,
            call.chain,
            call.model,
            service.cache_tokens,
            route.urgency if rank.deferred else None,
            sent,
        )
        check = functools.partial(
            self.moves.check, choice, route, service, progress, self.place
        )
        try:
            handle = await self.exchange(
                replica, choice, instructions, progress, check
            )
            now = time.monotonic()
            self.results.answered(replica, SUCCESS_STATUS, now)
        except exceptions.PrefillMoved:
            self.prefix_router.dropped(choice, time.monotonic())
            raise
        except exceptions.EndpointNotStarted as error:
            self.prefix_router.dropped(choice, time.monotonic())
            progress.record_failure(replica, str(error))
            raise
        except BaseException:
            self.prefix_router.dropped(choice, time.monotonic())
            raise
        self.prefix_router.done(choice, now - sent, now)
        return handle

    async def exchange(
        self,
        replica: types.Replica,
        choice: prompts_module.Choice,
        instructions: types.Instructions,
        progress: progress_module.Progress,
        check: Callable[[], None],
    ) -> types.Handle:
        """Sends a prefill to an engine and records failures of the engine.

        Raises:
            exceptions.EndpointNotStarted: The prefill failed; nothing has run.
        """
        prefill = self.endpoints.prefill(replica, progress.call, instructions)
        try:
            return await self.wait_for_prefill(prefill, choice, check)
        except exceptions.PrefillMoved:
            raise
        except TimeoutError as error:
            self.results.failed(replica, error, time.monotonic())
            raise exceptions.EndpointNotStarted(
                "the engine is silent"
            ) from error
        except exceptions.EndpointRefused as error:
            self.results.failed(replica, error, time.monotonic())
            raise
        except exceptions.EndpointError as error:
            if isinstance(error, exceptions.AnswerBroken):
                self.quarantine.record_interruption(
                    runs_module.Run(
                        progress.fingerprint,
                        progress.parts,
                        replica,
                        is_prefill=True,
                    )
                )
            self.results.failed(replica, error, time.monotonic())
            raise exceptions.EndpointNotStarted(str(error)) from error

    async def wait_for_prefill(
        self,
        prefill: Coroutine,
        choice: prompts_module.Choice,
        check: Callable[[], None],
    ) -> types.Handle:
        """Waits for a prefill as long as its engine completes any.

        A queue alone is no reason to repeat the prefill elsewhere; an engine
        that completes nothing is.

        Raises:
            TimeoutError: The engine has completed nothing for the timeout, or
                is suspected to have failed.
            exceptions.EndpointError: The prefill failed or is to be moved.
        """
        timeout = max(
            MIN_PREFILL_TIMEOUT_SECONDS,
            PREFILL_TIMEOUT_FACTOR * choice.prefill_seconds,
        )
        started = time.monotonic()
        self.directory.request_started(choice.engine, started)
        task = asyncio.ensure_future(prefill)
        try:
            while True:
                last_success = self.directory.health.last_success.get(
                    choice.engine, started
                )
                until = max(started, last_success) + timeout
                left = until - time.monotonic()
                if left <= 0 or choice.engine in self.directory.suspects:
                    raise TimeoutError
                done, _ = await asyncio.wait(
                    [task], timeout=min(left, SUSPECT_CHECK_INTERVAL)
                )
                if done:
                    return task.result()
                check()
        finally:
            self.directory.request_ended(choice.engine)
            task.cancel()

    def has_lost_handle(self, progress: progress_module.Progress) -> bool:
        """Whether the prefill's engine has restarted since the prefill."""
        handle = progress.handle
        if handle is None:
            return False
        replica = self.directory.replicas.get(handle.engine)
        return replica is not None and incarnations.is_later_start(
            replica.started_at, handle.started_at
        )

    def discard_handle(
        self, progress: progress_module.Progress, may_repeat: bool
    ) -> None:
        """Drops the handle of an engine that has restarted.

        Args:
            progress: Progress of the request.
            may_repeat: Whether another prefill may be sent; if
                not, the decode engine processes the prompt itself.
        """
        progress.handle = None
        if may_repeat:
            progress.prefill_address = ""

    def release_handle(self, progress: progress_module.Progress) -> None:
        """Frees an unused KV cache in the background."""
        handle, progress.handle = progress.handle, None
        if handle is not None:
            self.free(handle)

    def free(self, handle: types.Handle) -> None:
        """Frees a KV cache in the background."""
        replica = self.directory.replicas.get(handle.engine)
        if replica is None:
            return
        task = asyncio.create_task(self.free_handle(replica, handle))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def free_handle(
        self, replica: types.Replica, handle: types.Handle
    ) -> None:
        """Frees a KV cache; if this fails, the engine frees it by itself."""
        try:
            async with asyncio.timeout(FREE_TIMEOUT_SECONDS):
                await self.endpoints.drop(replica, handle)
        except (exceptions.EndpointError, TimeoutError) as error:
            events.log(
                events.ATTEMPT_FAILED,
                instance=replica.instance,
                handle=handle.id,
                reason=repr(error),
            )

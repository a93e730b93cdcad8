"""Carries out the decisions of a service's scheduler on the event loop."""

import asyncio
import random
import time

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import retries
from gypsumfold.decisions import scheduler as scheduler_module
from gypsumfold.decisions import types
from gypsumfold.endpoints import fleet as fleet_module

# Interval between scheduler ticks. Reports arrive every 250 ms, and a refusal
# should be delayed by at most a fifth of that.
TICK_SECONDS = 0.05
# Interval between ticks while no request waits; a new request is decided at
# once. At 20 ticks a second two idle services cost 0.4 % of a core.
IDLE_TICK_SECONDS = 0.25


class Grant:
    """Permission to send one request to one replica once.

    Attributes:
        request: The admitted request.
        replica: The endpoint's name.
        prefill: The engine that prefills the prompt first; usually empty.
        started: Monotonic time of the grant.
        first_token: Seconds from the grant to the first token; None before.
        tokens: Number of tokens received.
        is_finished: Whether `finish` was called.

    >>> grant = await dispatcher.admit(request)
    >>> grant.finish(types.Finish.DONE)
    """

    def __init__(
        self,
        dispatcher: "Dispatcher",
        request: types.Request,
        replica: str,
        prefill: str = "",
    ):
        self.dispatcher = dispatcher
        self.request = request
        self.replica = replica
        self.prefill = prefill
        self.started = time.monotonic()
        self.first_token: float | None = None
        self.tokens = 0
        self.is_finished = False

    def count_token(self) -> None:
        """Counts one token of the answer."""
        if self.first_token is None:
            self.first_token = time.monotonic() - self.started
        self.tokens += 1

    def finish(self, finish: types.Finish) -> None:
        """Reports the end of the dispatch; a second call does nothing."""
        if self.is_finished:
            return
        self.is_finished = True
        seconds = time.monotonic() - self.started
        result = types.Result(finish, self.first_token, seconds, self.tokens)
        self.dispatcher.finished(self.request.id, result)


class Dispatcher:
    """Connects a service's scheduler with the tasks that wait for it.

    >>> dispatcher = Dispatcher("dispatch", scheduler, fleet)
    >>> grant = await dispatcher.admit(request)
    """

    def __init__(
        self,
        service: str,
        scheduler: scheduler_module.Scheduler,
        fleet: fleet_module.Fleet,
    ):
        self.service = service
        self.scheduler = scheduler
        self.fleet = fleet
        self.waiting: dict[str, asyncio.Future] = {}
        self.peer_demands: list[types.Demand] = []
        self.retries = retries.BudgetedRetries(random.Random())

    async def wait_for_retry(
        self, request: types.Request, attempts: int
    ) -> bool:
        """Waits before a retry; returns False if there must be none.

        Args:
            request: The request that failed.
            attempts: Number of attempts so far.
        """
        now = time.monotonic()
        delay = self.retries.delay(request, attempts, 0.0, now)
        if delay is None:
            return False
        await asyncio.sleep(delay)
        return True

    async def admit(self, request: types.Request) -> Grant:
        """Waits until the scheduler assigns the request to a replica.

        Raises:
            exceptions.Refused: The scheduler refused it; nothing has run.
        """
        future = asyncio.get_running_loop().create_future()
        self.waiting[request.id] = future
        if not request.recovered:
            self.retries.first()
        now = time.monotonic()
        self.update(now)
        self.carry_out(self.scheduler.offer(request, now))
        try:
            return await future
        except asyncio.CancelledError:
            self.withdraw(request, future)
            raise
        finally:
            self.waiting.pop(request.id, None)

    def withdraw(self, request: types.Request, future: asyncio.Future) -> None:
        """Drops a request whose caller has left."""
        if future.done() and not future.cancelled():
            if future.exception() is None:
                future.result().finish(types.Finish.CANCELLED)
            return
        self.waiting.pop(request.id, None)
        now = time.monotonic()
        self.carry_out(self.scheduler.withdraw(request.id, now))

    def finished(self, request_id: str, result: types.Result) -> None:
        """Forwards the end of a dispatch to the scheduler."""
        now = time.monotonic()
        self.carry_out(self.scheduler.finished(request_id, result, now))

    def update(self, now: float) -> None:
        """Passes the current state of the replicas to the scheduler."""
        replicas = self.fleet.replicas(self.service)
        self.carry_out(self.scheduler.update(replicas, now))

    async def run(self) -> None:
        """Runs the scheduler's ticks while the service is declared."""
        while True:
            now = time.monotonic()
            self.update(now)
            self.carry_out(self.scheduler.tick(now))
            await asyncio.sleep(
                TICK_SECONDS if self.waiting else IDLE_TICK_SECONDS
            )

    def carry_out(self, actions: list[types.Action]) -> None:
        """Carries out the scheduler's actions."""
        for action in actions:
            future = self.waiting.get(action.request.id)
            if isinstance(action, types.Refuse):
                if future is not None and not future.done():
                    future.set_exception(refusal(action))
                continue
            self.fleet.record_use(action.replica)
            grant = Grant(self, action.request, action.replica, action.prefill)
            if future is None or future.done():
                grant.finish(types.Finish.CANCELLED)
                continue
            future.set_result(grant)


def refusal(action: types.Refuse) -> exceptions.Refused:
    """Converts a refusal to the caller's error."""
    return exceptions.Refused(
        action.reason, outcomes.Outcome.NOT_RUN, action.retry_after
    )

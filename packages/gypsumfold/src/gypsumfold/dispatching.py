"""Carries out what a service's scheduler decides, on the event loop."""

import asyncio
import random
import time

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import retries
from gypsumfold.decisions import scheduler as scheduler_module
from gypsumfold.decisions import types
from gypsumfold.endpoints import fleet as fleet_module

# Seconds between two ticks of a scheduler: reports arrive every 250 ms, and
# a refusal should not be later than a fifth of that.
TICK_SECONDS = 0.05
# Seconds between two ticks while nothing waits; what arrives is decided at
# once. At 20 ticks a second two idle services cost 0.4 % of a core.
IDLE_TICK_SECONDS = 0.25


class Grant:
    """Permission to send one request to one replica, once.

    Attributes:
        request: What was admitted.
        replica: The endpoint's name.
        prefill: The engine that processes the prompt first; mostly empty.
        started: Monotonic time of the grant.

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
        """Notes one token of the answer."""
        if self.first_token is None:
            self.first_token = time.monotonic() - self.started
        self.tokens += 1

    def finish(self, finish: types.Finish) -> None:
        """Gives the replica back; a second call does nothing."""
        if self.is_finished:
            return
        self.is_finished = True
        seconds = time.monotonic() - self.started
        result = types.Result(finish, self.first_token, seconds, self.tokens)
        self.dispatcher.finished(self.request.id, result)


class Dispatcher:
    """Bridges the scheduler of one service to those who wait for it.

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
        """Waits before a further attempt; whether one is to be made.

        Args:
            request: What failed.
            attempts: Made so far.
        """
        now = time.monotonic()
        delay = self.retries.delay(request, attempts, 0.0, now)
        if delay is None:
            return False
        await asyncio.sleep(delay)
        return True

    async def admit(self, request: types.Request) -> Grant:
        """Waits until the scheduler sends the request somewhere.

        Raises:
            exceptions.Refused: It is not to be served; nothing has run.
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
        """Forgets a request whose caller has gone."""
        if future.done() and not future.cancelled():
            if future.exception() is None:
                future.result().finish(types.Finish.CANCELLED)
            return
        self.waiting.pop(request.id, None)
        now = time.monotonic()
        self.carry_out(self.scheduler.withdraw(request.id, now))

    def finished(self, request_id: str, result: types.Result) -> None:
        """Passes the end of a dispatch on."""
        now = time.monotonic()
        self.carry_out(self.scheduler.finished(request_id, result, now))

    def update(self, now: float) -> None:
        """Tells the scheduler what is known of the replicas."""
        replicas = self.fleet.replicas(self.service)
        self.carry_out(self.scheduler.update(replicas, now))

    async def run(self) -> None:
        """Ticks for as long as the service is declared."""
        while True:
            now = time.monotonic()
            self.update(now)
            self.carry_out(self.scheduler.tick(now))
            await asyncio.sleep(
                TICK_SECONDS if self.waiting else IDLE_TICK_SECONDS
            )

    def carry_out(self, actions: list[types.Action]) -> None:
        """Carries actions out."""
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
    """Makes the caller's answer out of a refusal."""
    return exceptions.Refused(
        action.reason, outcomes.Outcome.NOT_RUN, action.retry_after
    )

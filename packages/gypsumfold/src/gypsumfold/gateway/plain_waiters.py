"""Plain calls that wait at this node, and how their waits end."""

import asyncio
import random
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import call_queue
from gypsumfold.decisions import routes
from gypsumfold.gateway import progress as progress_module

# Usual times of a call that must be left until its deadline when it is sent.
LEAST_TIMES_LEFT = 2.0
# The same until its objective: some calls take a little longer than usual.
OBJECTIVE_TIMES_LEFT = 1.25


class Waiter:
    """A waiting call and how its wait ends: sent, or with a refusal."""

    def __init__(
        self, call: call_queue.WaitingCall, progress: progress_module.Progress
    ):
        self.call = call
        self.progress = progress
        self.end: asyncio.Future[exceptions.RequestError | None] = (
            asyncio.get_running_loop().create_future()
        )


class ServiceQueue:
    """The waiting calls of one service.

    Attributes:
        granted: Calls that may be sent and whose tasks have not run since.
        paced_until: Until when calls are paced though slots seem free.
    """

    def __init__(self, rng: random.Random):
        self.queue = call_queue.CallQueue()
        # Nodes that begin to wait at the same time are not to send at the same
        # time.
        self.pace = call_queue.Pace(rng.random())
        self.waiters: dict[call_queue.WaitingCall, Waiter] = {}
        self.granted = 0
        self.reviewed = 0.0
        self.paced_until = 0.0

    def push(self, waiter: Waiter, now: float) -> None:
        """Adds a waiting call."""
        if not self.waiters:
            self.pace.restart()
        self.queue.push(waiter.call, now)
        self.waiters[waiter.call] = waiter

    def leave(self, waiter: Waiter) -> None:
        """Removes a call whose wait has ended, and counts its turn no more."""
        self.waiters.pop(waiter.call, None)
        self.queue.remove(waiter.call)
        if was_granted(waiter):
            # Either it is sent at once or its caller has left meanwhile.
            self.granted -= 1

    def grant(self, now: float) -> None:
        """Gives the next waiting call its turn."""
        waiter = self.waiters.pop(self.queue.pop(now))
        if not waiter.end.done():
            self.granted += 1
            waiter.end.set_result(None)


def waiting_call(
    route: routes.Route,
    progress: progress_module.Progress,
    usual: float,
    now: float,
) -> call_queue.WaitingCall:
    """Returns when a call has to be sent.

    That is in time for its objective, or for its deadline if the objective
    is out of reach already: while replicas are full, a late answer takes
    the slot of one that would be in time.

    Args:
        route: The call's route.
        progress: Its progress.
        usual: Usual seconds of a call.
        now: The time.
    """
    call = progress.call
    latest = call.deadline - LEAST_TIMES_LEFT * usual
    objective = call.arrival + route.objective
    due = objective - OBJECTIVE_TIMES_LEFT * usual
    if due <= now:
        due = latest
    return call_queue.WaitingCall(
        call.account, route.urgency, call.arrival, min(due, latest)
    )


def was_granted(waiter: Waiter) -> bool:
    """Whether a call's wait has ended with its turn."""
    if not waiter.end.done() or waiter.end.cancelled():
        return False
    return waiter.end.result() is None


def log_wait(
    service: str,
    progress: progress_module.Progress,
    since: float,
    outcome: str,
) -> None:
    """Logs a call that has waited and was sent, refused or left."""
    events.log(
        events.CALL_WAITED,
        request=progress.call.id,
        service=service,
        seconds=round(time.monotonic() - since, 4),
        outcome=outcome,
    )

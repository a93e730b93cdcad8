"""Runs one call of a plain service: admission, dispatch and retries."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import NamedTuple

from gypsumfold import dispatching
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import types
from gypsumfold.endpoints import services

# Seconds before a call is retried on another replica, plus up to as much again
# at random; doubled with each failure up to MAX_RETRY_DELAY_SECONDS. A replica
# that refuses is detected as leaving or silent within a few polls (0.25 s
# each).
RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 0.8
# Doublings of a pause; beyond a thousand a float overflows.
MAX_DOUBLINGS = 20
# Seconds after which a caller should retry if every replica failed: a few
# polls of the replicas.
RETRY_AFTER = 1.0


class ServiceCall(NamedTuple):
    """A caller's call of a plain service.

    Attributes:
        request: Input of the scheduling decisions, with the deadline.
        name: Name of the call.
        body: Sent unchanged.
        expires: Wall clock time of the deadline; unlike the monotonic clock
            it advances while the VM is paused.
    """

    request: types.Request
    name: str
    body: bytes
    expires: float

    def is_in_time(self) -> bool:
        """Returns whether the call may still start."""
        return time.monotonic() < self.request.deadline and (
            time.time() < self.expires
        )


class CallRunner:
    """Sends calls to replicas; only repeatable calls may run twice.

    >>> answer = await CallRunner(node).run(service_call)
    """

    def __init__(self, node):
        self.node = node

    async def run(
        self,
        service_call: ServiceCall,
        permit: Callable[[], bool] = lambda: True,
    ) -> services.Answer:
        """Runs a call and retries it on other replicas while that is safe.

        Args:
            service_call: The call.
            permit: Returns whether the call may be sent; called right before
                each dispatch.

        Returns:
            The complete answer of one replica.

        Raises:
            exceptions.RequestError: With the outcome of this run only; other
                attempts at the call are not considered.
        """
        sent = False
        failures = 0
        while True:
            grant = await self.admit(service_call, sent)
            try:
                return await self.attempt(grant, service_call, permit)
            except exceptions.EndpointNotStarted as error:
                failure = error
                self.node.fleet.suspend(grant.replica)
            except exceptions.EndpointError as error:
                failure = error
                sent = True
                if not service_call.request.repeatable:
                    raise undetermined(error) from error
            failures += 1
            avoid = service_call.request.avoid | {grant.replica}
            service_call = service_call._replace(
                request=service_call.request._replace(avoid=avoid)
            )
            pause = min(
                MAX_RETRY_DELAY_SECONDS,
                RETRY_DELAY_SECONDS * 2 ** min(failures, MAX_DOUBLINGS),
            )
            await asyncio.sleep(pause * (1 + random.random()) / 2)
            if service_call.is_in_time() and permit():
                continue
            if sent:
                raise undetermined(failure) from failure
            raise exceptions.Unavailable(
                f"no replica took the call: {failure}",
                outcomes.Outcome.NOT_RUN,
                RETRY_AFTER,
            ) from failure

    async def admit(
        self, service_call: ServiceCall, sent: bool
    ) -> dispatching.Grant:
        """Waits until the call may be sent to one replica.

        Raises:
            exceptions.RequestError: The call was not admitted; the outcome is
                undetermined if an earlier dispatch of it was sent.
        """
        request = service_call.request._replace(id=self.node.new_id())
        try:
            return await self.node.dispatcher(request.service).admit(request)
        except exceptions.RequestError as error:
            if sent:
                raise undetermined(error) from error
            raise

    async def attempt(
        self,
        grant: dispatching.Grant,
        service_call: ServiceCall,
        permit: Callable[[], bool],
    ) -> services.Answer:
        """Dispatches the call once.

        Raises:
            exceptions.EndpointError: The replica did not answer.
        """
        request = grant.request
        finish = types.Finish.CANCELLED
        try:
            watched = self.node.fleet.endpoints.get(grant.replica)
            if watched is None:
                raise exceptions.EndpointNotStarted("no longer declared")
            time_left = max(0.0, request.deadline - time.monotonic())
            answer = await watched.client.call(
                service_call.name,
                service_call.body,
                request.id,
                time_left,
                lambda: service_call.is_in_time() and permit(),
            )
            finish = types.Finish.DONE
            return answer
        except exceptions.EndpointNotStarted:
            finish = types.Finish.NOT_STARTED
            raise
        except exceptions.EndpointError:
            finish = types.Finish.FAILED
            raise
        finally:
            grant.finish(finish)


def undetermined(error: Exception) -> exceptions.AnswerUndetermined:
    """Returns the error of a call that may have run."""
    return exceptions.AnswerUndetermined(
        f"the call may have run: {error}", outcomes.Outcome.UNDETERMINED
    )

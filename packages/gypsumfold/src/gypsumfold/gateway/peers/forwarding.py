"""Has another node serve the requests that this one can't.

A node that is cut off from the replicas is still reached by callers. It passes
a request on to a node that reaches them; that one never passes it on again. The
caller's key stays at the node that took the request.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import math
import time
from typing import Protocol

import aiohttp

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import members as members_module
from gypsumfold.decisions import peer_choice
from gypsumfold.decisions import routes
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import replies
from gypsumfold.gateway import retry_permits as retry_permits_module
from gypsumfold.gateway.peers import forward_messages
from gypsumfold.gateway.peers import seals

# Seconds to open a connection to another node; nothing has been sent before.
CONNECT_TIMEOUT_SECONDS = 0.2
# Seconds without a message after which the other node counts as gone; it sends
# several a second while it serves a request.
SILENCE_TIMEOUT_SECONDS = 2.0
# Seconds before the deadline at which the other node gives its final answer, so
# that it arrives in time and tells what has run.
DEADLINE_MARGIN_SECONDS = 0.03


class Link(Protocol):
    """Carries one request to another node, and its answer back."""

    def exchange(
        self, address: tuple[str, int], frame: bytes
    ) -> AsyncIterator[bytes]:
        """Sends a request and yields the bytes of the answer.

        Raises:
            exceptions.PeerUnreachable: Nothing was sent.
            exceptions.PeerRefused: The node has not taken the request.
            exceptions.AnswerBroken: The connection ended or is silent.
        """


class HTTPLink:
    """Carries requests over HTTP, each on a connection of its own.

    >>> link = HTTPLink()
    >>> async for data in link.exchange(("10.1.0.38", 7380), frame): ...
    """

    def __init__(self):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )

    async def exchange(
        self, address: tuple[str, int], frame: bytes
    ) -> AsyncIterator[bytes]:
        """Sends a request and yields the bytes of the answer; see `Link`."""
        host, port = address
        url = f"http://{host}:{port}{forward_messages.PATH}"
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=SILENCE_TIMEOUT_SECONDS,
        )
        try:
            async with self.session.post(
                url, data=frame, timeout=timeout, allow_redirects=False
            ) as response:
                if response.status != 200:
                    raise exceptions.PeerRefused(f"status {response.status}")
                async for data in response.content.iter_any():
                    yield data
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise exceptions.PeerUnreachable(repr(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise exceptions.AnswerBroken(repr(error)) from error

    async def close(self) -> None:
        """Closes all connections."""
        await self.session.close()


class Forwarder:
    """Passes requests on to nodes that reach the replicas.

    Attributes:
        find_members: Returns the other nodes.
        accepted_at: When another node last served a request.
        results: Number of requests by what became of them.
        departure_listener: Called with the instance and start time of each
            replica that another node's answer says to leave.

    >>> forwarder = Forwarder(link, sealer, choice, permits, find_members)
    >>> await forwarder.forward(route, "lm", 7, reply, progress)
    True
    """

    def __init__(
        self,
        link: Link,
        sealer: seals.Sealer,
        choice: peer_choice.PeerChoice,
        retry_permits: retry_permits_module.RetryPermits,
        find_members: Callable[[], list[members_module.Member]],
    ):
        self.link = link
        self.sealer = sealer
        self.choice = choice
        self.retry_permits = retry_permits
        self.find_members = find_members
        self.accepted_at = -math.inf
        self.departure_listener: Callable[[str, int], object] = (
            lambda instance, started_at: None
        )
        self.results = {"served": 0, "declined": 0, "broken": 0}

    async def forward(
        self,
        route: routes.Route,
        service: str,
        version: int,
        reply: replies.Reply,
        progress: progress_module.Progress,
    ) -> bool:
        """Has another node serve a request.

        Args:
            route: The request's route.
            service: The service that it is for.
            version: Version of the configuration by which it was admitted.
            reply: Gets the answer.
            progress: Progress of the request.

        Returns:
            Whether it was answered; if not, no node has begun to serve it.

        Raises:
            exceptions.RequestError: The other node's final answer.
            exceptions.AnswerBroken: The answer has started and cannot be
                completed.
        """
        candidates = self.choice.candidates(
            service, self.find_members(), time.monotonic()
        )
        if not candidates:
            return False
        for member in candidates:
            if not await self.take_retries(service, progress):
                progress.log_retry_refused(service)
                break
            try:
                await self.exchange(member, service, version, reply, progress)
                self.choice.accepted(service)
                self.accepted_at = time.monotonic()
                self.results["served"] += 1
                return True
            except (exceptions.PeerError, exceptions.RecordInvalid) as error:
                progress.record_declined(member.node, str(error))
                self.results["declined"] += 1
                self.choice.declined(service, member, time.monotonic())
            except exceptions.AnswerBroken as error:
                self.results["broken"] += 1
                self.choice.declined(service, member, time.monotonic())
                self.check_retry(route, progress, error)
                progress.record_arrival()
        if progress.may_have_run:
            raise progress.final_error()
        return False

    async def take_retries(
        self, service: str, progress: progress_module.Progress
    ) -> bool:
        """Takes from the budget what another node's first attempt costs.

        That node doesn't know what replicas have received from this one, and
        its own retries come out of its own share. It also repeats the prefill.
        """
        if progress.needs_retry():
            if not await self.retry_permits.take(service):
                return False
            progress.has_retry = True
        if progress.prefill_address:
            if not await self.retry_permits.take(service):
                return False
            progress.prefill_address = ""
        return True

    def check_retry(
        self,
        route: routes.Route,
        progress: progress_module.Progress,
        error: exceptions.AnswerBroken,
    ) -> None:
        """Checks that a request may run again after its answer broke off.

        Raises:
            exceptions.AnswerBroken: The answer has started.
            exceptions.AnswerFailed: It may not run again.
        """
        if progress.answer_started:
            raise error
        progress.log_forward_broken(str(error))
        if not route.repeatable or progress.runs >= route.attempts:
            raise exceptions.AnswerFailed(
                "the node that served it broke off",
                outcomes.Outcome.UNDETERMINED,
            ) from error

    async def exchange(
        self,
        member: members_module.Member,
        service: str,
        version: int,
        reply: replies.Reply,
        progress: progress_module.Progress,
    ) -> None:
        """Sends a request to one node and passes its answer to the caller.

        Raises:
            exceptions.PeerError: The node has not begun to serve it.
            exceptions.RequestError: The node's final answer.
            exceptions.AnswerBroken: The node broke off.
        """
        now = time.monotonic()
        deadline = progress.call.deadline - DEADLINE_MARGIN_SECONDS
        request = forward_messages.from_call(
            progress.call._replace(deadline=deadline),
            progress.runs,
            version,
            now,
            progress.origin,
        )
        frame = forward_messages.encode_request(request, self.sealer)
        progress.record_forwarded(member.node, service=service)
        reader = forward_messages.MessageReader(self.sealer)
        async with contextlib.aclosing(
            self.link.exchange(member.address, frame)
        ) as received:
            async for data in received:
                if await self.receive(reader, data, reply, progress):
                    return
        raise exceptions.AnswerBroken("the node ended its answer early")

    async def receive(
        self,
        reader: forward_messages.MessageReader,
        data: bytes,
        reply: replies.Reply,
        progress: progress_module.Progress,
    ) -> bool:
        """Handles the messages in received bytes.

        Returns:
            Whether the answer is complete.

        Raises:
            exceptions.PeerRefused: The node has not begun to serve the request.
            exceptions.RequestError: The node's final answer.
            exceptions.AnswerBroken: A message is not valid.
        """
        try:
            found = list(reader.feed(data))
        except exceptions.RecordInvalid as error:
            raise exceptions.AnswerBroken(str(error)) from error
        for message in found:
            if isinstance(message, forward_messages.Declined):
                raise exceptions.PeerRefused(message.reason)
            if isinstance(message, forward_messages.Failure):
                raise self.final_error(message, progress)
            if isinstance(message, forward_messages.End):
                await reply.end()
                return True
            if isinstance(message, forward_messages.Head):
                progress.answer_started = True
                for departure in message.departures:
                    self.departure_listener(*departure)
                await reply.start(
                    message.status, message.reason, tuple(message.fields), None
                )
            elif isinstance(message, forward_messages.Data):
                await reply.write(message.data)
        return False

    def final_error(
        self,
        failure: forward_messages.Failure,
        progress: progress_module.Progress,
    ) -> exceptions.GypsumfoldError:
        """Returns the error for a failure that another node reports."""
        if progress.answer_started:
            return exceptions.AnswerBroken(failure.detail)
        if failure.outcome == outcomes.Outcome.NOT_RUN:
            progress.record_not_run_elsewhere()
        return forward_messages.to_error(failure)

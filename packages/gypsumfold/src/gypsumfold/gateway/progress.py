"""The state of one request while it is served."""

import time
from typing import Protocol

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import lateness
from gypsumfold.decisions import routes
from gypsumfold.decisions import stream_origins
from gypsumfold.gateway import fingerprints
from gypsumfold.gateway import types

# Retry-After if no replica has free capacity.
RETRY_AFTER_SECONDS = 0.5
# Failures of attempts of which no replica got a byte.
NOT_SENT_ERRORS = (
    exceptions.EndpointUnavailable,
    exceptions.EndpointUnreachable,
)


class Usage(Protocol):
    """Counts requests that began to run."""

    def add(self, account: str, at: float | None = None) -> None:
        """Counts a request of an account that began at a Unix time."""


class Progress:
    """Tracks the attempts at a request, so that its final answer is correct.

    Attributes:
        fingerprint: Identifies the request over all attempts of its caller.
        parts: Fingerprints of the parts of its prompt that others may share.
        may_have_run: Whether a replica may have started to run it.
        answer_started: Whether any of the answer was sent to the caller.
        arrived: Whether a replica may have received an attempt. Each further
            one counts against the site's retry budget.
        has_retry: Whether a retry was taken from the budget that no attempt
            has used yet.
        missed: Whether an attempt reached no replica.
        may_forward: Whether another node is asked if this one can't serve it.
        runs: Number of replicas that may have run it.
        extra_prefills: Number of copies of its prefill that were sent.
        avoid: Instances that failed to serve it.
        refused_as_full: Those of them that refused it as they were full, until
            it has waited for its turn.
        backoff_end: When the first replica that could serve it may be asked
            again; None if one may be now.
        moved_from: Instance from which its prompt was taken back to be sent to
            another engine; empty if none was.
        may_prefill: Whether a further prefill may be sent: after a move none is
            once an engine got the prompt again, as the route's attempts allow
            for two prefills and the run.
        prefill_address: Address of the engine that ran the prefill; empty
            before that.
        handle: KV cache of the prompt that is not fetched yet.
        has_begun: Whether a replica has begun to run it.
        service: Service that serves it.
        stream_key: Identifies its stream if other replicas may resume it; None
            otherwise.
        is_announced: Whether other nodes were sent the stream's origin.
        origin: What wrote the first event that was sent to the caller, in this
            attempt or in the one that this one takes up; None before that.
    """

    def __init__(self, call: types.Call, usage: Usage | None = None):
        self.call = call
        self.usage = usage
        self.has_begun = False
        self.fingerprint = fingerprints.fingerprint(call)
        self.parts = fingerprints.part_fingerprints(call)
        self.may_have_run = False
        self.answer_started = False
        self.arrived = False
        self.has_retry = False
        self.missed = False
        self.may_forward = False
        self.runs = 0
        self.extra_prefills = 0
        self.avoid: frozenset[str] = frozenset()
        self.refused_as_full: frozenset[str] = frozenset()
        self.backoff_end: float | None = None
        self.moved_from = ""
        self.may_prefill = True
        self.prefill_address = ""
        self.handle: types.Handle | None = None
        self.service = ""
        self.stream_key: int | None = None
        self.is_announced = False
        self.origin: stream_origins.Origin | None = None

    @property
    def subjects(self) -> tuple[int, ...]:
        """What may be at fault if it crashes replicas."""
        return (*self.parts, self.fingerprint)

    @property
    def attempts_used(self) -> int:
        """How many of its route's attempts are used."""
        return self.runs + self.extra_prefills + bool(self.moved_from)

    def time_left(self) -> float:
        """Seconds until the deadline."""
        return self.call.deadline - time.monotonic()

    def rank(
        self,
        route: routes.Route,
        expected: float,
        deferred_ahead: float = 0.0,
        load: float = 0.0,
    ) -> lateness.Rank:
        """Ranks the request by the expected time of its first event.

        Args:
            route: Its route.
            expected: Seconds until its prefill is expected to complete.
            deferred_ahead: Seconds of deferred prefills queued ahead, if it is
                deferred.
            load: Seconds by which it delays others.
        """
        age = time.monotonic() - self.call.arrival
        remaining_wait = route.remaining_wait(self.time_left(), age)
        return lateness.rank(
            route.urgency,
            age,
            expected,
            route.objective,
            remaining_wait,
            deferred_ahead,
            load,
        )

    def final_error(self) -> exceptions.RequestError:
        """Makes the final answer if no replica gave one."""
        if self.may_have_run:
            return exceptions.AnswerFailed(
                "a replica broke off",
                outcomes.Outcome.UNDETERMINED,
            )
        return exceptions.Unavailable(
            "no replica has room",
            outcomes.Outcome.NOT_RUN,
            self.retry_after(),
        )

    def retry_after(self) -> float:
        """Seconds until a retry makes sense."""
        left = max(0.0, self.time_left())
        if self.backoff_end is not None:
            wait = max(0.0, self.backoff_end - time.monotonic())
            if wait <= left:
                return wait
        return min(RETRY_AFTER_SECONDS, left / 3)

    def record_sent(self, replica: types.Replica, **inputs) -> None:
        """Records that the request is sent to a replica that may run it."""
        self.may_have_run = True
        self.runs += 1
        events.log(
            events.CALL_PLACED,
            request=self.call.id,
            fingerprint=fingerprints.to_hex(self.fingerprint),
            parts=[fingerprints.to_hex(part) for part in self.parts],
            instance=replica.instance,
            left=round(self.time_left(), 3),
            version=replica.version,
            began=self.origin.version if self.origin is not None else None,
            resumes=self.call.resumes,
            **inputs,
        )

    def record_output(self, replica: types.Replica) -> None:
        """Records that output of a replica is about to be sent.

        From then on the stream goes on only at the replica's version.
        """
        if self.origin is None:
            self.origin = stream_origins.Origin(
                replica.service, replica.version
            )

    def record_forwarded(self, node: str, **inputs) -> None:
        """Records that the request is passed on to another node."""
        self.may_have_run = True
        self.runs += 1
        events.log(
            events.REQUEST_FORWARDED,
            request=self.call.id,
            fingerprint=fingerprints.to_hex(self.fingerprint),
            to=node,
            arrived=self.arrived,
            left=round(self.time_left(), 3),
            **inputs,
        )

    def record_declined(self, node: str, reason: str) -> None:
        """Reverts `record_forwarded`: the node has not begun to serve it."""
        self.record_not_run_elsewhere()
        events.log(
            events.FORWARD_DECLINED,
            request=self.call.id,
            to=node,
            reason=reason,
        )

    def record_not_run_elsewhere(self) -> None:
        """Reverts `record_forwarded`: nothing of the request has run there."""
        self.runs -= 1
        self.may_have_run = self.runs > 0

    def log_forward_broken(self, reason: str) -> None:
        """Logs that the node that served the request broke off."""
        events.log(events.FORWARD_BROKEN, request=self.call.id, reason=reason)

    def record_begin(self, at: float | None = None) -> None:
        """Records that a replica has begun to run the request.

        Args:
            at: When it began, in Unix seconds; None for now.
        """
        if self.has_begun:
            return
        self.has_begun = True
        if self.usage is not None:
            self.usage.add(self.call.account, at)

    def record_not_run(self, replica: types.Replica) -> None:
        """Reverts `record_sent`: the replica ran nothing."""
        self.runs -= 1
        self.may_have_run = self.runs > 0
        self.avoid |= {replica.instance}

    def record_not_started(self, error: exceptions.EndpointNotStarted) -> None:
        """Records that an attempt did not start, and whether it was sent."""
        if isinstance(error, exceptions.PrefillMoved):
            return
        for each in (error, error.__cause__):
            if isinstance(each, exceptions.EndpointWithheld):
                return
            if isinstance(each, NOT_SENT_ERRORS):
                self.missed = True
                return
        self.record_arrival()

    def record_move(self, instance: str) -> None:
        """Records that the prompt is taken back and a retry was taken."""
        self.moved_from = instance
        self.avoid |= {instance}
        self.arrived = True
        self.has_retry = True

    def record_arrival(self) -> None:
        """Records that a replica may have received an attempt."""
        self.arrived = True
        self.has_retry = False
        self.may_prefill = not self.moved_from

    def record_prefill(self, handle: types.Handle) -> None:
        """Records that an engine completed the prefill."""
        self.handle = handle
        self.prefill_address = handle.address
        self.may_prefill = not self.moved_from

    def needs_retry(self) -> bool:
        """Whether the next attempt has to be taken from the retry budget."""
        return self.arrived and not self.has_retry

    def record_failure(self, replica: types.Replica, reason: str) -> None:
        """Records a failed attempt."""
        self.avoid |= {replica.instance}
        events.log(
            events.ATTEMPT_FAILED,
            request=self.call.id,
            instance=replica.instance,
            reason=reason,
        )

    def log_retry_refused(self, service: str) -> None:
        """Logs that the retry budget does not allow a retry."""
        events.log(events.REPEAT_REFUSED, request=self.call.id, service=service)

    def log_retry(self, reason: str) -> None:
        """Logs that the request is retried."""
        events.log(
            events.CALL_REPEATED,
            request=self.call.id,
            arrived=self.arrived,
            reason=reason,
        )

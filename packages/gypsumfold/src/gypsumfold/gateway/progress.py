"""What is known of one request while it is served."""

import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import lateness
from gypsumfold.decisions import routes
from gypsumfold.gateway import fingerprints
from gypsumfold.gateway import types

# Seconds after which a caller may come back where there is no room.
RETRY_AFTER_SECONDS = 0.5


class Progress:
    """Counts what was tried, so that the final answer can be true.

    Attributes:
        fingerprint: The request's identity over all attempts of its caller.
        may_have_run: Whether a replica may have begun to work on it.
        begun: Whether bytes of an answer went to the caller.
        runs: Replicas that may have run it.
        avoid: Instances that failed it.
        read_at: Address of the engine that has read the prompt; empty
            before that.
        handle: The prompt's KV cache that nobody has taken yet.
    """

    def __init__(self, call: types.Call):
        self.call = call
        self.fingerprint = fingerprints.fingerprint(call)
        self.may_have_run = False
        self.answer_started = False
        self.runs = 0
        self.avoid: frozenset[str] = frozenset()
        self.prefill_address = ""
        self.handle: types.Handle | None = None

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
        """Ranks the request by when its first event is expected.

        Args:
            route: Its route.
            expected: Seconds until its prompt is read.
            deferred_ahead: Seconds of deferred prompts before it, if deferred.
            load: Seconds for which it holds up others.
        """
        age = time.monotonic() - self.call.arrival
        waits = route.remaining_wait(self.time_left(), age)
        return lateness.rank(
            route.urgency,
            age,
            expected,
            route.objective,
            waits,
            deferred_ahead,
            load,
        )

    def final_error(self) -> exceptions.RequestError:
        """Makes the final answer where no replica gave one."""
        if self.may_have_run:
            return exceptions.AnswerFailed(
                "a replica broke off", outcomes.Outcome.UNDETERMINED
            )
        return exceptions.Unavailable(
            "no replica has room",
            outcomes.Outcome.NOT_RUN,
            min(RETRY_AFTER_SECONDS, max(0.0, self.time_left() / 3)),
        )

    def record_sent(self, replica: types.Replica, **inputs) -> None:
        """Notes that the request goes to a replica that may run it."""
        self.may_have_run = True
        self.runs += 1
        events.log(
            events.CALL_PLACED,
            request=self.call.id,
            fingerprint=fingerprints.to_hex(self.fingerprint),
            instance=replica.instance,
            left=round(self.time_left(), 3),
            **inputs,
        )

    def record_not_run(self, replica: types.Replica) -> None:
        """Takes back what `sent` noted: the replica ran nothing."""
        self.runs -= 1
        self.may_have_run = self.runs > 0
        self.avoid |= {replica.instance}

    def record_failure(self, replica: types.Replica, reason: str) -> None:
        """Notes a failed attempt."""
        self.avoid |= {replica.instance}
        events.log(
            events.ATTEMPT_FAILED,
            request=self.call.id,
            instance=replica.instance,
            reason=reason,
        )

    def log_retry_refused(self, service: str) -> None:
        """Notes that the request may not be sent once more."""
        events.log(events.REPEAT_REFUSED, request=self.call.id, service=service)

    def log_retry(self, reason: str) -> None:
        """Notes that the request is sent once more."""
        events.log(events.CALL_REPEATED, request=self.call.id, reason=reason)

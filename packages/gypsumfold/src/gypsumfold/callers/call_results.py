"""How a call ended, as it is kept, sent between nodes and told to callers."""

import hashlib
from typing import NamedTuple

from gypsumfold import claims
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.endpoints import services
from gypsumfold.peers import framing

thrift = framing.peers_thrift

# Bytes of an answer that is kept whole for a repeat. A seat hold's or a tug
# call's answer is a few hundred; at 512 records a batch of the log (256 KiB)
# still takes thirty of the largest.
MAX_KEPT_ANSWER_BYTES = 8 * 1024

_ERRORS: dict[str, type[exceptions.RequestError]] = {}
for _kind in exceptions.RequestError.__subclasses__():
    _ERRORS[_kind.slug] = _kind


class CallResult(NamedTuple):
    """The end of a call: its answer or its error.

    Attributes:
        answer: Of the service; None where there is none.
        error: Why there is none; None where there is an answer.
    """

    answer: services.Answer | None
    error: exceptions.RequestError | None

    @property
    def outcome(self) -> outcomes.Outcome:
        """What is known of the call."""
        if self.error is not None:
            return self.error.outcome
        if self.answer.status >= 500:
            return outcomes.Outcome.FAILED_AFTER_START
        return outcomes.Outcome.COMPLETE

    def unwrap(self) -> services.Answer:
        """Returns the answer or raises the error."""
        if self.error is not None:
            raise self.error
        return self.answer


def to_record(claim: claims.Claim, result: CallResult) -> claims.Outcome:
    """Makes the record of a claimed call's end for the log."""
    answer = result.answer
    if answer is None:
        return claims.Outcome(*claim[:3], result.outcome)
    return claims.Outcome(
        *claim[:3],
        result.outcome,
        answer.status,
        answer.content_type,
        len(answer.body),
        hashlib.sha256(answer.body).hexdigest(),
        answer.body if len(answer.body) <= MAX_KEPT_ANSWER_BYTES else None,
    )


def from_record(outcome: claims.Outcome) -> CallResult:
    """Makes the end of a call out of its record."""
    if outcome.status and outcome.body is not None:
        return CallResult(
            services.Answer(outcome.status, outcome.content_type, outcome.body),
            None,
        )
    if outcome.status:
        return CallResult(None, answer_not_kept(outcome))
    return CallResult(
        None,
        exceptions.AnswerUndetermined(
            "an earlier attempt may have run", outcomes.Outcome.UNDETERMINED
        ),
    )


def answer_not_kept(outcome: claims.Outcome) -> exceptions.AnswerFailed:
    """Makes the error of a call that ran and whose answer is too large."""
    return exceptions.AnswerFailed(
        f"the call ran and was answered with status {outcome.status} and "
        f"{outcome.size} bytes of SHA-256 {outcome.digest}, which are not kept",
        outcomes.Outcome.FAILED_AFTER_START,
    )


def to_thrift(result: CallResult):
    """Makes the message that carries an result to another node."""
    if result.answer is not None:
        return thrift.CallEnding(
            status=result.answer.status,
            content_type=result.answer.content_type,
            body=result.answer.body,
        )
    error = result.error
    return thrift.CallEnding(
        status=0,
        problem=error.slug,
        detail=error.detail,
        outcome=error.outcome,
        retry_after=error.retry_after,
    )


def from_thrift(message) -> CallResult:
    """Makes an result out of another node's message.

    Raises:
        exceptions.FrameInvalid: It makes no sense.
    """
    if message.status:
        return CallResult(
            services.Answer(
                message.status, message.content_type or "", message.body or b""
            ),
            None,
        )
    kind = _ERRORS.get(message.problem)
    try:
        outcome = outcomes.Outcome(message.outcome)
    except ValueError as error:
        raise exceptions.FrameInvalid("an unknown outcome") from error
    if kind is None:
        raise exceptions.FrameInvalid("an unknown problem")
    return CallResult(
        None, kind(message.detail or "", outcome, message.retry_after)
    )


def without_large_answer(result: CallResult) -> CallResult:
    """Leaves a large answer out, as the log does."""
    if (
        result.answer is None
        or len(result.answer.body) <= MAX_KEPT_ANSWER_BYTES
    ):
        return result
    empty_claim = claims.Claim("", "", "", "")
    return from_record(to_record(empty_claim, result))

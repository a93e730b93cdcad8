"""Results of calls, as stored, sent between nodes and sent to callers."""

import hashlib
from typing import NamedTuple

from gypsumfold import claims
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.endpoints import services
from gypsumfold.peers import framing

thrift = framing.peers_thrift

# Largest answer that is stored entirely for retries. The answer of a seat
# hold or a tug call has a few hundred bytes. A batch of the log (512 records,
# 256 KiB) holds about thirty answers of this size.
MAX_KEPT_ANSWER_BYTES = 8 * 1024

_ERRORS: dict[str, type[exceptions.RequestError]] = {}
for _kind in exceptions.RequestError.__subclasses__():
    _ERRORS[_kind.slug] = _kind


class CallResult(NamedTuple):
    """The result of a call: an answer or an error.

    Attributes:
        answer: The service's answer; None if there is an error.
        error: The reason why there is no answer; None if there is one.
    """

    answer: services.Answer | None
    error: exceptions.RequestError | None

    @property
    def outcome(self) -> outcomes.Outcome:
        """The outcome of the call."""
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
    """Converts the result of a claimed call into a record for the log."""
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
    """Converts a record of the log into the result of a call."""
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
    """Returns the error of a call whose answer was too large to store."""
    return exceptions.AnswerFailed(
        f"the call ran and was answered with status {outcome.status} and "
        f"{outcome.size} bytes of SHA-256 {outcome.digest}, which are not kept",
        outcomes.Outcome.FAILED_AFTER_START,
    )


def to_thrift(result: CallResult):
    """Converts a result into a message to another node."""
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
    """Converts another node's message into a result.

    Raises:
        exceptions.FrameInvalid: The outcome or the problem is unknown.
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
    """Replaces a large answer by an error, as the log's records do."""
    if (
        result.answer is None
        or len(result.answer.body) <= MAX_KEPT_ANSWER_BYTES
    ):
        return result
    empty_claim = claims.Claim("", "", "", "")
    return from_record(to_record(empty_claim, result))

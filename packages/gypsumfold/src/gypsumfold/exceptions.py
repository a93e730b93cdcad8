"""The exceptions of gypsumfold, all derived from one base class."""

from gypsumfold import outcomes


class GypsumfoldError(Exception):
    """The base class of all errors that gypsumfold raises."""


class SettingsError(GypsumfoldError):
    """A settings file cannot be used.

    Args:
        path: The file.
        key: The invalid key, dotted; empty for the file as a whole.
        reason: What is wrong with it.
        line: The line in the file, from 1; 0 if it is not known.
    """

    def __init__(self, path: str, key: str, reason: str, line: int = 0):
        self.path = path
        self.key = key
        self.reason = reason
        self.line = line
        super().__init__(f"{path}:{line}: {key or 'file'}: {reason}")


class PlatformError(GypsumfoldError):
    """A system of the platform failed or gave an invalid answer."""


class LogUnavailable(PlatformError):
    """The log refused a call or was unreachable; nothing was appended."""


class ReadOverdue(PlatformError):
    """A read still waits for records that another node has already read."""


class ConnectionLost(LogUnavailable):
    """A reused connection was lost or silent; a new one may work."""


class AppendUndetermined(PlatformError):
    """The answer to an append was lost; it may have taken effect."""


class RecordInvalid(PlatformError):
    """A record on the log cannot be decoded."""


class OperationsUnavailable(PlatformError):
    """The platform's own API refused a call, failed or did not answer."""


class OperationsUnreachable(OperationsUnavailable):
    """Nothing of a call was sent to the platform's own API."""


class OperationsFailed(OperationsUnavailable):
    """The platform's own API answered a call with an error."""


class DutyFenced(PlatformError):
    """The platform has seen a higher fencing token for the same duty."""


class AuthorityEnded(PlatformError):
    """This node's authority ended before a call under it was sent."""


class VMListUnavailable(PlatformError):
    """The platform's list of VMs could not be read."""


class WeightStoreUnavailable(PlatformError):
    """The weight store could not be read."""


class PeerError(GypsumfoldError):
    """A failure between two nodes."""


class PeerUnreachable(PeerError):
    """The peer could not be reached or stopped answering in time."""


class PeerNotListening(PeerUnreachable):
    """Nothing listens at the peer's address: its process has ended."""


class FrameInvalid(PeerError):
    """A frame is too long, not authentic or not decodable."""


class PeerRefused(PeerError):
    """The peer answered a call with an error.

    Args:
        name: The name of the exception type on the peer.
    """

    def __init__(self, name: str):
        self.name = name
        super().__init__(name)


class EndpointError(GypsumfoldError):
    """A failure between the node and an endpoint."""


class EndpointNotStarted(EndpointError):
    """The endpoint cannot have run any part of this dispatch."""


class EndpointUnreachable(EndpointNotStarted):
    """No connection to the endpoint could be opened."""


class EndpointUnavailable(EndpointNotStarted):
    """No endpoint can be sent the dispatch at the moment."""


class EndpointWithheld(EndpointNotStarted):
    """This node sends the endpoint nothing at the moment, as it asked for."""


class EndpointLimited(EndpointWithheld):
    """This node has no permit for an endpoint that limits its requests."""


class EndpointNotListening(EndpointUnreachable):
    """Nothing listens at the endpoint's address."""


class PrefillMoved(EndpointNotStarted):
    """A prompt was taken back from a prefill engine, to be sent elsewhere."""


class EndpointUndetermined(EndpointError):
    """The endpoint may or may not have run the dispatch."""


class EndpointFailed(EndpointError):
    """The endpoint ran the dispatch and it failed."""


class StreamBroken(EndpointError):
    """A stream ended early, stalled or carried another dispatch's events."""


class StreamSilent(StreamBroken):
    """A stream was idle for the time limit; its engine may be healthy."""


class EndpointRefused(EndpointNotStarted):
    """An endpoint refused a dispatch; nothing of it has run."""


class EndpointMismatch(EndpointRefused):
    """Another endpoint has the address now, or the role has changed."""


class AnswerBroken(EndpointError):
    """An answer is incomplete or malformed; the dispatch may have run."""


class AnswerAbandoned(AnswerBroken):
    """No endpoint can continue an answer that has started."""


class OrderRefused(EndpointError):
    """An engine refused an order, for example for an old fencing token."""


class ControlError(GypsumfoldError):
    """An error of leases or orders."""


class LeaseLost(ControlError):
    """This node holds no valid lease for the service."""


class StatementError(GypsumfoldError):
    """A statement is not valid.

    Args:
        reason: What is wrong.
        line: Line in the text, from 1; 0 if the error has no position.
        column: Column in the line, from 1; 0 if the error has no position.
        expected: What would be valid at that position.
    """

    def __init__(
        self,
        reason: str,
        line: int = 0,
        column: int = 0,
        expected: tuple[str, ...] = (),
    ):
        self.reason = reason
        self.line = line
        self.column = column
        self.expected = expected
        super().__init__(f"line {line}, column {column}: {reason}")


class ChangeRejected(GypsumfoldError):
    """A configuration change conflicts with another or is not valid.

    Args:
        reason: The cause, with the objects concerned.
        difference: Lines that compare the configuration in force with the
            requested one.
    """

    def __init__(self, reason: str, difference: tuple[str, ...] = ()):
        self.reason = reason
        self.difference = difference
        super().__init__(reason)


class OperatorUnknown(GypsumfoldError):
    """No operator has this bearer token."""


class CommandFailed(GypsumfoldError):
    """An order or the seizure of a lease was not carried out.

    Args:
        reason: The cause, for the operator.
    """

    def __init__(self, reason: str):
        self.reason = reason
        super().__init__(reason)


class RequestError(GypsumfoldError):
    """A request ends without its answer; sent as an RFC 9457 problem.

    Args:
        detail: One sentence for the caller.
        outcome: What is known about the request.
        retry_after: Seconds until a retry makes sense; None if a retry
            does not help.
    """

    status = 500
    slug = "internal"

    def __init__(
        self,
        detail: str,
        outcome: outcomes.Outcome,
        retry_after: float | None = None,
    ):
        self.detail = detail
        self.outcome = outcome
        self.retry_after = retry_after
        super().__init__(detail)


class RequestInvalid(RequestError):
    """The request itself is invalid; a retry fails in the same way."""

    status = 400
    slug = "invalid-request"


class BodyTooLarge(RequestInvalid):
    """The request's body exceeds the size limit."""

    status = 413
    slug = "body-too-large"


class HeadTooLarge(RequestInvalid):
    """The request's head exceeds the size limit."""

    status = 431
    slug = "head-too-large"


class HeadTooSlow(RequestInvalid):
    """The request's head did not arrive in time."""

    status = 408
    slug = "head-too-slow"


class BodyTooSlow(RequestInvalid):
    """The request's body did not arrive in time."""

    status = 408
    slug = "body-too-slow"


class Unauthorized(RequestError):
    """No account has this bearer token or key."""

    status = 401
    slug = "unauthorized"


class NotFound(RequestError):
    """No model, service or path has this name."""

    status = 404
    slug = "not-found"


class KeyConflict(RequestError):
    """The idempotency key was used before with another body."""

    status = 422
    slug = "key-conflict"


class KeyClosed(RequestError):
    """A call with this key was refused before it ran; none can run now."""

    status = 409
    slug = "key-closed"


class KeyExpired(RequestError):
    """The idempotency key is older than the log's retention."""

    status = 422
    slug = "key-expired"


class Refused(RequestError):
    """The request is refused: overload, or its deadline cannot be met."""

    status = 429
    slug = "refused"


class Unavailable(RequestError):
    """No replica can serve the request at the moment."""

    status = 503
    slug = "unavailable"


class RequestQuarantined(Unavailable):
    """The request has crashed the replicas that ran it."""

    slug = "request-quarantined"


class AnswerFailed(RequestError):
    """The request was started and its answer cannot be completed."""

    status = 502
    slug = "answer-failed"


class AnswerUndetermined(RequestError):
    """The request may or may not have run."""

    status = 504
    slug = "undetermined"

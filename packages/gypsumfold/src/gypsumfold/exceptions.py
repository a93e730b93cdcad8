"""Every failure of gypsumfold has a type here, below one base class."""

from gypsumfold import outcomes


class GypsumfoldError(Exception):
    """The base of all failures that gypsumfold raises itself."""


class SettingsError(GypsumfoldError):
    """A settings file cannot be used.

    Args:
        path: The file.
        key: The offending key, dotted; empty for the file as a whole.
        reason: What is wrong with it.
        line: The line in the file, from 1; 0 where it is not known.
    """

    def __init__(self, path: str, key: str, reason: str, line: int = 0):
        self.path = path
        self.key = key
        self.reason = reason
        self.line = line
        super().__init__(f"{path}:{line}: {key or 'file'}: {reason}")


class PlatformError(GypsumfoldError):
    """Something of the platform's did not answer as it should."""


class LogUnavailable(PlatformError):
    """The log refused or could not be reached; nothing was appended."""


class ReadOverdue(PlatformError):
    """A read waits on for what another node has read already."""


class ConnectionLost(LogUnavailable):
    """A kept connection was lost or silent; new ones may well work."""


class AppendUndetermined(PlatformError):
    """The answer to an append was lost; it may have taken effect."""


class RecordInvalid(PlatformError):
    """A record on the log cannot be decoded."""


class VMListUnavailable(PlatformError):
    """The platform's list of VMs could not be read."""


class WeightStoreUnavailable(PlatformError):
    """The weight store could not be read."""


class PeerError(GypsumfoldError):
    """A failure between two nodes."""


class PeerUnreachable(PeerError):
    """The peer could not be reached or stopped answering in time."""


class FrameInvalid(PeerError):
    """A frame is too long, not authentic or not decodable."""


class PeerRefused(PeerError):
    """The peer answered a call with a failure.

    Args:
        name: The name of the failure's type on the peer.
    """

    def __init__(self, name: str):
        self.name = name
        super().__init__(name)


class EndpointError(GypsumfoldError):
    """A failure between the node and an endpoint."""


class EndpointNotStarted(EndpointError):
    """The endpoint cannot have run anything of this dispatch."""


class EndpointUnreachable(EndpointNotStarted):
    """No connection to the endpoint could be opened."""


class EndpointNotListening(EndpointUnreachable):
    """Nothing listens at the endpoint's address."""


class EndpointUndetermined(EndpointError):
    """The endpoint may have run the dispatch; nobody here can tell."""


class EndpointFailed(EndpointError):
    """The endpoint ran the dispatch and it failed."""


class StreamBroken(EndpointError):
    """A stream ended, went silent or carried events of another dispatch."""


class StreamSilent(StreamBroken):
    """A stream gave nothing for the idle limit; its engine may be well."""


class EndpointRefused(EndpointNotStarted):
    """An endpoint would not take a dispatch; nothing of it has run."""


class EndpointMismatch(EndpointRefused):
    """The endpoint is another one by now, or has another role."""


class AnswerBroken(EndpointError):
    """An answer ended early or is no answer; the dispatch may have run."""


class AnswerAbandoned(AnswerBroken):
    """No endpoint may go on with an answer that has begun."""


class OrderRefused(EndpointError):
    """An engine refused an order, for example for an old fencing token."""


class ControlError(GypsumfoldError):
    """A failure of leases and orders."""


class LeaseLost(ControlError):
    """This node holds no valid lease for the service."""


class StatementError(GypsumfoldError):
    """A statement is not valid.

    Args:
        reason: What is wrong.
        line: Line in the text, from 1; 0 where it has no place.
        column: Column in the line, from 1; 0 where it has no place.
        expected: What could have stood there.
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
    """A change of configuration lost against another or is not valid.

    Args:
        reason: Why, with the objects concerned.
        difference: Line by line, what is in force against what was asked.
    """

    def __init__(self, reason: str, difference: tuple[str, ...] = ()):
        self.reason = reason
        self.difference = difference
        super().__init__(reason)


class OperatorUnknown(GypsumfoldError):
    """No operator has this bearer token."""


class CommandFailed(GypsumfoldError):
    """An order or a seizure was not carried out.

    Args:
        reason: Why, for the operator.
    """

    def __init__(self, reason: str):
        self.reason = reason
        super().__init__(reason)


class RequestError(GypsumfoldError):
    """A request ends without its answer; rendered as RFC 9457.

    Args:
        detail: One sentence for the caller.
        outcome: What is known about the request.
        retry_after: Seconds until a repeat makes sense; None where a repeat
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
    """The request itself is wrong; a repeat fails in the same way."""

    status = 400
    slug = "invalid-request"


class BodyTooLarge(RequestInvalid):
    """The request's body has more bytes than are taken."""

    status = 413
    slug = "body-too-large"


class BodyTooSlow(RequestInvalid):
    """The request's body did not come in time."""

    status = 408
    slug = "body-too-slow"


class Unauthorized(RequestError):
    """No account has this bearer token."""

    status = 401
    slug = "unauthorized"


class NotFound(RequestError):
    """No model, service or path of this name."""

    status = 404
    slug = "not-found"


class KeyConflict(RequestError):
    """The idempotency key was used before with another body."""

    status = 422
    slug = "key-conflict"


class KeyClosed(RequestError):
    """A call under this key was refused unrun; none can run any more."""

    status = 409
    slug = "key-closed"


class KeyExpired(RequestError):
    """The idempotency key is older than what the log keeps."""

    status = 422
    slug = "key-expired"


class Refused(RequestError):
    """The request is not served now: overload or a missed deadline."""

    status = 429
    slug = "refused"


class Unavailable(RequestError):
    """Nothing can serve the request at the moment."""

    status = 503
    slug = "unavailable"


class RequestQuarantined(Unavailable):
    """The request crashed the replicas that ran it before."""

    slug = "request-quarantined"


class AnswerFailed(RequestError):
    """The request was started and its answer cannot be completed."""

    status = 502
    slug = "answer-failed"


class AnswerUndetermined(RequestError):
    """The request may or may not have run."""

    status = 504
    slug = "undetermined"

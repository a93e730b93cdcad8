"""Messages by which one node has another serve a request.

The request is one sealed frame. The answer is a series of sealed frames, each
behind its length, so that its end is a message and not the connection's.
"""

from collections.abc import Iterator
import struct
from typing import Annotated

import msgspec

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import chains
from gypsumfold.decisions import stream_origins
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import seals

PATH = "/requests"
LENGTH = struct.Struct("!I")
# Maximum bytes of a frame; operators allow bodies of a few megabytes.
MAX_FRAME_BYTES = 32 * 1024 * 1024
# Maximum seconds that a caller may wait, or may have waited.
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]


class Request(msgspec.Struct, array_like=True):
    """A caller's request, without the caller's key.

    Attributes:
        id: Attempt id.
        method: HTTP method.
        target: Path and query as received.
        host: Value of the Host header.
        fields: Header fields to forward to the replica.
        body: Body as received; None if there is none.
        age: Seconds since it arrived.
        left: Seconds until its deadline.
        version: Version of the configuration by which it was admitted.
        account: Name of the client account.
        runs: Number of replicas that may have run it.
        model: Requested model.
        chain: Prefix chain of the prompt: id and tokens of each block.
        prompt_tokens: Length of the prompt.
        output_tokens: Maximum number of tokens in the answer.
        resumes: Id of the attempt that began the stream which is taken up.
        last_event: Id of the last event of that stream which the caller has.
        origin: Service and software version that began that stream, if known.
    """

    id: str
    method: str
    target: str
    host: str
    fields: list[tuple[bytes, bytes]]
    body: bytes | None
    age: Seconds
    left: Seconds
    version: messages.Count
    account: str
    runs: messages.Count
    model: str
    chain: list[tuple[str, messages.Count]]
    prompt_tokens: messages.Count
    output_tokens: messages.Count
    resumes: str = ""
    last_event: str = ""
    origin: tuple[str, str] | None = None


class Declined(msgspec.Struct, array_like=True, tag="declined"):
    """The node has not begun to serve the request."""

    reason: str


class Head(msgspec.Struct, array_like=True, tag="head"):
    """The head of the replica's answer.

    Attributes:
        status: HTTP status.
        reason: HTTP reason phrase.
        fields: Header fields to forward.
        departures: Instance and start time of replicas that have told the
            sender lately that they leave.
    """

    status: int
    reason: str
    fields: list[tuple[bytes, bytes]]
    departures: list[tuple[str, messages.Count]] = []


class Data(msgspec.Struct, array_like=True, tag="data"):
    """Bytes of the answer's body."""

    data: bytes


class End(msgspec.Struct, array_like=True, tag="end"):
    """The answer is complete."""


class Failure(msgspec.Struct, array_like=True, tag="failure"):
    """No replica answered.

    Attributes:
        slug: Kind of the error, as in `exceptions.RequestError.slug`.
        detail: One sentence for the caller.
        outcome: What is known about the request.
        retry_after: Seconds until a retry makes sense.
    """

    slug: str
    detail: str
    outcome: outcomes.Outcome
    retry_after: float | None


class Alive(msgspec.Struct, array_like=True, tag="alive"):
    """The node still serves the request."""


Message = Declined | Head | Data | End | Failure | Alive
REQUEST_DECODER = msgspec.msgpack.Decoder(Request)
MESSAGE_DECODER = msgspec.msgpack.Decoder(Message)
# Errors that a node may give on behalf of another, by slug.
ERRORS = {
    error.slug: error
    for error in (
        exceptions.NotFound,
        exceptions.Unavailable,
        exceptions.RequestQuarantined,
        exceptions.AnswerFailed,
        exceptions.AnswerUndetermined,
    )
}


def from_call(
    call: types.Call,
    runs: int,
    version: int,
    now: float,
    origin: stream_origins.Origin | None = None,
) -> Request:
    """Makes the message of a call."""
    return Request(
        id=call.id,
        method=call.method,
        target=call.target,
        host=call.host,
        fields=list(call.fields),
        body=call.body,
        age=max(0.0, now - call.arrival),
        left=max(0.0, call.deadline - now),
        version=version,
        account=call.account,
        runs=runs,
        model=call.model,
        chain=[(block.id, block.tokens) for block in call.chain],
        prompt_tokens=call.prompt_tokens,
        output_tokens=call.output_tokens,
        resumes=call.resumes,
        last_event=call.last_event,
        origin=None if origin is None else tuple(origin),
    )


def to_call(request: Request, now: float) -> types.Call:
    """Returns the call that a message describes."""
    chain = tuple(chains.Block(*block) for block in request.chain)
    return types.Call(
        id=request.id,
        method=request.method,
        target=request.target,
        host=request.host,
        fields=tuple(request.fields),
        body=request.body,
        arrival=now - request.age,
        deadline=now + request.left,
        model=request.model,
        chain=chain,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        account=request.account,
        resumes=request.resumes,
        last_event=request.last_event,
    )


def to_origin(request: Request) -> stream_origins.Origin | None:
    """Returns the origin of the stream that a message takes up, if known."""
    if request.origin is None:
        return None
    return stream_origins.Origin(*request.origin)


def from_error(error: exceptions.RequestError) -> Failure:
    """Makes the message of a final error."""
    return Failure(error.slug, error.detail, error.outcome, error.retry_after)


def to_error(failure: Failure) -> exceptions.RequestError:
    """Returns the error that a message describes."""
    kind = ERRORS.get(failure.slug, exceptions.AnswerFailed)
    return kind(failure.detail, failure.outcome, failure.retry_after)


def encode_request(request: Request, sealer: seals.Sealer) -> bytes:
    """Encodes and seals a request."""
    return sealer.seal(msgspec.msgpack.encode(request))


def decode_request(frame: bytes, sealer: seals.Sealer) -> Request:
    """Opens and decodes a request.

    Raises:
        exceptions.RecordInvalid: It has no valid seal or is malformed.
    """
    return _decode(REQUEST_DECODER, sealer.open(frame))


def encode_message(message: Message, sealer: seals.Sealer) -> bytes:
    """Encodes and seals a message, behind its length."""
    frame = sealer.seal(msgspec.msgpack.encode(message))
    return LENGTH.pack(len(frame)) + frame


def _decode(decoder: msgspec.msgpack.Decoder, data: bytes):
    try:
        return decoder.decode(data)
    except messages.DECODE_ERRORS as error:
        raise exceptions.RecordInvalid(str(error)) from error


class MessageReader:
    """Splits an answer's bytes into its messages.

    >>> reader = MessageReader(sealer)
    >>> list(reader.feed(encode_message(End(), sealer)))
    [End()]
    """

    def __init__(self, sealer: seals.Sealer):
        self.sealer = sealer
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Adds bytes and yields the messages that are complete.

        Raises:
            exceptions.RecordInvalid: A frame is too long, has no valid seal or
                is malformed.
        """
        self.buffer += data
        while len(self.buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer)
            if length > MAX_FRAME_BYTES:
                raise exceptions.RecordInvalid(f"a frame of {length} bytes")
            end = LENGTH.size + length
            if len(self.buffer) < end:
                return
            frame = bytes(self.buffer[LENGTH.size : end])
            del self.buffer[:end]
            yield _decode(MESSAGE_DECODER, self.sealer.open(frame))

"""The client of the platform's own API: usage reports and replicas."""

import asyncio

import msgspec

from gypsumfold import exceptions
from gypsumfold.decisions import capacity
from gypsumfold.gateway import grants
from gypsumfold.platform import fenced_calls
from gypsumfold.platform import names

# Time limit of one call in seconds; its permission may end before.
CALL_TIMEOUT_SECONDS = 1.5
MAX_CONNECTIONS = 4


class UsageRecord(msgspec.Struct):
    """The requests of each account in one window."""

    window: int = msgspec.field(name="windowSeq")
    counts: dict[str, int]


class LossRecord(msgspec.Struct):
    """What an era of the store lacks of the one before.

    Attributes:
        era: The era.
        lost_before: Totals of windows that closed before this Unix time may
            have been lost.
    """

    era: int
    lost_before: float = msgspec.field(name="lostBefore")


class ScaleRecord(msgspec.Struct, omit_defaults=True):
    """An order of replicas."""

    service: str
    data_centre: str = msgspec.field(name="zone")
    count: int = msgspec.field(name="desired")
    spot: bool = False


class CapacityRecord(msgspec.Struct, omit_defaults=True):
    """What leaders keep of a service's replicas.

    Attributes:
        first: The number that it had at first.
        total: The number needed at last; 0 if it doesn't follow the load.
    """

    first: int
    total: int = 0


class Operations:
    """Calls that only the holder of a duty may make.

    >>> operations = Operations("10.200.0.2:8287")
    >>> await operations.report_usage(body, "edge-1", grant)
    """

    def __init__(self, address: str):
        self.address = address
        self.permits = asyncio.Semaphore(MAX_CONNECTIONS)
        self.is_closed = False

    async def close(self) -> None:
        """Refuses further calls; one in progress ends with its task."""
        self.is_closed = True

    async def report_usage(
        self, body: bytes, holder: str, grant: grants.Grant
    ) -> None:
        """Reports the usage of one window.

        Args:
            body: An encoded report.
            holder: Name of this node.
            grant: The permission to call.

        Raises:
            exceptions.DutyFenced: Another node has used a higher token.
            exceptions.OperationsUnavailable: The report may or may not have
                been accepted.
        """
        await self.call(names.USAGE_PATH, body, holder, grant, names.USAGE_PATH)

    async def order_replicas(
        self,
        service: str,
        order: capacity.Order,
        holder: str,
        grant: grants.Grant,
    ) -> None:
        """Orders a number of replicas.

        Args:
            service: The service.
            order: How many, of which kind, and where.
            holder: Name of this node.
            grant: The permission to call.

        Raises:
            exceptions.DutyFenced: Another node has used a higher token, or
                there are no reclaimable replicas at present.
            exceptions.OperationsUnavailable: It may or may not be carried out.
        """
        record = ScaleRecord(
            service, order.data_centre, order.count, order.spot
        )
        body = msgspec.json.encode(record)
        subject = f"{names.SCALE_PATH} {service} {order.data_centre}"
        await self.call(names.SCALE_PATH, body, holder, grant, subject)

    async def call(
        self,
        path: str,
        body: bytes,
        holder: str,
        grant: grants.Grant,
        subject: str,
    ) -> None:
        """Makes one call.

        Raises:
            exceptions.AuthorityEnded: The permission had ended or was about
                to; the call can't arrive.
            exceptions.DutyFenced: Another node has used a higher token.
            exceptions.OperationsUnavailable: It failed or timed out.
        """
        fields = (
            (b"Host", self.address.encode()),
            (b"Connection", b"close"),
            (names.DUTY_HOLDER.encode(), holder.encode()),
            (names.FENCING_TOKEN.encode(), str(grant.token).encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
        )
        if self.is_closed:
            raise exceptions.OperationsUnreachable(f"{path}: closed")
        # Each call has a connection of its own.
        async with self.permits:
            status = await fenced_calls.FencedCall(
                path, fields, body, subject, grant, CALL_TIMEOUT_SECONDS
            ).run(self.address)
        if status == 409:
            raise exceptions.DutyFenced(f"{path}: token {grant.token}")
        if status != 200:
            raise exceptions.OperationsFailed(f"{path}: {status}")


def encode_usage(window: int, counts: dict[str, int]) -> bytes:
    """Encodes a report of usage."""
    return msgspec.json.encode(UsageRecord(window, counts))


def encode_capacity(first: int, total: int = 0) -> bytes:
    """Encodes the first and the needed number of a service's replicas."""
    return msgspec.json.encode(CapacityRecord(first, total))


def decode_capacity(value: bytes) -> CapacityRecord:
    """Decodes the first and the needed number of a service's replicas.

    Raises:
        exceptions.RecordInvalid: It is malformed.
    """
    try:
        return msgspec.json.decode(value, type=CapacityRecord)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise exceptions.RecordInvalid(str(error)) from error


def encode_loss(era: int, lost_before: float) -> bytes:
    """Encodes what an era of the store lacks."""
    return msgspec.json.encode(LossRecord(era, lost_before))


def decode_loss(value: bytes) -> LossRecord:
    """Decodes what an era of the store lacks.

    Raises:
        exceptions.RecordInvalid: It is malformed.
    """
    try:
        return msgspec.json.decode(value, type=LossRecord)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise exceptions.RecordInvalid(str(error)) from error


def window_of(body: bytes) -> int:
    """Returns the window of an encoded report.

    Raises:
        exceptions.RecordInvalid: It is malformed.
    """
    try:
        return msgspec.json.decode(body, type=UsageRecord).window
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise exceptions.RecordInvalid(str(error)) from error

"""Answers of replicas on pooled connections."""

import asyncio
from collections.abc import AsyncIterator

import h11

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.gateway import connection_pool
from gypsumfold.gateway import connections
from gypsumfold.gateway import types

# Largest body that is read whole.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Bytes and seconds for the rest of an answer that is not needed, so that its
# connection can be used again.
MAX_DRAINED_BYTES = 65536
DRAIN_SECONDS = 0.1
# Statuses of answers that never have a body.
BODILESS_STATUSES = (204, 304)


class PooledAnswer:
    """An answer on a pooled connection whose head has been received.

    Attributes:
        is_framed: Whether the end of the body is marked by a length or chunks,
            or there is never a body; otherwise it ends with its connection.
        statement: What its head says of the replica.
    """

    def __init__(
        self,
        pool: connection_pool.Pool,
        replica: types.Replica,
        connection: connections.Connection,
        method: str,
        head: h11.Response,
    ):
        self.pool = pool
        self.replica = replica
        self.connection = connection
        self.status = head.status_code
        self.reason = head.reason.decode("latin-1")
        self.fields: types.Fields = tuple(head.headers.raw_items())
        self.sealed = False
        self.not_run = False
        self.statement: types.Statement | None = None
        self.length = _length(head)
        has_no_body = method == "HEAD" or self.status in BODILESS_STATUSES
        self.is_framed = has_no_body or _is_framed(head)
        self.ended = False
        self.held = 0

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it is received.

        Raises:
            exceptions.AnswerBroken: It ended early.
        """
        while True:
            event = await self.connection.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                self.ended = True
                self.pool.release(
                    self.replica.address, self.replica.instance, self.connection
                )
                return
            self.connection.abort()
            raise exceptions.AnswerBroken(
                "the replica closed the connection before the end"
            )

    async def read(self, limit: int = MAX_BODY_BYTES) -> bytes:
        """Reads the entire body.

        Args:
            limit: Largest number of bytes.

        Raises:
            exceptions.AnswerBroken: It ended early, or is too large by itself
                or together with others that are being read.
        """
        parts = []
        size = 0
        try:
            async for chunk in self.chunks():
                parts.append(chunk)
                size += len(chunk)
                self.hold(size, limit)
        finally:
            self.release()
        return b"".join(parts)

    def hold(self, size: int, limit: int) -> None:
        """Counts the bytes of the body that are kept until more have come.

        Args:
            size: Bytes that are kept now.
            limit: Largest number of them.

        Raises:
            exceptions.AnswerBroken: They are too many by themselves or together
                with those of other answers.
        """
        self.pool.held_bytes += size - self.held
        self.held = size
        if size > limit or self.pool.held_bytes > self.pool.max_held_bytes:
            self.connection.abort()
            raise exceptions.AnswerBroken(
                f"over {size} bytes are too many to be kept"
            )

    def release(self) -> None:
        """Counts no bytes any more."""
        self.pool.held_bytes -= self.held
        self.held = 0

    async def drain(self) -> None:
        """Reads a body that is not needed; closes a long or slow one."""
        size = 0
        try:
            async with asyncio.timeout(DRAIN_SECONDS):
                async for chunk in self.chunks():
                    size += len(chunk)
                    if size > MAX_DRAINED_BYTES:
                        break
        except (exceptions.AnswerBroken, TimeoutError) as error:
            events.log(
                events.ANSWER_NOT_DRAINED,
                instance=self.replica.instance,
                status=self.status,
                reason=repr(error),
            )
        self.close()

    def close(self) -> None:
        """Ends the exchange; the replica cancels what still runs."""
        self.release()
        if not self.ended:
            self.connection.abort()


def _length(head: h11.Response) -> int | None:
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return None


def _is_framed(head: h11.Response) -> bool:
    for name, _ in head.headers:
        if name in (b"content-length", b"transfer-encoding"):
            return True
    return False

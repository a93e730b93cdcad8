"""An authenticated connection between two nodes that carries calls."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import secrets
import ssl
from typing import Any

from gypsumfold import exceptions
from gypsumfold.endpoints import connections
from gypsumfold.peers import framing

thrift = framing.peers_thrift

# Signed directions of frames: from the connecting side, and back.
FROM_CLIENT = b"c"
FROM_SERVER = b"s"
# Calls of one peer that are served concurrently; more wait in its connection.
CONCURRENT_CALLS = 256


class Channel:
    """Sends and receives envelopes over one TCP connection.

    >>> channel = await Channel.connect("10.0.0.2", 8082, secret, 1.0)
    >>> reply = await channel.call("heartbeat", message, thrift.Heartbeat, 1.0)
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        signer: framing.Signer,
        verifier: framing.Signer,
    ):
        self.reader = reader
        self.writer = writer
        self.signer = signer
        self.verifier = verifier
        self.call_ids = itertools.count(1)
        self.pending: dict[int, asyncio.Future] = {}
        self.closed = False

    @classmethod
    async def connect(
        cls,
        address: str,
        port: int,
        secret: bytes,
        timeout: float,
        context: ssl.SSLContext | None = None,
        local: str | None = None,
    ) -> "Channel":
        """Connects to a peer, from the local address if one is given.

        Raises:
            exceptions.PeerUnreachable: The peer does not answer in time.
        """
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(
                    address,
                    port,
                    ssl=context,
                    local_addr=(local, 0) if local else None,
                )
                enable_keepalive(writer)
                nonce = await reader.readexactly(framing.NONCE_BYTES)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            raise exceptions.PeerUnreachable(repr(error)) from error
        return cls(
            reader,
            writer,
            framing.Signer(secret, nonce, FROM_CLIENT),
            framing.Signer(secret, nonce, FROM_SERVER),
        )

    @classmethod
    def accept(
        cls,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        secret: bytes,
    ) -> "Channel":
        """Accepts a connection and sends its nonce."""
        enable_keepalive(writer)
        nonce = secrets.token_bytes(framing.NONCE_BYTES)
        writer.write(nonce)
        return cls(
            reader,
            writer,
            framing.Signer(secret, nonce, FROM_SERVER),
            framing.Signer(secret, nonce, FROM_CLIENT),
        )

    def send(self, envelope) -> None:
        """Writes one envelope."""
        payload = framing.encode(envelope)
        self.writer.write(self.signer.make_frame(payload))

    async def receive(self, limit: int):
        """Reads one envelope.

        Raises:
            exceptions.FrameInvalid: The frame is invalid or not authentic.
            exceptions.PeerUnreachable: The connection has ended.
        """
        try:
            header = await self.reader.readexactly(4)
            length = framing.parse_length(header, limit)
            body = await self.reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise exceptions.PeerUnreachable(repr(error)) from error
        payload = self.verifier.verify(body)
        return framing.decode(thrift.Envelope, payload)

    async def call(
        self, name: str, message, reply_type: type, timeout: float
    ) -> Any:
        """Makes one call; `run_client` must run concurrently.

        Args:
            name: The method.
            message: A thrift struct.
            reply_type: The thrift type of the reply.
            timeout: Seconds.

        Raises:
            exceptions.PeerUnreachable: No reply in time.
            exceptions.PeerRefused: The peer replied with a failure.
        """
        if self.closed:
            raise exceptions.PeerUnreachable("the connection is closed")
        call_id = next(self.call_ids)
        future = asyncio.get_running_loop().create_future()
        self.pending[call_id] = future
        body = framing.encode(message)
        self.send(thrift.Envelope(call_id, thrift.Kind.CALL, name, body))
        try:
            # wait_for of Python 3.11 loses a cancellation that arrives together
            # with the reply (python/cpython issue 86296).
            async with asyncio.timeout(timeout):
                envelope = await future
        except TimeoutError as error:
            raise exceptions.PeerUnreachable("no reply in time") from error
        finally:
            self.pending.pop(call_id, None)
        if envelope.kind == thrift.Kind.FAILURE:
            raise exceptions.PeerRefused(envelope.name)
        return framing.decode(reply_type, envelope.body)

    async def run_client(self) -> None:
        """Passes replies to the waiting calls until the connection ends.

        Raises:
            exceptions.PeerError: The connection ended.
        """
        try:
            while True:
                envelope = await self.receive(framing.MAX_REPLY_BYTES)
                future = self.pending.get(envelope.call)
                if future is None or future.done():
                    continue
                future.set_result(envelope)
        finally:
            self.close()

    async def run_server(self, serve: Callable[[Any], Awaitable[Any]]) -> None:
        """Serves the calls of a peer until the connection ends.

        Args:
            serve: Makes the reply envelope of a call envelope.

        Raises:
            exceptions.PeerError: The connection ended.
        """
        slots = asyncio.Semaphore(CONCURRENT_CALLS)
        running: set[asyncio.Task] = set()

        async def reply(envelope) -> None:
            try:
                self.send(await serve(envelope))
            finally:
                slots.release()

        try:
            while True:
                envelope = await self.receive(framing.MAX_CALL_BYTES)
                await slots.acquire()
                task = asyncio.create_task(reply(envelope))
                running.add(task)
                task.add_done_callback(running.discard)
        finally:
            for task in running:
                task.cancel()
            self.close()

    def close(self) -> None:
        """Closes the connection; calls in progress fail."""
        self.closed = True
        self.writer.close()
        for future in self.pending.values():
            if not future.done():
                future.set_exception(
                    exceptions.PeerUnreachable("the connection ended")
                )


def enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Sets TCP keepalive and the TCP user timeout on a connection."""
    connections.configure_socket(writer.get_extra_info("socket"))

"""Heartbeats and calls between nodes, with one task for each peer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any
from typing import NamedTuple

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold import tls
from gypsumfold.peers import channels
from gypsumfold.peers import framing

thrift = framing.peers_thrift

# Heartbeat intervals without a reply until a new connection is made; a lost
# packet is retransmitted within this time.
MAX_MISSED_HEARTBEATS = 3


class Peer(NamedTuple):
    """The last reported state of a peer.

    Attributes:
        address: Its IP address.
        node: Its name.
        incarnation: Differs for each start of its process.
        data_centre: Its data centre.
        revision: Revision of its configuration; -1 for none.
        stopping: Whether it is shutting down gracefully.
        last_seen: Monotonic time at which its state was last received.
        last_answered: When the last heartbeat that it answered was sent, by
            `clocks.now`. A message that is read after this process was paused
            may be old, but an answer is not older than its request.
    """

    address: str
    node: str
    incarnation: str
    data_centre: str
    revision: int
    stopping: bool
    last_seen: float
    last_answered: float = 0.0


class _Handler(NamedTuple):
    request_type: type
    function: Callable[[Any, str], Awaitable[Any]]


class Peers:
    """The other nodes: their states, and calls to and from them.

    >>> peers = Peers(settings, describe)
    >>> peers.handle("config.pull", thrift.ConfigPull, pull)
    >>> await peers.call(address, "config.pull", message, thrift.ConfigPage)
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        describe: Callable[[], Any],
    ):
        """Creates it without connections; `serve` and `sync` start it.

        Args:
            settings: Settings of the node.
            describe: Returns this node's `thrift.Heartbeat`.
        """
        self.settings = settings.peers
        self.address = settings.node.address
        self.describe = describe
        self.secret = settings.peers.secret.encode()
        self.tls = tls.peer_context(settings.peers.tls)
        self.handlers: dict[str, _Handler] = {}
        self.links: dict[str, asyncio.Task] = {}
        self.channels: dict[str, channels.Channel] = {}
        self.by_address: dict[str, Peer] = {}
        self.server: asyncio.Server | None = None
        self.accepted: set[asyncio.Task] = set()
        self.serving = 0
        self.handle("heartbeat", thrift.Heartbeat, self.on_heartbeat)

    def handle(
        self,
        name: str,
        request_type: type,
        function: Callable[[Any, str], Awaitable[Any]],
    ) -> None:
        """Registers the function that serves a method.

        Args:
            name: The method.
            request_type: The thrift type of its message.
            function: Takes the message and the caller's IP address and
                returns the thrift struct of the reply.
        """
        self.handlers[name] = _Handler(request_type, function)

    def recently_seen(self) -> list[Peer]:
        """Lists the peers whose state was received in the last intervals."""
        horizon = (
            time.monotonic()
            - 2 * MAX_MISSED_HEARTBEATS * self.settings.heartbeat
        )
        return [p for p in self.by_address.values() if p.last_seen >= horizon]

    async def call(
        self,
        address: str,
        name: str,
        message,
        reply_type: type,
        timeout: float = 1.0,
    ) -> Any:
        """Calls a peer, over a new connection if none is open.

        Raises:
            exceptions.PeerUnreachable: No reply in time.
            exceptions.PeerRefused: The peer replied with a failure.
        """
        channel = self.channels.get(address)
        if channel is not None and not channel.closed:
            return await channel.call(name, message, reply_type, timeout)
        channel = await self.connect(address, timeout)
        reader = asyncio.create_task(receive_replies(channel))
        try:
            return await channel.call(name, message, reply_type, timeout)
        finally:
            channel.close()
            reader.cancel()

    async def connect(self, address: str, timeout: float) -> channels.Channel:
        """Opens a connection to a peer."""
        return await channels.Channel.connect(
            address,
            self.settings.port,
            self.secret,
            timeout,
            self.tls,
            self.address,
        )

    def sync(self, addresses: set[str]) -> None:
        """Keeps one link to each of these peers and closes all others.

        Args:
            addresses: IP addresses; this node's own is ignored.
        """
        wanted = addresses - {self.address}
        for address in list(self.links):
            if address in wanted:
                continue
            self.links.pop(address).cancel()
            self.by_address.pop(address, None)
        for address in wanted:
            if address in self.links:
                continue
            self.links[address] = asyncio.create_task(
                self.keep_connected(address)
            )

    async def keep_connected(self, address: str) -> None:
        """Keeps a connection to one peer and sends heartbeats on it."""
        failures = 0
        while True:
            try:
                channel = await self.connect(address, self.reply_timeout)
                self.channels[address] = channel
                failures = 0
                await self.send_heartbeats(address, channel)
            except exceptions.PeerError as error:
                failures += 1
                # The first failure may concern only the connection.
                if failures == 2:
                    events.log(
                        events.PEER_LOST, peer=address, reason=repr(error)
                    )
                if failures >= 2:
                    await asyncio.sleep(self.settings.heartbeat)

    @property
    def reply_timeout(self) -> float:
        """Seconds without a reply until a connection is closed."""
        return MAX_MISSED_HEARTBEATS * self.settings.heartbeat

    async def send_heartbeats(
        self, address: str, channel: channels.Channel
    ) -> None:
        """Sends heartbeats on a connection until it fails."""
        reader = asyncio.create_task(receive_replies(channel))
        known = False
        try:
            while True:
                sent = clocks.now()
                reply = await channel.call(
                    "heartbeat",
                    self.describe(),
                    thrift.Heartbeat,
                    self.reply_timeout,
                )
                self.record_state(reply, sent)
                if not known:
                    known = True
                    events.log(
                        events.PEER_CONNECTED, peer=address, node=reply.node
                    )
                await asyncio.sleep(self.settings.heartbeat)
        finally:
            self.channels.pop(address, None)
            channel.close()
            reader.cancel()

    def record_state(self, message, answered: float = 0.0) -> None:
        """Records a peer's state; its revision decreases only on a restart."""
        revision = message.revision
        before = self.by_address.get(message.address)
        if before and before.incarnation == message.incarnation:
            revision = max(revision, before.revision)
            answered = max(answered, before.last_answered)
        self.by_address[message.address] = Peer(
            message.address,
            message.node,
            message.incarnation,
            message.data_centre,
            revision,
            message.stopping,
            time.monotonic(),
            answered,
        )

    async def on_heartbeat(self, message, address: str):
        """Serves a peer's heartbeat."""
        self.record_state(message)
        return self.describe()

    async def serve(self) -> None:
        """Starts the server for connections of peers."""
        self.server = await asyncio.start_server(
            self.accept,
            self.address,
            self.settings.port,
            ssl=tls.server_context(self.settings.tls),
        )

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Starts the task of one connection."""
        task = asyncio.create_task(self.serve_peer(reader, writer))
        self.accepted.add(task)
        task.add_done_callback(self.accepted.discard)

    async def serve_peer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until it ends."""
        address = writer.get_extra_info("peername")[0]
        channel = channels.Channel.accept(reader, writer, self.secret)

        async def serve(envelope):
            return await self.answer(envelope, address)

        try:
            await channel.run_server(serve)
        except exceptions.FrameInvalid as error:
            events.log(events.FRAME_REFUSED, peer=address, reason=str(error))
        except exceptions.PeerError:
            return

    async def answer(self, envelope, address: str):
        """Serves one call and returns its reply."""
        handler = self.handlers.get(envelope.name)
        self.serving += 1
        try:
            if handler is None:
                raise exceptions.PeerRefused("no such method")
            message = framing.decode(handler.request_type, envelope.body)
            reply = await handler.function(message, address)
        except exceptions.GypsumfoldError as error:
            return thrift.Envelope(
                envelope.call, thrift.Kind.FAILURE, type(error).__name__, b""
            )
        finally:
            self.serving -= 1
        body = framing.encode(reply)
        return thrift.Envelope(
            envelope.call, thrift.Kind.REPLY, envelope.name, body
        )

    async def close(self) -> None:
        """Closes all links and stops the server."""
        tasks = [*self.links.values(), *self.accepted]
        self.links.clear()
        if self.server is not None:
            self.server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def receive_replies(channel: channels.Channel) -> None:
    """Runs a channel's reader; calls in progress fail when it ends."""
    try:
        await channel.run_client()
    except exceptions.PeerError:
        return

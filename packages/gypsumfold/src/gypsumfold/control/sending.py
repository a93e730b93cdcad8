"""Sends orders to engines, each on a connection of its own.

Nothing is pooled, retried or redirected. The lease is checked at the moment
the order's bytes are handed to the socket.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import enum
import socket

import aiohttp
import msgspec

from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.control import orders
from gypsumfold.control import records
from gypsumfold.endpoints import connections

# Fraction of the quarantine for which sent bytes may stay unacknowledged
# before the kernel closes the connection (TCP_USER_TIMEOUT, RFC 5482), so that
# nothing from an ended process is in transit when the quarantine is over.
USER_TIMEOUT_SHARE = 0.5
MILLISECONDS = 1000


class Answer(enum.StrEnum):
    """The result of sending an order."""

    DONE = "done"
    REFUSED = "refused"
    VOID = "void"
    UNKNOWN = "unknown"


# 409: not accepted, because of another order or a stale token; a later order
# may be.
ANSWERS = {200: Answer.DONE, 400: Answer.REFUSED, 409: Answer.VOID}


class _LastOrder(msgspec.Struct):
    id: str
    token: int
    done: bool


class _WireState(msgspec.Struct):
    incarnation: str
    role: str
    models: list[str]
    running: int
    changing: bool
    highest_token: int
    last_order: _LastOrder | None


class Sender:
    """Reads engines' states and sends them orders.

    >>> sender = Sender(settings)
    >>> state = await sender.state("10.0.1.1:9000")
    >>> await sender.send("10.0.1.1:9000", order, check)
    <Answer.DONE: 'done'>
    """

    def __init__(self, settings: settings_module.Settings):
        self.settings = settings

    def session(self) -> aiohttp.ClientSession:
        """Creates a client whose connections serve one request each."""
        connector = aiohttp.TCPConnector(
            force_close=True,
            socket_factory=self.socket,
            local_addr=(self.settings.node.address, 0),
        )
        return aiohttp.ClientSession(connector=connector)

    def socket(self, address_info) -> socket.socket:
        """Creates a socket whose sent bytes don't outlive the quarantine."""
        sock = connections.create_socket(address_info)
        seconds = self.settings.control.quarantine * USER_TIMEOUT_SHARE
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(seconds * MILLISECONDS),
        )
        return sock

    async def state(self, address: str) -> orders.EngineState:
        """Reads an engine's state, on a connection of its own.

        Raises:
            exceptions.EndpointError: It does not answer, or its answer is
                malformed.
        """
        limit = aiohttp.ClientTimeout(
            total=self.settings.endpoints.connect_timeout
        )
        try:
            async with (
                self.session() as session,
                session.get(
                    f"http://{address}/v1/state", timeout=limit
                ) as answer,
            ):
                content = await answer.read()
            wire = msgspec.json.decode(content, type=_WireState)
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.DecodeError,
        ) as error:
            raise exceptions.EndpointError(repr(error)) from error
        last = wire.last_order
        return orders.EngineState(
            wire.incarnation,
            wire.role,
            frozenset(wire.models),
            wire.running,
            wire.changing,
            last.id if last else "",
            last.done if last else False,
            wire.highest_token,
        )

    async def send(
        self,
        address: str,
        order: records.Order,
        check: Callable[[], None],
        limit: float,
    ) -> Answer:
        """Sends one order, once.

        Args:
            address: The engine's address.
            order: With its token.
            check: Called as the bytes are written; raises
                `exceptions.LeaseLost` if the order must not be sent.
            limit: Seconds to wait for the answer.

        Returns:
            The engine's answer.
        """
        timeout = aiohttp.ClientTimeout(
            total=limit, sock_connect=self.settings.endpoints.connect_timeout
        )
        try:
            async with (
                self.session() as session,
                session.post(
                    f"http://{address}/v1/orders",
                    data=checked(order, check),
                    headers={"Content-Type": "application/json"},
                    timeout=timeout,
                ) as answer,
            ):
                await answer.read()
                return ANSWERS.get(answer.status, Answer.UNKNOWN)
        except (aiohttp.ClientError, TimeoutError):
            return Answer.UNKNOWN


def encode(order: records.Order) -> bytes:
    """Encodes an order as engines read it."""
    name = "role" if order.verb == "role" else "model"
    return msgspec.json.encode(
        {
            "id": order.id,
            "token": order.token,
            "verb": order.verb,
            "arguments": {name: order.subject},
        }
    )


async def checked(
    order: records.Order, check: Callable[[], None]
) -> AsyncIterator[bytes]:
    """Yields an order's bytes, after checking that it may still be sent."""
    check()
    yield encode(order)

"""Connections to endpoints that do not stay silent unnoticed."""

import asyncio
import socket
from typing import NamedTuple
from typing import TypeVar

import aiohttp
import msgspec

from gypsumfold import exceptions
from gypsumfold import settings as settings_module

# Keepalive probes: first after 2 s of silence, then each second, three of
# them (Linux tcp(7)); a dead connection shows after about 5 s.
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
# Milliseconds that sent bytes may stay unacknowledged (RFC 5482); the
# quarantine of settings.control must be longer.
USER_TIMEOUT_MS = 5000
# Lets a socket that is bound to the node's address before it connects choose
# its port when it connects, so that ports are counted per destination
# (Linux ip(7); the socket module of Python 3.11 does not name it).
BIND_ADDRESS_NO_PORT = 24
# Seconds that an idle connection is kept for the next request. Below the
# common 15 s of servers, so that the endpoint seldom closes first.
POOL_KEEPALIVE_SECONDS = 10.0


def create_socket(address_info) -> socket.socket:
    """Makes a TCP socket with keepalive and a user timeout.

    Args:
        address_info: As from ``getaddrinfo``.

    Returns:
        A non-blocking socket for aiohttp's connector.
    """
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    configure_socket(sock)
    if family == socket.AF_INET:
        sock.setsockopt(socket.IPPROTO_IP, BIND_ADDRESS_NO_PORT, 1)
    sock.setblocking(False)
    return sock


def configure_socket(sock: socket.socket) -> None:
    """Sets keepalive and the user timeout on a TCP socket."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Sessions(NamedTuple):
    """The HTTP clients of a node.

    Attributes:
        pooled: Keeps connections for the next request.
        unpooled: Opens a connection for each request.
    """

    pooled: aiohttp.ClientSession
    unpooled: aiohttp.ClientSession

    async def close(self) -> None:
        """Closes all connections."""
        await self.pooled.close()
        await self.unpooled.close()


def create_sessions(settings: settings_module.Settings) -> Sessions:
    """Makes the HTTP clients of a node.

    They connect from the node's own address, so that the other end and all
    between see which node it is, also on a VM with several addresses.

    Args:
        settings: Of the node.

    Returns:
        The sessions; whoever asked for them closes them.
    """
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=settings.endpoints.connect_timeout
    )
    local = (settings.node.address, 0)
    pooled = aiohttp.TCPConnector(
        limit=0,
        local_addr=local,
        keepalive_timeout=POOL_KEEPALIVE_SECONDS,
        socket_factory=create_socket,
    )
    unpooled = aiohttp.TCPConnector(
        limit=0,
        local_addr=local,
        force_close=True,
        socket_factory=create_socket,
    )
    return Sessions(
        aiohttp.ClientSession(connector=pooled, timeout=timeout),
        aiohttp.ClientSession(connector=unpooled, timeout=timeout),
    )


Report = TypeVar("Report")


async def fetch_report(
    session: aiohttp.ClientSession,
    url: str,
    report_type: type[Report],
    timeout: float,
) -> Report:
    """Asks an endpoint for a small report about itself.

    Args:
        session: Pooled or fresh.
        url: Of the report.
        report_type: The type of its JSON.
        timeout: Seconds for all of it.

    Returns:
        The report.

    Raises:
        exceptions.EndpointError: It does not answer in time, or not so.
    """
    try:
        async with asyncio.timeout(timeout), session.get(url) as answer:
            content = await answer.read()
        return msgspec.json.decode(content, type=report_type)
    except (
        aiohttp.ClientError,
        TimeoutError,
        msgspec.DecodeError,
    ) as error:
        raise exceptions.EndpointError(repr(error)) from error

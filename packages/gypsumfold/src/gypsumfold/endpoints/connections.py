"""HTTP connections to endpoints, set up to detect silent failures."""

import asyncio
import socket
from typing import NamedTuple
from typing import TypeVar

import aiohttp
import msgspec

from gypsumfold import exceptions
from gypsumfold import settings as settings_module

# TCP keepalive (Linux tcp(7)): the first probe goes out after 2 s of silence,
# then one each second; after three a dead connection is detected, which takes
# about 5 s.
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
# How long sent bytes may stay unacknowledged (RFC 5482). The quarantine in
# settings.control must be longer.
USER_TIMEOUT_MS = 5000
# Delays the choice of the local port of a bound socket until it connects, so
# that ports are counted per destination (Linux ip(7)). The socket module of
# Python 3.11 does not define it.
BIND_ADDRESS_NO_PORT = 24
# How long an idle connection is kept for the next request. Below the 15 s
# that is common for servers, so that the endpoint rarely closes it first.
POOL_KEEPALIVE_SECONDS = 10.0


def create_socket(address_info) -> socket.socket:
    """Creates a TCP socket with keepalive and a user timeout.

    Args:
        address_info: An entry returned by ``getaddrinfo``.

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
    """Sets keepalive, the user timeout and TCP_NODELAY on a TCP socket."""
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
        pooled: Reuses connections between requests.
        unpooled: Opens a connection for each request.
    """

    pooled: aiohttp.ClientSession
    unpooled: aiohttp.ClientSession

    async def close(self) -> None:
        """Closes all connections."""
        await self.pooled.close()
        await self.unpooled.close()


def create_sessions(settings: settings_module.Settings) -> Sessions:
    """Creates the HTTP clients of a node.

    They connect from the node's own address, so that the endpoint and any
    proxy on the path can identify the node even on a VM with several
    addresses.

    Args:
        settings: The node's settings.

    Returns:
        The sessions, which the caller must close.
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
    """Fetches an endpoint's load or health report.

    Args:
        session: The pooled or the unpooled client.
        url: The URL of the report.
        report_type: The type to decode the JSON body as.
        timeout: Seconds allowed for the entire request.

    Returns:
        The decoded report.

    Raises:
        exceptions.EndpointError: The endpoint does not answer in time, or
            its answer cannot be decoded.
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

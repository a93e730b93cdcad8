"""The platform's lagging list of VMs."""

from typing import NamedTuple
from typing import Protocol

import aiohttp
import msgspec

from gypsumfold import exceptions
from gypsumfold import settings as settings_module


class VM(msgspec.Struct, frozen=True):
    """One VM as the platform lists it.

    Attributes:
        name: Unique while it lives.
        address: Its IP number.
        data_centre: Where it stands.
        state: ``live`` or ``leaving``; one that has gone is not listed.
        purpose: ``entry`` or ``endpoint``.
    """

    name: str
    address: str
    data_centre: str
    state: str
    purpose: str


class VMList(NamedTuple):
    """The list, and when the platform made it (seconds since the epoch)."""

    stamped: float
    vms: tuple[VM, ...]


class VMSource(Protocol):
    """Where the list comes from."""

    async def fetch(self) -> VMList:
        """Reads the list.

        Raises:
            exceptions.VMListUnavailable: It cannot be read.
        """


class _WireList(msgspec.Struct):
    stamped: float
    vms: list[VM]


class HTTPVMs:
    """The list over HTTP (docs/PROTOCOLS.md).

    >>> (await HTTPVMs(settings.platform, session).fetch()).vms
    """

    def __init__(
        self,
        settings: settings_module.PlatformSection,
        session: aiohttp.ClientSession,
    ):
        self.settings = settings
        self.session = session

    async def fetch(self) -> VMList:
        """Reads the list; see `VMSource.fetch`."""
        limit = aiohttp.ClientTimeout(total=self.settings.timeout)
        try:
            async with self.session.get(
                f"{self.settings.vms}/vms", timeout=limit
            ) as answer:
                content = await answer.read()
            wire = msgspec.json.decode(content, type=_WireList)
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.DecodeError,
        ) as error:
            raise exceptions.VMListUnavailable(repr(error)) from error
        return VMList(wire.stamped, tuple(wire.vms))

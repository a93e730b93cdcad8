"""The platform's list of VMs, which lags behind the VMs' actual state."""

from typing import NamedTuple
from typing import Protocol

import aiohttp
import msgspec

from gypsumfold import exceptions
from gypsumfold import settings as settings_module


class VM(msgspec.Struct, frozen=True):
    """One VM as the platform lists it.

    Attributes:
        name: Unique among the VMs that exist.
        address: Its IP address.
        data_centre: Its data centre.
        state: ``live`` or ``leaving``; a removed VM is not listed.
        purpose: ``entry`` or ``endpoint``.
    """

    name: str
    address: str
    data_centre: str
    state: str
    purpose: str


class VMList(NamedTuple):
    """The list, and when the platform created it (seconds since the epoch)."""

    stamped: float
    vms: tuple[VM, ...]


class VMSource(Protocol):
    """Source of the VM list."""

    async def fetch(self) -> VMList:
        """Reads the list.

        Raises:
            exceptions.VMListUnavailable: The list cannot be read.
        """


class _WireList(msgspec.Struct):
    stamped: float
    vms: list[VM]


class HTTPVMs:
    """The VM list over HTTP (docs/PROTOCOLS.md).

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

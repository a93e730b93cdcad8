"""Keeps in the store who held the authority last, and whether that has ended.

The store names a new holder without the former one's knowledge: it may divide
the partitions anew at any moment, and memberships run out while it is away. So
the right to act is a record of its own. A node that was assigned the authority
appends it where it has read the end of the topic, so that of two nodes only one
succeeds. It does so at once if the former holder has written that its tenure
has ended, and otherwise only once that one must have noticed by itself.
"""

from typing import NamedTuple

import msgspec

from gypsumfold import exceptions
from gypsumfold.decisions import tenures as decisions
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

TENURE_KEY = "tenure"
REQUEST_KEY = "request"


class Page(NamedTuple):
    """What the store keeps of the authority.

    Attributes:
        last: The last tenure; None if there was none.
        end: The topic's end, with the store's era.
    """

    last: decisions.Tenure | None
    end: int


class Tenures:
    """Reads and writes the records of tenures.

    >>> tenures = Tenures(store)
    >>> page = await tenures.read()
    >>> await tenures.write(tenure, page.end)
    """

    def __init__(self, store: store_module.Store):
        self.store = store
        self.waiting = store.reader(store_module.CALL_MARGIN_SECONDS)

    async def read(self) -> Page:
        """Reads the last tenure.

        A record that can't be decoded counts as a tenure that has not ended.

        Raises:
            exceptions.PlatformError: The store does not answer.
        """
        page = await self.store.newest(names.TENURES_TOPIC)
        last = None
        for record in page.records:
            if record.key == TENURE_KEY and record.value:
                last = decode(record.value)
        return Page(last, page.end)

    async def write(self, tenure: decisions.Tenure, end: int) -> int | None:
        """Appends a tenure if nothing was appended since a read.

        Returns:
            The topic's new end; None if nothing was appended.

        Raises:
            exceptions.PlatformError: It may or may not have been appended.
        """
        value = msgspec.json.encode(tenure)
        return await self.store.put_at(
            names.TENURES_TOPIC, TENURE_KEY, value, end
        )

    async def end(self, tenure: decisions.Tenure) -> bool:
        """Records that a tenure has ended, if it is still the last one.

        Returns:
            Whether that was recorded.

        Raises:
            exceptions.PlatformError: It may or may not have been recorded.
        """
        while True:
            page = await self.read()
            if page.last != tenure:
                return False
            ended = msgspec.structs.replace(tenure, ended=True)
            if await self.write(ended, page.end) is not None:
                return True

    async def request(self, member: str) -> None:
        """Has the holder check whether it still is.

        Raises:
            exceptions.PlatformError: The store does not answer.
        """
        await self.store.put(
            names.TENURES_TOPIC, REQUEST_KEY, msgspec.json.encode(member)
        )

    async def wait(self, end: int, seconds: float) -> None:
        """Waits until something is appended after a position.

        Args:
            end: The position.
            seconds: How long to wait at most.

        Raises:
            exceptions.PlatformError: The store does not answer.
        """
        try:
            await self.waiting.read(names.TENURES_TOPIC, end, seconds)
        except store_module.HistoryLost:
            return


def decode(value: bytes) -> decisions.Tenure:
    """Decodes a tenure."""
    try:
        return msgspec.json.decode(value, type=decisions.Tenure)
    except (msgspec.DecodeError, exceptions.RecordInvalid):
        return decisions.UNKNOWN

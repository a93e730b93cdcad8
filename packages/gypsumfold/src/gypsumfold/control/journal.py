"""Appends control records and waits until they are read back."""

import asyncio

from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.control import records
from gypsumfold.logservice import logs
from gypsumfold.logservice import records as platform_records


class Journal:
    """Appends to the stream ``control``.

    Whether a record is valid is never taken from the answer to an append but
    from `ControlState`, once the tail has read it. So a lost answer does not
    matter.

    >>> journal = Journal(log, tail, settings.platform)
    >>> await journal.write(record)
    """

    def __init__(
        self,
        log: logs.Log,
        tail: logs.Tail,
        settings: settings_module.PlatformSection,
    ):
        self.log = log
        self.tail = tail
        self.settings = settings

    async def write(self, record: records.Record) -> bool:
        """Appends one record and reads through it.

        Args:
            record: What to append.

        Returns:
            Whether it was read back; if not, it may still appear.
        """
        try:
            offset = await self.log.append(platform_records.CONTROL, [record])
            async with asyncio.timeout(self.settings.timeout):
                await self.tail.wait_until_delivered(offset)
        except (exceptions.PlatformError, TimeoutError):
            return False
        return True

"""The configuration in force, and which one other nodes have."""

from collections.abc import Callable
import math

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.gateway import types
from gypsumfold.platform import decoding
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module


class Configurations:
    """Keeps the newest configuration; an older one never replaces it.

    Attributes:
        current: What is in force; None before the first.
        record: As the operators wrote it, for other nodes.
        announced: The newest version that another node had in force.
        announced_at: When that was first heard, by `clocks.now`.
    """

    def __init__(self):
        self.current: types.Configuration | None = None
        self.record = b""
        self.announced = 0
        self.announced_at = -math.inf
        self.listeners: list[Callable[[types.Configuration], None]] = []

    def replace(self, records: list[store_module.Record]) -> None:
        """Takes in the newest record of every key."""
        self.apply_records(records, "newest")

    def update(self, records: list[store_module.Record]) -> None:
        """Takes in records that came since."""
        self.apply_records(records, "read")

    def apply_records(
        self, records: list[store_module.Record], source: str
    ) -> None:
        """Takes in records of the store."""
        for record in records:
            if record.key != names.CONFIGURATION_KEY or not record.value:
                continue
            self.offer(record.value, source)

    def version(self) -> int:
        """Of the configuration in force; 0 for none."""
        return self.current.version if self.current else 0

    def announce(self, version: int) -> None:
        """Notes which version another node has in force."""
        if version > self.announced:
            self.announced = version
            self.announced_at = clocks.now()

    def seconds_behind(self) -> float:
        """Seconds for which a newer version has been known of; 0 for none."""
        if self.version() >= self.announced:
            return 0.0
        return clocks.now() - self.announced_at

    def offer(self, record: bytes, source: str) -> None:
        """Puts a configuration in force if it is newer.

        Args:
            record: As the operators wrote it.
            source: How it came, for the log: "newest" or "read" from the
                store, or "peer".
        """
        try:
            found = decoding.configuration(record)
        except exceptions.RecordInvalid as error:
            events.log(events.CONFIG_UNREADABLE, reason=str(error))
            return
        old = self.current
        if old is not None and found.version <= old.version:
            return
        behind = self.seconds_behind()
        self.current = found
        self.record = record
        events.log(
            events.CONFIG_IN_FORCE,
            version=found.version,
            before=old.version if old else None,
            source=source,
            behind=round(behind, 3),
        )
        for listener in self.listeners:
            listener(found)

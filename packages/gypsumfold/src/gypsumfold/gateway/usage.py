"""Counts the requests of each account and has the counts stored.

A node sends its counts to two others several times a second, so that they
outlive it. After a window's end the relay stores those of all nodes that report
to it in one call; a node whose counts it does not confirm stores them itself.
"""

import asyncio
import contextlib
import random
import time
from typing import Protocol

import msgspec

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import metering
from gypsumfold.decisions import polling
from gypsumfold.gateway.peers import messages
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

# Seconds between two messages with changed counts.
SEND_INTERVAL_SECONDS = 0.3
# Seconds after a window's end at which a relay stores the counts, and other
# nodes those that are not stored by then. Relays have received the last counts
# by then, even if one message was lost.
RELAY_STORE_SECONDS = 0.8
STORE_SECONDS = 1.5
STORE_SPREAD_SECONDS = 0.7
# Seconds that a stopping node spends on storing its counts.
FLUSH_SECONDS = 0.4


class CountsRecord(msgspec.Struct):
    """Counts of one window.

    Attributes:
        members: Counts by account, by incarnation of a node.
    """

    members: dict[str, dict[str, int]]


class Peers(Protocol):
    """The other nodes that keep copies of the counts."""

    def usage_is_relayed_here(self) -> bool:
        """Whether this node stores the counts of others."""

    def send_usage(self, index: int, counts: metering.Counts) -> None:
        """Sends this node's counts of one window to those that keep copies."""

    def send_usage_stored(self, index: int, versions: dict[str, int]) -> None:
        """Sends other nodes which of their counts are stored."""


class Usage:
    """This node's counts, and copies of those of other nodes.

    Attributes:
        copies: Counts by incarnation, window and account.
        clock: Returns Unix seconds.
        sent: Version of the counts last sent, by window.

    >>> usage = Usage(store, "edge-1-0193", metering.Policy(), peers)
    >>> usage.add("north-air")
    >>> await usage.run()
    """

    def __init__(
        self,
        store: store_module.Store,
        member: str,
        policy: metering.Policy,
        peers: Peers,
    ):
        self.store = store
        self.member = member
        self.policy = policy
        self.peers = peers
        self.copies = metering.UsageCopies(policy)
        store.eras.listeners.append(self.store_again)
        self.clock = time.time
        self.sent: dict[int, int] = {}

    def add(self, account: str, at: float | None = None) -> None:
        """Counts a request that a replica began.

        Args:
            account: The account's name; empty if requests need no key.
            at: When it began, in Unix seconds; None for now.
        """
        if account:
            at = self.clock() if at is None else at
            self.copies.add(self.member, account, at)

    async def run(self) -> None:
        """Stores counts after the end of each window."""
        while True:
            await asyncio.sleep(self.seconds_until_store())
            await self.store_until_success()
            oldest = self.policy.index(self.clock()) - metering.KEPT_WINDOWS
            self.copies.discard_before(oldest)

    def seconds_until_store(self) -> float:
        """Returns the seconds until counts are stored next."""
        now = self.clock()
        delay = RELAY_STORE_SECONDS
        if not self.peers.usage_is_relayed_here():
            delay = STORE_SECONDS + random.uniform(0.0, STORE_SPREAD_SECONDS)
        end = self.policy.end(self.policy.index(now - delay))
        return end + delay - now

    async def run_updates(self) -> None:
        """Sends this node's counts to others as they change."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
            self.send_changes()

    def send_changes(self) -> None:
        """Sends the windows whose counts have changed since the last time."""
        windows = self.copies.counts.get(self.member, {})
        for index in list(self.sent):
            if index not in windows:
                del self.sent[index]
        for index, counts in windows.items():
            version = self.copies.version(self.member, index)
            if version == self.sent.get(index):
                continue
            self.sent[index] = version
            self.peers.send_usage(index, counts)

    def receive(self, message: messages.UsageUpdate) -> None:
        """Keeps a copy of another node's counts."""
        age = self.policy.index(self.clock()) - message.window
        if abs(age) <= metering.KEPT_WINDOWS:
            self.copies.merge(
                message.sender.member, message.window, message.counts
            )

    def receive_stored(self, message: messages.UsageStored) -> None:
        """Records which counts another node has stored."""
        for member, version in message.versions.items():
            if member in self.copies.counts:
                self.copies.record_stored(member, message.window, version)

    async def store_until_success(self) -> None:
        """Stores the counts of all ended windows that are not stored yet."""
        failures = 0
        while self.unstored_windows():
            try:
                await self.store_once()
                return
            except exceptions.PlatformError as error:
                failures += 1
                events.log(
                    events.USAGE_UNSTORED,
                    failures=failures,
                    reason=str(error),
                )
            await asyncio.sleep(polling.retry_delay(failures, random.random()))

    def store_again(self) -> None:
        """Has all counts stored, as the store has returned from a copy."""
        self.copies.stored.clear()

    def unstored_windows(self) -> set[int]:
        """Returns the ended windows with counts that are not stored yet."""
        current = self.policy.index(self.clock())
        return {index for _, index in self.copies.unstored() if index < current}

    async def flush(self) -> None:
        """Stores all counts before the node ends, if the store answers soon."""
        with contextlib.suppress(TimeoutError, exceptions.PlatformError):
            async with asyncio.timeout(FLUSH_SECONDS):
                await self.store_once(self.policy.index(self.clock()) + 1)

    async def store_once(self, before: int | None = None) -> None:
        """Stores the counts of unstored windows, those of other nodes too.

        Args:
            before: The first window to leave out; None for the current one.

        Raises:
            exceptions.LogUnavailable: They may or may not be stored.
        """
        if before is None:
            before = self.policy.index(self.clock())
        records = []
        versions: dict[int, dict[str, int]] = {}
        for index in {index for _, index in self.copies.unstored()}:
            if index >= before:
                continue
            # Replaces this node's last record of the window, so it has all.
            members = {}
            versions[index] = {}
            for member, windows in self.copies.counts.items():
                if windows.get(index):
                    members[member] = dict(windows[index])
                    versions[index][member] = self.copies.version(member, index)
            value = msgspec.json.encode(CountsRecord(members))
            records.append((f"{self.member}/{index}", value))
        if not records:
            return
        await self.store.put_all(names.USAGE_TOPIC, records)
        for index, found in versions.items():
            for member, version in found.items():
                self.copies.record_stored(member, index, version)
            found.pop(self.member, None)
            if found:
                self.peers.send_usage_stored(index, found)


def window_of(key: str) -> int:
    """Returns the window of a record's key; -1 if the key is invalid."""
    index = key.rpartition("/")[2]
    return int(index) if index.isdecimal() else -1


def decode_counts(value: bytes) -> dict[str, metering.Counts]:
    """Decodes the counts of one record.

    Raises:
        exceptions.RecordInvalid: The value is malformed.
    """
    try:
        return msgspec.json.decode(value, type=CountsRecord).members
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise exceptions.RecordInvalid(str(error)) from error

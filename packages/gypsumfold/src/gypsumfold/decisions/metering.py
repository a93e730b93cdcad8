"""Decides what is counted and reported of each account's usage, and when.

Load pattern: hundreds of nodes that each begin a few requests of each account
in a window, and that die, freeze and lose the store in the middle of one. A
window's total is decided once, by the node that holds the authority then, and
reported in the same words by each of its successors.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

# Windows that a node keeps and writes: those that can still be reported.
KEPT_WINDOWS = 4
# Accounts that one node counts in a window. Beyond, requests count for nobody
# rather than exhaust the memory.
MAX_ACCOUNTS = 20_000
# Fractions of the time until a report is due: when a window is totalled if the
# store has answered all the while, and at the latest.
CLOSE_FRACTION = 0.35
MAX_CLOSE_FRACTION = 0.7
# Seconds after the store is back until the other nodes have written.
SETTLE_SECONDS = 2.0

Counts = dict[str, int]


class Policy(NamedTuple):
    """How usage is reported.

    Attributes:
        window: Seconds of a window; window 0 begins in 1970.
        due: Seconds from a window's end until its report is due.
    """

    window: float = 5.0
    due: float = 10.0

    def index(self, at: float) -> int:
        """Returns the window of a time in Unix seconds."""
        return math.floor(at / self.window)

    def end(self, index: int) -> float:
        """Returns the end of a window in Unix seconds."""
        return (index + 1) * self.window


class UsageCopies:
    """Counts of several incarnations of nodes, and which of them are stored.

    A window's counts of one incarnation only grow, so copies of different age
    are merged by their maximum, and the sum of the counts is their version.

    Attributes:
        counts: Counts by incarnation, window and account.
        stored: Sum of the counts that are in the store, by incarnation and
            window.

    >>> copies = UsageCopies(Policy())
    >>> copies.add("edge-1-0193", "north-air", at=12.0)
    >>> copies.unstored()
    [('edge-1-0193', 2)]
    """

    def __init__(self, policy: Policy):
        self.policy = policy
        self.counts: dict[str, dict[int, Counts]] = {}
        self.stored: dict[str, dict[int, int]] = {}

    def add(self, member: str, account: str, at: float) -> None:
        """Counts a request.

        Args:
            member: The incarnation that served it.
            account: The account's name.
            at: When a replica began it, in Unix seconds.
        """
        counts = self.window(member, self.policy.index(at))
        if account not in counts and len(counts) >= MAX_ACCOUNTS:
            return
        counts[account] = counts.get(account, 0) + 1

    def merge(self, member: str, index: int, received: Counts) -> None:
        """Merges an incarnation's counts of one window."""
        counts = self.window(member, index)
        for account, count in received.items():
            if account not in counts and len(counts) >= MAX_ACCOUNTS:
                continue
            counts[account] = max(count, counts.get(account, 0))

    def window(self, member: str, index: int) -> Counts:
        """Returns the counts of a window; drops the ones that are too old."""
        windows = self.counts.setdefault(member, {})
        if index not in windows:
            windows[index] = {}
            for other in sorted(windows)[:-KEPT_WINDOWS]:
                del windows[other]
        return windows.get(index, {})

    def record_stored(self, member: str, index: int, version: int) -> None:
        """Records that counts are in the store."""
        versions = self.stored.setdefault(member, {})
        versions[index] = max(version, versions.get(index, 0))

    def version(self, member: str, index: int) -> int:
        """Returns the sum of an incarnation's counts in a window."""
        return sum(self.counts.get(member, {}).get(index, {}).values())

    def unstored(self) -> list[tuple[str, int]]:
        """Lists incarnations and windows with counts not in the store yet."""
        found = []
        for member, windows in self.counts.items():
            stored = self.stored.get(member, {})
            for index in windows:
                if self.version(member, index) > stored.get(index, 0):
                    found.append((member, index))
        return found

    def discard_before(self, index: int) -> None:
        """Drops windows that can no longer be reported."""
        for member, windows in list(self.counts.items()):
            for other in list(windows):
                if other < index:
                    del windows[other]
            if not windows:
                del self.counts[member]
        for member, versions in list(self.stored.items()):
            for other in list(versions):
                if other < index:
                    del versions[other]
            if not versions:
                del self.stored[member]


def total(index: int, copies: UsageCopies) -> Counts:
    """Adds up one window over all incarnations of nodes."""
    found: Counts = {}
    for windows in copies.counts.values():
        for account, count in windows.get(index, {}).items():
            found[account] = found.get(account, 0) + count
    return dict(sorted(found.items()))


def close_time(index: int, regained_at: float, policy: Policy) -> float:
    """Returns when a window is totalled, in Unix seconds.

    Args:
        index: The window.
        regained_at: When the store answered again after an outage, in Unix
            seconds; other nodes write then what they could not before.
        policy: How usage is reported.
    """
    end = policy.end(index)
    wanted = max(
        end + CLOSE_FRACTION * policy.due, regained_at + SETTLE_SECONDS
    )
    return min(wanted, end + MAX_CLOSE_FRACTION * policy.due)


class Step(NamedTuple):
    """What to do about one window.

    Attributes:
        index: The window.
        recorded: Whether its total is recorded already, so that it only has
            to be reported.
    """

    index: int
    recorded: bool


def due_steps(
    recorded: Iterable[int],
    confirmed: Iterable[int],
    regained_at: float,
    now: float,
    policy: Policy,
) -> list[Step]:
    """Returns what the holder of the authority has to do, the oldest first.

    Args:
        recorded: Windows whose total is in the store.
        confirmed: Windows whose report was accepted.
        regained_at: When the store answered again after an outage.
        now: Unix seconds.
        policy: How usage is reported.
    """
    recorded = set(recorded)
    confirmed = set(confirmed)
    newest = policy.index(now) - 1
    found = []
    for index in range(newest - KEPT_WINDOWS + 1, newest + 1):
        if index in confirmed or now >= policy.end(index) + policy.due:
            continue
        if index in recorded:
            found.append(Step(index, True))
        elif now >= close_time(index, regained_at, policy):
            found.append(Step(index, False))
    return found

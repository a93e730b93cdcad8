"""Orders plain calls that wait for a replica: by urgency, then fair shares.

Load pattern: for seconds more calls arrive than the replicas can run, most of
them from one or two large client accounts, some of whose clients retry at once.
Without an order the accounts that ask most often get all slots, and urgent
calls wait behind others.

Accounts take turns by start-time fair queueing: each has a virtual time that
advances with each of its calls, and the account with the least goes first.
Each fourth turn goes to the urgency that has had none for longest: where urgent
calls alone are more than the replicas can run, the others would get none.
"""

import collections
from collections.abc import Callable
import math

# Time constant after which an account's earlier calls count for little.
MEMORY_SECONDS = 1.0
# Seconds after which a waiting call counts as one of the next higher urgency,
# so that a flood of urgent calls delays the others but doesn't starve them:
# the shortest time limits of callers are about 1.1 s.
AGING_SECONDS = 0.4
# One of so many turns goes to the urgency that has had none for longest. Aging
# alone serves no call whose objective is shorter than the aging time.
RESERVED_TURN = 4
# Number of accounts known above which idle ones are dropped.
MAX_IDLE_ACCOUNTS = 512
MAX_URGENCY = 9


class WaitingCall:
    """A call that waits.

    Attributes:
        account: Its client account; empty for none.
        urgency: 0 is the most urgent.
        arrival: When it arrived.
        due: When it has to be sent for its answer to be in time; it waits no
            longer.
    """

    def __init__(
        self,
        account: str,
        urgency: int,
        arrival: float,
        due: float,
    ):
        self.account = account
        self.urgency = min(max(0, urgency), MAX_URGENCY)
        self.arrival = arrival
        self.due = due

    def level(self, now: float) -> int:
        """Returns the urgency that it is served with."""
        raised = int(max(0.0, now - self.arrival) / AGING_SECONDS)
        return max(0, self.urgency - raised)


class Account:
    """Recent use of a client account, and its waiting calls by arrival."""

    def __init__(self):
        self.tag = 0.0
        self.updated = 0.0
        self.calls: list[WaitingCall] = []


class CallQueue:
    """The calls that wait for one service at one node.

    Attributes:
        counts: Number of waiting calls by urgency.
        turns: Number of turns given.
        last_turns: Number of the last turn of each urgency.

    >>> queue = CallQueue()
    >>> call = WaitingCall("north", 2, arrival=0.0, due=0.3)
    >>> queue.push(call, now=0.0)
    >>> queue.pop(now=0.1) is call
    True
    """

    def __init__(self):
        self.accounts: dict[str, Account] = {}
        self.virtual_time = 0.0
        self.counts = [0] * (MAX_URGENCY + 1)
        self.size = 0
        self.turns = 0
        self.last_turns = [0] * (MAX_URGENCY + 1)

    def __len__(self) -> int:
        return self.size

    def account(self, name: str, now: float) -> Account:
        """Returns an account; what it used earlier fades while it is idle."""
        account = self.accounts.get(name)
        if account is None:
            if len(self.accounts) >= MAX_IDLE_ACCOUNTS:
                self.drop_idle(now)
            account = self.accounts[name] = Account()
            account.tag = self.virtual_time
        if not account.calls:
            ahead = max(0.0, account.tag - self.virtual_time)
            passed = max(0.0, now - account.updated)
            faded = ahead * math.exp(-passed / MEMORY_SECONDS)
            account.tag = self.virtual_time + faded
            account.updated = now
        return account

    def drop_idle(self, now: float) -> None:
        """Drops the accounts without waiting or recent calls."""
        for name, account in list(self.accounts.items()):
            idle = now - account.updated > 5 * MEMORY_SECONDS
            if idle and not account.calls:
                del self.accounts[name]

    def charge(self, name: str, now: float) -> None:
        """Charges an account for a call that is sent without waiting."""
        self.account(name, now).tag += 1.0

    def push(self, call: WaitingCall, now: float) -> None:
        """Adds a call; one that waits again keeps its place by arrival."""
        calls = self.account(call.account, now).calls
        place = len(calls)
        while place and calls[place - 1].arrival > call.arrival:
            place -= 1
        calls.insert(place, call)
        self.counts[call.urgency] += 1
        self.size += 1

    def remove(self, call: WaitingCall) -> bool:
        """Removes a call; False if it doesn't wait here any more."""
        account = self.accounts.get(call.account)
        if account is None or call not in account.calls:
            return False
        account.calls.remove(call)
        self.counts[call.urgency] -= 1
        self.size -= 1
        return True

    def pop(self, now: float) -> WaitingCall | None:
        """Removes the next call and charges its account; None if empty."""
        call = self.head(now)
        if call is None:
            return None
        account = self.accounts[call.account]
        self.remove(call)
        self.turns += 1
        self.last_turns[call.urgency] = self.turns
        self.virtual_time = max(self.virtual_time, account.tag)
        account.tag += 1.0
        account.updated = now
        return call

    def head(self, now: float) -> WaitingCall | None:
        """Returns the next call: the most urgent, then the fairest."""
        reserved = None
        if is_reserved(self.turns) and self.size:
            waiting = [one for one, count in enumerate(self.counts) if count]
            reserved = min(waiting, key=lambda one: self.last_turns[one])
        best = None
        best_key = None
        for account in self.accounts.values():
            for call in first_by_urgency(account.calls):
                if reserved is not None and call.urgency != reserved:
                    continue
                key = (call.level(now), account.tag, call.arrival)
                if best_key is None or key < best_key:
                    best, best_key = call, key
        return best

    def ordered(self, now: float) -> list[WaitingCall]:
        """Returns all calls in the order in which they are about to be sent."""
        ranked = []
        for account in self.accounts.values():
            calls = sorted(account.calls, key=lambda call: call.level(now))
            for place, call in enumerate(calls):
                key = (call.level(now), account.tag + place, call.arrival)
                ranked.append((key, call))
        ranked.sort(key=lambda entry: entry[0])
        return self.with_reserved([call for _, call in ranked])

    def with_reserved(self, ranked: list[WaitingCall]) -> list[WaitingCall]:
        """Moves calls forward that get a reserved turn."""
        by_urgency: dict[int, collections.deque[WaitingCall]] = {}
        for call in ranked:
            line = by_urgency.setdefault(call.urgency, collections.deque())
            line.append(call)
        if len(by_urgency) < 2:
            return ranked
        last_turns = list(self.last_turns)
        rest = collections.deque(ranked)
        taken: set[WaitingCall] = set()
        found = []
        for turn in range(self.turns, self.turns + len(ranked)):
            if is_reserved(turn):
                urgency = min(by_urgency, key=lambda one: last_turns[one])
                call = by_urgency[urgency][0]
            else:
                while rest[0] in taken:
                    rest.popleft()
                call = rest.popleft()
            by_urgency[call.urgency].popleft()
            if not by_urgency[call.urgency]:
                del by_urgency[call.urgency]
            taken.add(call)
            last_turns[call.urgency] = turn + 1
            found.append(call)
        return found


def is_reserved(turn: int) -> bool:
    """Whether a turn goes to the urgency that has had none for longest."""
    return turn % RESERVED_TURN == RESERVED_TURN - 1


def first_by_urgency(calls: list[WaitingCall]) -> list[WaitingCall]:
    """Returns the oldest call of each urgency."""
    found: dict[int, WaitingCall] = {}
    for call in calls:
        found.setdefault(call.urgency, call)
    return list(found.values())


def hopeless(
    calls: list[WaitingCall],
    seconds: Callable[[WaitingCall], float],
    now: float,
) -> list[WaitingCall]:
    """Returns the calls whose turn comes too late.

    Those refused make room, so they don't delay the calls behind them.

    Args:
        calls: The waiting calls in order.
        seconds: Returns the seconds between two calls that this node may send.
        now: The time.
    """
    found = []
    ahead = 0
    for call in calls:
        if now + (ahead + 1) * seconds(call) > call.due:
            found.append(call)
            continue
        ahead += 1
    return found


class Pace:
    """Paces waiting calls at a node's share of the site's rate.

    >>> pace = Pace(credit=0.5)
    >>> pace.accrue(rate=10.0, now=0.0)
    >>> pace.accrue(rate=10.0, now=0.05)
    >>> pace.take()
    True
    """

    # Seconds of which credit is kept, so that slots that were free while
    # nothing waited aren't taken at once.
    MAX_SECONDS = 0.1

    def __init__(self, credit: float):
        self.credit = credit
        self.updated: float | None = None

    def accrue(self, rate: float, now: float) -> None:
        """Adds what a rate in calls a second gives since the last call."""
        if self.updated is not None:
            passed = max(0.0, now - self.updated)
            limit = max(1.0, rate * self.MAX_SECONDS)
            self.credit = min(limit, self.credit + rate * passed)
        self.updated = now

    def restart(self) -> None:
        """Accrues nothing for the time until now, in which nothing waited."""
        self.updated = None

    def take(self) -> bool:
        """Takes the credit of one call; False if there isn't enough."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

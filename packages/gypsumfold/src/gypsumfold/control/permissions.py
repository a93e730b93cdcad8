"""Decides which engines this node may dispatch to; no network.

A planned change closes an engine by a record on the log. So a node may
dispatch only while it is sure to know of every closing: its permission lasts
some seconds from when it asked the log for the end of the stream. In an
outage of the log it lasts as long from its last contact with at least half
of the nodes (itself included). A closing takes effect only once more than
half of the nodes have acknowledged it, so one of those contacted knows of it.
"""

import collections
from collections.abc import Iterator
import contextlib
import math

from gypsumfold import clocks
from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.control import control_state as control_state_module


class Permit:
    """The permission for one engine; see `permits.Permit`.

    >>> Permit(permissions, "lm-1").check()
    """

    def __init__(self, permissions: "Permissions", engine: str):
        self.permissions = permissions
        self.engine = engine

    def allows(self) -> bool:
        """Whether this node may dispatch to the engine now."""
        return self.permissions.allows(self.engine, clocks.now())

    def check(self) -> None:
        """Raises unless dispatch is allowed; see `Permissions.check`."""
        self.permissions.check(self.engine, clocks.now())

    def dispatch(self) -> contextlib.AbstractContextManager[None]:
        """Counts a dispatch; see `Permissions.dispatch`."""
        return self.permissions.dispatch(self.engine)


class Permissions:
    """The permissions of one node, checked when each dispatch is written.

    Attributes:
        reported_closings: Closings received from peers, with their offsets.
        open_through: Offset up to which a peer reports that an engine is open.
        confirmed: When the log was last asked for what was then its end.
        contacts: For each peer that answered, when it was last asked.
        nodes: Number of nodes, this one included.
        dispatching: Dispatches in progress, by engine.

    >>> permissions = Permissions(settings.control, control_state)
    >>> permissions.confirmed = 10.0
    >>> permissions.allows("lm-1", now=12.9)
    True
    """

    def __init__(
        self,
        settings: settings_module.ControlSection,
        control_state: control_state_module.ControlState,
    ):
        self.settings = settings
        self.control_state = control_state
        self.reported_closings: dict[str, int] = {}
        self.open_through: dict[str, int] = {}
        self.confirmed = float("-inf")
        self.contacts: dict[str, float] = {}
        self.nodes = 1
        self.dispatching = collections.Counter()

    def closed_engines(self) -> dict[str, int]:
        """Returns the closed engines with the offsets of their closings."""
        found = {}
        for state in self.control_state.services.values():
            found.update(state.closed_engines())
        for engine, offset in self.reported_closings.items():
            if offset > self.control_state.through:
                found[engine] = max(offset, found.get(engine, -1))
        for engine, through in self.open_through.items():
            if engine in found and through > found[engine]:
                del found[engine]
        return found

    def record_closing(self, engine: str, offset: int) -> None:
        """Records a closing reported by a peer."""
        self.reported_closings[engine] = max(
            offset, self.reported_closings.get(engine, -1)
        )

    def merge(
        self, peer: str, asked: float, through: int, closed: dict[str, int]
    ) -> None:
        """Applies a peer's answer.

        Args:
            peer: Its address.
            asked: When it was asked.
            through: The offset up to which it has read the log.
            closed: Engines that it knows to be closed, with offsets.
        """
        self.contacts[peer] = asked
        for engine, offset in closed.items():
            self.record_closing(engine, offset)
        for engine, offset in self.closed_engines().items():
            if engine not in closed and through > offset:
                self.open_through[engine] = through

    def expires_at(self) -> float:
        """Returns when this node's permissions expire."""
        return (
            max(self.confirmed, self.last_majority_contact())
            + self.settings.permission
        )

    def last_majority_contact(self) -> float:
        """Returns the time since which at least half of the nodes answered."""
        needed = math.ceil(self.nodes / 2) - 1
        if needed == 0:
            return float("inf")
        asked = sorted(self.contacts.values(), reverse=True)
        return asked[needed - 1] if len(asked) >= needed else float("-inf")

    def allows(self, engine: str, now: float) -> bool:
        """Whether a dispatch to an engine may be written at a time."""
        return now < self.expires_at() and engine not in self.closed_engines()

    def check(self, engine: str, now: float) -> None:
        """Raises unless a dispatch to an engine is allowed.

        Raises:
            exceptions.EndpointNotStarted: The engine is closed or the
                permission has expired.
        """
        if not self.allows(engine, now):
            raise exceptions.EndpointNotStarted(
                f"{engine} is closed for a planned change"
            )

    @contextlib.contextmanager
    def dispatch(self, engine: str) -> Iterator[None]:
        """Counts a dispatch for as long as it is in progress."""
        self.dispatching[engine] += 1
        try:
            yield
        finally:
            self.dispatching[engine] -= 1


def has_lapsed(
    acknowledged: int,
    nodes: int,
    waited: float,
    settings: settings_module.ControlSection,
) -> bool:
    """Whether no node has a permission for a closed engine anymore.

    More than half of the nodes must have acknowledged the closing. The
    others' permissions expire: each comes from a query to the log before the
    closing was appended, or to a node before it acknowledged the closing.

    Args:
        acknowledged: Number of nodes that know of the closing, including
            the holder.
        nodes: Number of all nodes.
        waited: Seconds since more than half acknowledged the closing. The
            time since the closing itself won't do: a node that can't read
            the log may have asked another just before that one acknowledged.
        settings: Durations.
    """
    if 2 * acknowledged <= nodes:
        return False
    if acknowledged == nodes:
        return True
    return waited > settings.permission + settings.drift

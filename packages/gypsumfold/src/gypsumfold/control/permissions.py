"""Which engines this node may dispatch to; no network.

A planned change closes an engine by a record on the log. So a node may
dispatch only while it can be sure to know of every closing: its permission
lasts some seconds from when it asked the log for the end of the stream. In
an outage of the log it lasts as long from when it heard at least half of
the nodes (itself among them); a closing takes effect only once more than
half of the nodes have acknowledged it, and so one of them knows of it.
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
        """Whether this node may dispatch there at this instant."""
        return self.permissions.allows(self.engine, clocks.now())

    def check(self) -> None:
        """Insists on it; see `Permissions.check`."""
        self.permissions.check(self.engine, clocks.now())

    def dispatch(self) -> contextlib.AbstractContextManager[None]:
        """Counts a dispatch; see `Permissions.dispatch`."""
        return self.permissions.dispatch(self.engine)


class Permissions:
    """The permissions of one node, asked for at the instant of a dispatch.

    Attributes:
        told: Closings heard of from peers, with their offsets.
        cleared: Up to which offset a peer says that an engine is open.
        confirmed: When the log was last asked for what was then its end.
        contacts: When each peer was asked that then answered.
        nodes: Number of nodes, this one included.
        dispatching: Dispatches in progress, by engine.

    >>> permissions = Permissions(settings.control, books)
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
        """Lists the closed engines with the offsets of their closings."""
        found = {}
        for book in self.control_state.services.values():
            found.update(book.closed_engines())
        for engine, offset in self.reported_closings.items():
            if offset > self.control_state.through:
                found[engine] = max(offset, found.get(engine, -1))
        for engine, through in self.open_through.items():
            if engine in found and through > found[engine]:
                del found[engine]
        return found

    def record_closing(self, engine: str, offset: int) -> None:
        """Notes a closing that a peer told of."""
        self.reported_closings[engine] = max(
            offset, self.reported_closings.get(engine, -1)
        )

    def merge(
        self, peer: str, asked: float, through: int, closed: dict[str, int]
    ) -> None:
        """Takes a peer's answer in.

        Args:
            peer: Its address.
            asked: When it was asked.
            through: It has read the log up to here.
            closed: What it knows to be closed.
        """
        self.contacts[peer] = asked
        for engine, offset in closed.items():
            self.record_closing(engine, offset)
        for engine, offset in self.closed_engines().items():
            if engine not in closed and through > offset:
                self.open_through[engine] = through

    def expires_at(self) -> float:
        """When this node's permissions lapse."""
        return (
            max(self.confirmed, self.last_majority_contact())
            + self.settings.permission
        )

    def last_majority_contact(self) -> float:
        """Since when at least half of the nodes were heard."""
        needed = math.ceil(self.nodes / 2) - 1
        if needed == 0:
            return float("inf")
        asked = sorted(self.contacts.values(), reverse=True)
        return asked[needed - 1] if len(asked) >= needed else float("-inf")

    def allows(self, engine: str, now: float) -> bool:
        """Whether a dispatch to an engine may be written at this instant."""
        return now < self.expires_at() and engine not in self.closed_engines()

    def check(self, engine: str, now: float) -> None:
        """Insists on the permission.

        Raises:
            exceptions.EndpointNotStarted: There is none.
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
    """Whether no node has a permission for a closed engine any more.

    More than half of the nodes must have acknowledged the closing. The
    others' permissions lapse in time: each comes from a question that was
    put to the log before the closing stood there, or to a node before it
    acknowledged.

    Args:
        acknowledged: Nodes that know of the closing, the holder among them.
        nodes: All nodes.
        waited: Seconds for which more than half have acknowledged it. Not
            those since the closing: a node that cannot read the log may
            have asked another just before that one acknowledged.
        settings: Durations.
    """
    if 2 * acknowledged <= nodes:
        return False
    if acknowledged == nodes:
        return True
    return waited > settings.permission + settings.drift

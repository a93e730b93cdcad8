"""One service's lease, derived only from the records on the log.

The log offers no compare-and-append. A claim or a renewal is valid only if it
names the offset of the last valid lease record, so of two that race the
first on the log wins on every node. Nothing here reads a clock; `Tenure` and
`Lease.is_claimable` decide whether a lease may be used or claimed, from times
of one monotonic clock per node.
"""

from typing import NamedTuple

from gypsumfold import settings as settings_module
from gypsumfold.control import records


class Identity(NamedTuple):
    """How a node identifies itself in its lease records."""

    incarnation: str
    node: str
    address: str


class Lease:
    """The lease of one service, as read from the log.

    Attributes:
        last_offset: Offset of the last valid lease record; -1 for none.
        time: The log's time of that record.
        received_at: When this node received it; 0 before the first.
        holder: The last tenure; None if there was none.
        released: Whether that tenure was released.
        predecessors: Earlier tenures whose holders may still send.
        ended_at: When this node learned that a tenure's incarnation has
            ended, by token.

    >>> lease = Lease(retention=86400.0)
    >>> lease.apply(claim, offset=3, time=1.0, now=0.0)
    True
    >>> lease.holder.token
    3
    """

    def __init__(self, retention: float):
        self.retention = retention
        self.last_offset = -1
        self.time = 0.0
        self.received_at = 0.0
        self.holder: records.Holder | None = None
        self.released = False
        self.predecessors: list[records.Holder] = []
        self.ended_at: dict[int, float] = {}

    def apply(
        self,
        record: records.LeaseChanged,
        offset: int,
        time: float,
        now: float,
    ) -> bool:
        """Applies a lease record.

        Args:
            record: From the log.
            offset: Its offset.
            time: The log's time of it.
            now: This node's time.

        Returns:
            Whether it is valid.
        """
        if record.action == records.RELEASE:
            return self.release(record, offset, time, now)
        if not self.is_next(record.previous, time):
            return False
        if record.action == records.RENEW:
            if not self.is_held_by(record.incarnation, record.token):
                return False
        else:
            self.grant(record, offset)
        self.set_last(offset, time, now)
        return True

    def is_next(self, previous: int, time: float) -> bool:
        """Whether a record that names ``previous`` is next in the chain.

        A chain older than the log's retention may be restarted, since a
        node that started later cannot know of it.
        """
        if previous == self.last_offset:
            return True
        return previous == -1 and time - self.time > self.retention

    def grant(self, record: records.LeaseChanged, offset: int) -> None:
        """Starts a new tenure; an unreleased one becomes a predecessor."""
        if self.holder is not None and not self.released:
            self.predecessors.append(self.holder)
        self.holder = records.Holder(
            offset, record.incarnation, record.node, record.address
        )
        self.released = False

    def release(
        self,
        record: records.LeaseChanged,
        offset: int,
        time: float,
        now: float,
    ) -> bool:
        """Ends a tenure.

        Only its own holder writes this, when nothing that it sent is in
        transit. So a late release is valid for an earlier tenure, too.
        """
        if self.is_held_by(record.incarnation, record.token):
            self.released = True
            self.set_last(offset, time, now)
            return True
        for holder in self.predecessors:
            if (holder.token, holder.incarnation) == (
                record.token,
                record.incarnation,
            ):
                self.predecessors.remove(holder)
                return True
        return False

    def is_held_by(self, incarnation: str, token: int) -> bool:
        """Whether this tenure is the last one and was not released."""
        if self.holder is None or self.released:
            return False
        return (self.holder.incarnation, self.holder.token) == (
            incarnation,
            token,
        )

    def set_last(self, offset: int, time: float, now: float) -> None:
        """Records the offset and times of the last valid record."""
        self.last_offset = offset
        self.time = time
        self.received_at = now

    def end(self, incarnation: str, now: float) -> None:
        """Marks all tenures of an incarnation as ended."""
        holder = self.holder
        if holder is not None and holder.incarnation == incarnation:
            self.holder = holder._replace(ended=True)
            self.ended_at.setdefault(holder.token, now)
        for index, holder in enumerate(self.predecessors):
            if holder.ended or holder.incarnation != incarnation:
                continue
            self.predecessors[index] = holder._replace(ended=True)
            self.ended_at[holder.token] = now

    def seize(
        self, incarnation: str, offset: int, time: float, now: float
    ) -> None:
        """Ends an incarnation's tenures on an operator's assurance."""
        holder = self.holder
        if holder is not None and self.is_held_by(incarnation, holder.token):
            self.released = True
            self.set_last(offset, time, now)
        kept = []
        for holder in self.predecessors:
            if holder.incarnation != incarnation:
                kept.append(holder)
        self.predecessors = kept

    def is_claimable(
        self, now: float, settings: settings_module.ControlSection
    ) -> bool:
        """Whether this node may append a claim now."""
        if self.holder is None or self.released:
            return True
        return now > self.received_at + settings.duration + settings.drift

    def is_undisputed(
        self, now: float, settings: settings_module.ControlSection
    ) -> bool:
        """Whether no earlier holder can reach an engine without token checks.

        Each was released or seized, or its process ended longer ago than its
        connections can keep sending (TCP_USER_TIMEOUT, RFC 5482).
        """
        for holder in self.predecessors:
            if not self.is_harmless(holder, now, settings):
                return False
        return True

    def is_harmless(
        self,
        holder: records.Holder,
        now: float,
        settings: settings_module.ControlSection,
    ) -> bool:
        """Whether an earlier holder has ended and its quarantine is over."""
        if not holder.ended:
            return False
        return now > self.ended_at[holder.token] + settings.quarantine

    def clear(self, token: int) -> None:
        """Removes an earlier tenure whose quarantine is over."""
        kept = [h for h in self.predecessors if h.token != token]
        self.predecessors = kept
        self.ended_at.pop(token, None)

    def load(self, state: records.Snapshot, now: float) -> None:
        """Replaces the state by another node's snapshot."""
        self.last_offset = state.last_offset
        self.time = state.time
        self.received_at = now
        self.holder = state.holder
        self.released = state.released
        self.predecessors = list(state.predecessors)
        self.ended_at = {}
        for holder in (*state.predecessors, state.holder):
            if holder is not None and holder.ended:
                self.ended_at[holder.token] = now


class Tenure:
    """How long this node may use the lease that it holds.

    A lease is valid for its duration, counted from before the record was
    sent, and only once that record was read back as valid.

    >>> tenure = Tenure(identity)
    >>> sequence = tenure.next_sequence(now=10.0)
    >>> tenure.read_back(claim, lease, duration=6.0)
    >>> tenure.is_valid(15.9)
    True
    """

    def __init__(self, identity: Identity):
        self.identity = identity
        self.sequence = 0
        self.sent: dict[int, float] = {}
        self.token = -1
        self.valid_until = float("-inf")

    def next_sequence(self, now: float) -> int:
        """Returns the sequence number of a lease record about to be sent."""
        self.sequence += 1
        self.sent[self.sequence] = now
        return self.sequence

    def read_back(
        self, record: records.LeaseChanged, lease: Lease, duration: float
    ) -> None:
        """Extends the tenure by a valid lease record, after `Lease.apply`.

        Args:
            record: From this or another node.
            lease: The lease after the record was applied.
            duration: Seconds that a lease is valid.
        """
        mine = record.incarnation == self.identity.incarnation
        if not mine or record.action == records.RELEASE:
            return
        if record.sequence not in self.sent:
            return
        token = lease.holder.token
        if token != self.token:
            self.valid_until = float("-inf")
        self.token = token
        self.valid_until = max(
            self.valid_until, self.sent[record.sequence] + duration
        )
        for older in [s for s in self.sent if s <= record.sequence]:
            del self.sent[older]

    def end(self) -> None:
        """Ends the tenure at once, before the release is appended."""
        self.token = -1
        self.valid_until = float("-inf")
        self.sent.clear()

    def is_valid(self, now: float) -> bool:
        """Whether orders may be sent now."""
        return self.token != -1 and now < self.valid_until

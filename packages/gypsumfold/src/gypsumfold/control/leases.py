"""One service's lease, derived from the records on the log alone.

The log offers no compare-and-append. A claim or a renewal counts only if it
names the offset of the last valid lease record, so of two that race the
first on the log wins on every node. Nothing here reads a clock; whether a
lease may be used at an instant is for `Tenure` and `Lease.claimable`, with
times of one monotonic clock per node.
"""

from typing import NamedTuple

from gypsumfold import settings as settings_module
from gypsumfold.control import records


class Identity(NamedTuple):
    """The node as it signs its lease records."""

    incarnation: str
    node: str
    address: str


class Lease:
    """What the log says about the lease of one service.

    Attributes:
        last: Offset of the last valid lease record; -1 for none.
        time: The log's time of that record.
        heard: When this node received it; 0 before the first.
        holder: The last tenure; None if there was none.
        released: Whether it has ended by a release.
        predecessors: Earlier tenures whose holders may still send.
        ended: When this node learnt that a tenure's incarnation is gone.

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
        """Takes a lease record in.

        Args:
            record: From the log.
            offset: Where it stands.
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

        A chain older than the log's retention may be begun anew, since a
        node that started later cannot know of it.
        """
        if previous == self.last_offset:
            return True
        return previous == -1 and time - self.time > self.retention

    def grant(self, record: records.LeaseChanged, offset: int) -> None:
        """Begins a new tenure; one that was not released stays in doubt."""
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

        Its own holder alone writes this, when nothing that it sent is on its
        way; so a late one counts for its token too.
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
        """Remembers the last valid record."""
        self.last_offset = offset
        self.time = time
        self.received_at = now

    def end(self, incarnation: str, now: float) -> None:
        """Notes that an incarnation is gone, in all its tenures."""
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
        """Ends an incarnation's tenures: an operator vouches for that."""
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
        """Whether no earlier holder can reach an engine that checks nothing.

        Each was released (or vouched for), or its process is gone for longer
        than its connections can go on sending (TCP_USER_TIMEOUT, RFC 5482).
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
        """Whether an earlier holder is gone and its quarantine over."""
        if not holder.ended:
            return False
        return now > self.ended_at[holder.token] + settings.quarantine

    def clear(self, token: int) -> None:
        """Forgets an earlier tenure: its quarantine is over."""
        kept = [h for h in self.predecessors if h.token != token]
        self.predecessors = kept
        self.ended_at.pop(token, None)

    def load(self, state: records.Snapshot, now: float) -> None:
        """Starts from what another node had read."""
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
    """Until when this node may use the lease that it holds.

    A lease is valid for its duration from before the record was sent, and
    only once that record was read back as valid.

    >>> tenure = Tenure(identity)
    >>> sequence = tenure.sending(now=10.0)
    >>> tenure.read_back(claim, lease, duration=6.0)
    >>> tenure.valid(15.9)
    True
    """

    def __init__(self, identity: Identity):
        self.identity = identity
        self.sequence = 0
        self.sent: dict[int, float] = {}
        self.token = -1
        self.valid_until = float("-inf")

    def next_sequence(self, now: float) -> int:
        """Numbers a claim or renewal that is sent after this instant."""
        self.sequence += 1
        self.sent[self.sequence] = now
        return self.sequence

    def read_back(
        self, record: records.LeaseChanged, lease: Lease, duration: float
    ) -> None:
        """Takes a valid lease record in, after `Lease.apply`.

        Args:
            record: Of this or another node.
            lease: As the record left it.
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
        """Gives the lease up, at once and before the release is appended."""
        self.token = -1
        self.valid_until = float("-inf")
        self.sent.clear()

    def is_valid(self, now: float) -> bool:
        """Whether orders may go out at this instant."""
        return self.token != -1 and now < self.valid_until

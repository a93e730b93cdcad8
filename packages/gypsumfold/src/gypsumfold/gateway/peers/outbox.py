"""Updates that a node still has to send, its own or forwarded ones."""

from collections.abc import Container
from collections.abc import Iterable

from gypsumfold.gateway.peers import messages

# Maximum number of prompts waiting to be sent; the newest are kept.
MAX_PLACEMENTS = 256
# Seconds until a rate limit that has not changed is sent again.
RATE_LIMIT_INTERVAL_SECONDS = 1.0


class Outbox:
    """Collects updates to send.

    Placements, unreachable replicas and rate limits are sent once. Closings,
    roles and departures are sent each time until they end.

    >>> outbox = Outbox()
    >>> outbox.add_closing("i-1", until=4.5)
    >>> outbox.take(now=0.0).closed
    {'i-1': 4.5}
    """

    def __init__(self):
        self.placements: list[messages.Placement] = []
        self.unreachable: list[str] = []
        self.closings: dict[str, float] = {}
        self.roles: dict[str, tuple[str, float]] = {}
        self.start_times: dict[str, int] = {}
        self.rate_limits: dict[str, tuple[float | None, float]] = {}
        self.sent_rate_limits: dict[str, tuple[float | None, float]] = {}
        self.departures: dict[str, tuple[int, float]] = {}

    def add_placement(self, placement: messages.Placement) -> None:
        """Adds a prompt that was sent to an engine."""
        self.placements.append(placement)
        del self.placements[:-MAX_PLACEMENTS]

    def add_unreachable(self, instance: str) -> None:
        """Adds a replica that could not be reached."""
        if instance not in self.unreachable:
            self.unreachable.append(instance)

    def add_closing(
        self, engine: str, until: float, started_at: int = 0
    ) -> bool:
        """Adds an engine that gets no work while it changes its role.

        Its last role is dropped: received after this, it would open the engine
        again.

        Returns:
            Whether the engine was open; False if only the time was extended.
        """
        is_new = engine not in self.closings
        self.closings[engine] = until
        self.roles.pop(engine, None)
        self.start_times[engine] = started_at
        return is_new

    def add_role(
        self, engine: str, role: str, until: float, started_at: int = 0
    ) -> None:
        """Adds the new role of an engine that has changed it."""
        self.roles[engine] = (role, until)
        self.closings.pop(engine, None)
        self.start_times[engine] = started_at

    def drop_roles(self, closed: Iterable[str]) -> None:
        """Drops the roles of engines that change them again."""
        for engine in closed:
            self.roles.pop(engine, None)

    def add_rate_limit(
        self, instance: str, rate: float | None, sent_at: float
    ) -> bool:
        """Adds what a replica said of its rate limit.

        Args:
            instance: The replica.
            rate: Requests a second; None for no limit.
            sent_at: When the request was sent whose answer said so.

        Returns:
            Whether there is something to send: a limit that hasn't changed is
            sent again only now and then.
        """
        before = self.sent_rate_limits.get(instance)
        if before is not None and before[0] == rate:
            if sent_at - before[1] < RATE_LIMIT_INTERVAL_SECONDS:
                return False
        elif before is not None and sent_at <= before[1]:
            return False
        self.sent_rate_limits[instance] = (rate, sent_at)
        self.rate_limits[instance] = (rate, sent_at)
        return True

    def add_departure(
        self, instance: str, started_at: int, until: float
    ) -> bool:
        """Adds a replica that has said that it leaves.

        Args:
            instance: The replica.
            started_at: Its start in Unix milliseconds; 0 if unknown.
            until: Until when this is sent.

        Returns:
            Whether it is news.
        """
        known_start, known_until = self.departures.get(instance, (0, 0.0))
        if known_until >= until:
            return False
        self.departures[instance] = (max(started_at, known_start), until)
        return known_until == 0.0

    def forget(self, engine: str) -> None:
        """Drops updates on an engine that was removed or has restarted."""
        self.rate_limits.pop(engine, None)
        self.sent_rate_limits.pop(engine, None)
        self.closings.pop(engine, None)
        self.roles.pop(engine, None)
        self.start_times.pop(engine, None)

    def retain_closings(self, changing: Container[str]) -> None:
        """Drops closings whose end this node has learnt elsewhere."""
        for engine in list(self.closings):
            if engine not in changing:
                self.forget(engine)

    def add_updates(self, updates: messages.Updates, now: float) -> bool:
        """Adds another node's updates, to forward them.

        Returns:
            Whether they are urgent: they close an engine that was open, or a
            replica leaves.
        """
        urgent = False
        for placement in updates.placements:
            self.add_placement(placement)
        for engine, seconds in updates.closed.items():
            started_at = updates.start_times.get(engine, 0)
            urgent |= self.add_closing(engine, now + seconds, started_at)
        for engine, (role, seconds) in updates.roles.items():
            started_at = updates.start_times.get(engine, 0)
            self.add_role(engine, role, now + seconds, started_at)
        for instance in updates.unreachable:
            self.add_unreachable(instance)
        for instance, (rate, age) in updates.rate_limits.items():
            self.add_rate_limit(instance, rate, now - age)
        for instance, (started_at, seconds) in updates.departures.items():
            urgent |= self.add_departure(instance, started_at, now + seconds)
        return urgent

    def take(
        self, now: float, max_placements: int = MAX_PLACEMENTS
    ) -> messages.Updates:
        """Returns the updates to send now.

        Args:
            now: The time.
            max_placements: Maximum number of prompts. Those with the most
                shareable tokens are kept, the rest is dropped.
        """
        placements, self.placements = self.placements, []
        if len(placements) > max_placements:
            placements.sort(key=shareable_tokens, reverse=True)
            del placements[max_placements:]
        unreachable, self.unreachable = self.unreachable, []
        closed = {}
        for engine, until in list(self.closings.items()):
            if until <= now:
                self.forget(engine)
                continue
            closed[engine] = round(until - now, 3)
        roles = {}
        for engine, (role, until) in list(self.roles.items()):
            if until <= now:
                self.forget(engine)
                continue
            roles[engine] = (role, round(until - now, 3))
        start_times = {}
        for engine, started_at in self.start_times.items():
            if started_at:
                start_times[engine] = started_at
        rate_limits = {}
        for instance, (rate, sent_at) in self.rate_limits.items():
            rate_limits[instance] = (rate, round(max(0.0, now - sent_at), 3))
        self.rate_limits.clear()
        departures = {}
        for instance, (started_at, until) in list(self.departures.items()):
            if until <= now:
                del self.departures[instance]
                continue
            departures[instance] = (started_at, round(until - now, 3))
        return messages.Updates(
            placements,
            closed,
            roles,
            unreachable,
            start_times,
            rate_limits,
            departures,
        )


def shareable_tokens(placement: messages.Placement) -> int:
    """Tokens of a prompt without its last block, which is not shared."""
    return sum(placement.tokens[:-1])

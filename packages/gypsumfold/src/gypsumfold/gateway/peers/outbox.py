"""News that a node still has to tell, of its own or passed on for others."""

from collections.abc import Container

from gypsumfold.gateway.peers import messages

# Prompts that wait to be told; of more the newest are told.
MAX_PLACEMENTS = 256


class Outbox:
    """News until they are told; those that last are told each time.

    >>> outbox = Outbox()
    >>> outbox.close("i-1", until=4.5)
    >>> outbox.take(now=0.0).closed
    {'i-1': 4.5}
    """

    def __init__(self):
        self.placements: list[messages.Placement] = []
        self.unreachable: list[str] = []
        self.closings: dict[str, float] = {}
        self.roles: dict[str, tuple[str, float]] = {}
        self.start_times: dict[str, int] = {}

    def add_placement(self, placed: messages.Placement) -> None:
        """Notes that a prompt was sent to an engine."""
        self.placements.append(placed)
        del self.placements[:-MAX_PLACEMENTS]

    def add_unreachable(self, instance: str) -> None:
        """Notes that a replica could not be reached."""
        if instance not in self.unreachable:
            self.unreachable.append(instance)

    def add_closing(
        self, engine: str, until: float, started_at: int = 0
    ) -> bool:
        """Notes that an engine gets no work while it changes its role.

        What was said of its last role holds no more: received after this, it
        would open the engine again.

        Returns:
            Whether that is updates, not a longer time.
        """
        is_new = engine not in self.closings
        self.closings[engine] = until
        self.roles.pop(engine, None)
        self.start_times[engine] = started_at
        return is_new

    def add_role(
        self, engine: str, role: str, until: float, started_at: int = 0
    ) -> None:
        """Notes that an engine has its new role."""
        self.roles[engine] = (role, until)
        self.closings.pop(engine, None)
        self.start_times[engine] = started_at

    def forget(self, engine: str) -> None:
        """Says no more of an engine that is gone or has started again."""
        self.closings.pop(engine, None)
        self.roles.pop(engine, None)
        self.start_times.pop(engine, None)

    def retain_closings(self, changing: Container[str]) -> None:
        """Says no more of closings whose end has been seen elsewhere."""
        for engine in list(self.closings):
            if engine not in changing:
                self.forget(engine)

    def add_updates(self, updates: messages.Updates, now: float) -> bool:
        """Passes on what another node tells.

        Returns:
            Whether an engine was closed that was open, which cannot wait.
        """
        urgent = False
        for placed in updates.placements:
            self.add_placement(placed)
        for engine, seconds in updates.closed.items():
            started_at = updates.start_times.get(engine, 0)
            urgent |= self.add_closing(engine, now + seconds, started_at)
        for engine, (role, seconds) in updates.roles.items():
            started_at = updates.start_times.get(engine, 0)
            self.add_role(engine, role, now + seconds, started_at)
        for instance in updates.unreachable:
            self.add_unreachable(instance)
        return urgent

    def take(
        self, now: float, max_placements: int = MAX_PLACEMENTS
    ) -> messages.Updates:
        """What is to be told now.

        Args:
            now: The time.
            max_placements: Prompts at most; those with the most tokens that
                others may share are told, the rest is not.
        """
        placed, self.placements = self.placements, []
        if len(placed) > max_placements:
            placed.sort(key=shareable_tokens, reverse=True)
            del placed[max_placements:]
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
        return messages.Updates(placed, closed, roles, unreachable, start_times)


def shareable_tokens(placed: messages.Placement) -> int:
    """Tokens of a prompt before its last part, which is its caller's own."""
    return sum(placed.tokens[:-1])

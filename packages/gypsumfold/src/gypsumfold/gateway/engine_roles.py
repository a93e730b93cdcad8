"""Which role each engine has, and which engines change theirs."""

from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import types


class EngineRoles:
    """Roles of engines, known before their entries show them.

    Attributes:
        paused_until: The directory's pauses; a confirmed role ends one.
        confirmed: Roles known before the entries show them, and until when
            each is valid.
        changing_until: Until when an engine changes its role and gets no work.

    >>> directory.roles.close_until("i-1", now + 3.0)
    >>> directory.roles.confirm("i-1", decision_types.Role.DECODE, now + 10.0)
    >>> directory.roles.role_of(replica, now)
    <Role.DECODE: 'decode'>
    """

    def __init__(self, paused_until: dict[str, float]):
        self.paused_until = paused_until
        self.confirmed: dict[str, tuple[decision_types.Role, float]] = {}
        self.changing_until: dict[str, float] = {}

    def role_of(
        self, replica: types.Replica, now: float
    ) -> decision_types.Role | None:
        """Returns an engine's role: the confirmed one, else its entry's."""
        role, until = self.confirmed.get(replica.instance, (None, 0.0))
        if role is not None and now < until:
            return role
        return replica.role

    def is_prefill(self, replica: types.Replica, now: float) -> bool:
        """Whether an engine is a prefill engine."""
        return self.role_of(replica, now) == decision_types.Role.PREFILL

    def confirm(
        self, instance: str, role: decision_types.Role, until: float
    ) -> None:
        """Sets an engine's role until its entry shows it."""
        self.confirmed[instance] = (role, until)
        self.changing_until.pop(instance, None)
        self.paused_until.pop(instance, None)

    def close_until(self, instance: str, until: float) -> None:
        """Sends an engine no work until a time, as it changes its role."""
        self.changing_until[instance] = until

    def forget(self, instance: str) -> None:
        """Drops all state kept for an engine."""
        self.confirmed.pop(instance, None)
        self.changing_until.pop(instance, None)

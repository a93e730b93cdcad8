"""Log lines on role planning."""

from gypsumfold import events
from gypsumfold.decisions import role_changes
from gypsumfold.decisions import role_split
from gypsumfold.gateway import types


def log_ordered(
    order: types.Order, instance: str, split: role_split.RoleSplit
) -> None:
    """Logs an order that is about to be sent, and the load behind it."""
    events.log(
        events.ROLE_ORDERED,
        instance=instance,
        role=order.role,
        token=order.token,
        after=order.after,
        prompts=round(split.prompts, 3),
        streams=round(split.streams, 3),
        demand=round(split.demand, 3),
    )


def log_failed(change: role_changes.Change, error: Exception) -> None:
    """Logs an order that was not sent, was refused or has no answer."""
    events.log(
        events.ROLE_ORDER_FAILED,
        instance=change.engine,
        role=change.role,
        reason=repr(error),
    )


def log_reserve(service: types.Service, split: role_split.RoleSplit) -> None:
    """Logs the spare decode engines of a service."""
    reserve = split.reserve
    short, kept = events.ROLE_RESERVE_SHORT, events.ROLE_RESERVE_KEPT
    events.log(
        short if reserve.missing else kept,
        service=service.name,
        needed=split.target,
        spares=reserve.spares,
        missing=reserve.missing,
        streams=round(split.streams, 3),
    )

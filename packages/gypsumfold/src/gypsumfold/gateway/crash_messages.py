"""Converts suspicions and canaries to messages between nodes, and back."""

from gypsumfold.decisions import canaries
from gypsumfold.decisions import crash_types
from gypsumfold.gateway.peers import messages


def from_suspicion(one: crash_types.Interrupted) -> messages.Interrupted:
    """Makes the message of a suspicion."""
    return messages.Interrupted(
        one.replica.instance,
        one.replica.started,
        one.fingerprint,
        one.output,
        one.cleared,
        one.alone,
        one.version,
        round(one.age, 1),
    )


def to_suspicion(one: messages.Interrupted) -> crash_types.Interrupted:
    """Reads the message of a suspicion."""
    return crash_types.Interrupted(
        crash_types.Incarnation(one.instance, one.started),
        one.fingerprint,
        one.output,
        one.cleared,
        one.alone,
        one.version,
        one.age,
    )


def from_canary(one: canaries.Canary, now: float) -> messages.Canary:
    """Makes the message of a canary."""
    valid_seconds = max(0.0, one.until - now)
    return messages.Canary(
        one.fingerprint,
        one.owner,
        one.number,
        one.instance,
        min(canaries.LIFETIME_SECONDS, valid_seconds),
        one.reserved,
    )


def to_canary(one: messages.Canary, now: float) -> canaries.Canary:
    """Reads the message of a canary."""
    return canaries.Canary(
        one.fingerprint,
        one.owner,
        one.number,
        one.instance,
        now + one.valid_seconds,
        one.reserved,
    )

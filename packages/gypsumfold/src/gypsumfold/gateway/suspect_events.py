"""Logs what happens to suspected requests and parts of prompts."""

from gypsumfold import events
from gypsumfold.decisions import crash_types
from gypsumfold.decisions import subjects
from gypsumfold.gateway import fingerprints
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import types


def log_held(
    progress: progress_module.Progress, crashes: int, held: float, placed: bool
) -> None:
    """Logs how long a suspected request was held, and whether it runs.

    Args:
        progress: Progress of the request.
        crashes: Crashes of its most suspected subject.
        held: Seconds.
        placed: Whether it runs.
    """
    events.log(
        events.SUSPECT_HELD,
        request=progress.call.id,
        fingerprint=fingerprints.to_hex(progress.fingerprint),
        crashes=crashes,
        seconds=round(held, 3),
        placed=placed,
    )


def log_cleared(subject: int, replica: types.Replica) -> None:
    """Logs that a subject is suspected no more, as a replica answered it."""
    events.log(
        events.SUSPECT_CLEARED,
        fingerprint=fingerprints.to_hex(subject),
        part=subjects.is_part(subject),
        instance=replica.instance,
    )


def log_quarantine(
    fingerprint: int,
    replica: crash_types.Incarnation,
    suspicions: list[crash_types.Incarnation],
) -> None:
    """Logs that a quarantine starts.

    Args:
        fingerprint: The subject.
        replica: The replica that crashed last.
        suspicions: All crashes of the subject.
    """
    events.log(
        events.QUARANTINE_BEGUN,
        fingerprint=fingerprints.to_hex(fingerprint),
        part=subjects.is_part(fingerprint),
        instance=replica.instance,
        crashes=sorted(suspicion.instance for suspicion in suspicions),
    )

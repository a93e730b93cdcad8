"""Records what the end of each run says of the replica that ran it.

One place judges calls to plain services, prefills and streams, whether they
begin or resume, so that a replica that fails some kind of request isn't taken
for an idle one by another kind.
"""

from gypsumfold import exceptions
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types

# Statuses from here on are failures of the replica.
FIRST_FAILURE_STATUS = 500
# Seconds without new requests for an engine that refused one as not run: it is
# full or changing its role.
REFUSAL_PAUSE_SECONDS = 0.25
# Seconds without new requests for a replica that reports another instance or
# role than its entry, which is corrected after 1 to 3 s.
MISTAKEN_PAUSE_SECONDS = 2.0


class RunResults:
    """Records the results of requests in the directory.

    >>> results = RunResults(directory)
    >>> results.answered(replica, 200, now)
    """

    def __init__(self, directory: directory_module.Directory):
        self.directory = directory

    def answered(self, replica: types.Replica, status: int, now: float) -> None:
        """Records an answer that came to its end.

        Args:
            replica: The replica.
            status: HTTP status of the answer.
            now: The time.
        """
        self.directory.liveness.record_activity(replica.instance, now)
        failed = is_failure(status)
        self.directory.failure_rates.record(replica.instance, failed, now)
        if failed:
            self.record_failure(replica.instance, None, now)
            return
        self.directory.health.succeeded(replica.instance, now)

    def failed(
        self, replica: types.Replica, error: Exception, now: float
    ) -> None:
        """Records a request that got no answer to forward.

        Args:
            replica: The replica.
            error: What went wrong.
            now: The time.
        """
        instance = replica.instance
        if isinstance(error, exceptions.EndpointFailed):
            self.answered(replica, FIRST_FAILURE_STATUS, now)
            return
        if isinstance(error, exceptions.EndpointRefused):
            self.pause_refusing(instance, error, now)
            if replica.role is not None:
                # A full engine refuses prompts while it runs others, and one
                # that changes its role serves on afterwards.
                return
        self.record_failure(instance, error, now)

    def record_failure(
        self, instance: str, error: Exception | None, now: float
    ) -> None:
        """Records a failed request.

        If the connection ended or could not be opened, the replica is probed:
        the entry of a crashed one stays for up to four seconds, in which every
        request sent there would be lost.

        Args:
            instance: The replica.
            error: What went wrong; None if it answered with a failure.
            now: The time.
        """
        if isinstance(error, exceptions.EndpointWithheld):
            return
        refused = isinstance(error, exceptions.EndpointRefused)
        if refused and self.directory.backoffs.is_active(instance, now):
            return
        silent = isinstance(error, exceptions.EndpointNotStarted | TimeoutError)
        self.directory.health.failed(instance, silent and not refused, now)
        if isinstance(error, exceptions.EndpointUnreachable):
            self.directory.probes.request_fresh(instance)
            self.directory.liveness.report_unreachable(instance)
        elif isinstance(error, exceptions.AnswerBroken | TimeoutError):
            self.directory.probes.request(instance)

    def pause_refusing(
        self, instance: str, error: exceptions.EndpointRefused, now: float
    ) -> None:
        """Pauses a replica that refused a request."""
        mistaken = isinstance(error, exceptions.EndpointMismatch)
        self.directory.pause(
            instance,
            now,
            MISTAKEN_PAUSE_SECONDS if mistaken else REFUSAL_PAUSE_SECONDS,
        )


def is_failure(status: int) -> bool:
    """Whether a status says that the replica failed the request."""
    return status >= FIRST_FAILURE_STATUS

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
            self.directory.request_failed(replica.instance, None, now)
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
            self.directory.request_refused(instance, error, now)
            if replica.role is not None:
                # A full engine refuses prompts while it runs others, and one
                # that changes its role serves on afterwards.
                return
        self.directory.request_failed(instance, error, now)


def is_failure(status: int) -> bool:
    """Whether a status says that the replica failed the request."""
    return status >= FIRST_FAILURE_STATUS

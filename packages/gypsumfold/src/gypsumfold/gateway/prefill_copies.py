"""Sends second copies of slow prefills to other engines.

A prefill runs nothing of the request, so that it may be repeated whatever the
route's kind. A copy of it counts as one of the route's attempts all the same.
"""

import time

from gypsumfold import exceptions
from gypsumfold.decisions import prompts
from gypsumfold.decisions import routes
from gypsumfold.gateway import copies as copies_module
from gypsumfold.gateway import copy_races
from gypsumfold.gateway import prefills as prefills_module
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import types

# Least time, in seconds, to which that of a prefill is relative: the prefill of
# a cached prompt is expected to take next to nothing.
MIN_EXPECTED_SECONDS = 0.02
# Seconds in which a copy has to be expected to end, so that it does while both
# copies may run. A longer one would be a move to another engine.
MAX_EXPECTED_SECONDS = 0.8 * copy_races.OVERLAP_SECONDS


class PrefillCopies:
    """Runs prefills, slow ones on two engines.

    >>> prefill_copies = PrefillCopies(copies, prefills)
    >>> handle = await prefill_copies.run(choice, route, service, progress)
    """

    def __init__(
        self,
        copies: copies_module.Copies,
        prefills: prefills_module.Prefills,
    ):
        self.copies = copies
        self.prefills = prefills

    async def run(
        self,
        choice: prompts.Choice,
        route: routes.Route,
        service: types.Service,
        progress: progress_module.Progress,
    ) -> types.Handle:
        """Runs a prefill, and a copy of it if it takes too long.

        Raises:
            exceptions.EndpointNotStarted: The prefill failed; nothing has run.
            exceptions.Unavailable: It would take longer than the caller
                waits.
        """
        policy = self.copies.limits.policy
        if policy.share <= 0 or not policy.prefills:
            return await self.prefills.prefill(choice, route, service, progress)
        # Times are compared with what was expected of a prompt's length.
        kind = copy_races.Kind(
            f"prefill {route.name}",
            service.name,
            max(choice.total_seconds, MIN_EXPECTED_SECONDS),
        )

        def target(chosen: prompts.Choice) -> copy_races.Target:
            async def send(notify_head) -> types.Handle:
                # Runs after the choice, when the engine may have left.
                replica = self.copies.directory.replicas.get(chosen.engine)
                if replica is None:
                    raise exceptions.EndpointUnavailable(
                        "the engine has left since it was chosen"
                    )
                try:
                    handle = await self.prefills.prefill(
                        chosen, route, service, progress
                    )
                except exceptions.EndpointRefused as error:
                    self.copies.record_failure(replica, error)
                    raise
                notify_head()
                return handle

            return copy_races.Target(chosen.engine, send)

        def choose_other() -> copy_races.Target | None:
            reason = self.refusal(kind, route, progress)
            other = None
            if not reason:
                other = self.choose(choice, route, service, progress)
            if not self.copies.take(service.name, reason, other is not None):
                return None
            progress.extra_prefills += 1
            return target(other)

        race = copy_races.Race(
            self.copies.directory,
            kind,
            progress,
            discard=self.prefills.free,
        )
        return await race.run(target(choice), choose_other)

    def refusal(
        self,
        kind: copy_races.Kind,
        route: routes.Route,
        progress: progress_module.Progress,
    ) -> str:
        """Returns why a prefill gets no copy now; empty if it may have one."""
        # The copy and the run that follows it.
        if progress.attempts_used + 2 > route.attempts:
            return "attempts"
        if not self.copies.quarantine.is_unsuspected(progress):
            return "suspect"
        return self.copies.limits.refusal(
            kind.service, kind.key, time.monotonic()
        )

    def choose(
        self,
        first: prompts.Choice,
        route: routes.Route,
        service: types.Service,
        progress: progress_module.Progress,
    ) -> prompts.Choice | None:
        """Chooses the engine for a copy; None if none is fit in time."""
        found = self.prefills.place(
            route, service, progress, frozenset({first.engine})
        )
        if found is None or found.total_seconds > MAX_EXPECTED_SECONDS:
            return None
        replica = self.copies.directory.replicas[found.engine]
        if not self.copies.is_fit(replica):
            return None
        rank = progress.rank(
            route, found.total_seconds, found.late_ahead, found.load
        )
        return None if rank.hopeless else found

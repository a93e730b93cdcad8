"""Moves prompts away from engines that have turned slow or are leaving."""

from collections.abc import Callable
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import prefill_moves
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import prompts
from gypsumfold.decisions import retry_budget
from gypsumfold.decisions import routes
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import types


class PrefillMoves:
    """Decides about each prompt that waits, once per interval of its caller.

    Attributes:
        budget: The site's retry budget; None if no prompt is moved. Only this
            node's own share is used: loans are left to requests that failed.
        count: Prompts moved since the start.

    >>> moves = PrefillMoves(directory, prefix_router, quarantine)
    >>> moves.budget = budget
    >>> moves.check(choice, route, service, progress, place)
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        prefix_router: prefix_routing_module.PrefixRouter,
        quarantine: quarantine_module.Quarantine,
    ):
        self.directory = directory
        self.prefix_router = prefix_router
        self.quarantine = quarantine
        self.budget: retry_budget.RetryBudget | None = None
        self.count = 0

    def check(
        self,
        choice: prompts.Choice,
        route: routes.Route,
        service: types.Service,
        progress: progress_module.Progress,
        place: Callable[..., prompts.Choice | None],
    ) -> None:
        """Checks whether a prompt is sent elsewhere, and takes the retry.

        Args:
            choice: Where it waits.
            route: The request's route.
            service: Its service.
            progress: Its progress.
            place: Chooses an engine, leaving out given ones.

        Raises:
            exceptions.PrefillMoved: It is to be sent elsewhere.
        """
        if self.budget is None or choice.sent_at is None:
            return
        # A request that failed or missed an engine before has used its second
        # prefill, or may have no attempt left. So has one with a second copy.
        if progress.arrived or progress.missed or progress.moved_from:
            return
        if progress.extra_prefills:
            return
        now = time.monotonic()
        engine = choice.engine
        replica = self.directory.replicas.get(engine)
        leaving = replica is None or replica.draining
        factor = self.prefix_router.slow_engines.factor(engine, now)
        if not prefill_moves.may_move(
            leaving, factor, progress.runs, route.attempts
        ):
            return
        here = prefill_moves.remaining_seconds(
            choice.expected, factor, now - choice.sent_at
        )
        # Choosing an engine for each waiting prompt is the expensive part.
        if not prefill_moves.can_gain(here):
            return
        if self.budget.remaining(service.name, now) < 1:
            return
        # The other engine may crash as well.
        if not self.quarantine.is_unsuspected(progress):
            return
        other = place(route, service, progress, frozenset([engine]))
        if other is None:
            return
        # It is ranked again where it is sent, by its age then.
        rank = progress.rank(
            route, other.total_seconds, other.late_ahead, other.load
        )
        if rank.hopeless:
            return
        elsewhere = other.total_seconds
        if rank.deferred:
            elsewhere += other.late_ahead
        if not prefill_moves.gains(here, elsewhere):
            return
        if not self.budget.allow(service.name, now):
            return
        self.count += 1
        progress.record_move(engine)
        events.log(
            events.PREFILL_MOVED,
            request=progress.call.id,
            instance=engine,
            to=other.engine,
            leaving=leaving,
            factor=round(factor, 2),
            waited=round(now - choice.sent_at, 3),
            here=round(here, 3),
            elsewhere=round(elsewhere, 3),
        )
        raise exceptions.PrefillMoved(f"{engine} is slow or leaving")

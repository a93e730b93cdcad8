"""Moves burn counters from this node to the log, and back for reports."""

import asyncio
import time

from gypsumfold import burn
from gypsumfold import configuration as configuration_module
from gypsumfold import exceptions
from gypsumfold.decisions import types
from gypsumfold.logservice import logs
from gypsumfold.logservice import records

# Seconds between two appends of a node. A killed node loses this much of
# its counts; six nodes make 0.4 appends a second of the several hundred
# that the log takes, 390 make 26.
FLUSH_INTERVAL_SECONDS = 15.0


class Reporting:
    """Counts final answers and makes the burn report.

    >>> reporting = Reporting(incarnation, configuration, log)
    >>> reporting.count_answer(request, whole=True, seconds=0.4)
    >>> report = await reporting.report()
    """

    def __init__(
        self,
        incarnation: str,
        configuration: configuration_module.Configuration,
        log: logs.Log,
    ):
        self.configuration = configuration
        self.log = log
        self.counters = burn.Counters(incarnation)

    def count_answer(
        self, request: types.Request, whole: bool, seconds: float | None
    ) -> None:
        """Counts one final answer.

        Args:
            request: What was asked for.
            whole: Whether the caller got its whole answer.
            seconds: Until the first token, or the answer of a plain call;
                None where none came.
        """
        limit = self.find_time_limit(request)
        good = whole and seconds is not None and seconds <= limit
        self.counters.add(request.service, request.urgency, good, time.time())

    def find_time_limit(self, request: types.Request) -> float:
        """Finds the objective's seconds, else those to the deadline."""
        for objective in self.configuration.all("objective").values():
            wanted = (objective.service, objective.urgency)
            if wanted == (request.service, request.urgency):
                return objective.within
        return request.deadline - request.arrival

    async def run(self) -> None:
        """Appends counts for as long as the node runs."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            await self.flush()

    async def flush(self) -> None:
        """Appends what is due; a failure leaves it due."""
        now = time.time()
        batch = self.counters.due(now)
        if not batch:
            return
        try:
            await self.log.append(records.BURN, batch)
        except exceptions.PlatformError:
            return
        self.counters.mark_appended(batch, now)

    async def report(self) -> burn.Report:
        """Reads the burn stream and makes the report.

        Raises:
            exceptions.LogUnavailable: The log does not answer.
        """
        await self.flush()
        ledger = burn.Ledger()
        start = 0
        while True:
            page = await self.log.read(records.BURN, start, 0.0)
            for entry in page.entries:
                ledger.apply(entry)
                start = entry.offset + 1
            if start >= page.end or not page.entries:
                break
        objectives = self.configuration.all("objective")
        return burn.report(ledger, objectives, time.time())

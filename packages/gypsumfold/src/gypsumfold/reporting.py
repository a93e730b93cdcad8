"""Appends this node's burn counts to the log and reads them for reports."""

import asyncio
import time

from gypsumfold import burn
from gypsumfold import configuration as configuration_module
from gypsumfold import exceptions
from gypsumfold.decisions import types
from gypsumfold.logservice import logs
from gypsumfold.logservice import records

# Interval between a node's appends. A killed node loses the counts of this
# time. Six nodes append 0.4 times a second and 390 nodes 26 times; the log
# takes several hundred a second.
FLUSH_INTERVAL_SECONDS = 15.0


class Reporting:
    """Counts final answers and builds the burn report.

    >>> reporting = Reporting(incarnation, configuration, log)
    >>> reporting.count_answer(request, is_complete=True, seconds=0.4)
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
        self, request: types.Request, is_complete: bool, seconds: float | None
    ) -> None:
        """Counts one final answer.

        Args:
            request: The answered request.
            is_complete: Whether the caller got its complete answer.
            seconds: Time until the first token, or until the answer of a
                plain call; None if there was none.
        """
        limit = self.find_time_limit(request)
        good = is_complete and seconds is not None and seconds <= limit
        self.counters.add(request.service, request.urgency, good, time.time())

    def find_time_limit(self, request: types.Request) -> float:
        """Returns the objective's time limit, else that of the deadline."""
        for objective in self.configuration.all("objective").values():
            wanted = (objective.service, objective.urgency)
            if wanted == (request.service, request.urgency):
                return objective.within
        return request.deadline - request.arrival

    async def run(self) -> None:
        """Appends counts while the node runs."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            await self.flush()

    async def flush(self) -> None:
        """Appends pending records; they stay pending if it fails."""
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
        """Reads the burn stream and builds the report.

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

"""Appends the records of many requests to the log in batches.

The log takes several hundred appends a second from the whole fleet. Without
batching, each claim is one append, and six nodes exceed that limit at a hundred
keyed calls a second each.
"""

import asyncio
import collections
import random
import time

from gypsumfold import exceptions
from gypsumfold.logservice import logs
from gypsumfold.logservice import records

# Minimum time between two appends of a node. An idle batcher sends a record at
# once, so this adds latency under load only. Six nodes make at most 300 appends
# a second, which leaves capacity for the other streams within the log's
# "several hundred" (bench/RESULTS-calls.md).
APPEND_INTERVAL_SECONDS = 0.02
# Delay after a failed append, plus up to as much again at random, so that six
# nodes do not retry at the same time.
BACKOFF_SECONDS = 0.05
# Upper bound of the JSON bytes around a batch and around each record in it.
FRAME_BYTES = 64
# Limits a batch so that no burst blocks the event loop for long.
MAX_BATCH_RECORDS = 512
# Limits the queue so that an outage does not fill the memory.
MAX_WAITING = 20_000


class PendingRecord:
    """One record that waits to be appended.

    Attributes:
        record: Of a registered type.
        size: Bytes on the log.
        future: Set to the offset.
        in_flight: Whether an append with it is in progress.
        answer_lost: Whether the answer to an append with it was lost.
        withdrawn: Whether it must not be appended any more.
    """

    def __init__(self, record: tuple):
        self.record = record
        self.size = len(records.encode([record])) + FRAME_BYTES
        self.future: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )
        self.in_flight = False
        self.answer_lost = False
        self.withdrawn = False


class Batcher:
    """Appends records to one stream in order, many in one append.

    A batch whose answer is lost is appended again, so records must be
    idempotent.

    >>> batcher = Batcher(log, records.CLAIMS)
    >>> offset = await batcher.append(claim, timeout=1.0)
    """

    def __init__(
        self,
        log: logs.Log,
        stream: str,
        interval: float = APPEND_INTERVAL_SECONDS,
        max_records: int = MAX_BATCH_RECORDS,
    ):
        self.log = log
        self.stream = stream
        self.interval = interval
        self.max_records = max_records
        self.waiting: collections.deque[PendingRecord] = collections.deque()
        self.wake = asyncio.Event()

    def enqueue(self, record: tuple) -> PendingRecord:
        """Queues a record to be appended as soon as the log takes it.

        Raises:
            exceptions.LogUnavailable: Too many records are waiting.
        """
        if len(self.waiting) >= MAX_WAITING:
            raise exceptions.LogUnavailable("too many records wait")
        item = PendingRecord(record)
        self.waiting.append(item)
        self.wake.set()
        return item

    async def append(self, record: tuple, timeout: float) -> int:
        """Appends a record within a timeout in seconds; returns its offset.

        Raises:
            exceptions.LogUnavailable: It was not appended and will not be.
            exceptions.AppendUndetermined: It may have been appended.
        """
        item = self.enqueue(record)
        try:
            # wait_for may lose a cancellation in Python 3.11.
            async with asyncio.timeout(timeout):
                return await asyncio.shield(item.future)
        except TimeoutError as error:
            kind = exceptions.LogUnavailable
            if item.in_flight or item.answer_lost:
                kind = exceptions.AppendUndetermined
            raise kind("the log did not take it in time") from error
        finally:
            item.withdrawn = True

    async def run(self) -> None:
        """Appends for as long as the node runs."""
        while True:
            await self.wake.wait()
            batch = self.next_batch()
            if not batch:
                self.wake.clear()
                continue
            due = time.monotonic() + self.interval
            if not await self.send(batch):
                await asyncio.sleep(BACKOFF_SECONDS * (1 + random.random()))
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    def next_batch(self) -> list[PendingRecord]:
        """Returns the records of the next append; they stay in the queue."""
        kept = [item for item in self.waiting if not item.withdrawn]
        self.waiting = collections.deque(kept)
        batch = []
        size = FRAME_BYTES
        for item in kept[: self.max_records]:
            size += item.size
            if size > records.MAX_BATCH_BYTES and batch:
                break
            batch.append(item)
        return batch

    async def send(self, batch: list[PendingRecord]) -> bool:
        """Makes one append; returns whether it is known to have succeeded."""
        for item in batch:
            item.in_flight = True
        try:
            offset = await self.log.append(
                self.stream, [item.record for item in batch]
            )
        except exceptions.LogUnavailable:
            return False
        except exceptions.AppendUndetermined:
            for item in batch:
                item.answer_lost = True
            return False
        finally:
            for item in batch:
                item.in_flight = False
        for item in batch:
            self.waiting.popleft()
            if not item.future.done():
                item.future.set_result(offset)
        return True

    async def flush(self, timeout: float) -> None:
        """Waits until the queue is empty, at most `timeout` seconds."""
        pending = [i.future for i in self.waiting if not i.withdrawn]
        if pending:
            await asyncio.wait(pending, timeout=timeout)

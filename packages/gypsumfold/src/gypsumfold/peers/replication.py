"""Replicates the configuration between nodes and publishes its snapshots.

Nodes normally read the configuration from the log. Heartbeats also carry each
node's revision, and a node that is behind pulls from a peer, so an accepted
change reaches all nodes even if the log fails right after it.
"""

import asyncio
import math
import random
import time

from gypsumfold import changes
from gypsumfold import clocks
from gypsumfold import configuration as configuration_module
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold import snapshots
from gypsumfold.decisions import config_freshness as config_freshness_module
from gypsumfold.logservice import logs
from gypsumfold.logservice import records
from gypsumfold.operators import publishing
from gypsumfold.peers import framing
from gypsumfold.peers import links

thrift = framing.peers_thrift

# Interval of the checks of peers' revisions; a tenth of the default heartbeat
# interval, so that it adds little to the time until a pull.
CHECK_INTERVAL_SECONDS = 0.05
# Seconds after which the last check no longer counts: the process was paused,
# and its state may be stale.
CHECK_EXPIRY_SECONDS = 1.0
# Seconds that requests wait at a node that was paused, until the log or a peer
# has answered again; after them it counts as cut off like any other node.
RESUME_SECONDS = config_freshness_module.CUT_OFF_SECONDS
# Timeout of one pull: a page of at most half a frame over a short distance.
PULL_TIMEOUT_SECONDS = 2.0
# Entries or snapshot data in one reply. A single batch on the log has at most
# 256 KiB, and both together fit into `framing.MAX_REPLY_BYTES`.
MAX_PAGE_BYTES = 512 * 1024
# Entries of one page of the log (docs/PROTOCOLS.md).
LOG_PAGE_ENTRIES = 512
# Pages that a starting node reads backwards from the log's end to find a
# snapshot. One is due after `snapshots.REPUBLISH_ENTRIES`, which is two pages.
MAX_SEEK_PAGES = 4
# Interval of the checks whether a snapshot is due, as a fraction of the log's
# retention.
SNAPSHOT_CHECK_FRACTION = 0.02
# Upper limit of this interval.
MAX_SNAPSHOT_CHECK_SECONDS = 60.0
# Fraction of the due time by which each further node waits longer, and the
# number of nodes to which this applies: if the first cannot reach the log, the
# next one publishes. The fourth does so at 0.25 * (1 + 3 * 0.5) = 0.63 of the
# retention, still in time.
RANK_DELAY_FRACTION = 0.5
MAX_RANK = 3


class Replication:
    """Keeps a node's configuration up to date with the log and its peers.

    >>> replication = Replication(settings, configuration, tail, peers,
    ...                           publisher, incarnation)
    >>> replication.is_fresh()
    True
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        configuration: configuration_module.Configuration,
        tail: logs.Tail,
        peers: links.Peers,
        publisher: publishing.Publisher,
        incarnation: str,
    ):
        self.settings = settings
        self.configuration = configuration
        self.tail = tail
        self.peers = peers
        self.publisher = publisher
        self.incarnation = incarnation
        self.freshness = config_freshness_module.ConfigFreshness()
        self.checked_at = 0.0
        self.resumed_at = -math.inf
        self.served_snapshot: tuple[int, bytes] = (-1, b"")
        peers.handle("config.pull", thrift.ConfigPull, self.serve)
        configuration.watch(log_outcome)
        configuration.on_restore = log_restored

    def is_fresh(self) -> bool:
        """Whether the node's configuration is fresh enough to serve."""
        if clocks.now() - self.checked_at > CHECK_EXPIRY_SECONDS:
            return False
        return self.freshness.fresh

    def is_resuming(self) -> bool:
        """Whether the node was paused and has yet to ask others again."""
        now = clocks.now()
        if not self.freshness.settled:
            return False
        if now - self.checked_at > CHECK_EXPIRY_SECONDS:
            return True
        return now - self.resumed_at <= RESUME_SECONDS

    async def wait_until_fresh(self) -> bool:
        """Waits while the node resumes; returns whether it may serve.

        After a pause of the process all it knows is old, although it may not
        be cut off from anyone.
        """
        while not self.is_fresh():
            if not self.is_resuming():
                return False
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        return True

    def revision(self) -> int:
        """Returns the revision to report to peers; -1 until it is settled."""
        return self.configuration.revision if self.freshness.settled else -1

    def has_read_log(self) -> bool:
        """Whether all entries up to the log's last known end are applied."""
        if not self.tail.caught_up.is_set():
            return False
        return self.configuration.position >= self.tail.end - 1

    async def run(self) -> None:
        """Checks freshness against log and peers as long as the node runs."""
        while True:
            self.check_freshness()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def run_tail(self) -> None:
        """Follows the log, starting at its newest snapshot if there is one."""
        if self.configuration.position < 0:
            try:
                await self.seek_snapshot()
            except exceptions.PlatformError as error:
                events.log(events.SNAPSHOT_NOT_SOUGHT, reason=repr(error))
        await self.tail.run()

    async def seek_snapshot(self) -> None:
        """Reads the log backwards until it finds a snapshot to start from.

        If there is none, the tail reads from the first record, and the entries
        read here are applied when the tail reaches them.

        Raises:
            exceptions.PlatformError: The log cannot be read.
        """
        log = self.publisher.log
        page = await log.read(records.CONFIG, self.tail.next_offset, 0.0)
        start = page.end
        for _ in range(MAX_SEEK_PAGES):
            start -= LOG_PAGE_ENTRIES
            if start <= page.first + LOG_PAGE_ENTRIES:
                return
            found = await log.read(records.CONFIG, start, 0.0)
            for entry in found.entries:
                self.configuration.apply(entry)
            if self.configuration.position >= start:
                self.tail.next_offset = self.configuration.position + 1
                return

    async def run_pulls(self) -> None:
        """Pulls from a peer whenever one has newer configuration."""
        while True:
            sources = self.sources()
            if sources:
                await self.try_pull(random.choice(sources))
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def check_freshness(self) -> None:
        """Checks whether this node's configuration is fresh."""
        peers = []
        for peer in self.peers.recently_seen():
            peers.append(
                config_freshness_module.PeerView(
                    peer.revision, peer.last_answered
                )
            )
        view = config_freshness_module.View(
            self.configuration.revision,
            self.has_read_log(),
            self.tail.last_seen or None,
            tuple(peers),
        )
        now = clocks.now()
        if now - self.checked_at > CHECK_EXPIRY_SECONDS:
            self.resumed_at = now
        self.checked_at = now
        self.freshness.update(view, self.checked_at)

    def sources(self) -> list[str]:
        """Lists the peers that have configuration which this node lacks."""
        gap = self.configuration.position < self.tail.next_offset - 1
        found = []
        for peer in self.peers.recently_seen():
            if peer.revision < 0:
                continue
            if peer.revision > self.configuration.revision or gap:
                found.append(peer.address)
        return found

    async def try_pull(self, address: str) -> None:
        """Pulls once; a failed pull is retried at the next check."""
        try:
            await self.pull(address)
        except (exceptions.PeerError, exceptions.RecordInvalid) as error:
            events.log(
                events.CONFIG_PULL_FAILED, peer=address, reason=repr(error)
            )

    async def pull(self, address: str) -> None:
        """Pulls the entries of a peer after this node's position.

        Raises:
            exceptions.PeerError: The peer does not answer.
            exceptions.RecordInvalid: An entry or the snapshot is malformed.
        """
        page = await self.request_page(address, -1, 0)
        if page.snapshot >= 0:
            await self.pull_snapshot(address, page)
            return
        for entry in page.entries:
            found = records.decode(entry.body)
            self.configuration.apply(
                records.Entry(entry.offset, entry.time, found)
            )

    async def pull_snapshot(self, address: str, page) -> None:
        """Pulls the other parts of a snapshot and restores it."""
        body = page.body
        for part in range(1, page.parts):
            further = await self.request_page(address, page.snapshot, part)
            if further.snapshot != page.snapshot:
                return
            body += further.body
        self.configuration.restore(snapshots.decode(body))

    async def request_page(self, address: str, snapshot: int, part: int):
        """Requests entries or one part of a snapshot from a peer."""
        start = self.configuration.position + 1
        return await self.peers.call(
            address,
            "config.pull",
            thrift.ConfigPull(start, snapshot, part),
            thrift.ConfigPage,
            PULL_TIMEOUT_SECONDS,
        )

    async def serve(self, message, address: str):
        """Answers a peer's pull with entries or with a part of a snapshot."""
        if (
            message.snapshot >= 0
            and message.snapshot == self.served_snapshot[0]
        ):
            return self.snapshot_page(message.part)
        entries = self.configuration.entries_from(message.start)
        if entries is None:
            snapshot = self.configuration.snapshot()
            self.served_snapshot = (snapshot.offset, snapshots.encode(snapshot))
            return self.snapshot_page(0)
        page = []
        size = 0
        for entry in entries:
            body = records.encode(list(entry.records))
            size += len(body)
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(thrift.ConfigEntry(entry.offset, entry.time, body))
        return thrift.ConfigPage(page, -1, 0, b"")

    def snapshot_page(self, part: int):
        """Returns the reply with one part of the served snapshot."""
        offset, body = self.served_snapshot
        parts = -(-len(body) // MAX_PAGE_BYTES)
        piece = body[part * MAX_PAGE_BYTES : (part + 1) * MAX_PAGE_BYTES]
        return thrift.ConfigPage([], offset, parts, piece)

    async def run_snapshots(self) -> None:
        """Publishes a snapshot whenever this node is due to publish one."""
        retention = self.settings.platform.retention
        pause = min(
            retention * SNAPSHOT_CHECK_FRACTION, MAX_SNAPSHOT_CHECK_SECONDS
        )
        while True:
            await asyncio.sleep(pause * (0.5 + random.random()))
            waits = 1 + RANK_DELAY_FRACTION * min(self.rank(), MAX_RANK)
            if not self.is_fresh() or not self.configuration.is_snapshot_due(
                time.time(), retention * waits
            ):
                continue
            try:
                offset = await self.publisher.publish_snapshot()
            except exceptions.PlatformError as error:
                events.log(events.SNAPSHOT_FAILED, reason=repr(error))
                continue
            events.log(events.SNAPSHOT_PUBLISHED, offset=offset)

    def rank(self) -> int:
        """Counts the peers that publish snapshots before this node."""
        before = 0
        for peer in self.peers.recently_seen():
            if peer.incarnation < self.incarnation:
                before += 1
        return before


def log_outcome(outcome: changes.Outcome) -> None:
    """Logs the event of one change."""
    if outcome.accepted:
        events.log(
            events.CONFIG_APPLIED,
            revision=outcome.offset,
            change=outcome.change_id,
        )
        return
    events.log(
        events.CONFIG_REJECTED,
        offset=outcome.offset,
        change=outcome.change_id,
        reason=outcome.reason,
    )


def log_restored(snapshot: snapshots.Snapshot) -> None:
    """Logs the event of a restored snapshot."""
    events.log(
        events.CONFIG_RESTORED,
        revision=snapshot.revision,
        offset=snapshot.offset,
    )

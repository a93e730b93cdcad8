"""Summaries that a relay sends to its subscribers and to other relays."""

from typing import Protocol

from gypsumfold.decisions import bandwidth as bandwidth_module
from gypsumfold.decisions import members as members_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway.peers import loads as loads_module
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import relaying as relaying_module
from gypsumfold.gateway.peers import sending

# The highest ranked nodes are listed in one of this many summaries: once a
# second.
SUMMARIES_PER_INTRODUCTION = 10
# Bytes that a prompt takes in a summary.
PLACEMENT_BYTES = 60


class StoreCopy(Protocol):
    """This node's copy of the store."""

    def outgoing(self, between_relays: bool) -> messages.CopyState | None:
        """Returns what to send to subscribers, or to other relays."""

    def receive(
        self,
        copy_state: messages.CopyState,
        address: tuple[str, int],
        between_relays: bool,
    ) -> None:
        """Applies the state of another node's copy, at its query address."""


class Summaries:
    """Creates and sends summaries.

    Attributes:
        store_copy: This node's copy of the store.

    >>> summaries = Summaries(relaying, loads, sender, directory, bandwidth)
    >>> due = relaying.due_subscribers(0.0)
    >>> summaries.send_to_nodes(due, 195, False, now=0.0)
    """

    def __init__(
        self,
        relaying: relaying_module.Relaying,
        loads: loads_module.Loads,
        sender: sending.Sender,
        directory: directory_module.Directory,
        bandwidth: bandwidth_module.Bandwidth,
    ):
        self.bandwidth = bandwidth
        self.relaying = relaying
        self.loads = loads
        self.sender = sender
        self.directory = directory
        self.store_copy: StoreCopy | None = None
        self.node_encoder = loads_module.LoadDeltaEncoder()
        self.relay_encoder = loads_module.LoadDeltaEncoder()
        self.summary_count = 0

    def send_to_nodes(
        self,
        due: relaying_module.DueSubscribers,
        node_count: int,
        partitioned: bool,
        now: float,
    ) -> None:
        """Sends summaries to the nodes that report to this one.

        Args:
            due: Subscribers to send to.
            node_count: Number of nodes of the site.
            partitioned: Whether the rest of the site may count without these
                nodes.
            now: The time.
        """
        if not due.full and not due.heartbeats:
            return
        self.summary_count += 1
        introduced = []
        if (
            due.heartbeats
            or self.summary_count % SUMMARIES_PER_INTRODUCTION == 0
        ):
            introduced = self.sender.top_ranked_contacts()
        copy_state = (
            self.store_copy.outgoing(False) if self.store_copy else None
        )
        if due.heartbeats:
            sign = messages.Summary(
                self.sender.own_contact(),
                self.sender.sequence,
                node_count,
                False,
                messages.LoadDelta(),
                messages.Updates(),
                copy_state,
                introduced,
                partitioned,
            )
            self.send(sign, [one.member for one in due.heartbeats], now)
        if due.full:
            self.relaying.node_outbox.retain_closings(
                self.directory.roles.changing_until
            )
            summary = messages.Summary(
                self.sender.own_contact(),
                self.sender.sequence,
                node_count,
                False,
                self.node_encoder.encode(self.loads.site_totals(now)),
                self.relaying.node_outbox.take(
                    now, self.max_placements(len(due.full), now)
                ),
                copy_state,
                introduced,
                partitioned,
            )
            self.send(summary, [one.member for one in due.full], now)

    def send_to_relays(self, now: float) -> None:
        """Sends a summary to the relays of the other data centres."""
        targets = self.relaying.relay_targets(now)
        if not targets:
            return
        self.relaying.relay_outbox.retain_closings(
            self.directory.roles.changing_until
        )
        loads = self.relaying.data_centre_loads(self.loads.own(now))
        summary = messages.Summary(
            self.sender.own_contact(),
            self.sender.sequence,
            1 + len(self.relaying.subscribers),
            True,
            self.relay_encoder.encode(loads),
            self.relaying.relay_outbox.take(
                now, self.max_placements(len(targets), now)
            ),
            # A relay that cannot reach the store gets its contents by this.
            self.store_copy.outgoing(True) if self.store_copy else None,
        )
        self.send(summary, targets, now)

    def send(
        self,
        summary: messages.Summary,
        receivers: list[members_module.Member],
        now: float,
    ) -> None:
        """Sends a summary, whatever bandwidth is left.

        Load totals and heartbeats always go out.
        """
        size = self.sender.send_summary(summary, receivers)
        self.bandwidth.spend(size, now)

    def max_placements(self, receivers: int, now: float) -> int:
        """Returns how many prompts the bandwidth allows in a summary."""
        left = self.bandwidth.available(now)
        return max(0, int(left / (PLACEMENT_BYTES * receivers)))

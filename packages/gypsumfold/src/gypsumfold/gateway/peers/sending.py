"""Sends reports and summaries as datagrams."""

import asyncio
import collections

from gypsumfold.decisions import members as members_module
from gypsumfold.gateway.peers import frames
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import seals

# Nodes of its data centre that a relay lists to those that report to it.
MAX_INTRODUCED = 3
# Entries of 60 bytes at most in one datagram.
MAX_VERSIONS_PER_DATAGRAM = 18


class Sender:
    """Numbers, seals and sends this node's messages.

    Attributes:
        bytes_sent: Bytes of all datagrams, by kind of message.

    >>> sender = Sender(members, sealer)
    >>> sender.transport = transport
    >>> sender.send_report(
    ...     [relay], messages.SUBSCRIBE_ALL, loads, updates
    ... )
    """

    def __init__(self, members: members_module.Members, sealer: seals.Sealer):
        self.members = members
        self.sealer = sealer
        self.sequence = 0
        self.transport: asyncio.DatagramTransport | None = None
        self.bytes_sent: collections.Counter[str] = collections.Counter()

    def send(
        self, kind: str, data: bytes, receivers: list[members_module.Member]
    ) -> None:
        """Sends a datagram to each receiver."""
        self.bytes_sent[kind] += len(data) * len(receivers)
        for member in receivers:
            self.transport.sendto(data, member.address)

    def send_report(
        self,
        receivers: list[members_module.Member],
        level: int,
        loads: messages.EngineLoads,
        updates: messages.Updates,
        copy_state: messages.CopyState | None = None,
    ) -> None:
        """Sends a report; prompts that do not fit are left out."""
        if not receivers:
            return
        self.sequence += 1
        report = messages.Report(
            self.own_contact(),
            self.sequence,
            level,
            loads,
            updates,
            copy_state,
        )
        data = frames.encode_report(report, self.sealer)
        self.send("reports", data, receivers)

    def send_summary(
        self,
        summary: messages.Summary,
        receivers: list[members_module.Member],
    ) -> int:
        """Sends a summary, split into several datagrams if needed.

        Returns:
            Bytes that were sent.
        """
        size = 0
        for part in frames.split_summary(summary, self.sealer):
            self.sequence += 1
            part.sequence = self.sequence
            data = frames.encode(part, self.sealer)
            self.send("summaries", data, receivers)
            size += len(data) * len(receivers)
        return size

    def send_crash_update(
        self,
        interrupted: list[messages.Interrupted],
        canaries: list[messages.Canary],
        receivers: list[members_module.Member],
    ) -> int:
        """Sends updates on requests that may crash replicas.

        Returns:
            Bytes that were sent.
        """
        self.sequence += 1
        message = messages.CrashUpdate(
            self.own_contact(), self.sequence, interrupted, canaries
        )
        data = frames.encode(message, self.sealer)
        self.send("crashes", data, receivers)
        return len(data) * len(receivers)

    def send_usage(
        self,
        window: int,
        counts: dict[str, int],
        receivers: list[members_module.Member],
    ) -> None:
        """Sends counts of usage; too many for a datagram are not sent."""
        self.sequence += 1
        message = messages.UsageUpdate(
            self.own_contact(), self.sequence, window, counts
        )
        data = frames.encode(message, self.sealer)
        if len(data) <= messages.MAX_DATAGRAM_BYTES:
            self.send("usage", data, receivers)

    def send_usage_stored(
        self,
        window: int,
        versions: dict[str, int],
        receivers: list[members_module.Member],
    ) -> None:
        """Sends which counts of usage are stored, in parts if needed."""
        rows = list(versions.items())
        for start in range(0, len(rows), MAX_VERSIONS_PER_DATAGRAM):
            self.sequence += 1
            part = dict(rows[start : start + MAX_VERSIONS_PER_DATAGRAM])
            message = messages.UsageStored(
                self.own_contact(), self.sequence, window, part
            )
            data = frames.encode(message, self.sealer)
            self.send("usage", data, receivers)

    def send_origins(
        self,
        groups: list[messages.StreamGroup],
        receivers: list[members_module.Member],
    ) -> int:
        """Sends the origins of streams.

        Returns:
            Bytes that were sent.
        """
        self.sequence += 1
        message = messages.OriginUpdate(
            self.own_contact(), self.sequence, groups
        )
        data = frames.encode(message, self.sealer)
        self.send("origins", data, receivers)
        return len(data) * len(receivers)

    def own_contact(self) -> messages.Contact:
        """Returns this node's own contact, without its address."""
        own = self.members.own
        return messages.Contact(
            own.name, own.node, own.data_centre, power=own.power
        )

    def top_ranked_contacts(self) -> list[messages.Contact]:
        """Returns the highest ranked nodes of this data centre."""
        ranked = self.members.ranked(self.members.own.data_centre)
        found = []
        for member in ranked[:MAX_INTRODUCED]:
            host, port = member.address
            found.append(
                messages.Contact(
                    member.name,
                    member.node,
                    member.data_centre,
                    f"{host}:{port}",
                    member.power,
                )
            )
        return found

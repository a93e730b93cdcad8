"""Chooses the nodes that keep the origins of streams, and those to ask.

Up to a handful of nodes form a mesh; in a larger site a relay keeps the origins
for the nodes that report to it.
"""

from collections.abc import Callable
from typing import Protocol

from gypsumfold.decisions import members as members_module
from gypsumfold.decisions import relays as relays_module
from gypsumfold.decisions import stream_origins
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import relaying as relaying_module

# Nodes of a mesh that keep the origins of a node's streams: many processes may
# be killed at the same moment.
MESH_HOLDERS = 3
# Nodes of each data centre that are asked for an origin which its relay does
# not know: the relay and those that take over if it ends.
MAX_FORMER_RELAYS = 3


class Topology(Protocol):
    """How this node exchanges messages with the others.

    Attributes:
        meshed: Whether each node sends to every other one.
        members: The known nodes.
        choice: The nodes that this one reports to if it is in no mesh.
        relaying: The nodes that report to this one, and other relays.
    """

    meshed: bool
    members: members_module.Members
    choice: relays_module.Choice
    relaying: relaying_module.Relaying

    def clock(self) -> float:
        """Returns the time."""

    def is_relay(self) -> bool:
        """Whether this node forwards what other nodes send."""


class OriginHolders:
    """Receives origins, and chooses who else keeps or knows them.

    Attributes:
        pass_on: Sends an origin to this node's own receivers.

    >>> holders = OriginHolders(gossip, memory)
    >>> holders.receivers()
    [Member(...), Member(...), Member(...)]
    """

    def __init__(
        self, topology: Topology, memory: stream_origins.StreamOrigins
    ):
        self.topology = topology
        self.memory = memory
        self.pass_on: Callable[[int, stream_origins.Origin], None] = (
            lambda key, origin: None
        )

    def receive(
        self,
        member: members_module.Member,
        message: messages.OriginUpdate,
        now: float,
    ) -> None:
        """Keeps origins; a relay passes on those of its data centre."""
        own = self.topology.members.own.data_centre
        passes_on = self.topology.is_relay() and member.data_centre == own
        for group in message.groups:
            origin = stream_origins.Origin(group.service, group.version)
            for key in group.keys:
                is_new = self.memory.find(key, now) is None
                self.memory.put(key, origin, now)
                if passes_on and is_new:
                    self.pass_on(key, origin)

    def receivers(self) -> list[members_module.Member]:
        """Returns the nodes that keep the origins of this node's streams.

        A relay keeps those of its nodes, and has them kept by the relays of
        another data centre.
        """
        topology = self.topology
        if topology.meshed:
            others = list(topology.members.known.values())
            return members_module.spread_holders(
                topology.members.own, others, MESH_HOLDERS
            )
        choice = topology.choice
        if choice.relay is None:
            return [*self.next_relays(), *self.standby_nodes()]
        if choice.standby is None:
            return [choice.relay]
        return [choice.relay, choice.standby]

    def sources(self) -> list[members_module.Member]:
        """Returns the nodes to ask for the origin of a stream."""
        if self.topology.meshed:
            return list(self.topology.members.known.values())
        if self.topology.choice.relay is None:
            return self.other_relays()
        return self.receivers()

    def former_relays(self) -> list[members_module.Member]:
        """Returns the nodes that may have been the relay of a data centre."""
        members = self.topology.members
        if self.topology.meshed:
            return []
        found = []
        for data_centre in members.data_centres():
            found += members.ranked(data_centre)[:MAX_FORMER_RELAYS]
        return [member for member in found if member != members.own]

    def other_relays(self) -> list[members_module.Member]:
        """Returns the nodes that a relay asks on behalf of its nodes."""
        if not self.topology.is_relay():
            return []
        now = self.topology.clock()
        targets = self.topology.relaying.relay_targets(now)
        return [*targets, *self.standby_nodes()]

    def next_relays(self) -> list[members_module.Member]:
        """Returns the relays of the next data centre that has any."""
        members = self.topology.members
        data_centres = sorted(members.data_centres())
        place = data_centres.index(members.own.data_centre)
        for data_centre in data_centres[place + 1 :] + data_centres[:place]:
            relays = self.topology.relaying.remote_relays.get(data_centre)
            if relays:
                return [relay.member for relay in relays.values()]
        return []

    def standby_nodes(self) -> list[members_module.Member]:
        """Returns the node that would relay if this one ended."""
        members = self.topology.members
        subscribers = self.topology.relaying.subscribers
        for member in members.ranked(members.own.data_centre):
            if member.name in subscribers:
                return [member]
        return []

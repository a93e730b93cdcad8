"""Sends usage counts to the nodes that keep copies and store them."""

from collections.abc import Callable

from gypsumfold.decisions import members as members_module
from gypsumfold.decisions import metering
from gypsumfold.decisions import relays as relays_module
from gypsumfold.gateway.peers import sending

# Other nodes that keep copies of a node's counts.
COPIES = 2


class UsageExchange:
    """Chooses the nodes that keep copies of this node's counts.

    Attributes:
        relay_choice: Returns the choice of a relay; None in a mesh.

    >>> exchange = UsageExchange(sender, members, lambda: None)
    >>> exchange.send_usage(2, {"north-air": 12})
    """

    def __init__(
        self,
        sender: sending.Sender,
        members: members_module.Members,
        relay_choice: Callable[[], relays_module.Choice | None],
    ):
        self.sender = sender
        self.members = members
        self.relay_choice = relay_choice

    def receivers(self) -> list[members_module.Member]:
        """Returns the nodes that keep copies: relays first, if there are."""
        choice = self.relay_choice()
        if choice is None:
            return self.ranked_peers()[:COPIES]
        if choice.relay is None:
            own = self.members.own
            ranked = self.members.ranked(own.data_centre)
            others = [one for one in ranked if one.name != own.name]
            return others[: COPIES - 1]
        if choice.standby is None:
            return [choice.relay]
        return [choice.relay, choice.standby]

    def ranked_peers(self) -> list[members_module.Member]:
        """Returns all other nodes, the highest ranked first."""
        return sorted(
            self.members.known.values(), key=members_module.score, reverse=True
        )

    def usage_is_relayed_here(self) -> bool:
        """Whether this node stores the counts of others."""
        choice = self.relay_choice()
        if choice is not None:
            return choice.relay is None
        ranked = self.ranked_peers()
        own = members_module.score(self.members.own)
        return not ranked or own > members_module.score(ranked[0])

    def send_usage(self, index: int, counts: metering.Counts) -> None:
        """Sends this node's counts of one window to those that keep copies."""
        self.sender.send_usage(index, counts, self.receivers())

    def send_usage_stored(self, index: int, versions: dict[str, int]) -> None:
        """Sends other nodes which of their counts are stored."""
        self.sender.send_usage_stored(index, versions, self.receivers())
        for name, version in versions.items():
            member = self.members.known.get(name)
            if member is not None:
                self.sender.send_usage_stored(index, {name: version}, [member])

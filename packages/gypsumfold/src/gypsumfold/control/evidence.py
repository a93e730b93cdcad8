"""Evidence that an earlier lease holder's process has ended."""

from gypsumfold import membership as membership_module
from gypsumfold.control import leases
from gypsumfold.control import records
from gypsumfold.peers import links


class Evidence:
    """Looks for evidence among peers and in the list of VMs.

    A newer incarnation that serves peers at a node's address proves that
    the older one has ended, since two can't listen on one address. A VM that
    was on the platform's list and no longer is has been removed. One that was
    never seen there proves nothing, because the list lags.

    >>> Evidence(identity, peers, membership).find(holder)
    'entry-1-018f... answers at 10.0.0.1'
    """

    def __init__(
        self,
        identity: leases.Identity,
        peers: links.Peers,
        membership: membership_module.Membership,
    ):
        self.identity = identity
        self.peers = peers
        self.membership = membership
        self.listed_vms: set[tuple[str, str]] = set()

    def update_listed(self) -> None:
        """Records which VMs are on the list."""
        if self.membership.latest is None:
            return
        for vm in self.membership.latest.vms:
            self.listed_vms.add((vm.name, vm.address))

    def find(self, holder: records.Holder) -> str:
        """Returns evidence that a holder has ended; empty if there is none."""
        self.update_listed()
        known = [(self.identity.address, self.identity.incarnation)]
        for peer in self.peers.by_address.values():
            known.append((peer.address, peer.incarnation))
        for address, incarnation in known:
            same = address == holder.address
            if same and is_newer_incarnation(incarnation, holder):
                return f"{incarnation} answers at {address}"
        vm_key = (holder.node, holder.address)
        if vm_key not in self.listed_vms:
            return ""
        for vm in self.membership.latest.vms:
            if (vm.name, vm.address) == vm_key:
                return ""
        return f"{holder.node} left the list of VMs"


def is_newer_incarnation(incarnation: str, holder: records.Holder) -> bool:
    """Whether an incarnation of the holder's node started after the holder.

    An incarnation is the node's name and a UUIDv7 (RFC 9562), whose text
    sorts by time.
    """
    name, _, _ = incarnation.rpartition("-")
    return name == holder.node and incarnation > holder.incarnation

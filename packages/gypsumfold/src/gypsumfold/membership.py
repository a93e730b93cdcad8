"""Cluster membership: updates peers and endpoints from the VM list."""

import asyncio

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.endpoints import fleet as fleet_module
from gypsumfold.logservice import vms
from gypsumfold.peers import links


class Membership:
    """Updates peers and endpoints from the VM list, which may lag.

    A node that the list does not contain (yet) keeps its link while it was
    seen recently. If the list is unavailable, nothing changes.

    >>> membership = Membership(settings, source, peers, fleet)
    >>> await membership.run()
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        source: vms.VMSource,
        peers: links.Peers,
        fleet: fleet_module.Fleet,
    ):
        self.settings = settings
        self.source = source
        self.peers = peers
        self.fleet = fleet
        self.latest: vms.VMList | None = None

    async def run(self) -> None:
        """Polls the list while the node runs."""
        self.peers.sync(set(self.settings.peers.seeds))
        while True:
            try:
                self.latest = await self.source.fetch()
            except exceptions.VMListUnavailable:
                await asyncio.sleep(self.settings.platform.poll)
                continue
            self.apply(self.latest)
            await asyncio.sleep(self.settings.platform.poll)

    def apply(self, listed: vms.VMList) -> None:
        """Applies one reading of the list."""
        addresses = {peer.address for peer in self.peers.recently_seen()}
        for vm in listed.vms:
            if vm.purpose == "entry":
                addresses.add(vm.address)
        self.peers.sync(addresses)
        states = endpoint_states(listed)
        for watched in self.fleet.endpoints.values():
            self.update_endpoint(watched, states)

    def update_endpoint(
        self, watched: fleet_module.WatchedEndpoint, states: dict[str, str]
    ) -> None:
        """Updates whether an endpoint's VM is leaving, and logs it if so.

        A VM that is not listed was removed or is too new for the list;
        neither gets work. A list without any endpoint is ignored.
        """
        vm = watched.declared.vm
        leaving = bool(vm and states) and states.get(vm) != "live"
        if leaving and not watched.vm_leaving:
            events.log(events.ENDPOINT_LEAVING, endpoint=watched.name, vm=vm)
        watched.vm_leaving = leaving


def endpoint_states(listed: vms.VMList) -> dict[str, str]:
    """Returns the state of each endpoint's VM by the VM's name."""
    states = {}
    for vm in listed.vms:
        if vm.purpose == "endpoint":
            states[vm.name] = vm.state
    return states

"""Who takes part: follows the VM list for nodes and endpoints."""

import asyncio

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.endpoints import fleet as fleet_module
from gypsumfold.logservice import vms
from gypsumfold.peers import links


class Membership:
    """Keeps peers and endpoints in step with the lagging VM list.

    A node that the list does not name (yet) keeps its link for as long as
    it was heard of lately; the list being down changes nothing.

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
        """Follows the list for as long as the node runs."""
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
        """Takes one reading of the list in."""
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
        """Notes whether an endpoint's VM leaves, with an event if it does.

        One that is not listed has gone, or is so new that the list does not
        name it yet; neither gets work. A list that names no endpoint at all
        is not believed.
        """
        vm = watched.declared.vm
        leaving = bool(vm and states) and states.get(vm) != "live"
        if leaving and not watched.vm_leaving:
            events.log(events.ENDPOINT_LEAVING, endpoint=watched.name, vm=vm)
        watched.vm_leaving = leaving


def endpoint_states(listed: vms.VMList) -> dict[str, str]:
    """Gives the state of each endpoint's VM by its name."""
    states = {}
    for vm in listed.vms:
        if vm.purpose == "endpoint":
            states[vm.name] = vm.state
    return states

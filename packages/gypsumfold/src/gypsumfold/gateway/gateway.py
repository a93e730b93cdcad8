"""The gateway process: creates all parts and runs them until it is stopped."""

from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import time

from aiohttp import web

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold.gateway import housekeeping
from gypsumfold.gateway import line_writer as line_writer_module
from gypsumfold.gateway import listeners
from gypsumfold.gateway import liveness
from gypsumfold.gateway import registrations as registrations_module
from gypsumfold.gateway import role_planning
from gypsumfold.gateway import serving
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import shutdown as shutdown_module
from gypsumfold.gateway import steady_records
from gypsumfold.gateway import store_copy as store_copy_module
from gypsumfold.gateway import types
from gypsumfold.gateway import view_confirmations
from gypsumfold.gateway import watches as watches_module
from gypsumfold.gateway.peers import forward_messages
from gypsumfold.gateway.peers import queries
from gypsumfold.platform import names

# Seconds for which a request that another node has served shows that it reaches
# the replicas.
CUT_OFF_EVIDENCE_SECONDS = 3.0


class Gateway(serving.Serving):
    """The process on one entry VM.

    >>> gateway = Gateway(settings, pathlib.Path("gateway.toml"), lines)
    >>> await gateway.run()
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        path: pathlib.Path,
        lines: line_writer_module.NonBlockingLineWriter,
    ):
        super().__init__(settings, path, lines)
        self.housekeeping = housekeeping.Housekeeping(self)
        self.planner = role_planning.RolePlanner(
            self.leadership,
            self.directory,
            self.configurations,
            self.endpoints,
            self.gossip,
            self.prefix_router,
        )
        self.apply_role_settings()
        if self.duties.scaler is not None:
            self.planner.is_replacing = self.duties.scaler.is_replacing
        self.liveness = liveness.LivenessChecks(self.directory, self.endpoints)
        self.registrations = registrations_module.Registrations(
            self.directory, self.store_state
        )
        self.watches = watches_module.Watches(
            settings,
            self.store,
            self.store_state,
            self.read_timeouts,
            self.configurations,
            self.registrations,
            self.gossip,
        )
        self.steady_records = steady_records.SteadyRecords(
            self.store,
            {
                "service": self.directory.versions.steady,
                "route": self.origins.route_services,
            },
            settings.node.first_start,
        )
        self.origins.registrations_age = lambda: (
            self.watches.registrations.staleness.age(clocks.now())
        )
        self.origins.confirm_view = view_confirmations.ViewConfirmations(
            [self.watches.registrations, self.watches.configuration]
        ).confirm
        self.steady_records.may_write = lambda: (
            self.gossip.is_store_reader() and self.origins.is_view_recent()
        )
        self.steady_records.is_complete = self.knows_site
        self.origins.wait_until_read = self.steady_records.wait_until_read
        self.store_copy = store_copy_module.StoreCopy(
            self.registrations,
            self.configurations,
            self.watches.registrations,
            self.watches.configuration,
            self.gossip.is_store_reader,
            self.query_client,
            self.read_timeouts,
        )
        self.gossip.summaries.store_copy = self.store_copy
        self.store_copy.on_newer_era = self.gossip.entries.renew_soon
        self.registrations.on_change = self.gossip.note_store_read
        self.configurations.listeners.append(
            lambda _: self.gossip.note_store_read()
        )
        self.query_handler.sources[queries.REGISTRATIONS] = (
            self.store_copy.encode_registrations
        )
        self.leadership.is_candidate = self.gossip.can_lead
        self.leadership.is_cut_off = self.is_cut_off
        self.directory.removal_listeners.append(self.forget)
        self.runners: list[web.ServerRunner] = []
        self.shutdown = shutdown_module.Shutdown(
            self.server, self.forward_server, self.handler.open_requests
        )
        self.shutdown.releases["authority"] = self.leadership.stop
        self.shutdown.releases["entry"] = self.gossip.entries.withdraw
        self.shutdown.flushes["usage"] = self.duties.flush
        self.shutdown.closers["tasks"] = self.supervisor.cancel_all
        self.shutdown.closers["connections"] = self.close_connections

    def forget(self, replica: types.Replica) -> None:
        """Drops what is kept for a removed replica."""
        self.pool.discard(replica.address, replica.instance)
        self.prefix_router.forget(replica.instance)
        self.gossip.loads.plain.forget(replica.instance)

    def is_cut_off(self) -> bool:
        """Whether other nodes reach replicas that this one doesn't.

        If nobody reaches them, the replicas have failed, and somebody has to
        order others.
        """
        since = time.monotonic() - self.forwarder.accepted_at
        if since > CUT_OFF_EVIDENCE_SECONDS:
            return False
        return self.directory.liveness.is_cut_off_from_most()

    def knows_site(self) -> bool:
        """Whether this node has a configuration and has read all replicas."""
        if self.configurations.current is None:
            return False
        return self.watches.registrations.has_read_all

    def is_ready(self) -> bool:
        """Whether the balancer should send connections here."""
        if self.stop.is_set():
            return False
        now = time.monotonic()
        for name in self.watches.tasks():
            if self.supervisor.is_failing(name, now):
                return False
        return self.knows_site()

    async def run(self) -> None:
        """Runs until `stop` is set, then shuts down."""
        await self.start()
        await self.stop.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Starts all tasks and servers."""
        await self.gossip.start()
        self.supervisor.start(
            "entries", lambda: self.gossip.entries.run(self.gossip)
        )
        self.supervisor.start("gossip", self.gossip.run)
        self.supervisor.start("relay", self.gossip.run_relay)
        self.supervisor.start("crash-news", self.gossip.crash_updates.run)
        self.supervisor.start("origins", self.gossip.origin_updates.run)
        for name, function in self.watches.tasks().items():
            self.supervisor.start(name, function)
        self.supervisor.start("fetch", self.store_copy.fetch)
        # A gateway that doesn't listen counts as ended: it listens before it
        # may act.
        await self.serve(self.answer_peer, self.settings.peers.address)
        self.supervisor.start("leadership", self.leadership.run)
        self.supervisor.start("planner", self.planner.run)
        self.supervisor.start("housekeeping", self.housekeeping.run)
        self.supervisor.start("intake", self.intake.run)
        self.supervisor.start("liveness", self.liveness.run)
        self.supervisor.start("crash-records", self.crash_records.run)
        self.supervisor.start("steady-records", self.steady_records.run)
        if not self.settings.node.first_start:
            self.supervisor.start("cache-lists", self.cache_lists.run)
            self.supervisor.start("crash-records-read", self.crash_records.read)
        for name, function in self.duties.tasks().items():
            self.supervisor.start(name, function)
        await self.server.start(self.settings.callers.front)
        await self.serve(self.answer_ready, self.settings.callers.ready)
        if self.settings.metrics.port:
            host = self.settings.callers.front.rpartition(":")[0]
            await self.serve(
                self.counters.handle, f"{host}:{self.settings.metrics.port}"
            )
        events.log(events.NODE_STARTED, incarnation=self.member)

    async def serve(
        self, handle: Callable[..., Awaitable], address: str
    ) -> None:
        """Serves one handler on IP:PORT."""
        server = listeners.Server(handle, self.intake)
        self.runners.append(await listeners.listen(server, address))

    async def answer_peer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a query, or serves a request, of another node."""
        if request.path == forward_messages.PATH:
            return await self.forward_server.handle(request)
        return await self.query_handler.handle(request)

    async def answer_ready(self, request: web.BaseRequest) -> web.Response:
        """Answers the balancer's readiness check."""
        if request.path != names.READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    def apply_role_settings(self) -> None:
        """Passes the settings of the role split to those who act by them."""
        self.planner.policy = self.settings.roles.policy
        self.generations.waits.refuse_early = self.settings.roles.refuse_early

    def request_stop(self) -> None:
        """Begins the stop; further requests change nothing."""
        self.shutdown.request()
        self.stop.set()

    async def shut_down(self) -> None:
        """Stops within the grace without interrupting a request."""
        if self.handler.plain_calls.shared is not None:
            self.handler.plain_calls.shared.stop()
        await self.shutdown.run(self.settings.shutdown.grace_s)
        self.lines.flush()

    async def close_connections(self) -> None:
        """Closes all connections to replicas, other nodes and the platform."""
        self.pool.close()
        await self.session.close()
        await self.loans.close()
        await self.origin_session.close()
        await self.forward_link.close()
        await self.duties.close()
        await self.store.close()

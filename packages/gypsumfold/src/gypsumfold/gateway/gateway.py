"""The gateway process: creates all parts and runs them until it is stopped."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
import pathlib
import random
import time

import aiohttp
from aiohttp import web
import uuid6

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import peer_choice
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import read_timeouts
from gypsumfold.decisions import retry_budget
from gypsumfold.decisions import subjects
from gypsumfold.gateway import authentication
from gypsumfold.gateway import cache_lists
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import connection_pool
from gypsumfold.gateway import counters as counters_module
from gypsumfold.gateway import crash_records as crash_records_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import duties as duties_module
from gypsumfold.gateway import generations
from gypsumfold.gateway import handling
from gypsumfold.gateway import intake as intake_module
from gypsumfold.gateway import leadership as leadership_module
from gypsumfold.gateway import line_writer as line_writer_module
from gypsumfold.gateway import listeners
from gypsumfold.gateway import liveness
from gypsumfold.gateway import origins as origins_module
from gypsumfold.gateway import plain_calls
from gypsumfold.gateway import plain_queue
from gypsumfold.gateway import plain_replicas
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import rate_permits as rate_permits_module
from gypsumfold.gateway import registrations as registrations_module
from gypsumfold.gateway import retry_permits as retry_permits_module
from gypsumfold.gateway import role_planning
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import server as server_module
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import shutdown as shutdown_module
from gypsumfold.gateway import steady_records
from gypsumfold.gateway import store_copy as store_copy_module
from gypsumfold.gateway import supervision
from gypsumfold.gateway import topic_watches
from gypsumfold.gateway import traffic_log
from gypsumfold.gateway import types
from gypsumfold.gateway import view_confirmations
from gypsumfold.gateway import watches as watches_module
from gypsumfold.gateway.peers import forward_messages
from gypsumfold.gateway.peers import forward_server
from gypsumfold.gateway.peers import forwarding
from gypsumfold.gateway.peers import gossip as gossip_module
from gypsumfold.gateway.peers import loans as loans_module
from gypsumfold.gateway.peers import origin_queries as origin_queries_module
from gypsumfold.gateway.peers import queries
from gypsumfold.gateway.peers import tenure_queries as tenure_queries_module
from gypsumfold.platform import names
from gypsumfold.platform import replicas
from gypsumfold.platform import store as store_module

# Seconds between two checks of the settings file, log lines and gauges.
HOUSEKEEPING_SECONDS = 1.0
# Questions for the origins of streams that are open at the same time.
MAX_ORIGIN_QUERIES = 64
# Seconds for which a request that another node has served shows that it reaches
# the replicas.
CUT_OFF_EVIDENCE_SECONDS = 3.0


class Gateway:
    """The process on one entry VM.

    Attributes:
        member: This incarnation's unique name among the nodes.
        stop: Set by `request_stop`.
        reload: Set to load the settings file again.
        settings_modified_at: Modification time of the loaded settings file.

    >>> gateway = Gateway(settings, pathlib.Path("gateway.toml"), lines)
    >>> await gateway.run()
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        path: pathlib.Path,
        lines: line_writer_module.NonBlockingLineWriter,
    ):
        self.settings = settings
        self.path = path
        self.lines = lines
        self.member = f"{settings.node.name}-{uuid6.uuid7().hex[:16]}"
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()
        self.settings_modified_at = modified_at(path)
        self.supervisor = supervision.Supervisor()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=16, force_close=True)
        )
        self.store = store_module.Store(settings.store.address)
        self.read_timeouts = read_timeouts.derive(
            settings.store.contact_ms / 1000
        )
        self.store_state = topic_watches.StoreState(
            settings.store.contact_ms / 1000
        )
        self.store.eras.listeners.append(self.store_state.store_returned)
        rng = random.Random()
        self.directory = directory_module.Directory(rng)
        self.quarantine = quarantine_module.Quarantine(
            runs_module.InterruptedRuns(self.directory)
        )
        self.configurations = configurations_module.Configurations()
        self.intake = intake_module.Intake(settings, self.configurations)
        self.pool = connection_pool.Pool(
            settings.replicas.source,
            self.intake.room.idle_replica_connections,
            self.intake.room.answers_bytes,
        )
        self.endpoints = replicas.Replicas(self.pool)
        self.directory.liveness.is_connected = self.endpoints.is_connected
        self.endpoints.statement_listener = self.directory.statements.record
        self.endpoints.admission = self.directory.statements.check_backoff
        self.directory.second_copies.change(settings.copies.policy)
        self.budget = retry_budget.RetryBudget(
            budget_policy(settings), rng.random()
        )
        if not settings.node.first_start:
            self.budget.started_at = time.monotonic()
        self.retry_permits = retry_permits_module.RetryPermits(self.budget)
        self.rate_permits = rate_permits_module.RatePermits(
            retry_permits_module.lend_nothing, rng
        )
        self.prefix_router = prefix_routing_module.PrefixRouter()
        slow_engines = self.prefix_router.slow_engines
        slow_engines.enabled = settings.prefill.shared_speed
        slow_engines.rng = rng
        self.counters = counters_module.Counters()
        self.generations = generations.Generations(
            self.directory,
            self.endpoints,
            self.retry_permits,
            self.rate_permits,
            self.prefix_router,
            self.quarantine,
        )
        if settings.prefill.moves:
            self.generations.prefills.moves.budget = self.budget
        self.origins = origins_module.Origins(self.directory)
        if settings.node.first_start:
            self.origins.start_with_system()
        self.generations.notify_begin = self.origins.begin
        self.configurations.listeners.append(self.origins.observe_configuration)
        self.leadership = leadership_module.Leadership(
            settings, self.store, self.store_state, self.member
        )
        self.gossip = gossip_module.Gossip(
            settings,
            self.store,
            self.prefix_router,
            self.leadership,
            self.directory,
            self.quarantine,
            self.origins,
        )
        self.duties = duties_module.Duties(
            settings,
            self.store,
            self.store_state,
            self.leadership,
            self.configurations,
            self.directory,
            self.prefix_router,
            self.gossip,
        )
        for duty in (self.duties.usage_reporter, self.duties.scaler):
            if duty is not None:
                duty.refused.listener = self.leadership.replace_token
        self.authenticator = authentication.Authenticator(
            self.configurations,
            settings.accounts.policy,
            lambda: self.watches.assess_keys(self.store_copy.is_behind()),
        )
        self.forward_link = forwarding.HTTPLink()
        self.forwarder = forwarding.Forwarder(
            self.forward_link,
            self.gossip.sealer,
            peer_choice.PeerChoice(rng),
            self.retry_permits,
            self.gossip.find_others,
        )
        self.plain_calls = plain_calls.PlainCalls(
            self.directory,
            self.endpoints,
            self.retry_permits,
            self.rate_permits,
            settings.node.data_centre,
            self.quarantine,
        )
        self.handler = handling.Handler(
            self.configurations,
            self.budget,
            self.plain_calls,
            self.generations,
            self.counters,
            self.authenticator,
            self.gossip.usage,
            self.directory,
            self.forwarder,
            self.origins,
        )
        if settings.plain_calls.shared:
            plain = plain_replicas.PlainReplicas(
                self.directory,
                self.gossip.loads.plain,
                settings.node.data_centre,
                rng,
            )
            plain.notify_change = self.gossip.done
            self.handler.plain_calls.shared = plain_queue.PlainQueue(
                plain, settings.plain_calls
            )
            self.handler.plain_calls.copies.shared = plain
        self.forward_server = forward_server.ForwardServer(
            self.gossip.sealer, self.handler, self.intake
        )
        self.forward_server.find_departures = lambda: (
            self.directory.departures.recent(time.monotonic())
        )
        self.forwarder.departure_listener = (
            self.directory.statements.merge_departure
        )
        self.server = server_module.Server(self.handler, self.intake)
        self.crash_records = crash_records_module.CrashRecords(
            self.store, self.quarantine, self.gossip.is_store_reader
        )
        self.query_client = queries.QueryClient(
            self.session, self.gossip.sealer
        )
        self.cache_lists = cache_lists.CacheLists(
            self.directory,
            self.configurations,
            self.endpoints,
            self.prefix_router,
            self.gossip,
            self.query_client,
        )
        self.query_handler = queries.QueryHandler(self.gossip.sealer)
        self.query_handler.sources[queries.CONFIGURATION] = lambda: (
            self.configurations.record
        )
        self.query_handler.sources[queries.CACHES] = (
            self.cache_lists.encode_caches
        )
        # Requests wait for these answers; questions to nodes that are gone must
        # not hold up other queries.
        self.origin_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=MAX_ORIGIN_QUERIES, force_close=True
            )
        )
        self.origin_client = queries.QueryClient(
            self.origin_session, self.gossip.sealer
        )
        self.origin_queries = origin_queries_module.OriginQueries(
            self.origin_client,
            self.origins,
            self.gossip.origin_holders.sources,
            self.gossip.origin_holders.other_relays,
            self.gossip.origin_holders.former_relays,
        )
        self.origins.ask = self.origin_queries.ask
        for prefix in (
            origin_queries_module.ASK_ON,
            origin_queries_module.ASK_ONE,
        ):
            self.query_handler.finders[prefix] = self.origin_queries.answer
        self.tenure_queries = tenure_queries_module.TenureQueries(
            self.query_client, self.member, self.leadership.yield_to
        )
        self.leadership.claims.has_ended = self.tenure_queries.has_ended
        self.query_handler.finders[tenure_queries_module.PATH] = (
            self.tenure_queries.answer
        )
        self.loans = loans_module.Loans(
            self.origin_client, self.gossip.lenders, rng
        )
        self.loans.ledgers[retry_permits_module.KIND] = self.budget
        self.loans.ledgers[rate_permits_module.KIND] = (
            self.directory.rate_limits
        )
        self.directory.rate_limits.share = self.gossip.limit_share
        self.retry_permits.request_loan = self.loans.request
        self.rate_permits.request_loan = self.loans.request
        for prefix in loans_module.TIMEOUT_SECONDS:
            self.query_handler.finders[prefix] = self.loans.answer
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
        self.supervisor.start("housekeeping", self.housekeeping)
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

    async def housekeeping(self) -> None:
        """Maintains settings, log lines, gauges and the retry budget."""
        reported = 0
        traffic = traffic_log.TrafficLog(
            self.store, self.gossip, time.monotonic()
        )
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HOUSEKEEPING_SECONDS):
                    await self.reload.wait()
            if (
                self.reload.is_set()
                or modified_at(self.path) != self.settings_modified_at
            ):
                self.reload.clear()
                self.reload_settings()
            self.directory.expire(time.monotonic())
            self.pool.close_expired(time.monotonic())
            self.share_retries()
            self.counters.open_requests.set(len(self.server.busy))
            self.counters.unusable.set(self.registrations.unreadable)
            self.update_gauges()
            self.intake.report()
            self.lines.flush()
            traffic.check(time.monotonic())
            if self.lines.dropped > reported:
                events.log(
                    events.LINES_DROPPED, count=self.lines.dropped - reported
                )
                reported = self.lines.dropped

    def share_retries(self) -> None:
        """Divides the site's retry budget by the number of known nodes."""
        nodes = self.gossip.sharing_node_count()
        apart = self.gossip.is_partitioned()
        if (nodes, apart) == (self.budget.nodes, self.budget.partitioned):
            return
        events.log(
            events.RETRIES_SHARED,
            nodes=nodes,
            before=self.budget.nodes,
            apart=apart,
        )
        self.budget.nodes = nodes
        self.budget.partitioned = apart
        self.directory.second_copies.is_site_known = nodes > 0 and not apart

    def update_gauges(self) -> None:
        """Updates the gauges of nodes, relays, crashes and store calls."""
        age = self.watches.registrations.staleness.age(clocks.now())
        self.counters.update_intake(self.intake)
        self.counters.nodes.set(self.gossip.node_count())
        self.counters.relays.set(int(self.gossip.is_store_reader()))
        self.counters.registrations_age.set(age)
        crashes = self.quarantine.crash_log
        for gauge, found in (
            (self.counters.suspected, crashes.suspected),
            (self.counters.quarantined, crashes.quarantined),
        ):
            parts = sum(subjects.is_part(subject) for subject in found)
            gauge.labels("part").set(parts)
            gauge.labels("request").set(len(found) - parts)
        self.counters.quarantine_refusals.set(self.quarantine.refused)
        self.counters.keys_refused.set(self.authenticator.refused)
        lost = self.directory.reachability.unreachable
        self.counters.unreachable.set(len(lost))
        slow = self.prefix_router.slow_engines.slow(time.monotonic())
        self.counters.slow_engines.set(len(slow))
        moves = self.generations.prefills.moves
        self.counters.moved_prompts.set(moves.count)
        for source, count in self.origins.results.items():
            self.counters.taken_up.labels(source).set(count)
        for result, count in self.forwarder.results.items():
            self.counters.forwarded.labels(result).set(count)
        if self.handler.plain_calls.shared is not None:
            self.counters.update_plain_calls(self.handler.plain_calls.shared)
        for service, count in self.budget.taken.items():
            self.counters.retries.labels(service, "allowed").set(count)
        for service, count in self.budget.refused.items():
            self.counters.retries.labels(service, "refused").set(count)
        for (
            service,
            result,
        ), count in self.directory.second_copies.results.items():
            self.counters.copies.labels(service, result).set(count)
        for name, count in self.supervisor.failures.items():
            self.counters.task_failures.labels(name).set(count)
        for call, count in self.store.calls.items():
            self.counters.store_calls.labels(call).set(count)

    def reload_settings(self) -> None:
        """Loads the settings file again; an invalid one changes nothing.

        Addresses stay until the next start: connections are open on them.
        """
        self.settings_modified_at = modified_at(self.path)
        try:
            self.settings = settings_module.load(self.path)
        except exceptions.SettingsError as error:
            events.log(events.SETTINGS_REJECTED, reason=str(error))
            return
        self.budget.policy = budget_policy(self.settings)
        self.authenticator.policy = self.settings.accounts.policy
        self.apply_role_settings()
        self.directory.second_copies.change(self.settings.copies.policy)
        events.log(events.SETTINGS_RELOADED)

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


def budget_policy(settings: settings_module.Settings) -> retry_budget.Policy:
    """Returns the site's retry budget from the settings."""
    retries = settings.retries
    return retry_budget.Policy(retries.share, retries.window_s, retries.slack)


def modified_at(path: pathlib.Path) -> int:
    """Returns a file's modification time in ns; 0 if it cannot be read."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0

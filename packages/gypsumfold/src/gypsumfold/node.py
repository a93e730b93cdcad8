"""One node: creates all its components and runs them until shutdown."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import random

from aiohttp import web
import uuid6

from gypsumfold import configuration as configuration_module
from gypsumfold import digests
from gypsumfold import dispatching
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import membership
from gypsumfold import metrics
from gypsumfold import outcomes
from gypsumfold import reporting
from gypsumfold import settings as settings_module
from gypsumfold import shutdown
from gypsumfold import tls
from gypsumfold.callers import calls
from gypsumfold.callers import server as callers_server
from gypsumfold.control import commands
from gypsumfold.control import control
from gypsumfold.decisions import policy_scheduler
from gypsumfold.decisions import scheduler as scheduler_module
from gypsumfold.decisions import types
from gypsumfold.endpoints import connections
from gypsumfold.endpoints import fleet as fleet_module
from gypsumfold.logservice import logs
from gypsumfold.logservice import records
from gypsumfold.logservice import vms
from gypsumfold.operators import live
from gypsumfold.operators import publishing
from gypsumfold.operators import queries
from gypsumfold.operators import server as operators_server
from gypsumfold.peers import framing
from gypsumfold.peers import links
from gypsumfold.peers import replication

# Delay before a failed task restarts, plus up to the same again at random.
RESTART_DELAY_SECONDS = 0.5
# Time for writing the last bytes of an answer when the node stops.
WRITE_TIMEOUT_SECONDS = 5.0


class Node:
    """The process on one entry VM.

    Attributes:
        incarnation: Id of this run of the process; sorts by start time.
        stop: Set to start a graceful shutdown.

    >>> node = Node(settings)
    >>> await node.run()
    """

    def __init__(self, settings: settings_module.Settings):
        self.settings = settings
        self.incarnation = f"{settings.node.name}-{uuid6.uuid7().hex}"
        self.numbers = itertools.count(1)
        self.stop = asyncio.Event()
        self.stopping = False
        self.shutdown = shutdown.Shutdown(settings.shutdown)
        self.tasks: dict[str, asyncio.Task] = {}
        self.runners: list[web.AppRunner] = []
        self.callers = callers_server.Server(self)
        self.callers_runner: web.AppRunner | None = None
        self.metrics = metrics.Metrics(settings.metrics)
        self.sessions = connections.create_sessions(settings)
        session = self.sessions.pooled
        self.log = logs.HTTPLog(settings.platform, session)
        self.tails = {
            records.CONFIG: logs.Tail(self.log, records.CONFIG),
            records.CLAIMS: logs.Tail(self.log, records.CLAIMS),
        }
        self.configuration = configuration_module.Configuration()
        self.fleet = fleet_module.Fleet(
            settings, self.configuration, self.sessions
        )
        self.peers = links.Peers(settings, self.make_heartbeat)
        self.membership = membership.Membership(
            settings,
            vms.HTTPVMs(settings.platform, session),
            self.peers,
            self.fleet,
        )
        self.control = control.Control(self)
        self.shutdown.register("control", self.control.release)
        self.tails[records.CONTROL] = self.control.tail
        self.fleet.permissions = self.control.permissions
        self.calls = calls.Calls(self)
        self.dispatchers: dict[str, dispatching.Dispatcher] = {}
        self.digests = digests.Digests(
            settings.peers, self.incarnation, self.peers, self.dispatchers
        )
        self.reporting = reporting.Reporting(
            self.incarnation, self.configuration, self.log
        )
        self.publisher = publishing.Publisher(self.configuration, self.log)
        self.replication = replication.Replication(
            settings,
            self.configuration,
            self.tails[records.CONFIG],
            self.peers,
            self.publisher,
            self.incarnation,
        )
        self.operators = self.make_operators_server()
        self.tails[records.CONFIG].subscribe(self.configuration.apply)
        self.configuration.subscribe(self.reconfigure)

    def make_operators_server(self) -> operators_server.Server:
        """Builds the operators' server with all its data sources."""
        sources = queries.Sources(self.configuration)
        live.register(self, sources)
        commands.register(self.control, sources)
        return operators_server.Server(
            self.settings.operators,
            self.configuration,
            self.publisher,
            sources,
            self.state,
            commands.Commands(self.control),
            report=self.reporting.report,
        )

    def new_id(self) -> str:
        """Returns an id that no other dispatch or record has."""
        return f"{self.incarnation}-{next(self.numbers)}"

    def is_ready(self) -> bool:
        """Returns whether new requests of callers should be sent here."""
        return self.is_serving() and not self.stopping

    def is_serving(self) -> bool:
        """Returns whether requests are served, even during a shutdown.

        The load balancer keeps sending requests for its notice time.
        """
        return self.replication.is_fresh()

    async def wait_until_serving(self) -> bool:
        """Waits for a node that was paused; returns whether it serves."""
        return await self.replication.wait_until_fresh()

    def make_heartbeat(self):
        """Builds the heartbeat that describes this node to its peers."""
        return framing.peers_thrift.Heartbeat(
            self.settings.node.name,
            self.incarnation,
            self.settings.node.address,
            self.settings.node.data_centre,
            self.replication.revision(),
            self.stopping,
        )

    def state(self) -> operators_server.State:
        """Returns the state of this node that operators see."""
        return operators_server.State(
            self.settings.node.name,
            self.incarnation,
            self.configuration.revision,
            self.is_ready(),
            self.stopping,
        )

    def dispatcher(self, service: str) -> dispatching.Dispatcher:
        """Returns the dispatcher of a service.

        Raises:
            exceptions.NotFound: The service is not declared.
        """
        if service not in self.dispatchers:
            raise exceptions.NotFound(
                f"no service is declared as {service}",
                outcomes.Outcome.NOT_RUN,
            )
        return self.dispatchers[service]

    def reconfigure(self) -> None:
        """Applies a configuration change to dispatchers and components."""
        declared = self.configuration.all("service")
        for name in list(self.dispatchers):
            if name in declared:
                continue
            self.tasks.pop(f"dispatcher-{name}").cancel()
            del self.dispatchers[name]
        for name in declared:
            if name in self.dispatchers:
                continue
            dispatcher = dispatching.Dispatcher(
                name, self.make_scheduler(name), self.fleet
            )
            self.dispatchers[name] = dispatcher
            self.supervise(f"dispatcher-{name}", dispatcher.run)
        for dispatcher in self.dispatchers.values():
            dispatcher.scheduler.set_shares(self.shares())
        self.fleet.sync()
        self.control.reconfigure()

    def shares(self) -> dict[str, types.Share]:
        """Returns the share of each account."""
        found = {}
        for name, account in self.configuration.all("account").items():
            found[name] = types.Share(account.weight, account.tokens_per_second)
        return found

    def make_scheduler(self, service: str) -> scheduler_module.Scheduler:
        """Creates the scheduler of a service."""
        policy = policy_scheduler.Policy(self.settings.node.data_centre)
        return policy_scheduler.PolicyScheduler(policy, random.Random())

    def supervise(
        self, name: str, function: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a task until the node stops; restarts it if it fails.

        Args:
            name: Unique among the tasks.
            function: Creates the coroutine, which returns when it is done.
        """
        self.tasks[name] = asyncio.create_task(
            self.keep_running(name, function), name=name
        )

    async def keep_running(
        self, name: str, function: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs one task, and restarts it after errors until it returns."""
        while True:
            try:
                return await function()
            except Exception as error:
                # No error of one task may stop the node.
                events.log(events.TASK_FAILED, task=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_SECONDS * (1 + random.random()))

    async def run(self) -> None:
        """Runs the node until `stop` is set."""
        await self.start()
        await self.stop.wait()
        await self.shutdown.run(self)

    async def start(self) -> None:
        """Listens for peers, operators and callers and starts all tasks."""
        await self.peers.serve()
        self.callers_runner = await self.listen(
            self.callers.application(),
            self.settings.callers.port,
            self.settings.callers.tls,
        )
        await self.listen(
            self.operators.app(),
            self.settings.operators.port,
            self.settings.operators.tls,
        )
        # Logged before any task logs: this line separates the log lines of
        # two runs.
        events.log(events.NODE_STARTED, incarnation=self.incarnation)
        self.start_tasks()

    def start_tasks(self) -> None:
        """Starts all background tasks."""
        runs = {stream: tail.run for stream, tail in self.tails.items()}
        runs[records.CONFIG] = self.replication.run_tail
        for stream, run in runs.items():
            self.supervise(f"tail-{stream}", run)
        self.supervise("claims", self.calls.keyed.batcher.run)
        self.supervise("reporting", self.reporting.run)
        self.supervise("membership", self.membership.run)
        self.supervise("closings", self.control.closer.run)
        self.supervise("digests", self.digests.run)
        self.supervise("replication", self.replication.run)
        self.supervise("config-pulls", self.replication.run_pulls)
        self.supervise("snapshots", self.replication.run_snapshots)
        self.supervise("readiness", self.watch_readiness)

    async def listen(
        self,
        app: web.Application,
        port: int,
        section: settings_module.TLSSection | None,
    ) -> web.AppRunner:
        """Serves an application on one port of the node's address."""
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=WRITE_TIMEOUT_SECONDS,
        )
        await runner.setup()
        self.runners.append(runner)
        site = web.TCPSite(
            runner,
            self.settings.node.address,
            port,
            ssl_context=tls.server_context(section),
        )
        await site.start()
        return runner

    async def watch_readiness(self) -> None:
        """Logs each change of the node's readiness."""
        was = False
        while True:
            is_ready = self.is_ready()
            if is_ready != was:
                was = is_ready
                event = events.NODE_READY if was else events.NODE_NOT_READY
                events.log(event, revision=self.configuration.revision)
            await asyncio.sleep(dispatching.IDLE_TICK_SECONDS)

    async def stop_listening(self) -> None:
        """Stops accepting connections of callers."""
        for site in list(self.callers_runner.sites):
            await site.stop()
        # Lets data that has already arrived become requests first.
        await asyncio.sleep(0)
        self.callers_runner.server.pre_shutdown()

    async def end_connections(self, limit: float) -> None:
        """Closes idle connections at once, others after their request.

        Args:
            limit: Seconds until a running request is aborted.
        """
        await self.callers_runner.server.shutdown(limit)

    def in_progress(self) -> int:
        """Returns the number of requests of callers and peers in progress."""
        return self.callers.open_requests + self.peers.serving

    async def close(self) -> None:
        """Closes all connections and tasks, callers' requests first."""
        for runner in self.runners:
            await runner.cleanup()
        await self.calls.close()
        await self.control.release()
        await self.reporting.flush()
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.peers.close()
        await self.fleet.close()
        await self.sessions.close()

"""The parts of a gateway that know the site and call others."""

import asyncio
import os
import pathlib
import random
import time

import aiohttp
import uuid6

from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import read_timeouts
from gypsumfold.decisions import retry_budget
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import connection_pool
from gypsumfold.gateway import counters as counters_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import duties as duties_module
from gypsumfold.gateway import generations
from gypsumfold.gateway import intake as intake_module
from gypsumfold.gateway import leadership as leadership_module
from gypsumfold.gateway import line_writer as line_writer_module
from gypsumfold.gateway import origins as origins_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import rate_permits as rate_permits_module
from gypsumfold.gateway import retry_permits as retry_permits_module
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import supervision
from gypsumfold.gateway import topic_watches
from gypsumfold.gateway.peers import gossip as gossip_module
from gypsumfold.platform import replicas
from gypsumfold.platform import store as store_module


class Core:
    """What a gateway knows of its site, and its clients of others.

    Attributes:
        member: This incarnation's unique name among the nodes.
        stop: Set by `Gateway.request_stop`.
        reload: Set to load the settings file again.
        settings_modified_at: Modification time of the loaded settings file.
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
        rng = self.rng = random.Random()
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

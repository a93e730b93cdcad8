"""The parts of a gateway that serve callers and other nodes."""

import pathlib
import time

import aiohttp

from gypsumfold.decisions import peer_choice
from gypsumfold.gateway import authentication
from gypsumfold.gateway import cache_lists
from gypsumfold.gateway import core
from gypsumfold.gateway import crash_records as crash_records_module
from gypsumfold.gateway import handling
from gypsumfold.gateway import line_writer as line_writer_module
from gypsumfold.gateway import plain_calls
from gypsumfold.gateway import plain_queue
from gypsumfold.gateway import plain_replicas
from gypsumfold.gateway import rate_permits as rate_permits_module
from gypsumfold.gateway import retry_permits as retry_permits_module
from gypsumfold.gateway import server as server_module
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway.peers import forward_server
from gypsumfold.gateway.peers import forwarding
from gypsumfold.gateway.peers import loans as loans_module
from gypsumfold.gateway.peers import origin_queries as origin_queries_module
from gypsumfold.gateway.peers import queries
from gypsumfold.gateway.peers import tenure_queries as tenure_queries_module

# Questions for the origins of streams that are open at the same time.
MAX_ORIGIN_QUERIES = 64


class Serving(core.Core):
    """Serves requests and the questions of other nodes."""

    def __init__(
        self,
        settings: settings_module.Settings,
        path: pathlib.Path,
        lines: line_writer_module.NonBlockingLineWriter,
    ):
        super().__init__(settings, path, lines)
        self.authenticator = authentication.Authenticator(
            self.configurations,
            settings.accounts.policy,
            lambda: self.watches.assess_keys(self.store_copy.is_behind()),
        )
        self.forward_link = forwarding.HTTPLink()
        self.forwarder = forwarding.Forwarder(
            self.forward_link,
            self.gossip.sealer,
            peer_choice.PeerChoice(self.rng),
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
                self.rng,
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
            self.origin_client, self.gossip.lenders, self.rng
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

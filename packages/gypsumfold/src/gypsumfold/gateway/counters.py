"""Metrics of a node, served in the Prometheus text format."""

from aiohttp import web
import prometheus_client

from gypsumfold.gateway import intake
from gypsumfold.gateway import plain_queue

# Upper bounds of the latency buckets: finer around the objectives of urgent
# requests (0.1 to 0.8 s) than beyond.
LATENCY_BUCKETS_SECONDS = (
    0.02,
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.0,
    4.0,
    8.0,
)


class Counters:
    """The metrics of one node.

    >>> counters = Counters()
    >>> counters.count_answer("tug-calls", "complete", 0.3)
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "gypsumfold_requests",
            "Final answers by route and outcome.",
            ("route", "outcome"),
            registry=self.registry,
        )
        self.seconds = prometheus_client.Histogram(
            "gypsumfold_request_seconds",
            "From a request's head to its final answer's end.",
            ("route",),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.open_requests = prometheus_client.Gauge(
            "gypsumfold_open_requests",
            "Requests in progress.",
            registry=self.registry,
        )
        self.unusable = prometheus_client.Gauge(
            "gypsumfold_unusable_registrations",
            "Entries of replicas since the start that named none to use.",
            registry=self.registry,
        )
        self.nodes = prometheus_client.Gauge(
            "gypsumfold_nodes",
            "Nodes that take part, as far as this one knows.",
            registry=self.registry,
        )
        self.relays = prometheus_client.Gauge(
            "gypsumfold_relays",
            "1 where this node reads the store and tells others, else 0.",
            registry=self.registry,
        )
        self.registrations_age = prometheus_client.Gauge(
            "gypsumfold_registrations_age_seconds",
            "Age of what this node knows of replicas, at the worst.",
            registry=self.registry,
        )
        self.suspected = prometheus_client.Gauge(
            "gypsumfold_suspected_requests",
            "Requests and parts of prompts that a replica's crash interrupted "
            "and that have not run to their end since.",
            ("subject",),
            registry=self.registry,
        )
        self.quarantined = prometheus_client.Gauge(
            "gypsumfold_quarantined_requests",
            "Requests and parts of prompts that are refused, as they have "
            "crashed replicas.",
            ("subject",),
            registry=self.registry,
        )
        self.quarantine_refusals = prometheus_client.Gauge(
            "gypsumfold_quarantine_refusals",
            "Requests refused since the start, as they or parts of their "
            "prompts have crashed replicas.",
            registry=self.registry,
        )
        self.unreachable = prometheus_client.Gauge(
            "gypsumfold_unreachable_replicas",
            "Replicas that don't answer this node on new connections.",
            registry=self.registry,
        )
        self.forwarded = prometheus_client.Gauge(
            "gypsumfold_forwarded_requests",
            "Requests that other nodes have served for this one since the "
            "start, and those that they declined, each node asked counted.",
            ("result",),
            registry=self.registry,
        )
        self.retries = prometheus_client.Gauge(
            "gypsumfold_retries",
            "Retries since the start that the site's retry budget allowed or "
            "refused.",
            ("service", "result"),
            registry=self.registry,
        )
        self.copies = prometheus_client.Gauge(
            "gypsumfold_copies",
            "Second copies of slow requests since the start that were started "
            "or won, and those that a limit refused, by its name.",
            ("service", "result"),
            registry=self.registry,
        )
        self.taken_up = prometheus_client.Gauge(
            "gypsumfold_taken_up_streams",
            "Streams that callers have taken up since the start, by how the "
            "software version that began them was known.",
            ("source",),
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Gauge(
            "gypsumfold_store_calls",
            "Calls to the store since the start, failed ones included.",
            ("call",),
            registry=self.registry,
        )
        self.task_failures = prometheus_client.Gauge(
            "gypsumfold_task_failures",
            "Failures of a part of the node since the start; it was restarted.",
            ("task",),
            registry=self.registry,
        )
        self.slow_engines = prometheus_client.Gauge(
            "gypsumfold_slow_engines",
            "Engines that prefill slowly at the moment, over all nodes.",
            registry=self.registry,
        )
        self.moved_prompts = prometheus_client.Gauge(
            "gypsumfold_moved_prompts",
            "Prompts taken back from slow or leaving engines since the start.",
            registry=self.registry,
        )
        self.waiting_calls = prometheus_client.Gauge(
            "gypsumfold_waiting_calls",
            "Calls to plain services that wait, as all replicas are full.",
            ("service",),
            registry=self.registry,
        )
        self.waited_calls = prometheus_client.Gauge(
            "gypsumfold_waited_calls",
            "Calls to plain services that have waited since the start.",
            ("service",),
            registry=self.registry,
        )
        self.backlog_refusals = prometheus_client.Gauge(
            "gypsumfold_backlog_refusals",
            "Calls to plain services refused since the start instead of "
            "waiting longer.",
            ("service",),
            registry=self.registry,
        )
        self.keys_refused = prometheus_client.Gauge(
            "gypsumfold_refused_keys",
            "Requests refused for their key since the start.",
            registry=self.registry,
        )

        self.held_bytes = prometheus_client.Gauge(
            "gypsumfold_held_bytes",
            "Bytes that are held for callers on all ports.",
            registry=self.registry,
        )
        self.held_connections = prometheus_client.Gauge(
            "gypsumfold_held_connections",
            "Open connections of callers, balancers and other nodes.",
            registry=self.registry,
        )
        self.turned_away = prometheus_client.Gauge(
            "gypsumfold_turned_away",
            "Connections refused or closed since the start to bound what is "
            "held for callers, by reason.",
            ("reason",),
            registry=self.registry,
        )

    def update_intake(self, room: intake.Intake) -> None:
        """Updates the gauges of what is held for callers."""
        self.held_bytes.set(room.held)
        self.held_connections.set(len(room.connections))
        for reason, count in room.closed.items():
            self.turned_away.labels(reason).set(count)

    def count_answer(self, route: str, outcome: str, seconds: float) -> None:
        """Counts one final answer."""
        self.requests.labels(route, outcome).inc()
        self.seconds.labels(route).observe(seconds)

    def update_plain_calls(self, queue: plain_queue.PlainQueue) -> None:
        """Updates the gauges of calls that wait for plain services."""
        for service in queue.services:
            waiting = queue.count_waiting(service)
            self.waiting_calls.labels(service).set(waiting)
        for service, count in queue.waited.items():
            self.waited_calls.labels(service).set(count)
        for service, count in queue.refused.items():
            self.backlog_refusals.labels(service).set(count)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Serves all metrics as text."""
        return web.Response(
            body=prometheus_client.generate_latest(self.registry),
            content_type="text/plain",
        )

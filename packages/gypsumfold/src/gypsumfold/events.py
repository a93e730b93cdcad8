"""The numbered log events; docs/EVENTS.md is printed from this module."""

import logging
import sys
from typing import NamedTuple

import structlog


class Event(NamedTuple):
    """One kind of log line.

    Attributes:
        number: Unique and never used again for another meaning.
        name: Short, lowercase, hyphenated.
        level: A level name of ``logging``.
        meaning: One sentence for operators.
    """

    number: int
    name: str
    level: str
    meaning: str


CATALOGUE: dict[int, Event] = {}


def define(number: int, name: str, level: str, meaning: str) -> Event:
    """Adds an event to the catalogue.

    Args:
        number: 1xx node, 2xx callers, 3xx endpoints, 4xx platform,
            5xx peers, 6xx control, 7xx configuration, 8xx decisions,
            9xx operators.
        name: Short, lowercase, hyphenated.
        level: A level name of ``logging``.
        meaning: One sentence for operators.

    Returns:
        The event, to be passed to `log`.
    """
    event = Event(number, name, level, meaning)
    assert number not in CATALOGUE, number
    CATALOGUE[number] = event
    return event


NODE_STARTED = define(100, "node-started", "info", "The process listens.")
NODE_READY = define(
    101, "node-ready", "info", "The node takes requests from callers."
)
NODE_NOT_READY = define(
    102, "node-not-ready", "warning", "The node takes no new requests."
)
NODE_STOPPING = define(
    103, "node-stopping", "info", "A graceful shutdown has begun."
)
NODE_STOPPED = define(104, "node-stopped", "info", "The process ends.")
TASK_FAILED = define(
    105, "task-failed", "error", "A task ended by a failure and starts again."
)
SETTINGS_RELOADED = define(
    108, "settings-reloaded", "info", "The settings file was read again."
)
SETTINGS_REJECTED = define(
    109,
    "settings-rejected",
    "error",
    "The settings file cannot be used; the old settings stay.",
)
LINES_DROPPED = define(
    110,
    "lines-dropped",
    "warning",
    "Log lines were dropped, since nobody read them fast enough.",
)
NODE_DRAINING = define(
    106,
    "node-draining",
    "info",
    "The node listens no more; requests in progress go on to their end.",
)
NODE_GAVE_UP = define(
    107,
    "node-gave-up",
    "error",
    "Requests still ran at the shutdown's limit and were cut.",
)
REQUEST_ENDED = define(
    200, "request-ended", "info", "A request got its final answer."
)
STREAM_CONTINUED = define(
    201,
    "stream-continued",
    "warning",
    "A broken stream went on from its last token.",
)
CLAIM_RECORD_LOST = define(
    210,
    "claim-record-lost",
    "error",
    "Too many records wait for the log; a repeat of a keyed call is told "
    "that its end is undetermined.",
)
CALL_PLACED = define(
    220, "call-placed", "info", "A request is sent to a replica."
)
PROMPT_PLACED = define(
    221, "prompt-placed", "info", "A prompt is sent to an engine to be read."
)
ATTEMPT_FAILED = define(
    222, "attempt-failed", "warning", "A replica did not answer as it should."
)
CALL_REPEATED = define(223, "call-repeated", "info", "A request is sent again.")
CALL_HELD = define(
    225,
    "call-held",
    "info",
    "No engine generates; the request waits for one.",
)
CALL_HOPELESS = define(
    226,
    "call-hopeless",
    "info",
    "The caller would leave before its prompt is read; it is told at once.",
)
ROUTE_MISSING = define(
    227,
    "route-missing",
    "info",
    "No route of the configuration in force has the request's host and path.",
)
REPEAT_REFUSED = define(
    228,
    "repeat-refused",
    "info",
    "A request is not sent once more: this node's share of repeats is used.",
)
REQUEST_QUARANTINED = define(
    229,
    "request-quarantined",
    "warning",
    "A request is refused: it has crashed the replicas that ran it.",
)
SUSPECT_HELD = define(
    230,
    "suspect-held",
    "info",
    "A request that may have crashed a replica was held until it could run "
    "as the only suspect on one, or until its caller would have left.",
)
CALL_ENDED = define(
    224, "call-ended", "info", "A request has its final answer."
)
ENDPOINT_HEARD = define(
    300, "endpoint-heard", "info", "An endpoint answers its load poll."
)
ENDPOINT_SILENT = define(
    301,
    "endpoint-silent",
    "warning",
    "An endpoint was not heard of for seconds; it gets no work.",
)
ENDPOINT_LEAVING = define(
    302, "endpoint-leaving", "info", "An endpoint leaves; it gets no work."
)
REPLICA_CHANGED = define(
    310, "replica-changed", "info", "A replica's registration changed."
)
REPLICA_GONE = define(
    311, "replica-gone", "info", "A replica's registration is gone."
)
REPLICA_LAPSED = define(
    315,
    "replica-lapsed",
    "info",
    "A replica's registration is missing; it still gets work for a moment, "
    "since the store may have been away.",
)
REPLICA_RESTARTED = define(
    314,
    "replica-restarted",
    "info",
    "A replica has started again under its old id; it holds nothing.",
)
REPLICA_SILENT = define(
    312,
    "replica-silent",
    "warning",
    "A replica sends nothing though it owes answers; it gets no work.",
)
REPLICA_CRASHED = define(
    316,
    "replica-crashed",
    "warning",
    "A replica ended while it ran requests of this node, by their "
    "fingerprints.",
)
QUARANTINE_BEGUN = define(
    317,
    "quarantine-begun",
    "warning",
    "A request is sent to no replica for now, as it crashed several.",
)
SUSPECT_CLEARED = define(
    318,
    "suspect-cleared",
    "info",
    "A request that was interrupted by a crash has run to its end.",
)
REPLICA_HEARD = define(
    313, "replica-heard", "info", "A silent replica gives a sign of life."
)
STORE_LOST = define(
    410, "store-lost", "warning", "The store does not answer; all goes on."
)
STORE_REGAINED = define(
    411, "store-regained", "info", "The store answers again."
)
TOPIC_READ = define(
    413,
    "topic-read",
    "info",
    "All that a topic of the store says was read again after a failed read.",
)
TOPIC_UNREAD = define(
    415, "topic-unread", "warning", "A read of a topic of the store failed."
)
STORE_CALLED = define(
    412, "store-called", "info", "Calls to the store since the last such line."
)
LOG_DOWN = define(
    400, "log-down", "warning", "The log cannot be read; requests go on."
)
RECORD_SKIPPED = define(
    402, "record-skipped", "error", "A record on the log cannot be read."
)
LOG_UP = define(401, "log-up", "info", "The log can be read again.")
PEER_CONNECTED = define(500, "peer-connected", "info", "A peer answers.")
PEER_LOST = define(
    501, "peer-lost", "warning", "A peer failed on a fresh connection too."
)
FRAME_REFUSED = define(
    502, "frame-refused", "warning", "A frame from a peer was not authentic."
)
RELAY_CHOSEN = define(
    510,
    "relay-chosen",
    "info",
    "This node hears of the others and of the store by another relay.",
)
KNOWLEDGE_DOUBTED = define(
    511,
    "knowledge-doubted",
    "info",
    "What a relay told is too old or differs; the store is read instead.",
)
ENTRY_SUSPECTED = define(
    513,
    "entry-suspected",
    "info",
    "A node that is not heard was marked in the store; it may renew its entry.",
)
CRASH_RECORDS_DELAYED = define(
    414,
    "crash-records-delayed",
    "warning",
    "The requests that crash replicas could not be read or written yet.",
)
ENTRY_RENEWED = define(
    514, "entry-renewed", "info", "The entry of a node that runs was renewed."
)
ENTRY_REMOVED = define(
    515,
    "entry-removed",
    "info",
    "The marked entry of a node was removed, as nobody has renewed it.",
)
DATAGRAMS_SENT = define(
    516,
    "datagrams-sent",
    "info",
    "Kilobytes sent to other nodes since the last such line, by kind.",
)
PEER_SILENT = define(
    512,
    "peer-silent",
    "warning",
    "A relay did not answer a question; the store or the engines are asked.",
)
ORDERS_GAINED = define(
    610, "orders-gained", "info", "This node may give orders to engines."
)
ORDERS_LOST = define(
    611, "orders-lost", "info", "This node may give no orders any more."
)
ROLE_ORDERED = define(
    612, "role-ordered", "info", "An engine was ordered to change its role."
)
ROLE_ORDER_FAILED = define(
    613,
    "role-order-failed",
    "warning",
    "It is not known, or known to be false, that an order was accepted.",
)
LEASE_GRANTED = define(
    600, "lease-granted", "info", "This node holds the lease of a service."
)
LEASE_RELEASED = define(
    601, "lease-released", "info", "This node gave a lease up."
)
HOLDER_ENDED = define(
    602,
    "holder-ended",
    "info",
    "There is proof that an earlier holder of a lease is gone.",
)
ORDER_SENT = define(603, "order-sent", "info", "An order goes to an engine.")
ORDER_ENDED = define(
    604, "order-ended", "info", "It is known what became of an order."
)
CONFIG_APPLIED = define(
    700, "config-applied", "info", "A change of configuration is in force."
)
CONFIG_REJECTED = define(
    701, "config-rejected", "info", "A change of configuration is void."
)
CONFIG_IN_FORCE = define(
    710, "config-in-force", "info", "A version of the configuration is used."
)
CONFIG_UNREADABLE = define(
    711,
    "config-unreadable",
    "error",
    "A version of the configuration cannot be read; the last one stays.",
)
CONFIG_RESTORED = define(
    702,
    "config-restored",
    "info",
    "The configuration moved forward to a snapshot.",
)
CONFIG_PULL_FAILED = define(
    703,
    "config-pull-failed",
    "warning",
    "A peer that is ahead did not give its configuration.",
)
SNAPSHOT_PUBLISHED = define(
    704,
    "snapshot-published",
    "info",
    "A snapshot of the configuration is on the log.",
)
SNAPSHOT_FAILED = define(
    705,
    "snapshot-failed",
    "warning",
    "A snapshot of the configuration could not be put on the log.",
)
SNAPSHOT_NOT_SOUGHT = define(
    706,
    "snapshot-not-sought",
    "warning",
    "The log could not be searched for a snapshot; it is read from the start.",
)
RETRIES_SHARED = define(
    801,
    "retries-shared",
    "info",
    "The budget of repeats is shared by another number of nodes.",
)
ROLE_PLANNED = define(
    800, "role-planned", "info", "The planner wants an engine in another role."
)


def configure(node: str, stream=sys.stderr) -> None:
    """Sets structlog up to write one JSON object a line.

    Args:
        node: The node's name, on every line.
        stream: Where the lines go.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)


def log(event: Event, **fields) -> None:
    """Writes one event.

    Args:
        event: What happened.
        **fields: Names and values to go with it; never a secret.
    """
    write = getattr(structlog.get_logger(), event.level)
    write(event.name, number=event.number, **fields)

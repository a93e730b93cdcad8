"""The numbered log events; docs/EVENTS.md is printed from this module."""

import logging
import sys
from typing import NamedTuple

import structlog


class Event(NamedTuple):
    """One kind of log line.

    Attributes:
        number: Unique number, never reused for another meaning.
        name: Short, lowercase, hyphenated.
        level: A level name of ``logging``.
        meaning: One sentence that explains the event to operators.
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


NODE_STARTED = define(
    100, "node-started", "info", "The process listens on its ports."
)
NODE_READY = define(
    101, "node-ready", "info", "The node accepts requests from callers."
)
NODE_NOT_READY = define(
    102, "node-not-ready", "warning", "The node accepts no new requests."
)
NODE_STOPPING = define(
    103, "node-stopping", "info", "A graceful shutdown has started."
)
NODE_STOPPED = define(104, "node-stopped", "info", "The process ends.")
TASK_FAILED = define(
    105, "task-failed", "error", "A task failed and is restarted."
)
SETTINGS_RELOADED = define(
    108, "settings-reloaded", "info", "The settings file was read again."
)
SETTINGS_REJECTED = define(
    109,
    "settings-rejected",
    "error",
    "The settings file is invalid; the old settings stay in force.",
)
LINES_DROPPED = define(
    110,
    "lines-dropped",
    "warning",
    "Log lines were dropped because their reader was too slow.",
)
NODE_DRAINING = define(
    106,
    "node-draining",
    "info",
    "The node has stopped listening; requests in progress run to completion.",
)
NODE_GAVE_UP = define(
    107,
    "node-gave-up",
    "error",
    "Requests still running at the shutdown's time limit were aborted.",
)
STOP_STEP = define(
    111,
    "stop-step",
    "info",
    "A step of a graceful shutdown has ended or was given up.",
)
REQUEST_ENDED = define(
    200, "request-ended", "info", "A request got its final answer."
)
STREAM_CONTINUED = define(
    201,
    "stream-continued",
    "warning",
    "An interrupted stream was continued after its last token.",
)
CLAIM_RECORD_LOST = define(
    210,
    "claim-record-lost",
    "error",
    "Too many records wait for the log; a retry of a call with an idempotency "
    "key is answered that its outcome is undetermined.",
)
CALL_PLACED = define(
    220, "call-placed", "info", "A request is sent to a replica."
)
PROMPT_PLACED = define(
    221, "prompt-placed", "info", "A prompt is sent to an engine for prefill."
)
ATTEMPT_FAILED = define(
    222,
    "attempt-failed",
    "warning",
    "An attempt to run a request on a replica failed.",
)
RUN_REJECTED = define(
    247,
    "run-rejected",
    "info",
    "A replica answered that it has not run a request: on which connection, "
    "as which exchange there, and how long after the request.",
)
CALL_REPEATED = define(223, "call-repeated", "info", "A request is sent again.")
CALL_HELD = define(
    225,
    "call-held",
    "info",
    "No engine is available for decode; the request waits for one.",
)
CALL_HOPELESS = define(
    226,
    "call-hopeless",
    "info",
    "The caller would leave before the prefill of its prompt ends; the request "
    "is refused at once.",
)
ROUTE_MISSING = define(
    227,
    "route-missing",
    "info",
    "No route in the current configuration matches the request's host and "
    "path.",
)
REPEAT_REFUSED = define(
    228,
    "repeat-refused",
    "info",
    "A request is not retried: this node's share of the retry budget is spent.",
)
REQUEST_QUARANTINED = define(
    229,
    "request-quarantined",
    "warning",
    "A request is refused because it, or the part of its prompt that is named "
    "as the cause, has crashed the replicas that ran it.",
)
SUSPECT_HELD = define(
    230,
    "suspect-held",
    "info",
    "A request that may have crashed a replica was held until it could run "
    "as the only suspect on a replica, or until its caller would have left.",
)
KEY_REFUSED = define(
    231,
    "key-refused",
    "info",
    "No account in the current configuration holds the request's key, which is "
    "identified by a fingerprint; unless that is certain, the request may be "
    "retried at another node.",
)
REQUEST_FORWARDED = define(
    233,
    "request-forwarded",
    "info",
    "A request is passed on to another node, as this one can use too few "
    "replicas of its service.",
)
FORWARD_DECLINED = define(
    234,
    "forward-declined",
    "info",
    "Another node has not begun to serve a request that was passed on to it.",
)
STREAM_STRANDED = define(
    236,
    "stream-stranded",
    "warning",
    "A stream cannot go on: no engine of the software version that began it "
    "is available.",
)
STREAM_TAKEN_UP = define(
    237,
    "stream-taken-up",
    "info",
    "A caller takes up a stream; the software version that began it is known "
    "from this node's own memory, from a peer, as the sole one, or unknown.",
)
VIEW_UNCONFIRMED = define(
    251,
    "view-unconfirmed",
    "warning",
    "The store did not confirm in time what this node knows of replicas and "
    "routes, so that a stream that nobody remembers is refused.",
)
LOAN_FAILED = define(
    238,
    "loan-failed",
    "info",
    "A node that was asked for a part of an allowance did not answer.",
)
PREFILL_MOVED = define(
    240,
    "prefill-moved",
    "info",
    "A prompt waited at an engine that is slow or leaving; it was taken back "
    "and is sent to another one.",
)
COPY_STARTED = define(
    239,
    "copy-started",
    "info",
    "A second copy of a slow request is sent to another replica.",
)
COPIES_ENDED = define(
    219,
    "copies-ended",
    "info",
    "One of the two copies of a request has won, or none has.",
)
RATE_LIMIT_CHANGED = define(
    340,
    "rate-limit-changed",
    "info",
    "A replica names another limit of the requests that it takes from all "
    "nodes, or none.",
)
STATEMENT_REJECTED = define(
    341,
    "statement-rejected",
    "warning",
    "A replica's answer names a limit or a backoff that cannot be read; "
    "what was known before stays.",
)
REPLICA_LEAVING = define(
    342,
    "replica-leaving",
    "info",
    "A replica's answer, or another node, says that it is shutting down.",
)
TOPIC_BEHIND = define(
    417,
    "topic-behind",
    "info",
    "The store has no records where this node has read to; it reads the newest "
    "record of every key.",
)
STORE_RETURNED = define(
    418,
    "store-returned",
    "warning",
    "The store has returned from an older copy, in a new era; positions of "
    "earlier eras are void.",
)
STORE_ERA_REJECTED = define(
    419,
    "store-era-rejected",
    "warning",
    "An answer of the store names an era that cannot be read, or an earlier "
    "one.",
)
STEADY_ADOPTED = define(
    248,
    "steady-adopted",
    "info",
    "A starting node has taken over from the store for how long a service has "
    "had the same software versions, or a route the same services.",
)
STEADY_UNSTORED = define(
    249,
    "steady-unstored",
    "warning",
    "A change of software versions or of routes could not be stored yet.",
)
ANSWER_NOT_DRAINED = define(
    344,
    "answer-not-drained",
    "info",
    "The body of an answer whose head told all broke off or did not end in "
    "time; its connection is closed.",
)
REPLICA_BACKOFF = define(
    343,
    "replica-backoff",
    "info",
    "A replica turns a request away and asks this node to back off.",
)
FORWARD_BROKEN = define(
    235,
    "forward-broken",
    "warning",
    "The node that served a request broke off; replicas may have run it.",
)
ANSWER_UNFRAMED = define(
    232,
    "answer-unframed",
    "info",
    "A stream with neither a length nor chunks has ended with its connection.",
)
CALL_WAITED = define(
    245,
    "call-waited",
    "info",
    "A call to a plain service has waited while all replicas were full, and "
    "was sent or refused, or its caller left.",
)
CALL_NOT_QUEUED = define(
    246,
    "call-not-queued",
    "info",
    "A call to a plain service was refused as not run, as its turn would have "
    "come too late, too many calls wait or the node is stopping.",
)
CALL_ENDED = define(
    224, "call-ended", "info", "A request has its final answer."
)
USAGE_UNSTORED = define(
    431,
    "usage-unstored",
    "warning",
    "Usage counts could not be written to the store; retried.",
)
USAGE_RECORDED = define(
    432,
    "usage-recorded",
    "info",
    "The total usage of a window is decided for good and is in the store.",
)
USAGE_REPORTED = define(
    433,
    "usage-reported",
    "info",
    "The platform has accepted the usage of a window.",
)
USAGE_FENCED = define(
    434,
    "usage-fenced",
    "warning",
    "The platform refused a usage report, as another node has reported with a "
    "higher fencing token.",
)
USAGE_DELAYED = define(
    435,
    "usage-delayed",
    "warning",
    "A window's usage could not be totalled or reported; retried.",
)
REPLICAS_ORDERED = define(
    640,
    "replicas-ordered",
    "info",
    "The platform has accepted an order of replicas.",
)
REPLICAS_REFUSED = define(
    641,
    "replicas-refused",
    "warning",
    "The platform refused an order of replicas: none are available there, or "
    "another node has used a higher fencing token.",
)
REPLICAS_NOT_ORDERED = define(
    642,
    "replicas-not-ordered",
    "warning",
    "An order of replicas had no answer; it may be carried out later.",
)
CAPACITY_CHANGED = define(
    643,
    "capacity-changed",
    "info",
    "The number of engines that a service needs has changed: the load now, and "
    "the most that each role needed in the recent period.",
)
CAPACITY_UNSTORED = define(
    644,
    "capacity-unstored",
    "warning",
    "The number of engines that a service needs could not be stored for a "
    "later leader; retried.",
)
ENDPOINT_HEARD = define(
    300, "endpoint-heard", "info", "An endpoint answers its load polls."
)
ENDPOINT_SILENT = define(
    301,
    "endpoint-silent",
    "warning",
    "An endpoint has not answered load polls for seconds; it gets no work.",
)
ENDPOINT_LEAVING = define(
    302,
    "endpoint-leaving",
    "info",
    "An endpoint's VM is not listed as live; the endpoint gets no work.",
)
REPLICA_CHANGED = define(
    310, "replica-changed", "info", "A replica's registration changed."
)
REPLICA_GONE = define(
    311, "replica-gone", "info", "A replica's registration was removed."
)
REPLICA_LAPSED = define(
    315,
    "replica-lapsed",
    "info",
    "A replica's registration is missing; the replica still gets work for a "
    "short time, since the store may have been unavailable.",
)
REPLICA_RESTARTED = define(
    314,
    "replica-restarted",
    "info",
    "A replica has restarted under its old id and has lost its state.",
)
REPLICA_SILENT = define(
    312,
    "replica-silent",
    "warning",
    "A replica sends nothing although answers are pending; it gets no work.",
)
REPLICA_CRASHED = define(
    316,
    "replica-crashed",
    "warning",
    "A replica crashed while it ran requests of this node, which are listed "
    "by fingerprint, and so are the parts of prompts of those without output.",
)
QUARANTINE_BEGUN = define(
    317,
    "quarantine-begun",
    "warning",
    "A request that crashed several replicas is sent to none for now, or no "
    "request with a part of a prompt is.",
)
SUSPECT_CLEARED = define(
    318,
    "suspect-cleared",
    "info",
    "A request that was interrupted by a crash has run to completion, or one "
    "with a part of its prompt was answered.",
)
REPLICA_HEARD = define(
    313, "replica-heard", "info", "A silent replica sends data again."
)
REPLICA_UNREACHABLE = define(
    319,
    "replica-unreachable",
    "warning",
    "A new connection to a replica got no answer; the replica gets work only "
    "over connections that are open.",
)
REPLICA_REACHED = define(
    320,
    "replica-reached",
    "info",
    "A replica answers on new connections again.",
)
STORE_LOST = define(
    410,
    "store-lost",
    "warning",
    "The store does not answer; requests are still served.",
)
STORE_REGAINED = define(
    411, "store-regained", "info", "The store answers again."
)
TOPIC_READ = define(
    413,
    "topic-read",
    "info",
    "A topic of the store was read completely after a failed read.",
)
TOPIC_UNREAD = define(
    415, "topic-unread", "warning", "A read of a topic of the store failed."
)
STORE_CALLED = define(
    412,
    "store-called",
    "info",
    "Calls to the store since the last event of this kind.",
)
LOG_DOWN = define(
    400,
    "log-down",
    "warning",
    "The log cannot be read; requests are still served.",
)
RECORD_SKIPPED = define(
    402,
    "record-skipped",
    "error",
    "A record on the log cannot be decoded and is skipped.",
)
LOG_UP = define(401, "log-up", "info", "The log can be read again.")
PEER_CONNECTED = define(500, "peer-connected", "info", "A peer answers.")
PEER_LOST = define(
    501, "peer-lost", "warning", "A peer failed on a new connection as well."
)
FRAME_REFUSED = define(
    502,
    "frame-refused",
    "warning",
    "A frame from a peer was rejected as not authentic.",
)
RELAY_CHOSEN = define(
    510,
    "relay-chosen",
    "info",
    "This node gets its updates of other nodes and of the store from another "
    "relay.",
)
KNOWLEDGE_DOUBTED = define(
    511,
    "knowledge-doubted",
    "info",
    "A relay's data is too old or inconsistent; the store is read instead.",
)
ENTRY_SUSPECTED = define(
    513,
    "entry-suspected",
    "info",
    "The entry of a silent node was marked in the store; it may renew it.",
)
CRASH_RECORDS_DELAYED = define(
    414,
    "crash-records-delayed",
    "warning",
    "The records of requests that crash replicas could not be read or written "
    "yet.",
)
ENTRY_RENEWED = define(
    514,
    "entry-renewed",
    "info",
    "The store entry of a running node was renewed.",
)
ENTRY_REMOVED = define(
    515,
    "entry-removed",
    "info",
    "The marked entry of a node was removed because it was not renewed.",
)
DATAGRAMS_SENT = define(
    516,
    "datagrams-sent",
    "info",
    "Kilobytes sent to other nodes since the last event of this kind, by kind "
    "of message.",
)
PEER_SILENT = define(
    512,
    "peer-silent",
    "warning",
    "A relay did not answer a query; the store or the engines are queried.",
)
ORDERS_GAINED = define(
    610, "orders-gained", "info", "This node may now send orders to engines."
)
ORDERS_LOST = define(
    611, "orders-lost", "info", "This node may no longer send orders."
)
LEADERSHIP_LAPSES = define(
    616,
    "leadership-lapses",
    "warning",
    "A call of a tenure that ends has not been answered and may still arrive: "
    "the end isn't recorded, and the next holder waits for a lease.",
)
AUTHORITY_USED = define(
    617,
    "authority-used",
    "info",
    "A call under the authority is being sent: the age of the renewal as the "
    "call was permitted, and the time from then until its bytes were handed "
    "to the socket.",
)
ROLE_ORDERED = define(
    612, "role-ordered", "info", "An engine was ordered to change its role."
)
ROLE_ORDER_FAILED = define(
    613,
    "role-order-failed",
    "warning",
    "An order was not accepted, or it is not known whether it was.",
)
ROLE_RESERVE_KEPT = define(
    614,
    "role-reserve-kept",
    "info",
    "The spare decode engines of a service have changed; as many as the "
    "settings ask for are allowed.",
)
ROLE_RESERVE_SHORT = define(
    615,
    "role-reserve-short",
    "warning",
    "A service has too few engines, or too much load, for the spare decode "
    "engines that the settings ask for.",
)
LEASE_GRANTED = define(
    600, "lease-granted", "info", "This node holds the lease of a service."
)
LEASE_RELEASED = define(
    601, "lease-released", "info", "This node released a lease."
)
HOLDER_ENDED = define(
    602,
    "holder-ended",
    "info",
    "There is proof that an earlier holder of a lease has ended.",
)
ORDER_SENT = define(603, "order-sent", "info", "An order is sent to an engine.")
ORDER_ENDED = define(
    604, "order-ended", "info", "The outcome of an order is known."
)
CONFIG_APPLIED = define(
    700, "config-applied", "info", "A change of configuration is in force."
)
CONFIG_REJECTED = define(
    701, "config-rejected", "info", "A change of configuration was rejected."
)
CONFIG_IN_FORCE = define(
    710,
    "config-in-force",
    "info",
    "A version of the configuration is now in force.",
)
CONFIG_UNREADABLE = define(
    711,
    "config-unreadable",
    "error",
    "A version of the configuration cannot be read; the last one stays in "
    "force.",
)
CONFIG_RESTORED = define(
    702,
    "config-restored",
    "info",
    "The configuration was advanced to a snapshot.",
)
CONFIG_PULL_FAILED = define(
    703,
    "config-pull-failed",
    "warning",
    "A peer with a newer configuration did not send it.",
)
SNAPSHOT_PUBLISHED = define(
    704,
    "snapshot-published",
    "info",
    "A snapshot of the configuration was appended to the log.",
)
SNAPSHOT_FAILED = define(
    705,
    "snapshot-failed",
    "warning",
    "A snapshot of the configuration could not be appended to the log.",
)
SNAPSHOT_NOT_SOUGHT = define(
    706,
    "snapshot-not-sought",
    "warning",
    "The log could not be searched for a snapshot; it is read from the start.",
)
CALLERS_TURNED_AWAY = define(
    250,
    "callers-turned-away",
    "warning",
    "Connections of callers were refused or closed since the line before, by "
    "reason; with the bytes held for callers and the connections.",
)
RETRIES_SHARED = define(
    801,
    "retries-shared",
    "info",
    "The number of nodes that share the retry budget has changed.",
)
ROLE_PLANNED = define(
    800, "role-planned", "info", "The planner wants an engine in another role."
)


def configure(node: str, stream=sys.stderr) -> None:
    """Configures structlog to write one JSON object per line.

    Args:
        node: The node's name, added to every line.
        stream: The output stream.
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
        event: The kind of event.
        **fields: Further fields of the line; must not contain secrets.
    """
    write = getattr(structlog.get_logger(), event.level)
    write(event.name, number=event.number, **fields)

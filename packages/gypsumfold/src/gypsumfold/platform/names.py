"""Every name that the users' platform puts on the wire.

Nothing outside this package spells one of them. Where a name says something
else than what it holds, the comment above it says what that is.
"""

from gypsumfold.decisions import routes
from gypsumfold.decisions import types

# Headers of a request. The first is new for each attempt of a caller.
ATTEMPT = "Attempt-Id"
TIME_LEFT = "Deadline-Ms"
MODEL = "Model"
TOKEN_COUNTS = "Token-Counts"
# The whole chain of prompt parts, not one hash.
CHAIN = "Prefix-Hash"
LAST_EVENT = "Last-Event-Id"

# Headers that only a node may set on a request to a replica.
EXPECTED_INSTANCE = "Expect-Instance"
URGENCY = "Request-Priority"
STAGE = "Stage"
# IP:PORT/HANDLE of the KV cache to take over.
CACHE_HANDLE = "Kv-Source"
# IP:PORT of a replica whose cached prompt parts are copied first.
CACHE_PEER = "Kv-Fetch"
NODE_ONLY = frozenset(
    name.lower().encode()
    for name in (
        EXPECTED_INSTANCE,
        URGENCY,
        STAGE,
        CACHE_HANDLE,
        CACHE_PEER,
        "Expect-Version",
        "Pin-Ms",
        "Kv-Hold",
        "Kv-Backup",
    )
)

# Headers of an answer. The first marks an answer that a replica made.
SEAL = "Response-Seal"
NOT_RUN = "Not-Run"
RETRY_AFTER = "Retry-After"
INSTANCE = "Instance-Id"

# Headers that concern one connection only and are never passed on.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

# Calls to a node.
READY_PATH = "/v1/readyz"

# Calls to a replica.
REPORT_PATH = "/v1/report"
ORDER_PATH = "/v1/order"
HANDLE_PATH = "/v1/kv-handle/"
CACHE_LIST_PATH = "/v1/kv-list"

# Calls to the store and the topics and keys in it.
APPEND_PATH = "/v1/log-append"
READ_PATH = "/v1/log-read"
NEWEST_PATH = "/v1/log-newest"
JOIN_PATH = "/v1/log-join"
LEAVE_PATH = "/v1/log-leave"
# What each call is named in logs and metrics.
STORE_CALL_NAMES = {
    APPEND_PATH: "write",
    READ_PATH: "read",
    NEWEST_PATH: "newest",
    JOIN_PATH: "join",
    LEAVE_PATH: "leave",
}
CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
REGISTRATIONS_TOPIC = "keyed.servers"
NODES_TOPIC = "keyed.gypsumfold-nodes"
CRASHES_TOPIC = "keyed.gypsumfold-crashes"

ROUTE_KINDS = {
    "idempotent": routes.Kind.IDEMPOTENT,
    "non_idempotent": routes.Kind.NON_IDEMPOTENT,
    "streaming": routes.Kind.STREAMING,
}
ROLES = {
    "prefill": types.Role.PREFILL,
    "decode": types.Role.DECODE,
    "colocated": types.Role.MIXED,
}
ROLE_NAMES = {role: word for word, role in ROLES.items()}
DRAINING = "draining"
REPLICA_STATES = frozenset(("ready", DRAINING))

# Seconds without an event after which callers leave a stream: the longest of
# these, with the objective and the declared pause times these factors.
MIN_ABANDON_TIMEOUT_SECONDS = 2.0
ABANDON_TIMEOUT_OBJECTIVES = 4.0
ABANDON_TIMEOUT_PAUSES = 8.0

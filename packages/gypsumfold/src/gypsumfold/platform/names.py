"""All names that the users' platform uses on the wire.

No module outside this package spells them out. Comments explain the names that
do not match their content.
"""

from gypsumfold.decisions import routes
from gypsumfold.decisions import types

# Request headers. The first one differs for each attempt of a caller.
ATTEMPT = "Attempt-Id"
TIME_LEFT = "Deadline-Ms"
MODEL = "Model"
TOKEN_COUNTS = "Token-Counts"
# The complete chain of prefix blocks, not one hash.
CHAIN = "Prefix-Hash"
LAST_EVENT = "Last-Event-Id"
# Attempt id of the caller's attempt that brought a stream's first event.
RESUMES = "Resumes"
# The key of a client account; never forwarded.
KEY = "Credential"

# Headers that only a node may set on a request to a replica.
EXPECTED_INSTANCE = "Expect-Instance"
URGENCY = "Request-Priority"
STAGE = "Stage"
# Name of the client account on whose behalf a request runs.
ACCOUNT = "Tenant"
# IP:PORT/HANDLE of the KV cache to transfer.
CACHE_HANDLE = "Kv-Source"
# IP:PORT of a replica whose cached prefix blocks are copied first.
CACHE_PEER = "Kv-Fetch"
NODE_ONLY = frozenset(
    name.lower().encode()
    for name in (
        EXPECTED_INSTANCE,
        URGENCY,
        STAGE,
        CACHE_HANDLE,
        CACHE_PEER,
        KEY,
        ACCOUNT,
        "Expect-Version",
        "Pin-Ms",
        "Kv-Hold",
        "Kv-Backup",
    )
)

# Response headers. The first one marks an answer that a replica made.
SEAL = "Response-Seal"
NOT_RUN = "Not-Run"
RETRY_AFTER = "Retry-After"
RATE_LIMIT = "Server-Limit"
# Highest status of an answer in HTTP; parsers take any three digits.
HIGHEST_STATUS = 599
# Set by a replica that is about to shut down.
LEAVING = "Server-Leaving"
INSTANCE = "Instance-Id"

# Headers that concern one connection only and are never forwarded.
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

# Calls to the platform that one node at a time makes, and their headers.
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
DUTY_HOLDER = "Duty-Holder"
FENCING_TOKEN = "Fence-Token"
# Duties as the settings list them.
USAGE_DUTY = "metering"
SCALE_DUTY = "autoscale"

# Calls to the store, and its topics and keys.
APPEND_PATH = "/v1/log-append"
READ_PATH = "/v1/log-read"
NEWEST_PATH = "/v1/log-newest"
JOIN_PATH = "/v1/log-join"
LEAVE_PATH = "/v1/log-leave"
# Set in all answers of the store; rises when it returns from an older copy.
STORE_ERA = "Store-Era"
# Names of the calls in logs and metrics.
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
USAGE_TOPIC = "keyed.gypsumfold-usage"
USAGE_TOTALS_TOPIC = "keyed.gypsumfold-usage-totals"
USAGE_ERAS_TOPIC = "keyed.gypsumfold-usage-eras"
CAPACITY_TOPIC = "keyed.gypsumfold-capacity"
STEADY_TOPIC = "keyed.gypsumfold-steady"
TENURES_TOPIC = "keyed.gypsumfold-tenures"

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

# Abandon timeout: seconds without an event after which callers abandon a
# stream. It is the maximum of the first value, the objective times the second
# and the declared pause times the third.
MIN_ABANDON_TIMEOUT_SECONDS = 2.0
ABANDON_TIMEOUT_OBJECTIVES = 4.0
ABANDON_TIMEOUT_PAUSES = 8.0

"""Types shared by the gateway and the platform adapter."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import capacity
from gypsumfold.decisions import chains
from gypsumfold.decisions import client_keys
from gypsumfold.decisions import routes
from gypsumfold.decisions import types
from gypsumfold.gateway import grants

# Raw header fields in the order received, repeated names included.
Fields = tuple[tuple[bytes, bytes], ...]


class Call(NamedTuple):
    """A caller's request, read completely.

    Attributes:
        id: Attempt id, unique for each attempt of the caller.
        method: HTTP method.
        target: Path and query as received.
        host: Value of the Host header.
        fields: Header fields to forward.
        body: Body as received; None if the request has none.
        arrival: Time when the head was read, on the monotonic clock.
        deadline: Time until which the caller waits, on the same clock.
        model: Requested model; empty for plain calls.
        chain: Prefix chain of the prompt.
        prompt_tokens: Length of the prompt; 0 for plain calls.
        output_tokens: Maximum number of tokens in the answer.
        key_digest: Digest of the caller's key; empty if it sent none.
        account: Name of the client account; empty before it is known.
        resumes: Id of the attempt that began the stream which this one takes
            up; empty for a new request.
        last_event: Id of the last event of that stream which the caller has.
    """

    id: str
    method: str
    target: str
    host: str
    fields: Fields
    body: bytes | None
    arrival: float
    deadline: float
    model: str = ""
    chain: chains.Chain = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    key_digest: bytes = b""
    account: str = ""
    resumes: str = ""
    last_event: str = ""


class Replica(NamedTuple):
    """A registered replica of a service.

    Attributes:
        instance: Instance id.
        service: Name of the service.
        address: IP:PORT; may later belong to another service.
        data_centre: Data centre of its VM.
        slots: Number of requests that it runs concurrently.
        draining: Whether it is shutting down.
        role: Role of an engine; None for plain services.
        orders: Number of orders accepted, as last reported.
        started_at: Start time in Unix milliseconds; 0 if not reported. A later
            one for the same instance means a restart, with all state lost.
        spot: Whether the platform may reclaim it.
        version: Version of its software; None while it isn't known. What
            replicas of two versions write does not fit together.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    role: types.Role | None = None
    orders: int = 0
    started_at: int = 0
    spot: bool = False
    version: str | None = ""


class Service(NamedTuple):
    """A service as declared by operators.

    Attributes:
        name: Name of the service.
        connections: Maximum number of connections to a replica, over all
            nodes.
        cache_tokens: Capacity of an engine's KV cache in tokens; 0 for plain
            services.
        token_bytes: Size of the KV cache of one token in bytes.
        link_rate: Bandwidth between engines in bytes per second.
        handle_life: Seconds for which an engine keeps a KV cache for another
            engine to fetch.
        switch_time: Seconds for which an engine is unavailable while it
            changes its role.
        offer: How many replicas may be ordered; None if none may.
    """

    name: str
    connections: int
    cache_tokens: int = 0
    token_bytes: int = 0
    link_rate: float = 0.0
    handle_life: float = 0.0
    switch_time: float = 0.0
    offer: capacity.Offer | None = None


class Limits(NamedTuple):
    """Limits for callers.

    Attributes:
        body_bytes: Maximum size of a body.
        header_time: Seconds within which the head of a request must arrive.
        idle_time: Seconds for which a connection may be idle.
        header_bytes: Maximum size of a request's head.
    """

    body_bytes: int = 4 * 1024 * 1024
    header_time: float = 10.0
    idle_time: float = 60.0
    header_bytes: int = 65536


class Configuration(NamedTuple):
    """One version of the configuration declared by operators.

    Attributes:
        version: Version number; increases with each change.
        routes: Table used to match requests.
        services: Services by name.
        limits: Limits for callers.
        keys: Client accounts by key; None if requests need no key.
    """

    version: int
    routes: routes.RouteTable
    services: dict[str, Service]
    limits: Limits
    keys: client_keys.KeyTable | None = None


class Statement(NamedTuple):
    """What the head of an answer says of the replica that gave it.

    Attributes:
        sent_at: When the answered request was sent, on the monotonic clock.
        rate: Requests a second that the replica takes from all nodes; infinite
            for no limit, None if the answer doesn't tell.
        names_rate: Whether the answer has such a field, readable or not.
        leaving: Whether the replica is shutting down.
        backoff: Seconds for which it wants no request from this node.
    """

    sent_at: float
    rate: float | None = None
    names_rate: bool = False
    leaving: bool = False
    backoff: float = 0.0


class Handle(NamedTuple):
    """A reference to a KV cache that an engine keeps for another to fetch.

    Attributes:
        engine: Instance id of the engine that keeps it.
        address: IP:PORT of that engine.
        id: Id of the cache at that engine.
        started_at: Start time of that engine in Unix milliseconds; 0 if not
            reported.
    """

    engine: str
    address: str
    id: str
    started_at: int = 0


class Instructions(NamedTuple):
    """What a node adds to a request when it sends it to a replica.

    Attributes:
        time_left: Seconds until the deadline.
        urgency: 0 is the most urgent; None leaves it to the replica.
        prefill: Whether only the prompt is processed.
        handle: KV cache to fetch, if any.
        cache_peer: IP:PORT of an engine whose cached prefix blocks are
            copied first; empty for none.
        last_event: Id of the event after which the stream resumes; empty for
            none.
    """

    time_left: float
    urgency: int | None = None
    prefill: bool = False
    handle: Handle | None = None
    cache_peer: str = ""
    last_event: str = ""


class Answer(Protocol):
    """A replica's answer, once its head has been received.

    Attributes:
        status: HTTP status.
        reason: HTTP reason phrase.
        fields: Header fields to forward.
        sealed: Whether the replica's seal header is present, by which it
            confirms a success.
        not_run: Whether the replica reports that the request has not run.
        length: Size of the body in bytes; None if it is not known in advance.
        is_framed: Whether the end of the body is marked by a length or chunks,
            or there is never a body; otherwise it ends with its connection.
    """

    status: int
    reason: str
    fields: Fields
    sealed: bool
    not_run: bool
    length: int | None
    is_framed: bool

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; raises `AnswerBroken` if it ends early."""

    async def read(self) -> bytes:
        """Reads the entire body.

        Raises `AnswerBroken` if it ends early or is too large.
        """

    def hold(self, size: int, limit: int) -> None:
        """Counts bytes of the body that are kept until more have come.

        Raises `AnswerBroken` if there are too many.
        """

    async def drain(self) -> None:
        """Reads a body that is not needed; closes a long or slow one."""

    def close(self) -> None:
        """Ends the exchange and discards what has not been received."""


class WholeAnswer(NamedTuple):
    """A replica's answer that has been read to its end.

    Attributes:
        status: HTTP status.
        reason: HTTP reason phrase.
        fields: Header fields to forward.
        body: The body.
    """

    status: int
    reason: str
    fields: Fields
    body: bytes


class State(NamedTuple):
    """An engine's reported state, some hundred milliseconds old."""

    role: types.Role | None
    busy: bool
    orders: int
    queued: int
    running: int
    started_at: int = 0


class Order(NamedTuple):
    """An order to an engine to change its role.

    Attributes:
        role: New role.
        holder: Node that holds the lease and sends the order.
        token: Fencing token of the lease.
        after: Number of orders that the engine must have accepted before.
    """

    role: types.Role
    holder: str
    token: int
    after: int


class CacheList(NamedTuple):
    """The prefix blocks cached by an engine, and its start time."""

    blocks: list[chains.Block]
    started_at: int = 0


class Endpoints(Protocol):
    """Client for calls to replicas.

    Attributes:
        statement_listener: Called with the replica, as the request was sent
            to it, and with what the head of its answer says of it.
        admission: Called with the replica before anything is sent to it;
            raises `EndpointWithheld` if nothing may be.
    """

    statement_listener: Callable[[Replica, Statement], None]
    admission: Callable[[Replica], None]

    def is_connected(self, replica: Replica) -> bool:
        """Whether an idle connection to the replica is open."""

    async def send(
        self, replica: Replica, call: Call, instructions: Instructions
    ) -> Answer:
        """Sends a request and waits for the head of its answer."""

    async def prefill(
        self, replica: Replica, call: Call, instructions: Instructions
    ) -> Handle:
        """Runs the prefill of a prompt; the engine keeps the KV cache."""

    async def drop(self, replica: Replica, handle: Handle) -> None:
        """Frees a KV cache that no engine will fetch."""

    async def state(self, replica: Replica, fresh: bool = False) -> State:
        """Asks an engine for its state, over a new connection if `fresh`."""

    async def cache_list(self, replica: Replica) -> CacheList:
        """Asks an engine which prefix blocks it has cached."""

    async def order(
        self, replica: Replica, order: Order, grant: grants.Grant
    ) -> bool:
        """Sends an order; False if it is in force already."""

"""What the platform's adapter hands to the gateway and takes from it."""

from collections.abc import AsyncIterator
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import chains
from gypsumfold.decisions import routes
from gypsumfold.decisions import types

# Header fields as they came: bytes, in order, repeated ones kept.
Fields = tuple[tuple[bytes, bytes], ...]


class Call(NamedTuple):
    """One request of a caller, read whole.

    Attributes:
        id: Unique for this attempt of the caller.
        method: HTTP method.
        target: Path and query, unchanged.
        host: As the caller named it.
        fields: Header fields to be passed on.
        body: As it came; None where the request has no body.
        arrival: When its head was read, on the monotonic clock.
        deadline: Until when the caller waits, on the same clock.
        model: The model asked for; empty for plain calls.
        chain: The parts of the prompt.
        prompt_tokens: Length of the prompt; 0 for plain calls.
        output_tokens: Most tokens that the answer may have.
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


class Replica(NamedTuple):
    """One registered replica of a service.

    Attributes:
        instance: Names this run of it.
        service: What it serves.
        address: IP:PORT; may later belong to another service.
        data_centre: Where it stands.
        slots: Requests that it runs at once.
        draining: Whether it is leaving.
        role: What an engine does; None for plain services.
        orders: Orders that it has accepted, as it last said.
        born: Unix milliseconds of its start; a later one under the same
            instance holds and knows nothing of before. 0 if it does not say.
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


class Service(NamedTuple):
    """What operators declare of a service.

    Attributes:
        name: Its name.
        connections: Most connections that a replica takes from all nodes.
        cache_tokens: Tokens that an engine's memory holds; 0 for plain
            services.
        token_bytes: KV cache of one token in bytes.
        link_rate: Bytes a second between engines.
        handle_life: Seconds for which a KV cache waits to be taken.
        switch_time: Seconds for which a change of role takes an engine away.
    """

    name: str
    connections: int
    cache_tokens: int = 0
    token_bytes: int = 0
    link_rate: float = 0.0
    handle_life: float = 0.0
    switch_time: float = 0.0


class Limits(NamedTuple):
    """What callers may send.

    Attributes:
        body_bytes: Largest body.
        header_time: Seconds until the head of a request is there.
        idle_time: Seconds that a connection may be idle.
    """

    body_bytes: int = 4 * 1024 * 1024
    header_time: float = 10.0
    idle_time: float = 60.0


class Configuration(NamedTuple):
    """All that operators declare, in one version.

    Attributes:
        version: Increases with each change.
        routes: For matching.
        services: By name.
        limits: What callers may send.
    """

    version: int
    routes: routes.RouteTable
    services: dict[str, Service]
    limits: Limits


class Handle(NamedTuple):
    """A KV cache that an engine keeps for another one to take.

    Attributes:
        engine: Its instance.
        address: IP:PORT.
        id: Names the cache there.
        born: The start of the engine that keeps it.
    """

    engine: str
    address: str
    id: str
    started_at: int = 0


class Instructions(NamedTuple):
    """What a node adds to a request for a replica.

    Attributes:
        time_left: Seconds that the replica may take.
        urgency: 0 is the most urgent; None leaves it to the replica.
        prefill: Whether only the prompt is to be read.
        handle: The KV cache to take over, if any.
        cache_peer: IP:PORT of an engine whose cached parts are copied
            first; empty for none.
        last_event: The event after which a stream goes on; empty for none.
    """

    time_left: float
    urgency: int | None = None
    prefill: bool = False
    handle: Handle | None = None
    cache_peer: str = ""
    last_event: str = ""


class Answer(Protocol):
    """A replica's answer whose head has come.

    Attributes:
        status: HTTP status.
        reason: HTTP reason phrase.
        fields: Header fields to be passed on.
        sealed: Whether the replica vouches for it.
        not_run: Whether the replica says that the request has not run.
        length: Bytes of the body; None where only its end will tell.
    """

    status: int
    reason: str
    fields: Fields
    sealed: bool
    not_run: bool
    length: int | None

    def chunks(self) -> AsyncIterator[bytes]:
        """The body as it comes; raises `AnswerBroken` if it breaks off."""

    async def read(self) -> bytes:
        """The whole body; raises `AnswerBroken` if it breaks off."""

    def close(self) -> None:
        """Ends the exchange; what has not come is given up."""


class State(NamedTuple):
    """What an engine says of itself, some hundred milliseconds late."""

    role: types.Role | None
    busy: bool
    orders: int
    queued: int
    running: int
    started_at: int = 0


class Order(NamedTuple):
    """An order to an engine to change its role.

    Attributes:
        role: The role it is to have.
        holder: Who orders.
        token: The fencing token.
        after: Orders that the engine must have accepted before.
    """

    role: types.Role
    holder: str
    token: int
    after: int


class CacheList(NamedTuple):
    """The parts of prompts that an engine keeps, and when it was started."""

    blocks: list[chains.Block]
    started_at: int = 0


class Endpoints(Protocol):
    """Calls to replicas."""

    def is_connected(self, replica: Replica) -> bool:
        """Whether a call would find a connection open."""

    async def send(
        self, replica: Replica, call: Call, instructions: Instructions
    ) -> Answer:
        """Sends a request and waits for the head of its answer."""

    async def prefill(
        self, replica: Replica, call: Call, instructions: Instructions
    ) -> Handle:
        """Has a prompt read and its KV cache kept."""

    async def drop(self, replica: Replica, handle: Handle) -> None:
        """Frees a KV cache that nobody will take."""

    async def state(self, replica: Replica) -> State:
        """Asks an engine for its state."""

    async def cache_list(self, replica: Replica) -> CacheList:
        """Asks an engine which parts of prompts it keeps."""

    async def order(self, replica: Replica, order: Order) -> bool:
        """Gives an order; False if it holds already."""

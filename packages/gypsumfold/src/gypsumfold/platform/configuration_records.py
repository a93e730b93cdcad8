"""The operators' configuration as the store has it."""

import msgspec

from gypsumfold.platform import bounds


class TargetRecord(msgspec.Struct):
    """One service of a split route."""

    service: str
    weight: float = 1.0


class RouteRecord(msgspec.Struct):
    """A route in the operators' configuration."""

    name: str
    host: str
    kind: str
    prefix: str = msgspec.field(name="pathPrefix")
    limit_ms: float = msgspec.field(name="timeoutMs")
    objective_ms: float = msgspec.field(name="goalMs", default=0.0)
    urgency: bounds.Whole = msgspec.field(name="priority", default=5)
    attempts: bounds.Whole = 1
    service: str = ""
    split: list[TargetRecord] | None = None
    resumable: bool = False
    # Longest pause between events of a stream that still counts as on time.
    pause_ms: float = msgspec.field(name="gapAimMs", default=0.0)
    public: bool = False


class EngineRecord(msgspec.Struct):
    """Capabilities of the model engines of a service."""

    cache_tokens: bounds.Whole = msgspec.field(name="kvTokens", default=0)
    token_bytes: bounds.Whole = msgspec.field(name="tokenKvBytes", default=0)
    link_mbps: float = msgspec.field(name="linkMbps", default=0.0)
    handle_s: float = msgspec.field(name="handleTtlS", default=0.0)
    switch_s: float = msgspec.field(name="stageSwitchS", default=0.0)


class ScaleRecord(msgspec.Struct):
    """How many replicas of a service may be ordered, and their prices."""

    least: bounds.Whole = msgspec.field(name="min", default=0)
    most: bounds.Whole = msgspec.field(name="max", default=0)
    start_s: float = msgspec.field(name="bootS", default=0.0)
    spot_price: float = msgspec.field(name="spotPrice", default=1.0)
    prices: dict[str, float] = msgspec.field(
        name="zonePrices", default_factory=dict
    )


class ServiceRecord(msgspec.Struct):
    """A service in the operators' configuration."""

    name: str
    connections: bounds.Whole = msgspec.field(name="maxConns", default=0)
    engine: EngineRecord | None = None
    scale: ScaleRecord | None = None


class LimitsRecord(msgspec.Struct):
    """Limits on callers' requests in the operators' configuration."""

    header_bytes: bounds.Whole = msgspec.field(
        name="maxHeaderBytes", default=65536
    )
    body_bytes: bounds.Whole = msgspec.field(
        name="maxBodyBytes", default=4194304
    )
    header_ms: float = msgspec.field(name="headerTimeoutMs", default=10000.0)
    idle_ms: float = msgspec.field(name="idleTimeoutMs", default=60000.0)


class AccountRecord(msgspec.Struct):
    """A client account in the operators' configuration."""

    name: str
    keys: list[str] = msgspec.field(name="apiKeys", default_factory=list)
    urgency: bounds.Whole | None = msgspec.field(name="priority", default=None)


class ConfigurationRecord(msgspec.Struct):
    """The complete configuration that operators declare."""

    version: bounds.Whole
    routes: list[RouteRecord]
    services: list[ServiceRecord] = []
    limits: LimitsRecord = msgspec.field(default_factory=LimitsRecord)
    # Absent where requests need no key.
    accounts: list[AccountRecord] | None = msgspec.field(
        name="tenants", default=None
    )

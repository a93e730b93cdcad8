"""The kinds of object that operators declare, with the type of each field.

A declaration is kept as plain fields on the log and checked into one of
these types; unknown fields are errors.
"""

from typing import Annotated
from typing import Literal

import msgspec

Share = Annotated[float, msgspec.Meta(gt=0, lt=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Urgency = Annotated[int, msgspec.Meta(ge=0, le=9)]
Digest = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]+$")]


class Object(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The base of all declared objects."""


class Service(Object):
    """A set of endpoints that offer the same.

    Attributes:
        protocol: ``engine`` for model engines, ``plain`` for others.
        change_weight: Seconds of one engine's work that a role change must
            gain beyond its own cost; low where goodput counts, high where
            few changes count.
        planner: Whether the role planner may change roles.
    """

    protocol: Literal["engine", "plain"]
    change_weight: Annotated[float, msgspec.Meta(ge=0)] = 10.0
    planner: bool = False


class Model(Object):
    """A model that a service offers, by the name that callers use."""

    service: str


class Version(Object):
    """A version of a model; named ``model@version``."""

    model: str
    default: bool = False


class Adapter(Object):
    """An adapter of a model; named ``model:adapter``."""

    model: str


class Endpoint(Object):
    """One replica of a service.

    Attributes:
        service: The service that it belongs to.
        address: IP number and port.
        data_centre: Where it stands.
        vm: Its VM's name in the platform's list; empty where it has none.
        checks_tokens: Whether it refuses orders with an old fencing token.
            No is assumed where nothing is declared.
        role: The role wished for; the planner may change it where the
            service says so.
        drained: Whether it gets no new work.
    """

    service: str
    address: Address
    data_centre: str
    vm: str = ""
    checks_tokens: bool = False
    role: Literal["mixed", "prefill", "decode"] = "mixed"
    drained: bool = False


class Kind(Object):
    """A kind of request, and how urgent it is.

    Attributes:
        service: The service it is for. For plain services the object's name
            is the call's name.
        urgency: 0 is the most urgent.
        deadline: Seconds after which its answer is worth nothing.
        repeatable: Whether it may run more than once.
        default: Whether requests that name no kind are of this one.
    """

    service: str
    urgency: Urgency
    deadline: Seconds = 60.0
    repeatable: bool = False
    default: bool = False


class Account(Object):
    """A caller's account.

    Attributes:
        token_sha256: SHA-256 of its bearer token, in hex.
        weight: Its share against other accounts.
        tokens_per_second: Prompt and output tokens; 0 for no limit.
        most_urgent: The lowest urgency number that it may ask for.
    """

    token_sha256: Digest
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    tokens_per_second: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    most_urgent: Urgency = 0


class Objective(Object):
    """A service-level objective for the burn report.

    Attributes:
        service: The service.
        urgency: Requests of this urgency.
        target: Share of requests that must be whole and on time.
        within: Seconds until the first token (or the answer of a plain
            call).
    """

    service: str
    urgency: Urgency
    target: Share
    within: Seconds


KINDS: dict[str, type[Object]] = {
    "service": Service,
    "model": Model,
    "version": Version,
    "adapter": Adapter,
    "endpoint": Endpoint,
    "kind": Kind,
    "account": Account,
    "objective": Objective,
}

"""The kinds of objects that operators declare.

The log holds a declaration as plain fields, which are checked and converted
to one of these types; unknown fields are errors.
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
    """The base class of all declared objects."""


class Service(Object):
    """A set of interchangeable endpoints.

    Attributes:
        protocol: ``engine`` for model engines, ``plain`` for others.
        change_weight: Seconds of one engine's work that a role change must
            gain beyond its own cost. Lower values favour goodput, higher
            ones fewer changes.
        planner: Whether the role planner may change roles.
    """

    protocol: Literal["engine", "plain"]
    change_weight: Annotated[float, msgspec.Meta(ge=0)] = 10.0
    planner: bool = False


class Model(Object):
    """A model of a service, named as callers request it."""

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
        data_centre: The data centre it runs in.
        vm: Its VM's name in the platform's list; empty if it has none.
        checks_tokens: Whether it refuses orders with an old fencing token;
            assumed not to if not declared.
        role: The desired role; the planner may change it if the service
            allows that.
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
    """A kind of request and its urgency.

    Attributes:
        service: The service it is for. For plain services the object's name
            is the call's name.
        urgency: The urgency level; 0 is the most urgent.
        deadline: Seconds after which an answer is useless.
        repeatable: Whether it may run more than once.
        default: Whether requests without a kind are of this one.
    """

    service: str
    urgency: Urgency
    deadline: Seconds = 60.0
    repeatable: bool = False
    default: bool = False


class Account(Object):
    """A client account.

    Attributes:
        token_sha256: SHA-256 of its bearer token, in hex.
        weight: Its share relative to other accounts.
        tokens_per_second: Limit on prompt and output tokens; 0 for none.
        most_urgent: The lowest urgency number that it may request.
    """

    token_sha256: Digest
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    tokens_per_second: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    most_urgent: Urgency = 0


class Objective(Object):
    """A service-level objective for the burn report.

    Attributes:
        service: The service.
        urgency: Urgency of the requests that it covers.
        target: Fraction of requests whose answers must be complete and on
            time.
        within: Time limit in seconds for the first token, or for the answer
            of a plain call.
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

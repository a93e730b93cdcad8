"""Matches requests to routes and picks one of a route's services.

Load pattern: none; matching doesn't depend on load. The longest prefix wins;
otherwise two routes of one host could take each other's requests.
"""

import enum
from typing import NamedTuple

import xxhash


class Kind(enum.StrEnum):
    """How much of a request may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class Target(NamedTuple):
    """A service of a route and its weight relative to the others."""

    service: str
    weight: float


class Route(NamedTuple):
    """The operators' declaration for requests to one host and path.

    Attributes:
        name: Unique among the routes.
        host: The host that callers name.
        prefix: The path prefix, with a slash at both ends.
        kind: How much of a request may be repeated.
        limit: Seconds after which the caller has its final answer.
        objective: Seconds within which an answer is worth most.
        urgency: 0 is the most urgent.
        attempts: Maximum number of replicas that may run one request.
        targets: The services that the route is split over.
        resumable: Whether another replica may resume a stream after an event.
        abandon_timeout: Seconds without an event after which callers leave a
            stream, also before its first event; 0 if they wait for the limit.
        public: Whether requests need no key of a client account.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    limit: float
    objective: float
    urgency: int
    attempts: int
    targets: tuple[Target, ...]
    resumable: bool = False
    abandon_timeout: float = 0.0
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again from its start."""
        return self.kind == Kind.IDEMPOTENT

    def leads_to(self, service: str) -> bool:
        """Whether a service may serve the route's requests."""
        return any(target.service == service for target in self.targets)

    def remaining_wait(self, left: float, age: float) -> float:
        """Returns the seconds for which the caller waits for a first event.

        Args:
            left: Seconds until the request's deadline.
            age: Seconds since the request arrived.
        """
        if self.abandon_timeout <= 0:
            return left
        return min(left, self.abandon_timeout - age)

    def pick_service(self, request_id: str) -> str:
        """Picks a service by weight; the same one for the same request."""
        total = sum(target.weight for target in self.targets)
        if total <= 0:
            return self.targets[0].service
        point = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


class RouteTable:
    """Finds routes by host and longest prefix.

    >>> RouteTable(routes).match("desk.example", "/calls/7").name
    'calls'
    """

    def __init__(self, routes: list[Route]):
        self.hosts: dict[str, list[Route]] = {}
        for route in routes:
            self.hosts.setdefault(route.host.lower(), []).append(route)
        for found in self.hosts.values():
            found.sort(key=lambda route: -len(route.prefix))

    def all(self) -> list[Route]:
        """Returns all routes."""
        found = []
        for routes in self.hosts.values():
            found += routes
        return found

    def match(self, host: str, path: str) -> Route | None:
        """Finds the route of a request; None if there is none.

        Args:
            host: As the caller named it, with or without a port.
            path: With or without a query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        path = path.partition("?")[0]
        for route in self.hosts.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

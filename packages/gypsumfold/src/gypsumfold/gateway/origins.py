"""Finds the origin of a stream that a caller takes up, and keeps others'.

The gateway that began a stream is the one most likely to be gone when the
stream is taken up. So origins are sent to a few other nodes before the first
event goes to the caller, and asked for when they are needed.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import routes
from gypsumfold.decisions import software_versions
from gypsumfold.decisions import stream_origins
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import types

# Seconds after which the origin of a stream that is still running is sent
# again: well within the time for which it is remembered.
RENEWAL_SECONDS = stream_origins.RETENTION_SECONDS / 3

Announce = Callable[[int, stream_origins.Origin], None]
Ask = Callable[[int, str], Awaitable[stream_origins.Origin | None]]


async def ask_nobody(key: int, route: str) -> None:
    """Finds no origin; used before there are other nodes."""


async def confirm_unasked() -> bool:
    """Takes what is known for what is so now; used where nothing is read."""
    return True


async def wait_for_nothing() -> None:
    """Waits for nothing; used where nothing is read."""


class Origins:
    """Remembers, announces and finds the origins of streams.

    Attributes:
        memory: Origins of this node's streams, and of others' that it keeps.
        running: Streams that this node forwards, with the time of their last
            announcement.
        announce: Called with each origin that other nodes should know.
        ask: Asks other nodes for the origin of a stream on a route.
        wait_until_read: Waits a moment for what a starting node reads.
        registrations_age: Returns the age of the known registrations.
        confirm_view: Reads the registrations and the configuration up to now;
            returns whether the store has answered.
        results: Number of streams taken up by how their origin was found.

    >>> origins = Origins(directory)
    >>> await origins.resolve(call, route)
    Origin(service='lm', version='v1.1')
    """

    def __init__(self, directory: directory_module.Directory):
        self.directory = directory
        self.memory = stream_origins.StreamOrigins()
        self.running: dict[int, float] = {}
        self.announce: Announce = lambda key, origin: None
        self.ask: Ask = ask_nobody
        self.wait_until_read: Callable[[], Awaitable[None]] = wait_for_nothing
        self.registrations_age: Callable[[], float] = lambda: 0.0
        self.confirm_view: Callable[[], Awaitable[bool]] = confirm_unasked
        self.route_services = software_versions.SteadyValues()
        self.results = {"own": 0, "peer": 0, "sole": 0, "unknown": 0}

    def observe_configuration(self, configuration: types.Configuration) -> None:
        """Records which services each route leads to."""
        now = time.monotonic()
        names = set()
        for route in configuration.routes.all():
            if not route.resumable:
                continue
            names.add(route.name)
            services = frozenset(target.service for target in route.targets)
            self.route_services.observe(route.name, services, now)
        self.route_services.retain(names)
        # A route that comes later may be one that was removed.
        self.route_services.first_age = 0.0

    def start_with_system(self) -> None:
        """Records that no stream has begun before this node."""
        first_age = software_versions.STREAM_LIFE_SECONDS
        self.route_services.first_age = first_age
        self.directory.versions.steady.first_age = first_age

    def begin(self, progress: progress_module.Progress) -> None:
        """Records that the first event of a stream is about to be sent."""
        key = progress.stream_key
        if key is None or progress.is_announced:
            return
        progress.is_announced = True
        now = time.monotonic()
        self.running[key] = now
        self.memory.put(key, progress.origin, now)
        if progress.origin.version is not None:
            self.announce(key, progress.origin)

    def end(self, progress: progress_module.Progress) -> None:
        """Records that this node no longer forwards a stream."""
        if progress.stream_key is not None:
            self.running.pop(progress.stream_key, None)

    def renew(self, now: float) -> None:
        """Announces the streams again that have been running for long."""
        for key, announced_at in self.running.items():
            if now - announced_at < RENEWAL_SECONDS:
                continue
            origin = self.memory.find(key, now)
            if origin is None or origin.version is None:
                continue
            self.running[key] = now
            self.memory.put(key, origin, now)
            self.announce(key, origin)

    def is_view_recent(self) -> bool:
        """Whether this node knows which versions are registered now."""
        return self.registrations_age() <= software_versions.MAX_AGE_SECONDS

    def sole(self, route: str) -> stream_origins.Origin | None:
        """Returns the one origin that all living streams of a route have."""
        if not self.is_view_recent():
            return None
        now = time.monotonic()
        service = self.route_services.sole(route, now)
        if service is None:
            return None
        version = self.directory.versions.steady.sole(service, now)
        if version is None:
            return None
        return stream_origins.Origin(service, version)

    async def confirm_sole(self, route: str) -> stream_origins.Origin | None:
        """Returns the one origin of a route's living streams as of now.

        A replica of another version may have registered since the last read,
        have begun the stream through another node, and have ended.
        """
        if self.sole(route) is None:
            return None
        if not await self.confirm_view():
            return None
        return self.sole(route)

    async def resolve(
        self, call: types.Call, route: routes.Route
    ) -> stream_origins.Origin:
        """Finds the origin of a stream that a caller takes up.

        Raises:
            exceptions.Unavailable: It isn't known.
        """
        started = time.monotonic()
        origin, source = await self.find(call, route)
        self.results[source] += 1
        events.log(
            events.STREAM_TAKEN_UP,
            request=call.id,
            resumes=call.resumes,
            last_event=call.last_event,
            service=origin.service if origin else "",
            version=origin.version if origin else None,
            source=source,
            seconds=round(time.monotonic() - started, 4),
        )
        left = call.deadline - time.monotonic()
        retry_after = min(
            progress_module.RETRY_AFTER_SECONDS, max(0.0, left / 3)
        )
        if origin is None or origin.version is None:
            raise exceptions.Unavailable(
                "it isn't known which software version began the stream",
                outcomes.Outcome.NOT_RUN,
                retry_after,
            )
        return origin

    async def find(
        self, call: types.Call, route: routes.Route
    ) -> tuple[stream_origins.Origin | None, str]:
        """Finds a stream's origin; returns it and how it is known."""
        if not call.resumes:
            await self.wait_until_read()
            return await self.find_sole(route.name)
        key = stream_origins.stream_key(call.account, call.resumes)
        origin = self.memory.find(key, time.monotonic())
        if origin is not None:
            return origin, "own"
        await self.wait_until_read()
        origin = await self.ask(key, route.name)
        if origin is not None:
            return origin, "peer"
        origin = await self.confirm_sole(route.name)
        return origin, "sole" if origin else "unknown"

    async def find_sole(
        self, route: str
    ) -> tuple[stream_origins.Origin | None, str]:
        """Finds the origin of a stream whose caller names no attempt.

        Any stream that may still live can be meant, so only the origin that all
        of them have counts.
        """
        origin = await self.confirm_sole(route)
        if origin is not None:
            return origin, "sole"
        origin = await self.ask(stream_origins.NO_STREAM, route)
        return origin, "peer" if origin else "unknown"

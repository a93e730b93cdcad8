"""Engines and plain replicas that run, crash and start again in virtual time.

They stand behind the `Endpoints` protocol of the gateways' own code and keep
the truth of what ran where, to be compared with what callers were told.
"""

import asyncio
from collections.abc import AsyncIterator
import itertools
import math
from typing import NamedTuple
from typing import Protocol

from features.support import made_up
from gypsumfold import exceptions
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import grants
from gypsumfold.gateway import types
from gypsumfold.platform import names

# Seconds between a gateway and a replica, one way.
NETWORK = 0.001
# Seconds of one step of an engine, alone and for each other running request.
STEP = 0.02
STEP_EACH = 0.001
# Prompt tokens that an engine reads in a second.
READING = 40_000.0
# Seconds that a plain replica works on a call.
WORK = 0.02
# Calls that wait at a plain replica with a limited number of slots; it turns
# away others.
QUEUED = 2
# Seconds from the begin of a run until a crashing request crashes its replica.
CRASH_AFTER = (0.02, 0.07)
# Seconds from a crash until the replica serves again, under a new instance.
RESTART = (3.4, 4.2)
# Seconds for which both replicas serve in a release, from one replacement to
# the next, and from the notice of leaving to the end.
RELEASE_OVERLAP = 1.0
RELEASE_PAUSE = 0.5
DRAINING = 2.5
# Seconds between two entries of a replica; after three missed ones it goes.
HEARTBEAT = 1.2
# Bytes of a request beside its body, as sent to a replica.
REQUEST_BYTES = 900
# Seconds after its caller's deadline beyond which a request that reaches a
# replica is late.
LATE = 0.5
# Seconds that a call to a replica waits which does not answer at all.
SILENT = 30.0
# Seconds after which a gateway gives up opening a connection.
CONNECT = 0.3
# Share of connections that a replica closes after an answer.
CLOSED_SHARE = 0.3
SLOTS = 64
DATA_CENTRES = 3


def parts_of(call: types.Call) -> frozenset[str]:
    """The parts of a call's prompt."""
    return frozenset(block.id for block in call.chain)


class Arrival(NamedTuple):
    """A request that reached a replica.

    Attributes:
        at: When.
        body: What it asked for.
        attempt: The caller's attempt id.
        instance: Where.
        ran: Whether it was to run, not just to have its prompt read.
        accepted: Whether the replica took it.
        gateway: Which gateway sent it.
        process: Which process of that gateway.
        parts: The parts of its prompt.
    """

    at: float
    body: bytes
    attempt: str
    instance: str
    ran: bool
    accepted: bool = True
    gateway: str = ""
    process: int = 0
    parts: frozenset[str] = frozenset()


class Asked(NamedTuple):
    """A rest that a replica asked of a gateway.

    Attributes:
        at: When.
        process: Which process of a gateway.
        instance: Which replica.
        seconds: For how long.
    """

    at: float
    process: int
    instance: str
    seconds: float


class Worked(NamedTuple):
    """A call on which a plain replica worked, until its end or a cut."""

    attempt: str
    instance: str
    started: float
    ended: float


class Crashed(NamedTuple):
    """A replica that ended.

    Attributes:
        at: When.
        body: The request that crashed it; empty where none did.
        instance: Which.
        parts: The parts of that request's prompt.
    """

    at: float
    body: bytes
    instance: str
    parts: frozenset[str] = frozenset()


class Replica:
    """One lifetime of an engine or of a plain replica."""

    def __init__(
        self,
        fleet: "Fleet",
        place: int,
        service: str,
        stage: str,
        version: str = "v1",
    ):
        self.fleet = fleet
        self.version = version
        self.draining = False
        # Requests a second that it takes from all gateways; None for any.
        self.rate_limit: float | None = None
        # Whether its answers say that it leaves.
        self.leaving = False
        # Seconds that a plain replica works on a call.
        self.work = WORK
        # Prompt tokens that it reads in a second.
        self.reading = READING
        # Whether it answers each run with a failure, at once.
        self.failing = False
        # How many times as long as usual it reads prompts.
        self.slowness = 1.0
        # Seconds of rest that it asks for; it turns all away then.
        self.rest = 0.0
        self.place = place
        self.service = service
        self.stage = stage
        self.instance = f"i-{next(fleet.numbers)}"
        self.address = f"10.9.0.{place}:8080"
        self.alive = True
        # Whether it is changing its role.
        self.busy = False
        self.free_at = 0.0
        # A dict keeps the order, so that a seed gives the same course.
        self.running: dict[asyncio.Future, bool] = {}
        # When each slot of a plain replica is free; none are counted if empty.
        self.slot_ends = [] if stage else [0.0] * fleet.plain_slots
        self.work = fleet.plain_work
        self.cached: set[str] = set()

    def registration(self, order: int) -> dict:
        """Its entry in the store."""
        return {
            **made_up.REGISTRATION,
            "service": self.service,
            "addr": self.address,
            "zone": f"dc-{self.place % DATA_CENTRES}",
            "version": self.version,
            "slots": len(self.slot_ends) or SLOTS,
            "state": "draining" if self.draining else "ready",
            "stage": self.stage,
            "seq": order,
            "born": 0,
        }

    async def lasts(self, seconds: float) -> bool:
        """Lets time pass; whether the replica is still there after it."""
        loop = asyncio.get_running_loop()
        broken = loop.create_future()
        self.running[broken] = True
        try:
            await asyncio.wait([broken], timeout=seconds)
        finally:
            del self.running[broken]
        return self.alive

    def is_full(self) -> bool:
        """Whether all slots are used and as many calls wait as may."""
        now = self.fleet.site.clock()
        waiting = [end - now > self.work for end in self.slot_ends]
        return sum(waiting) >= QUEUED

    def call_seconds(self) -> float:
        """Takes a slot; returns the seconds until a call has run there."""
        if not self.slot_ends:
            return self.work
        now = self.fleet.site.clock()
        place = self.slot_ends.index(min(self.slot_ends))
        self.slot_ends[place] = max(now, self.slot_ends[place]) + self.work
        return self.slot_ends[place] - now

    def end(self) -> None:
        """Ends at once, with all that runs."""
        self.alive = False
        for broken in self.running:
            if not broken.done():
                broken.set_result(None)


class Answer:
    """A replica's answer whose head has come."""

    def __init__(
        self, replica: Replica, call: types.Call, events: int, first: int = 0
    ):
        self.replica = replica
        self.call = call
        self.first = first
        self.events = events
        self.status = 500 if replica.failing else 200
        self.reason = "OK"
        self.fields: types.Fields = ()
        self.sealed = not replica.failing
        self.is_framed = True
        self.not_run = False
        self.length = None
        self.reset = replica.fleet.resets()

    def hold(self, size, limit):
        assert size <= limit, size

    async def chunks(self) -> AsyncIterator[bytes]:
        """The body as it comes."""
        fleet = self.replica.fleet
        if self.status != 200:
            return
        crashes_after = fleet.begins(self.call)
        if crashes_after is not None:
            if fleet.output_before_crash:
                yield f"id: 0\ndata: {self.replica.version}\n\n".encode()
            if await self.replica.lasts(crashes_after):
                fleet.crash(self.replica, self.call.body, parts_of(self.call))
            raise exceptions.AnswerBroken("the connection ended")
        for number in range(self.first, self.events):
            step = STEP + STEP_EACH * len(self.replica.running)
            if self.replica.slot_ends:
                step = 0.0  # The call has run to its end by now.
            if not await self.replica.lasts(step):
                raise exceptions.AnswerBroken("the connection ended")
            if self.reset:
                raise exceptions.AnswerBroken("the connection was reset")
            yield f"id: {number}\ndata: {self.replica.version}\n\n".encode()
        fleet.completed.add(self.call.body)

    async def read(self) -> bytes:
        """The whole body."""
        parts = []
        async for chunk in self.chunks():
            parts.append(chunk)
        return b"".join(parts)

    async def drain(self) -> None:
        """Reads a body that is not needed."""

    def close(self) -> None:
        """Ends the exchange."""


class Fleet:
    """All replicas of a site.

    Attributes:
        crashing: Bodies of requests that crash what runs them.
        crashing_parts: Parts of prompts with which every request does so.
        output_before_crash: Whether such a request gives output first.
        arrivals: All requests that reached a replica.
        crashes: All replicas that ended.
        completed: Bodies of requests that ran to their end.
        late: Requests that reached a replica after their callers had left,
            with the seconds.
        reset_share: Share of answers that are reset though their replica
            lives.
        refusing_share: Share of the requests that replicas reject.

    >>> fleet = Fleet(site, readers=4, generators=2, plain=3)
    >>> fleet.start()
    """

    def __init__(self, site, readers: int, generators: int, plain: int):
        self.site = site
        self.numbers = itertools.count(1)
        self.crashing: set[bytes] = set()
        self.crashing_parts: set[str] = set()
        self.output_before_crash = False
        self.arrivals: list[Arrival] = []
        self.crashes: list[Crashed] = []
        self.completed: set[bytes] = set()
        self.late: list[tuple[str, float]] = []
        self.reset_share = 0.0
        self.refusing_share = 0.0
        # Seconds of a role change; None where engines keep their roles.
        self.switch_seconds: float | None = None
        # Time of the first answer with a limit, by gateway process and replica.
        self.told: dict[tuple[int, str], float] = {}
        # The same of the first answer that says that the replica leaves.
        self.told_leaving: dict[tuple[int, str], float] = {}
        self.rests: list[Asked] = []
        self.worked: list[Worked] = []
        # KV caches that no engine has fetched, by engine and id.
        self.kept_caches: dict[tuple[str, str], bool] = {}
        # Reports, orders and the like, as time, process and instance.
        self.own_calls: list[tuple[float, int, str]] = []
        self.replicas: dict[str, Replica] = {}
        self.tasks: dict[asyncio.Task, bool] = {}
        wanted = ["prefill"] * readers + ["decode"] * generators + [""] * plain
        self.wanted = wanted
        # Slots of each plain replica, 0 for any number, and seconds of a call.
        self.plain_slots = 0
        self.plain_work = WORK

    def start(self) -> None:
        """Starts and registers all replicas."""
        for place, stage in enumerate(self.wanted, 1):
            self.launch(Replica(self, place, "lm" if stage else "app", stage))

    def first(self, count: int, stage: str) -> list[Replica]:
        """The first replicas of a stage, "plain" for those without."""
        wanted = "" if stage == "plain" else stage
        found = [one for one in self.replicas.values() if one.stage == wanted]
        return found[:count]

    def launch(self, replica: Replica) -> None:
        """Runs one lifetime of a replica."""
        self.replicas[replica.address] = replica
        self.spawn(self.register(replica))

    def spawn(self, coroutine) -> asyncio.Task:
        """Runs something beside the story."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks[task] = True
        task.add_done_callback(self.tasks.pop)
        return task

    async def register(self, replica: Replica) -> None:
        """Keeps a replica's entry until three heartbeats after its end."""
        topic = names.REGISTRATIONS_TOPIC
        for order in itertools.count():
            self.site.log.write(
                topic, replica.instance, replica.registration(order)
            )
            pause = HEARTBEAT * self.site.rng.uniform(0.9, 1.1)
            if not await replica.lasts(pause):
                break
        await asyncio.sleep(3 * HEARTBEAT)
        self.site.log.write(topic, replica.instance, None)

    async def switch(self, replica: Replica, role: str) -> None:
        """Changes an engine's role."""
        await asyncio.sleep(self.switch_seconds)
        replica.stage, replica.busy = str(role), False
        topic = names.REGISTRATIONS_TOPIC
        self.site.log.write(topic, replica.instance, replica.registration(0))

    def crash(
        self,
        replica: Replica,
        body: bytes = b"",
        parts: frozenset[str] = frozenset(),
    ) -> None:
        """Ends a replica; another lifetime follows at its address."""
        if not replica.alive:
            return
        now = self.site.clock()
        self.crashes.append(Crashed(now, body, replica.instance, parts))
        replica.end()
        self.spawn(self.restart(replica))

    async def restart(self, replica: Replica) -> None:
        """Starts the next lifetime of a replica."""
        await asyncio.sleep(self.site.rng.uniform(*RESTART))
        self.launch(
            Replica(
                self,
                replica.place,
                replica.service,
                replica.stage,
                replica.version,
            )
        )

    async def release(self, version: str, stage: str, count: int) -> None:
        """Replaces replicas of a stage by ones of another version, by turns.

        Args:
            version: The version that comes.
            stage: The stage of the replicas.
            count: How many; those of the oldest version go first.
        """
        for _ in range(count):
            old = self.oldest(version, stage)
            if old is None:
                return
            place = 1 + max(one.place for one in self.replicas.values())
            self.launch(Replica(self, place, old.service, stage, version))
            await asyncio.sleep(RELEASE_OVERLAP)
            self.spawn(self.drain(old))
            await asyncio.sleep(RELEASE_PAUSE)

    def oldest(self, version: str, stage: str) -> Replica | None:
        """The replica of a stage with the oldest version but this one."""
        found = []
        for one in self.replicas.values():
            if not one.alive or one.draining or one.stage != stage:
                continue
            if one.version != version:
                found.append(one)
        return min(found, key=lambda one: one.version, default=None)

    async def drain(self, replica: Replica) -> None:
        """Lets a replica say that it leaves, and end a while later."""
        replica.draining = True
        topic = names.REGISTRATIONS_TOPIC
        entry = replica.registration(0)
        self.site.log.write(topic, replica.instance, entry)
        await asyncio.sleep(DRAINING)
        replica.end()

    def serving(self, version: str) -> int:
        """Counts the decode engines of a version that take streams."""
        count = 0
        for one in self.replicas.values():
            if one.alive and not one.draining and one.stage == "decode":
                count += one.version == version
        return count

    def kill(self, stage: str) -> None:
        """Ends one replica that no request has crashed."""
        alive = []
        for replica in self.replicas.values():
            if replica.alive and replica.stage == stage:
                alive.append(replica)
        if alive:
            self.crash(self.site.rng.choice(alive))

    def begins(self, call: types.Call) -> float | None:
        """Begins a run; seconds until it crashes its replica, if it does."""
        crashing = not self.crashing_parts.isdisjoint(parts_of(call))
        if crashing or call.body in self.crashing:
            return self.site.rng.uniform(*CRASH_AFTER)
        return None

    def lose_data_centre(self, number: int) -> None:
        """Ends all engines of a data centre at once."""
        for replica in list(self.replicas.values()):
            if replica.stage and replica.place % DATA_CENTRES == number:
                self.crash(replica)

    def resets(self) -> bool:
        """Draws whether an answer is to be reset."""
        return self.site.rng.random() < self.reset_share

    def crashed_by(self, body: bytes) -> list[Crashed]:
        """The replicas that a request has crashed."""
        return [crash for crash in self.crashes if crash.body == body]

    def retries_after(self, body: bytes, crashes: int, grace: float) -> int:
        """Attempts of a request that reached replicas after its crashes.

        Args:
            body: The request's.
            crashes: After how many.
            grace: Seconds after the last of them that are not counted.
        """
        found = self.crashed_by(body)
        if len(found) < crashes:
            return 0
        start = found[crashes - 1].at + grace
        attempts = set()
        for arrival in self.arrivals:
            if arrival.body == body and arrival.at > start:
                attempts.add(arrival.attempt)
        return len(attempts)

    async def stop(self) -> None:
        """Ends all that runs."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Link(Protocol):
    """The link of a gateway's VM."""

    def send(self, size: int, now: float) -> float:
        """Sends bytes; returns the seconds until they have left."""


class Endpoints:
    """One gateway's calls to the replicas.

    Attributes:
        cut: Whether nothing comes back from any replica.
        refused: Whether new connections are refused; open ones live on.
        cut_versions: Versions of which no replica is reached.
        cut_addresses: Addresses at which no replica is reached.
        name: The gateway.
        silent_until: Until when a replica doesn't answer, by address.
        kept: Number of idle connections by address.
    """

    def __init__(self, fleet: Fleet, link: Link, name: str = ""):
        self.fleet = fleet
        self.name = name
        self.link = link
        self.cut = False
        self.refused = False
        self.cut_versions: set[str | None] = set()
        self.cut_addresses: set[str] = set()
        self.silent_until: dict[str, float] = {}
        self.kept: dict[str, int] = {}
        self.statement_listener = lambda replica, statement: None
        self.admission = lambda replica: None

    def is_connected(self, replica: types.Replica) -> bool:
        """Whether a call would find a connection open."""
        return self.kept.get(replica.address, 0) > 0

    async def connect(self, replica: types.Replica, fresh: bool) -> None:
        """Takes an idle connection or opens one."""
        if self.is_connected(replica) and not fresh:
            self.kept[replica.address] -= 1
            return
        await asyncio.sleep(NETWORK)
        if self.cut:
            await asyncio.sleep(CONNECT)
            raise exceptions.EndpointUnreachable(f"{replica.address}: silent")
        if self.refused:
            raise exceptions.EndpointNotListening(f"{replica.address}: refused")

    def release(self, replica: types.Replica) -> None:
        """Keeps a connection for the next call.

        Replicas close some after an answer, which shows once new ones are
        refused.
        """
        if self.refused and self.fleet.site.rng.random() < CLOSED_SHARE:
            return
        kept = self.kept.get(replica.address, 0)
        self.kept[replica.address] = kept + 1

    async def reach(
        self, replica: types.Replica, fresh: bool = False
    ) -> Replica:
        """Finds the process at a replica's address."""
        self.admission(replica)
        if (
            replica.version in self.cut_versions
            or replica.address in self.cut_addresses
        ):
            await asyncio.sleep(CONNECT)
            raise exceptions.EndpointUnreachable(f"{replica.address}: silent")
        await self.connect(replica, fresh)
        await asyncio.sleep(NETWORK)
        if self.cut:
            await asyncio.sleep(SILENT)
            raise exceptions.AnswerBroken("the connection ended")
        until = self.silent_until.get(replica.address, 0.0)
        await asyncio.sleep(max(0.0, until - self.fleet.site.clock()))
        found = self.fleet.replicas[replica.address]
        if not found.alive:
            raise exceptions.EndpointNotListening(f"{replica.address}: refused")
        if found.instance != replica.instance:
            raise exceptions.EndpointMismatch(f"{replica.instance} is gone")
        self.release(replica)
        return found

    async def cross(self, call: types.Call) -> None:
        """Sends a request over the link; it arrives though it is given up."""
        loop = asyncio.get_running_loop()
        size = REQUEST_BYTES + len(call.body)
        delay = self.link.send(size, loop.time())
        loop.call_later(delay, self.crossed, call)
        await asyncio.sleep(delay)

    def crossed(self, call: types.Call) -> None:
        """Notes a request that reaches its replica late."""
        late = self.fleet.site.clock() - call.deadline
        if late > LATE:
            self.fleet.late.append((call.id, round(late, 2)))

    def arrive(
        self,
        replica: Replica,
        addressed: types.Replica,
        call: types.Call,
        ran: bool,
    ) -> None:
        """Notes that a request reached a replica, which may name a limit.

        Raises:
            exceptions.EndpointRefused: The replica rejects it.
        """
        fleet = self.fleet
        refuses = fleet.site.rng.random() < fleet.refusing_share
        fleet.arrivals.append(
            Arrival(
                fleet.site.clock(),
                call.body,
                call.id,
                replica.instance,
                ran,
                not refuses,
                self.name,
                id(self),
                parts_of(call),
            )
        )
        self.say(replica, addressed, True)
        if refuses:
            raise exceptions.EndpointRefused("full")

    def say(
        self, replica: Replica, addressed: types.Replica, to_caller: bool
    ) -> None:
        """Says in an answer what a replica has to say of itself.

        Raises:
            exceptions.EndpointRefused: It wants to rest.
        """
        fleet = self.fleet
        now = fleet.site.clock()
        key = (id(self), replica.instance)
        rate = None
        if to_caller:
            rate = replica.rate_limit or math.inf
        if to_caller and replica.rate_limit is not None:
            fleet.told.setdefault(key, now)
        if replica.leaving:
            fleet.told_leaving.setdefault(key, now)
        if replica.rest:
            fleet.rests.append(Asked(now, *key, replica.rest))
        statement = types.Statement(
            now, rate=rate, leaving=replica.leaving, backoff=replica.rest
        )
        self.statement_listener(addressed, statement)
        if replica.rest:
            raise exceptions.EndpointRefused("rests")

    async def take(
        self, replica: types.Replica, fresh: bool = False
    ) -> Replica:
        """Finds a replica that answers a call of the gateway's own."""
        found = await self.reach(replica, fresh)
        self.fleet.own_calls.append(
            (self.fleet.site.clock(), id(self), found.instance)
        )
        self.say(found, replica, False)
        return found

    async def send(
        self,
        replica: types.Replica,
        call: types.Call,
        instructions: types.Instructions,
    ) -> Answer:
        """Sends a request and waits for the head of its answer."""
        await self.cross(call)
        found = await self.reach(replica)
        if found.is_full():
            self.arrive(found, replica, call, False)
            raise exceptions.EndpointRefused("full")
        self.arrive(found, replica, call, True)
        if not found.stage:
            answer = Answer(found, call, 1)
            started = self.fleet.site.clock()
            try:
                if not await found.lasts(found.call_seconds()):
                    raise exceptions.AnswerBroken("the connection ended")
            finally:
                ended = self.fleet.site.clock()
                self.fleet.worked.append(
                    Worked(call.id, found.instance, started, ended)
                )
            return answer
        if found.stage != "decode":
            raise exceptions.EndpointMismatch("another role")
        if instructions.handle is not None:
            handle = instructions.handle
            self.fleet.kept_caches.pop((handle.engine, handle.id), None)
        events = max(1, call.output_tokens)
        last = instructions.last_event or call.last_event
        return Answer(found, call, events, int(last) + 1 if last else 0)

    async def prefill(
        self,
        replica: types.Replica,
        call: types.Call,
        instructions: types.Instructions,
    ) -> types.Handle:
        """Has a prompt read."""
        await self.cross(call)
        found = await self.reach(replica)
        self.arrive(found, replica, call, False)
        if found.stage != "prefill":
            raise exceptions.EndpointMismatch("another role")
        peer = self.fleet.replicas.get(instructions.cache_peer)
        if peer is not None:
            # It copies what the other engine has cached.
            found.cached |= peer.cached & parts_of(call)
        tokens = 0
        for part in call.chain:
            if part.id not in found.cached:
                found.cached.add(part.id)
                tokens += part.tokens
        now = self.fleet.site.clock()
        seconds = found.slowness * tokens / found.reading
        found.free_at = max(now, found.free_at) + seconds
        try:
            lasts = await found.lasts(found.free_at - now)
        except asyncio.CancelledError:
            # It doesn't go on with what nobody waits for.
            left = found.free_at - self.fleet.site.clock()
            found.free_at -= max(0.0, min(seconds, left))
            raise
        if not lasts:
            raise exceptions.AnswerBroken("the connection ended")
        self.fleet.kept_caches[found.instance, call.id] = True
        return types.Handle(found.instance, found.address, call.id)

    async def drop(self, replica: types.Replica, handle: types.Handle) -> None:
        """Frees a KV cache."""
        found = await self.take(replica)
        self.fleet.kept_caches.pop((found.instance, handle.id), None)

    async def state(
        self, replica: types.Replica, fresh: bool = False
    ) -> types.State:
        """Asks an engine for its state."""
        found = await self.take(replica, fresh)
        await asyncio.sleep(NETWORK)
        role = decision_types.Role.DECODE
        if found.stage == "prefill":
            role = decision_types.Role.PREFILL
        return types.State(role if found.stage else None, found.busy, 0, 0, 0)

    async def cache_list(self, replica: types.Replica) -> types.CacheList:
        """Asks an engine which parts of prompts it keeps."""
        await self.take(replica)
        return types.CacheList([])

    async def order(
        self, replica: types.Replica, order: types.Order, grant: grants.Grant
    ) -> bool:
        """Has an engine change its role, if those of this fleet do."""
        if self.fleet.switch_seconds is None:
            raise exceptions.OrderRefused("engines keep their roles")
        found = await self.take(replica)
        found.busy = True
        self.fleet.spawn(self.fleet.switch(found, order.role))
        return True

"""Changes at a site whose store goes back, and whether they are heeded."""

import asyncio
import itertools
from typing import NamedTuple

from features.support import made_up
from gypsumfold.platform import names

# Seconds after its confirmation at which a change must be heeded.
APPLIED = 2.0
# Seconds after its return from which the store counts as stable.
CONTACT = 3.0
# Seconds after its first entry at which a replica must be used.
USED = 4.0
# Seconds between two changes of one kind, and that a replica lives.
CHANGE = 1.0
LIFE = (6.0, 12.0)


class Change(NamedTuple):
    """One change that the store has confirmed.

    Attributes:
        what: The version or the replica.
        at: When it was confirmed.
    """

    what: int | str
    at: float


class Changes:
    """Changes of configuration and of replicas, and what was late.

    Attributes:
        returned_at: When the store last came back.
        harmed: When gateways were last disturbed otherwise, by name.
        late: What was late, as kind, time, gateway and change.
    """

    def __init__(self, site):
        self.site = site
        self.versions: list[Change] = []
        self.leaving: dict[str, float] = {}
        self.entered: dict[str, float] = {}
        self.returned_at = -1e9
        self.harmed: dict[str, float] = {}
        self.late: set[tuple] = set()
        self.tasks: list[asyncio.Task] = []
        self.back = asyncio.Event()

    def start(self) -> None:
        """Begins to change things."""
        self.back.set()
        loop = asyncio.get_running_loop()
        for story in (self.configure(), self.replace()):
            self.tasks.append(loop.create_task(story))

    async def stop(self) -> None:
        """Ends all changes."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def configure(self) -> None:
        """Writes version after version."""
        version = 100
        while True:
            await asyncio.sleep(CHANGE * self.site.rng.uniform(0.5, 1.5))
            version += self.site.rng.randint(1, 4)
            await self.until_back()
            self.site.configure(version)
            self.versions.append(Change(version, self.site.clock()))

    async def until_back(self) -> None:
        """Waits while the store is away."""
        await self.back.wait()

    def is_away(self) -> bool:
        """Whether the store refuses everybody."""
        nodes = self.site.nodes.values()
        return bool(nodes) and all(node.path.refuses for node in nodes)

    async def replace(self) -> None:
        """Lets replicas come and leave."""
        loop = asyncio.get_running_loop()
        for number in itertools.count():
            await asyncio.sleep(CHANGE * self.site.rng.uniform(0.5, 1.5))
            await self.until_back()
            instance = f"i-new-{number}"
            self.site.register(instance)
            self.entered[instance] = self.site.clock()
            self.tasks.append(loop.create_task(self.live(instance)))

    async def live(self, instance: str) -> None:
        """Lets a replica serve, say that it leaves, and go."""
        await asyncio.sleep(self.site.rng.uniform(*LIFE))
        await self.until_back()
        self.site.pause(instance)
        entry = {
            **made_up.REGISTRATION,
            "service": "app",
            "stage": "",
            "state": "draining",
        }
        self.site.log.write(names.REGISTRATIONS_TOPIC, instance, entry)
        self.leaving[instance] = self.site.clock()
        await asyncio.sleep(APPLIED)
        await self.until_back()
        self.site.log.write(names.REGISTRATIONS_TOPIC, instance, None)

    def due(self, at: float, bound: float) -> float:
        """When a change must be heeded.

        One that was confirmed while the store was not stable yet has the time
        until then, too.
        """
        if at < self.returned_at + CONTACT:
            at = max(at, self.returned_at + CONTACT)
        return at + bound

    def look(self) -> None:
        """Looks at what each gateway that was not disturbed would do."""
        now = self.site.clock()
        if self.is_away():
            self.returned_at = now
            self.back.clear()
        else:
            self.back.set()
        version = 0
        for change in self.versions:
            if self.due(change.at, APPLIED) < now:
                version = change.what
        for name, node in self.site.nodes.items():
            if now - self.harmed.get(name, -1e9) < CONTACT + APPLIED:
                continue
            found = node.gateway.configurations.version()
            if found < version:
                self.late.add(("configuration", name, version))
            used = node.uses("app")
            for instance, at in self.leaving.items():
                if instance in used and self.due(at, APPLIED) < now:
                    self.late.add(("leaving", name, instance))
            for instance, at in self.entered.items():
                if instance in used or instance in self.leaving:
                    continue
                if self.due(at, USED) < now:
                    self.late.add(("new", name, instance))

    def count(self) -> dict[str, int]:
        """Counts what was late by kind."""
        found: dict[str, int] = {}
        for kind, *_ in self.late:
            found[kind] = found.get(kind, 0) + 1
        return found

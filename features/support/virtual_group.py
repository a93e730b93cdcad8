"""The store's group and its topics, under virtual time."""

import asyncio
import types

from gypsumfold import exceptions
from gypsumfold.platform import store as store_module

# Seconds that a call takes, and after which one without an answer fails.
CALL = 0.004
GIVEN_UP = 0.8


class Topic:
    """A keyed topic; positions count from 0."""

    def __init__(self):
        self.records = []
        self.changed = asyncio.Event()

    def append(self, key, value):
        """Adds a record and wakes those that wait for one."""
        self.records.append(store_module.Record(key, value, len(self.records)))
        self.changed.set()
        self.changed = asyncio.Event()

    def newest(self):
        """The newest record of each key."""
        found = {record.key: record for record in self.records}
        return store_module.Page(list(found.values()), len(self.records))


class Group:
    """The store's group: partition 0 goes to the first name.

    A partition is taken away only once its holder knows the generation, has
    left or is silent for a lease.

    Attributes:
        calls: Joins and leaves with their members, as they are answered.
        delay: Seconds that a call takes.
    """

    def __init__(self, site):
        self.site = site
        self.eras = types.SimpleNamespace(listeners=[])
        self.members = {}
        self.generation = 0
        # The generation in which the last new member joined; 0 once the
        # partition has been given out since.
        self.joined_in = 0
        self.holder = ""
        self.delay = CALL
        self.calls = []
        self.topics = {}

    def expire(self):
        """Drops silent members."""
        for member, until in list(self.members.items()):
            if until < self.site.clock():
                self.remove(member)

    def remove(self, member):
        """Drops a member."""
        del self.members[member]
        self.generation += 1
        if self.holder == member:
            self.holder = ""

    def assign(self, member, seconds, generation):
        """Takes a member in or renews it; returns its place."""
        self.expire()
        if member not in self.members:
            self.generation += 1
            self.joined_in = self.generation
        self.members[member] = self.site.clock() + seconds
        if not self.holder:
            self.holder = min(self.members)
        elif self.holder == member and generation >= self.joined_in > 0:
            # It gives the partition up to a member that has joined since.
            self.holder = min(self.members)
            self.joined_in = 0
        self.calls.append(("join", member, self.site.clock()))
        held = frozenset([0]) if self.holder == member else frozenset()
        return store_module.Membership(self.generation, held)

    async def join(self, group, member, topic, seconds, generation):
        """Joins or renews."""
        await asyncio.sleep(self.delay)
        return self.assign(member, seconds, generation)

    async def leave(self, group, member):
        """Leaves."""
        await asyncio.sleep(self.delay)
        if member in self.members:
            self.remove(member)
        self.calls.append(("leave", member, self.site.clock()))

    def give_out(self):
        """Gives the partition to the next member without being asked."""
        names = sorted(self.members)
        if names:
            place = names.index(self.holder) if self.holder in names else -1
            self.holder = names[(place + 1) % len(names)]
            self.generation += 1

    def lapse(self):
        """Ends all memberships, as those that run out in an outage."""
        for member in list(self.members):
            self.remove(member)

    def begin_anew(self):
        """Begins again without members and with the first generation."""
        self.lapse()
        self.generation = 0

    def topic(self, name):
        """A topic, which its first use creates."""
        return self.topics.setdefault(name, Topic())

    def reader(self, margin):
        """Makes a client for one topic."""
        return self

    async def newest(self, topic):
        """Reads the newest record of each key."""
        await asyncio.sleep(self.delay)
        return self.topic(topic).newest()

    async def read(self, topic, start, wait):
        """Reads from a position on; waits for a record."""
        await asyncio.sleep(self.delay)
        found = self.topic(topic)
        if len(found.records) <= start:
            try:
                async with asyncio.timeout(wait):
                    await found.changed.wait()
            except TimeoutError:
                pass
        return store_module.Page(found.records[start:], len(found.records))

    async def put(self, topic, key, value):
        """Writes a key."""
        await asyncio.sleep(self.delay)
        self.topic(topic).append(key, value)

    async def put_at(self, topic, key, value, end):
        """Writes a key if the topic ends at a position."""
        await asyncio.sleep(self.delay)
        found = self.topic(topic)
        if len(found.records) != end:
            return None
        found.append(key, value)
        return len(found.records)


class Client:
    """One node's calls to the group's store.

    Attributes:
        cut: Whether nothing of its calls arrives.
        lost_share: Share of its calls that are done, up to 6 s later, and not
            answered.
    """

    def __init__(self, group):
        self.group = group
        self.eras = group.eras
        self.cut = False
        self.lost_share = 0.0
        self.tasks = set()

    def reader(self, margin):
        """Makes a client for one topic, which shares this one's troubles."""
        return self

    async def call(self, name, *arguments):
        """Makes one call.

        Raises:
            exceptions.LogUnavailable: It has no answer.
        """
        rng = self.group.site.rng
        method = getattr(self.group, name)
        if self.cut:
            await asyncio.sleep(GIVEN_UP)
            raise exceptions.LogUnavailable("cut")
        if rng.random() < self.lost_share:
            late = asyncio.create_task(
                self.later(rng.uniform(0.0, 6.0), method, arguments)
            )
            self.tasks.add(late)
            late.add_done_callback(self.tasks.discard)
            await asyncio.sleep(GIVEN_UP)
            raise exceptions.LogUnavailable("lost")
        found = await method(*arguments)
        if self.cut:
            await asyncio.sleep(GIVEN_UP)
            raise exceptions.LogUnavailable("cut")
        return found

    async def later(self, seconds, method, arguments):
        """Does what a call has asked for after it was given up."""
        await asyncio.sleep(seconds)
        await method(*arguments)

    async def join(self, *arguments):
        """Joins or renews."""
        return await self.call("join", *arguments)

    async def leave(self, *arguments):
        """Leaves."""
        return await self.call("leave", *arguments)

    async def newest(self, *arguments):
        """Reads the newest record of each key."""
        return await self.call("newest", *arguments)

    async def read(self, *arguments):
        """Reads from a position on."""
        return await self.call("read", *arguments)

    async def put(self, *arguments):
        """Writes a key."""
        return await self.call("put", *arguments)

    async def put_at(self, *arguments):
        """Writes a key if the topic ends at a position."""
        return await self.call("put_at", *arguments)

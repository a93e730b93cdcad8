"""Steps on the decisions about what a process holds for callers."""

import asyncio
import time

import behave

from gypsumfold.decisions import intake
from gypsumfold.gateway import turns

NOW = 1000.0
KIB = 1024


def add(context, name, state, held, age, requests):
    if "loads" not in context:
        context.loads = {}
    context.loads[name] = intake.Load(
        intake.State[state], held * KIB, 0, NOW - age, requests
    )


@behave.given(
    'a connection "{name}" in state "{state}" that holds {held:d} KiB for'
    " {age:g} s"
)
def step_connection(context, name, state, held, age):
    add(context, name, state, held, age, 0)


@behave.given(
    'a used connection "{name}" in state "{state}" that holds {held:d} KiB for'
    " {age:g} s"
)
def step_used(context, name, state, held, age):
    add(context, name, state, held, age, 1)


@behave.then('"{name}" has to go for want of memory')
def step_memory(context, name):
    place = intake.choose_for_memory(context.loads.values(), NOW)
    assert list(context.loads)[place] == name, place


@behave.then("nobody has to go for want of memory")
def step_nobody(context):
    assert intake.choose_for_memory(context.loads.values(), NOW) is None


@behave.then('"{names}" give back descriptors in turn')
def step_in_turn(context, names):
    for name in names.split(", "):
        places = intake.choose_for_descriptors(context.loads.values(), NOW, 1)
        assert list(context.loads)[places[0]] == name, (name, places)
        del context.loads[name]
    assert not intake.choose_for_descriptors(context.loads.values(), NOW, 1)


@behave.then('"{names}" give back descriptors at once')
def step_at_once(context, names):
    places = intake.choose_for_descriptors(context.loads.values(), NOW, 9)
    found = [list(context.loads)[place] for place in places]
    assert found == names.split(", "), found


@behave.then(
    "with a head limit of {head:g} s and an idle limit of {idle:g} s it is"
    ' overdue: "{reason}"'
)
def step_overdue(context, head, idle, reason):
    (load,) = context.loads.values()
    found = intake.overdue(load, intake.Times(head, idle), NOW)
    assert (found or "") == reason, found


@behave.then(
    "with a head limit of {head:g} s and an idle limit of {idle:g} s it is"
    ' overdue: ""'
)
def step_not_overdue(context, head, idle):
    step_overdue(context, head, idle, "")


@behave.then(
    'a request of {held:d} KiB "{verdict}" where {total:d} of {limit:d} KiB'
    " are held"
)
def step_may_stay(context, held, verdict, total, limit):
    stays = intake.may_stay(held * KIB, total * KIB, limit * KIB)
    assert stays == (verdict == "stays")


@behave.then("a VM of {memory:d} MB has room for a body of {size:d} MiB, twice")
def step_largest(context, memory, size):
    body = size * intake.MIB
    room = intake.callers_bytes(intake.room(memory, 4100), body, 65536)
    assert room > 2 * body, room


class Slices:
    """A connection with slices to parse; each takes some time."""

    def __init__(self, count, seconds):
        self.left = count
        self.seconds = seconds

    def parse_slice(self) -> bool:
        time.sleep(self.seconds)
        self.left -= 1
        return self.left > 0


@behave.given(
    "connections with {a:d}, {b:d} and {c:d} slices that take {ms:g} ms each"
)
def step_slices(context, a, b, c, ms):
    context.slices = [Slices(count, ms / 1000) for count in (a, b, c)]


@behave.then(
    "the one with {count:d} slice is done in the first turn of the event loop"
)
def step_first_turn(context, count):
    async def play() -> None:
        queue = turns.Turns()
        for connection in context.slices:
            queue.add(connection)
        await asyncio.sleep(0)
        context.queue = queue

    asyncio.run(play())
    assert context.slices[-1].left == 0


@behave.then("no turn takes as long as the slices of one connection")
def step_bounded(context):
    assert context.slices[0].left > 2000, context.slices[0].left
    assert context.slices[1].left > 2000, context.slices[1].left

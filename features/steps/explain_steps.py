"""Steps that explain logs."""

import datetime
import json
import pathlib
import tempfile

import behave
from click import testing

from gypsumfold import events
from gypsumfoldctl import main

START = datetime.datetime(2026, 1, 2, tzinfo=datetime.UTC)
PNG = b"\x89PNG"


class Log:
    """The lines of one node."""

    def __init__(self, node):
        self.node = node
        self.lines = []

    def add(self, moment, event, **fields):
        """Adds a line, behind what a collector of logs puts before it."""
        at = START + datetime.timedelta(seconds=moment)
        line = {
            "number": event.number,
            "event": event.name,
            "node": self.node,
            "timestamp": at.isoformat(),
            **fields,
        }
        self.lines.append(f"{moment:.3f} {self.node} {json.dumps(line)}")

    def engine(self, seconds, instance, role):
        """An engine's entry is seen."""
        self.add(
            seconds,
            events.REPLICA_CHANGED,
            instance=instance,
            role=role,
            draining=False,
        )

    def read(self, seconds, request):
        """A prompt is sent to an engine."""
        self.add(seconds, events.PROMPT_PLACED, request=request, expected=0.1)

    def ended(self, seconds, request, route, outcome, reason="", taken=0.0):
        """A request has its final answer."""
        self.add(
            seconds,
            events.CALL_ENDED,
            request=request,
            route=route,
            outcome=outcome,
            reason=reason,
            seconds=taken,
        )


@behave.given(
    "the logs of two nodes, one after the other, with a line cut short"
)
def step_logs(context):
    first, second = Log("edge-1"), Log("edge-2")
    for number, role in enumerate(("prefill", "prefill", "decode")):
        first.engine(-1.0, f"i-{number}", role)
    for log, seconds, request in ((first, 0.0, "a"), (second, 0.1, "b")):
        log.read(seconds, request)
        log.add(seconds + 0.2, events.CALL_PLACED, request=request)
        log.ended(seconds + 0.3, request, "tags", "complete", taken=0.3)
    second.add(1.0, events.CALL_HOPELESS, request="c")
    full = "the engines have too much to read"
    second.ended(1.0, "c", "tags", "not-run", full)
    second.add(2.2, events.ROLE_ORDERED, instance="i-1", role="decode")
    second.add(2.3, events.REPLICA_GONE, instance="i-1")
    second.ended(2.5, "d", "tags", "not-run", "no engine generates")
    second.read(2.6, "e")
    second.ended(2.9, "e", "tags", "cancelled", taken=0.3)
    first.add(3.0, events.CALL_PLACED, request="f")
    first.ended(
        3.1, "f", "bookings", "undetermined", "a replica broke off", 0.1
    )
    cut = second.lines[0][:60]
    context.logs = "\n".join([*second.lines, cut, *first.lines])


@behave.when("the logs are explained")
def step_explain(context):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="explain-"))
    context.plot = folder / "course.png"
    arguments = ["explain", "-", "--format", "csv", "--plot", context.plot]
    result = testing.CliRunner().invoke(
        main.main, [str(one) for one in arguments], input=context.logs
    )
    assert result.exit_code == 0, result.output
    context.said = result.stderr
    causes, course = result.stdout.strip().split("\n\n")
    context.causes = [line.split(",") for line in causes.splitlines()]
    context.course = {}
    names, *rows = [line.split(",") for line in course.splitlines()]
    for row in rows:
        found = dict(zip(names, row, strict=True))
        context.course[float(found["second"])] = found


@behave.then('of "{route}" {count:d} were "{cause}"')
@behave.then('of "{route}" {count:d} was "{cause}"')
def step_cause(context, route, count, cause):
    assert [route, cause, str(count)] in [row[:3] for row in context.causes], (
        context.causes
    )


@behave.then(
    'of "{route}" {count:d} were "{cause}" with {reading:f} s of reading and '
    "{generating:f} s of generating"
)
def step_seconds(context, route, count, cause, reading, generating):
    row = next(row for row in context.causes if row[:2] == [route, cause])
    assert row[2] == str(count), row
    assert [float(one) for one in row[4:]] == [reading, generating], row


@behave.then("it is said that {count:d} line could not be read")
def step_unread(context, count):
    assert f"{count} lines could not be read" in context.said, context.said


@behave.then(
    "from second {second:d} on {asked:d} were asked for with {readers:d} "
    "readers and {generators:d} generator"
)
def step_course(context, second, asked, readers, generators):
    check_course(context, second, asked, readers, generators, 0)


@behave.then(
    "from second {second:d} on {asked:d} were asked for with {readers:d} "
    "reader and {generators:d} generator after {orders:d} order"
)
def step_course_orders(context, second, asked, readers, generators, orders):
    check_course(context, second, asked, readers, generators, orders)


def check_course(context, second, asked, readers, generators, orders):
    """Compares one row of the course."""
    row = context.course[float(second)]
    found = [row[name] for name in ("asked", "readers", "generators", "orders")]
    wanted = [str(one) for one in (asked, readers, generators, orders)]
    assert found == wanted, row


@behave.then("the course is drawn")
def step_drawn(context):
    assert context.plot.read_bytes().startswith(PNG)

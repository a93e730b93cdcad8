"""Steps that check a configuration before it is sent."""

import copy
import json
import pathlib
import tempfile
import time

import behave
from click import testing
from features.support import gateways
from features.support import made_up
import hypothesis
from hypothesis import strategies

from gypsumfold import exceptions
from gypsumfold.platform import decoding
from gypsumfoldctl import configuration_checks
from gypsumfoldctl import configuration_differences
from gypsumfoldctl import configuration_findings as findings
from gypsumfoldctl import main

SECRET = "k-secret"
SETTINGS = hypothesis.settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
SCALE = {"min": 1, "max": 3, "zonePrices": {"a": 1.0, "b": 0.8}}
IN_FORCE = {
    "version": 7,
    "routes": [
        gateways.PLAIN,
        gateways.LOOKUP,
        {**gateways.BRIEF, "split": [{"service": "lm", "weight": 1}]},
    ],
    "services": [
        {"name": "app", "scale": SCALE},
        {"name": "lm", "engine": {"kvTokens": 440_000}},
    ],
    "limits": {"maxBodyBytes": 4_194_304},
    "tenants": [
        {"name": "north-air", "apiKeys": [f"{SECRET}-1"]},
        {"name": "east-rail", "apiKeys": [f"{SECRET}-2", f"{SECRET}-3"]},
    ],
}
# A split takes precedence over a service beside it.
del IN_FORCE["routes"][2]["service"]
HOSTS = ("a.example", "A.example", "b.example")
PREFIXES = ("/", "/x/", "/x/y/", "/z/")


@behave.given(
    "a configuration of gateways for {count:d} accounts and {routes:d} routes"
)
def step_large(context, count, routes):
    value = copy.deepcopy(IN_FORCE)
    for number in range(routes):
        path = f"/r/{number}/"
        route = {**gateways.PLAIN, "name": f"r{number}", "pathPrefix": path}
        value["routes"].append(route)
    for number in range(count):
        keys = [f"{SECRET}-a-{number}", f"{SECRET}-b-{number}"]
        value["tenants"].append({"name": f"c{number}", "apiKeys": keys})
    value["version"] = 8
    context.configuration = json.dumps(value, indent=1)


@behave.given("a configuration of gateways with {change}")
def step_changed(context, change):
    value = copy.deepcopy(IN_FORCE)
    value["version"] = 8
    path, _, wish = change.removesuffix(" absent").partition("=")
    context.is_field_there = bool(wish)
    *outer, last = [int(s) if s.isdigit() else s for s in path.split(".")]
    inner = value
    for step in outer:
        inner = inner[step]
    if not wish:
        del inner[last]
    elif isinstance(inner, list) and last == len(inner):
        inner.append(json.loads(wish))
    else:
        inner[last] = json.loads(wish)
    context.configuration = json.dumps(value, indent=1)


@behave.given("the configuration text {text}")
def step_text(context, text):
    context.configuration = text.replace("\\n", "\n")


@behave.when("the command checks it")
def step_check(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "in-force.json")
        path.write_text(json.dumps(IN_FORCE))
        arguments = ["check", "-", "--in-force", str(path)]
        runner = testing.CliRunner()
        began = time.process_time()
        context.plain = runner.invoke(
            main.main, arguments, input=context.configuration
        )
        context.seconds = time.process_time() - began
        result = runner.invoke(
            main.main, [*arguments, "--json"], input=context.configuration
        )
    context.printed = context.plain.output + result.output
    context.found = json.loads(result.stdout)
    context.errors = [
        one for one in context.found["findings"] if one["level"] == "error"
    ]
    code = 7 if context.errors else 0
    assert context.plain.exit_code == result.exit_code == code, result


@behave.then('the {level} at {place} says "{text}"')
def step_found(context, level, place, text):
    context.expected = level
    lines = context.configuration.splitlines()
    for one in context.found["findings"]:
        where = ", ".join(filter(None, (one["place"], one["field"])))
        if (one["level"], where or "whole text") != (level, place):
            continue
        if text not in one["sentence"]:
            continue
        assert one["sentence"] in context.plain.stdout, context.plain.stdout
        # An element of a list has no name in its line.
        field = one["field"].rpartition(".")[2]
        if context.is_field_there and "[" not in field:
            assert f'"{field}"' in lines[one["line"] - 1] or not field, one
        return
    raise AssertionError(context.found)


@behave.then("no other error is found")
def step_no_other(context):
    expected = 1 if context.expected == "error" else 0
    assert len(context.errors) == expected, context.errors


@behave.then("the only finding is at line {line:d}, column {column:d}")
def step_syntax(context, line, column):
    (one,) = context.found["findings"]
    assert (one["line"], one["column"]) == (line, column), one


@behave.then('the difference "{text}" is one of {count:d}')
def step_difference(context, text, count):
    shown = context.plain.stdout.splitlines()
    assert text in shown, shown
    assert len(context.found["differences"]) == count, context.found


@behave.then("nothing printed contains a key")
def step_no_key(context):
    assert SECRET in context.configuration
    assert len(context.configuration) > len(json.dumps(IN_FORCE))
    assert SECRET not in context.printed, context.printed


@behave.then("a made-up configuration is invalid exactly if gateways refuse it")
def step_agree(context):
    seen = set()

    @SETTINGS
    @hypothesis.given(made_up.messages(made_up.CONFIGURATION))
    def agree(value):
        try:
            decoding.decode_configuration(value)
            taken = True
        except exceptions.RecordInvalid:
            taken = False
        topics = {one.topic for one in checked(value)}
        assert (findings.Topic.INVALID in topics) != taken, (value, topics)
        seen.add(taken)

    agree()
    assert seen == {True, False}


@behave.then("a route is shadowed exactly if no request matches it")
def step_shadowed(context):
    pairs = strategies.tuples(
        strategies.sampled_from(HOSTS), strategies.sampled_from(PREFIXES)
    )

    @SETTINGS
    @hypothesis.given(strategies.lists(pairs, max_size=6))
    def agree(found):
        routes = []
        for number, (host, path) in enumerate(found):
            names = {"name": str(number), "host": host, "pathPrefix": path}
            routes.append({**gateways.PLAIN, **names})
        value = json.dumps({**IN_FORCE, "routes": routes}).encode()
        table = decoding.decode_configuration(value).routes
        matched = set()
        for host in HOSTS:
            for path in PREFIXES:
                route = table.match(host, path)
                matched.add(route and f'route "{route.name}"')
        for one in checked(value):
            if "never matches" in one.sentence:
                assert one.place not in matched, (one, matched)
                matched.add(one.place)
        assert len(matched - {None}) == len(found), (found, matched)

    agree()


def checked(value):
    """Checks and compares a configuration, without the command."""
    text = findings.Text(value)
    keys = configuration_checks.text_keys(text)
    printer = configuration_differences.Printer(keys)
    if text.record is not None:
        old = findings.Text(json.dumps(IN_FORCE).encode()).record
        assert configuration_differences.compare(old, text.record, printer)
    return configuration_checks.check(text, printer)


@behave.then("it took less than {limit:d} s")
def step_time(context, limit):
    # All was read: the added entries are the differences.
    assert len(context.found["differences"]) == 5801, context.plain.output[:99]
    assert context.seconds < limit, context.seconds

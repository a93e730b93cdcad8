"""Messages from outside as anybody may have written them."""

import json
import random
from unittest import mock

from hypothesis import strategies
import msgspec

from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import origins
from gypsumfold.gateway import quarantine
from gypsumfold.gateway import runs
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway.peers import gossip as gossip_module
from gypsumfold.gateway.peers import seals
from gypsumfold.platform import names

REGISTRATION = {
    "service": "lm",
    "addr": "10.0.0.7:8080",
    "zone": "north",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "born": 1_764_726_000_000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "briefs",
            "host": "desk.example",
            "pathPrefix": "/briefs/",
            "kind": "streaming",
            "timeoutMs": 3000,
            "goalMs": 250,
            "priority": 0,
            "split": [{"service": "lm", "weight": 90}],
            "attempts": 1,
            "resumable": False,
            "gapAimMs": 150,
        }
    ],
    "services": [
        {
            "name": "lm",
            "maxConns": 210,
            "engine": {
                "kvTokens": 393_693,
                "tokenKvBytes": 327_680,
                "linkMbps": 3e6,
                "handleTtlS": 5.0,
                "stageSwitchS": 3.0,
            },
        }
    ],
    "limits": {"maxBodyBytes": 4_194_304, "idleTimeoutMs": 15_000},
}
REPORT = {
    "stage": "prefill",
    "busy": False,
    "seq": 1,
    "queued": 0,
    "running": 1,
    "born": 1_764_726_000_000,
}
CACHE_LIST = {
    "epoch": 1,
    "nextToken": 3,
    "held": [["", "5c1e07a2", 800, "m"]],
    "born": 1_764_726_000_000,
}
HANDLE = {"handle": "3fa09c41b7d5", "tokens": 1460, "version": 1}
NODE = {"address": "10.0.0.2:8092"}
ODD_ADDRESSES = ("10.0.0.2:99999", "edge-2:8092", "10.0.0.2:-1", ":", "1:2:3")
HEADERS = {
    names.ATTEMPT: "9c41d07be2a35f68",
    names.MODEL: "m",
    names.TOKEN_COUNTS: "1460,80",
    names.CHAIN: "5c1e07a2:800,91bd3f06:410",
    names.TIME_LEFT: "8000",
    "Host": "desk.example",
    "Connection": "close, X-Own",
}
SETTINGS = """[node]
name = "edge-1"
data_centre = "north"
[callers]
front = "127.0.0.1:8090"
ready = "127.0.0.1:8091"
[store]
address = "127.0.0.1:8142"
[peers]
address = "127.0.0.1:8092"
[retries]
share = 0.2
window_s = 10
slack = 52
"""

LARGE_NUMBERS = (2**53, 2**64, 2**128 - 1, -(2**63) - 1)
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=8),
    strategies.just("9" * 5000),
    strategies.just(10**400),
    strategies.sampled_from(LARGE_NUMBERS),
    strategies.just("x" * 2000),
    strategies.sampled_from(ODD_ADDRESSES),
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=5,
)


@strategies.composite
def changed(draw, valid):
    """A valid value with some of its members changed or left out."""
    if isinstance(valid, dict):
        found = {}
        for name, value in valid.items():
            what = draw(strategies.integers(0, 2 * len(valid) + 9))
            if what == 0:
                continue
            found[name] = draw(VALUES) if what == 1 else draw(changed(value))
        return found
    if isinstance(valid, list):
        return [draw(changed(value)) for value in valid]
    return valid


def messages(valid):
    """JSON of changed messages, cut ones, deep ones, and any bytes."""
    whole = changed(valid).map(lambda value: json.dumps(value).encode())
    cut = strategies.tuples(whole, strategies.integers(0, 60)).map(
        lambda pair: pair[0][: pair[1]]
    )
    deep = strategies.integers(1, 20_000).map(
        lambda depth: b'{"service":' + b"[" * depth
    )
    return strategies.one_of(
        whole, whole, cut, strategies.binary(max_size=60), deep
    )


@strategies.composite
def headers(draw):
    """Header fields of requests, some of them no proper ones."""
    found = []
    for name, value in HEADERS.items():
        what = draw(strategies.integers(0, 5))
        if what == 0:
            continue
        if what == 1:
            value = draw(
                strategies.one_of(
                    strategies.text(
                        alphabet="0123456789abc:,.-+eE \u00b2\u00e4",
                        max_size=30,
                    ),
                    strategies.just("9" * 5000),
                    strategies.just("a:" + "9" * 5000),
                    strategies.just("9" * 400),
                )
            )
        found.append((name.encode(), value.encode("latin-1")))
    return tuple(found)


CONTACT = ["edge-2-7", "edge-2", "north", "", 1.0]
NEWS = [
    [["i-1", [1, 2], [800, 410]]],
    {"i-1": 1.5},
    {"i-1": ["decode", 2.0]},
    ["i-1"],
    {"i-1": 1_764_726_000_000},
]
REPORT_FRAME = [
    1,
    CONTACT,
    5,
    0,
    [{"i-1/0": 0.5}, {"i-1": 0.1}, {"i-1/1": 0.2}, {"lm": 1.2}],
    NEWS,
]
SUMMARY_FRAME = [
    2,
    CONTACT,
    5,
    40,
    False,
    [{"i-1/0": 500}, {"i-1": 100}, {"i-1/1": 200}, {"lm": 1200}],
    NEWS,
    [70, 0.4, 9, [["i-1", 7, b"value"]], 0.0, 3, 4, 0.2],
    [["edge-1-3", "edge-1", "north", "10.0.0.1:8092", 2.0]],
]


def datagrams():
    """Datagrams of peers: changed ones, cut ones, and any bytes."""
    values = strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(-(2**63), 2**64 - 1),
        strategies.floats(),
        strategies.text(max_size=8),
        strategies.dictionaries(
            strategies.text(max_size=4), strategies.floats(), max_size=3
        ),
    )

    def varied(draw, value):
        if draw(strategies.integers(0, 60)) == 0:
            return draw(values)
        if isinstance(value, list):
            return [varied(draw, one) for one in value]
        if isinstance(value, dict):
            return {key: varied(draw, one) for key, one in value.items()}
        return value

    @strategies.composite
    def message(draw):
        valid = draw(strategies.sampled_from((REPORT_FRAME, SUMMARY_FRAME)))
        found = varied(draw, valid)
        if isinstance(found, list):
            found[1] = [draw(strategies.text(max_size=6)), *CONTACT[1:]]
        return seals.HEADER + msgspec.msgpack.encode(found)

    cut = strategies.tuples(message(), strategies.integers(0, 80)).map(
        lambda pair: pair[0][: pair[1]]
    )
    return strategies.one_of(
        message(), message(), cut, strategies.binary(max_size=60)
    )


def settings_files():
    """Settings files with lines changed, left out or added."""

    @strategies.composite
    def file(draw):
        lines = []
        for line in SETTINGS.splitlines():
            what = draw(strategies.integers(0, 20))
            if what == 0:
                continue
            if what == 1:
                line = line.partition("=")[0] + "= " + draw(TOML_VALUES)
            lines.append(line)
        return "\n".join(lines).encode()

    return strategies.one_of(file(), file(), strategies.binary(max_size=80))


TOML_VALUES = strategies.sampled_from(
    ["1", "-1", '"x"', "[]", "{}", "inf", "nan", "true", '""', '"1:99999"']
)


def gossip(*keys: str) -> gossip_module.Gossip:
    """A node's part that talks to peers, without a network."""
    directory = directory_module.Directory(random.Random(1))
    leadership = mock.Mock(member="edge-1-1")
    settings = settings_module.Settings(
        node=settings_module.NodeSection("edge-1", "north"),
        callers=settings_module.CallersSection("127.0.0.1:1", "127.0.0.1:2"),
        store=settings_module.StoreSection("127.0.0.1:3"),
        peers=settings_module.PeersSection("127.0.0.1:8092", list(keys)),
    )
    made = gossip_module.Gossip(
        settings,
        mock.Mock(),
        prefix_routing_module.PrefixRouter(),
        leadership,
        directory,
        quarantine.Quarantine(runs.InterruptedRuns(directory)),
        origins.Origins(directory),
    )
    made.sender.transport = mock.Mock()
    return made


def with_large_numbers(valid):
    """Valid messages in which one value is a number that few types hold."""
    found = []
    for change in replaced(valid):
        found.append(json.dumps(change).encode())
    return found


def replaced(value):
    """Yields a value with each part replaced by each large number."""
    if isinstance(value, dict):
        for name, inner in value.items():
            for other in replaced(inner):
                yield {**value, name: other}
    elif isinstance(value, list):
        for place, inner in enumerate(value):
            for other in replaced(inner):
                yield [*value[:place], other, *value[place + 1 :]]
    else:
        yield from LARGE_NUMBERS

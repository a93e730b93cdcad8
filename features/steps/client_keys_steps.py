"""Steps on keys of client accounts."""

import asyncio
import math

import behave
from features.support import gateway_calls as callers
from features.support import gateways
from features.support import http
from features.support import virtual_gateways

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import client_keys
from gypsumfold.decisions import routes
from gypsumfold.gateway import authentication
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import types
from gypsumfold.platform import names

# A key that stands for a request without one.
NO_KEY = "none"
CHAIN = "aa:4000,bb:300"
ROUTE = routes.Route(
    "seats",
    gateways.HOST,
    "/seats/",
    routes.Kind.NON_IDEMPOTENT,
    2.0,
    0.2,
    1,
    1,
    (routes.Target("app", 1.0),),
)


def key_headers(key):
    """Headers with a key, or none."""
    return {} if key == NO_KEY else {names.KEY: key}


def put_in_force(context):
    """Writes a configuration and waits until the gateway has it."""
    version = context.fleet.configure()

    def in_force():
        found = context.fleet["edge-1"].events(events.CONFIG_IN_FORCE.number)
        return any(line["version"] == version for line in found)

    gateways.until(in_force, f"version {version} is not in force")


@behave.given(
    'the accounts "{first}" with the key "{key}", of urgency {urgency:d}, and '
    '"{second}" with the key "{other}"'
)
def step_accounts(context, first, key, urgency, second, other):
    context.fleet.accounts = [
        {"name": first, "apiKeys": [key], "priority": urgency},
        {"name": second, "apiKeys": [other]},
    ]
    put_in_force(context)


@behave.given('the route "{name}" is public')
def step_public(context, name):
    changed = []
    for route in context.fleet.routes:
        public = route["name"] == name
        changed.append({**route, "public": public})
    context.fleet.routes = changed
    put_in_force(context)


@behave.when('the key of "{account}" is replaced by "{key}"')
def step_replace(context, account, key):
    for declared in context.fleet.accounts:
        if declared["name"] == account:
            declared["apiKeys"] = [key]
    put_in_force(context)


@behave.when(
    'a caller with the key "{key}" that names the account "{account}" posts '
    'to "{path}"'
)
def step_post_account(context, key, account, path):
    extra = {**key_headers(key), names.ACCOUNT: account}
    callers.call(context, "POST", path, b"hold", **extra)


@behave.when('a caller with the key "{key}" posts to "{path}"')
def step_post(context, key, path):
    callers.call(context, "POST", path, b"hold", **key_headers(key))


@behave.when('a caller with the key "{key}" asks "{path}" for a stream')
def step_stream(context, key, path):
    callers.stream(context, path, CHAIN, **key_headers(key))
    while not callers.met(context):
        callers.stream(context, path, CHAIN, **key_headers(key))


@behave.then(
    'all that replicas got of it names the account "{account}" and no key'
)
def step_account_only(context, account):
    attempt = context.sent[names.ATTEMPT]
    found = []
    for record in callers.records(context).values():
        for got in [*record["runs"], *record["prompts"]]:
            if got["attempt"] == attempt:
                found.append(got["headers"])
    assert found, attempt
    for headers in found:
        lowered = {name.lower(): value for name, value in headers.items()}
        assert lowered.get(names.ACCOUNT.lower()) == account, headers
        assert names.KEY.lower() not in lowered, headers


@behave.then("the caller gets {status:d} and the attempt has run nowhere")
def step_refused(context, status):
    assert context.answer.status == status, context.answer
    assert callers.runs_of(context, context.sent[names.ATTEMPT]) == []


@behave.then("its stream was generated with urgency {urgency:d}")
def step_urgency(context, urgency):
    ((_, run),) = callers.runs_of(context, context.sent[names.ATTEMPT])
    assert run["headers"][names.URGENCY] == str(urgency), run


@behave.then('neither logs nor metrics show "{first}", "{second}" or "{third}"')
def step_secret(context, first, second, third):
    gateway = context.fleet["edge-1"]
    url = f"http://{gateway.host}:8093/metrics"
    shown = http.get(url).body.decode()
    shown += "\n".join(str(line) for line in gateway.log_lines())
    for key in (first, second, third):
        assert key not in shown, key


@behave.then("the refusal is logged with the key's fingerprint and the version")
def step_logged(context):
    (line,) = context.fleet["edge-1"].events(events.KEY_REFUSED.number)
    expected = client_keys.fingerprint(client_keys.digest("k-other"))
    assert line["key"] == expected, line
    assert line["version"] > 0, line
    assert line["certain"], line


def configuration(version, *keys):
    """A configuration with one account that has some keys."""
    account = client_keys.Account("north-air")
    return types.Configuration(
        version,
        routes.RouteTable([ROUTE]),
        {},
        types.Limits(),
        client_keys.KeyTable([(account, keys)]),
    )


class Gateway:
    """What admits requests at one gateway, with a configuration of a test."""

    def __init__(self, key: str, state: str):
        self.configurations = configurations_module.Configurations()
        self.configurations.current = configuration(3, key)
        self.clock = virtual_gateways.Clock()
        if state == "was told of a newer version":
            self.configurations.announced = 4
        strict = state.startswith("is strict")
        self.reachable = state != "cannot reach the store"
        self.age = 6.0 if strict else 0.0
        self.authenticator = authentication.Authenticator(
            self.configurations, client_keys.Policy(strict, 5.0), self.assess
        )

    def assess(self) -> client_keys.Knowledge:
        """How recent the configuration is."""
        behind = self.configurations.announced > self.configurations.version()
        return client_keys.Knowledge(behind, self.reachable, self.age)

    async def ask(self, key: str) -> str:
        """Sends a request with a key and tells how it ended."""
        call = types.Call(
            "a1", "POST", "/seats/7", gateways.HOST, (), None, 0.0, math.inf
        )
        call = call._replace(key_digest=client_keys.digest(key))
        try:
            _, admitted = await self.authenticator.admit(
                self.configurations.current, ROUTE, call
            )
        except exceptions.Unauthorized:
            return "refused for good"
        except exceptions.Unavailable as error:
            assert error.retry_after is not None, error
            return "to be sent elsewhere"
        assert admitted.account == "north-air", admitted
        return "admitted"

    async def receive(self, found: types.Configuration) -> None:
        """Puts a configuration in force."""
        self.configurations.current = found
        self.configurations.changed.set()
        self.configurations.changed = asyncio.Event()

    def run(self, coroutine):
        """Runs in virtual time."""
        selector = virtual_gateways.Selector(self.clock)
        loop = asyncio.SelectorEventLoop(selector)
        loop.time = self.clock
        try:
            return loop.run_until_complete(coroutine)
        finally:
            loop.close()


@behave.given('a gateway in virtual time with the key "{key}", which {state}')
def step_virtual(context, key, state):
    context.virtual = Gateway(key, state)


@behave.when('a request with the key "{key}" comes, and after 0.2 s {later}')
def step_request(context, key, later):
    gateway = context.virtual

    async def play():
        request = asyncio.create_task(gateway.ask(key))
        await asyncio.sleep(0.2)
        if later.startswith("the version"):
            await gateway.receive(configuration(4, "k-old", "k-new"))
        return await request

    context.end = gateway.run(play())


@behave.then("the request is {end}")
def step_end(context, end):
    assert context.end == end, context.end


@behave.when("{count:d} requests with unknown keys come")
def step_flood(context, count):
    gateway = context.virtual

    async def play():
        requests = [gateway.ask(f"k-{number}") for number in range(count)]
        return await asyncio.gather(*requests)

    started = gateway.clock.now
    context.ends = gateway.run(play())
    context.seconds = gateway.clock.now - started


@behave.then(
    "the store is not called for them, and none is held for more than "
    "{seconds:g} s"
)
def step_no_calls(context, seconds):
    # The authenticator has no way to the store; it waits for what comes.
    assert not hasattr(context.virtual.authenticator, "store")
    assert set(context.ends) == {"to be sent elsewhere"}, context.ends
    assert context.seconds <= seconds + 0.01, context.seconds

"""A small deployment declared on a fleet, and requests of its callers."""

import json
from typing import Any
from typing import NamedTuple

from features.support import fleets
from features.support import http
from features.support import processes
from gypsumfold_standins import tokens

ENGINES = "dispatch"
PLAIN = "ramp"
MODEL = "dispatch-lm"
CALL = "tug"
ACCOUNT = "airline"
TOKEN = "airline-token"
# The kinds of request: tug calls may not be repeated.
KINDS = (
    ("briefing", ENGINES, {"urgency": 5, "repeatable": True, "default": True}),
    ("swap", ENGINES, {"urgency": 1, "repeatable": True}),
    (CALL, PLAIN, {"urgency": 0, "repeatable": False}),
)


class Completion(NamedTuple):
    """What a caller got.

    Attributes:
        status: Of HTTP.
        outcome: As the answer says; empty if it was cut off before.
        text: The answer.
        expected: What the answer should be.
        headers: Of the response.
        whole: Whether it ended with its end marker.
    """

    status: int
    outcome: str
    text: str
    expected: str
    headers: dict[str, str]
    whole: bool

    @property
    def right(self) -> bool:
        """Whether it is the whole and exact answer."""
        return self.whole and self.text == self.expected


def create(kind: str, name: str, fields: dict[str, Any]) -> str:
    """Writes one ``create`` statement."""
    pairs = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
    settings = f" set {', '.join(pairs)}" if pairs else ""
    return f'create {kind} "{name}"{settings};\n'


def endpoint(fleet: fleets.Fleet, name: str, address: str = "") -> str:
    """Writes the statement that declares an endpoint of a fleet.

    Args:
        fleet: That runs it.
        name: Of the process.
        address: Where nodes reach it, if not at its own address.
    """
    started = fleet.endpoints[name]
    fields = {
        "service": ENGINES if started.protocol == "engine" else PLAIN,
        "address": address or fleet[name].address,
        "data_centre": started.data_centre,
        "vm": name,
    }
    if started.protocol == "engine":
        fields["checks_tokens"] = started.checks_tokens
    return create("endpoint", name, fields)


def declare(fleet: fleets.Fleet, **addresses: str) -> None:
    """Declares services, kinds, an account and all endpoints of a fleet.

    Args:
        fleet: With at least one node.
        **addresses: By endpoint (with ``_`` for ``-``), where nodes reach it
            if not at its own address; for fault proxies.
    """
    text = create("service", ENGINES, {"protocol": "engine"})
    text += create("service", PLAIN, {"protocol": "plain"})
    text += create("model", MODEL, {"service": ENGINES})
    for kind, service, fields in KINDS:
        text += create("kind", kind, {"service": service, **fields})
    digest = fleets.sha256(TOKEN)
    text += create("account", ACCOUNT, {"token_sha256": digest})
    for name in fleet.endpoints:
        address = addresses.get(name.replace("-", "_"), "")
        text += endpoint(fleet, name, address)
    fleet.apply(text)
    until_open(fleet, *fleet.endpoints)


def show_endpoints(
    fleet: fleets.Fleet, node: processes.Process
) -> dict[str, dict[str, Any]]:
    """Reads what a node knows of the endpoints."""
    answer = fleet.operate("/v1/queries", {"text": "show endpoints"}, node)
    assert answer.status == 200, answer
    table = answer.json()
    columns = table["columns"]
    rows = [dict(zip(columns, row, strict=True)) for row in table["rows"]]
    return {row["name"]: row for row in rows}


def open_at(fleet: fleets.Fleet, node: processes.Process, name: str) -> bool:
    """Whether a node would send work to an endpoint."""
    return bool(show_endpoints(fleet, node).get(name, {}).get("open"))


def until_open(fleet: fleets.Fleet, *names: str) -> None:
    """Waits until every live node would send work to these endpoints."""
    for node in fleet.nodes.values():
        if not node.alive:
            continue
        for name in names:
            fleet.until(
                lambda node=node, name=name: open_at(fleet, node, name),
                message=f"{name} is not open at {node.name}",
            )


def until_closed(fleet: fleets.Fleet, name: str, limit: float) -> None:
    """Waits until no live node would send work to an endpoint."""
    for node in fleet.nodes.values():
        if not node.alive:
            continue
        fleet.until(
            lambda node=node: not open_at(fleet, node, name),
            limit,
            f"{name} is still open at {node.name}",
        )


def headers(**extra: str) -> dict[str, str]:
    """The headers of a caller's request."""
    return {"Authorization": f"Bearer {TOKEN}", **extra}


def messages(content: str) -> list[dict[str, str]]:
    """The messages of a short prompt."""
    return [{"role": "user", "content": content}]


def expected_text(content: str, max_tokens: int) -> str:
    """The exact answer to a short prompt."""
    return "".join(tokens.answer(MODEL, messages(content), max_tokens))


def complete(
    node: processes.Process,
    content: str,
    max_tokens: int = 100,
    **extra: str,
) -> Completion:
    """Asks for a streamed completion and reads it to its end.

    Args:
        node: That is asked.
        content: The prompt.
        max_tokens: Of the answer.
        **extra: More headers.

    Returns:
        What came; a connection that fails gives what came before.
    """
    body = {
        "model": MODEL,
        "messages": messages(content),
        "max_tokens": max_tokens,
        "stream": True,
    }
    wanted = expected_text(content, max_tokens)
    url = f"{node.url}/v1/chat/completions"
    try:
        connection, response = http.open_request(
            "POST", url, body, headers(**extra), timeout=60.0
        )
    except http.Gone:
        return Completion(0, "", "", wanted, {}, False)
    found = {name.lower(): value for name, value in response.getheaders()}
    if response.status != 200:
        outcome = found.get("gypsumfold-outcome", "")
        return Completion(response.status, outcome, "", wanted, found, False)
    return read_completion(connection, response, wanted, found)


def read_completion(connection, response, wanted, found) -> Completion:
    """Reads the events of a streamed completion."""
    text = outcome = ""
    whole = False
    try:
        for event in http.events(response):
            if event.data == "[DONE]":
                whole = True
                continue
            document = json.loads(event.data)
            outcome = document.get("outcome", outcome)
            for choice in document.get("choices", []):
                text += choice["delta"].get("content", "")
    except http.Gone:
        whole = False
    finally:
        connection.close()
    return Completion(200, outcome, text, wanted, found, whole)


def call(
    node: processes.Process, content: str, **extra: str
) -> http.Answer | None:
    """Makes a call of the plain service; None if the connection failed."""
    url = f"{node.url}/v1/services/{PLAIN}/{CALL}"
    try:
        return http.post(
            url, content.encode(), headers=headers(**extra), timeout=60.0
        )
    except http.Gone:
        return None


def expected_call(content: str) -> bytes:
    """The exact answer to a call."""
    return tokens.call_answer(CALL, content.encode())

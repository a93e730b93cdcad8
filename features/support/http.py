"""HTTP for steps: one request at a time, on a connection of its own."""

from collections.abc import Iterator
import http.client
import json
from typing import Any
from typing import NamedTuple
import urllib.parse

TIMEOUT = 20.0
# What a server that is not there (yet, or any more) gives.
Gone = (OSError, http.client.HTTPException)


class Answer(NamedTuple):
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decodes the body."""
        return json.loads(self.body)


class Event(NamedTuple):
    """One server-sent event."""

    id: str
    data: str


def open_request(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = TIMEOUT,
) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
    """Sends a request and gives its response, not yet read.

    Args:
        method: Of HTTP.
        url: Whole.
        body: Bytes, or a value for JSON.
        headers: In addition.
        timeout: Seconds for each wait on the socket.

    Returns:
        The connection, to be closed, and the response.
    """
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(parts.netloc, timeout=timeout)
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body).encode()
    try:
        connection.request(method, path, body, headers or {})
        return connection, connection.getresponse()
    except BaseException:
        connection.close()
        raise


def request(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = TIMEOUT,
) -> Answer:
    """Sends a request and reads its answer; see `open_request`."""
    connection, response = open_request(method, url, body, headers, timeout)
    try:
        content = response.read()
    finally:
        connection.close()
    found = {name.lower(): value for name, value in response.getheaders()}
    return Answer(response.status, found, content)


def get(url: str, **options) -> Answer:
    """Sends a GET."""
    return request("GET", url, **options)


def post(url: str, body: Any = None, **options) -> Answer:
    """Sends a POST."""
    return request("POST", url, {} if body is None else body, **options)


def events(response: http.client.HTTPResponse) -> Iterator[Event]:
    """Reads server-sent events until the response ends.

    Raises:
        http.client.HTTPException: The response was cut off.
    """
    event_id = data = ""
    while True:
        raw = response.readline()
        if not raw:
            return
        line = raw.decode().rstrip("\r\n")
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = value
        if name == "data":
            data = value
        if not line and data:
            yield Event(event_id, data)
            data = ""

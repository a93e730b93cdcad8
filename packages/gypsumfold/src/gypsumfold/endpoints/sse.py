"""Parsing and rendering of server-sent events (WHATWG HTML)."""

from typing import NamedTuple

from gypsumfold import exceptions

# An engine's event carries one token, so a larger event is an error.
MAX_EVENT_BYTES = 64 * 1024


class ServerEvent(NamedTuple):
    """One event: its joined data lines, its type and its id."""

    data: str
    event: str = ""
    id: str = ""


class Parser:
    r"""Splits a byte stream into events.

    >>> Parser().feed(b"data: 1\n\n")
    [ServerEvent(data='1', event='', id='')]
    """

    def __init__(self):
        self.buffer = b""

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Parses the next bytes of the stream.

        Args:
            data: The bytes received; an event may be split at any byte.

        Returns:
            The events that these bytes complete, without comments.

        Raises:
            exceptions.StreamBroken: An event is too large or not UTF-8.
        """
        buffer = (self.buffer + data).replace(b"\r\n", b"\n")
        *blocks, self.buffer = buffer.split(b"\n\n")
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise exceptions.StreamBroken("an event is too large")
        found = []
        for block in blocks:
            event = _parse(block)
            if event is not None:
                found.append(event)
        return found


def _parse(block: bytes) -> ServerEvent | None:
    if len(block) > MAX_EVENT_BYTES:
        raise exceptions.StreamBroken("an event is too large")
    try:
        text = block.decode()
    except UnicodeDecodeError as error:
        raise exceptions.StreamBroken("an event is not UTF-8") from error
    fields = {"event": "", "id": ""}
    data = []
    for line in text.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
            continue
        if name in fields:
            fields[name] = value
    if not data:
        return None
    return ServerEvent("\n".join(data), fields["event"], fields["id"])


def render(event: ServerEvent) -> bytes:
    """Renders one event.

    Args:
        event: The event; its data may have several lines.

    Returns:
        The bytes, including the blank line that ends the event.
    """
    lines = []
    if event.id:
        lines.append(f"id: {event.id}")
    if event.event:
        lines.append(f"event: {event.event}")
    for line in event.data.split("\n"):
        lines.append(f"data: {line}")
    return ("\n".join(lines) + "\n\n").encode()


# An empty comment, sent to keep the connection open.
COMMENT = b":\n\n"

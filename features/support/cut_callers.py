"""Callers that notice whether an answer is complete."""

import http.client
from typing import NamedTuple

from features.support import cut_replicas
from gypsumfold.platform import names

# Stands for the body of an answer that neither ends nor breaks off.
TIMED_OUT = b"timed out"


class Reply(NamedTuple):
    """What a caller received.

    Attributes:
        status: HTTP status; 0 without a whole head.
        body: The body, or what came of it.
        is_whole: Whether it looks complete.
        seal: The seal in its head.
    """

    status: int
    body: bytes
    is_whole: bool
    seal: str = ""


class Caller:
    """A caller that sends requests over one connection while it is open.

    Attributes:
        opened: Connections that were opened.
    """

    def __init__(self, host: str, port: int):
        self.connection = http.client.HTTPConnection(
            host, port, timeout=cut_replicas.LIMIT
        )
        self.opened = 0

    def ask(
        self, method: str, path: str, body: bytes | None, fields: dict[str, str]
    ) -> Reply:
        """Sends a request and reads its answer to its end."""
        if self.connection.sock is None:
            self.opened += 1
        try:
            self.connection.request(method, path, body, fields)
            response = self.connection.getresponse()
        except (http.client.HTTPException, OSError) as error:
            self.connection.close()
            return Reply(0, repr(error).encode(), False)
        seal = response.headers.get(names.SEAL, "")
        try:
            data = response.read()
            return Reply(response.status, data, True, seal)
        except http.client.IncompleteRead as error:
            self.connection.close()
            return Reply(response.status, error.partial, False, seal)
        except OSError as error:
            self.connection.close()
            data = TIMED_OUT if isinstance(error, TimeoutError) else b""
            return Reply(response.status, data, False, seal)

    def close(self) -> None:
        """Closes the connection."""
        self.connection.close()

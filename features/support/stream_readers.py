"""Callers over sockets that read streams and take them up elsewhere."""

import http.client
import re

from features.support import gateways
from gypsumfold.platform import names

PATH = "/swaps/1"
CHAIN = "aa:4000,bb:300"
# Seconds that a caller waits.
WAIT = 6.0
# Matches a whole event of a stand-in: its id and the version that wrote it.
EVENT = re.compile(rb"id: (\d+)\ndata: token-\d+ ?(\S*)\n\n")


class Reader:
    """One stream over all attempts of its caller.

    Attributes:
        began: Id of the attempt that brought the first event.
        events: Id and version of each event, over all attempts.
        status: HTTP status of the last attempt; 0 where no head came.
        names_attempt: Whether the caller names the attempt that it takes up.

    >>> reader = Reader(fleet)
    >>> reader.read("edge-1", events=3)
    >>> reader.read("edge-2")
    """

    def __init__(self, fleet: gateways.GatewayFleet):
        self.fleet = fleet
        self.began = ""
        self.events: list[tuple[int, str]] = []
        self.status = 0
        self.names_attempt = True

    def read(self, gateway: str, events: int = 10**6, wait=WAIT) -> None:
        """Makes an attempt and reads until it ends or so many events came."""
        sent = gateways.headers(wait, CHAIN, stream=True)
        if self.began:
            if self.names_attempt:
                sent[names.RESUMES] = self.began
            sent[names.LAST_EVENT] = str(self.events[-1][0])
        process = self.fleet[gateway]
        connection = http.client.HTTPConnection(
            process.host, gateways.FRONT_PORT, timeout=wait
        )
        before = list(self.events)
        self.status = 0
        data = b""
        try:
            connection.request("POST", PATH, b"x", sent)
            response = connection.getresponse()
            self.status = response.status
            while piece := response.read1(4096):
                data += piece
                found = EVENT.findall(data)
                self.events = before + [
                    (int(number), version.decode()) for number, version in found
                ]
                if len(found) >= events:
                    break
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        if self.events and not self.began:
            self.began = sent[names.ATTEMPT]

    def versions(self) -> set[str]:
        """The versions that wrote events."""
        return {version for _, version in self.events}

    def in_order(self) -> bool:
        """Whether no event is missing or came twice."""
        numbers = [number for number, _ in self.events]
        return numbers == list(range(1, len(numbers) + 1))

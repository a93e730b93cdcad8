"""Asks a former holder of the authority whether its tenure has ended.

A holder that is cut off from the store can't record there that its tenure has
ended, and its successor would have to wait for a lease.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import urllib.parse

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import tenures
from gypsumfold.gateway.peers import queries

# Path prefix of the question; an incarnation and a token follow.
PATH = "/tenures/"
# Seconds for the answer: the holder ends its calls first.
TIMEOUT_SECONDS = 2.5
ENDED = b"ended"
HELD = b"held"


class TenureQueries:
    """Asks about tenures, and answers those that ask.

    Attributes:
        end: Ends this node's tenure with a token; returns whether it is over.

    >>> found = TenureQueries(client, "edge-1-0193", leadership.yield_to)
    >>> await found.has_ended(tenure, 8)
    True
    """

    def __init__(
        self,
        client: queries.QueryClient,
        member: str,
        end: Callable[[int, int], Awaitable[bool]],
    ):
        self.client = client
        self.member = member
        self.end = end

    async def answer(self, path: str) -> bytes:
        """Answers a question.

        Another incarnation than the one that answers has ended, as this one
        has its address.
        """
        member, _, numbers = path.removeprefix(PATH).partition("/")
        token, _, generation = numbers.partition("/")
        if not token.isdecimal() or not generation.isdecimal():
            return b""
        if urllib.parse.unquote(member) != self.member:
            return ENDED
        has_ended = await self.end(int(token), int(generation))
        return ENDED if has_ended else HELD

    async def has_ended(self, tenure: tenures.Tenure, generation: int) -> bool:
        """Asks a holder to end its tenure.

        Args:
            tenure: The tenure.
            generation: The generation of the group in which this node was
                assigned the authority.

        Returns:
            Whether nothing of the tenure can arrive any more, as its holder
            has said, or as its process has ended; False also without an
            answer.
        """
        host, _, port = tenure.address.rpartition(":")
        if not port.isdecimal():
            return False
        name = urllib.parse.quote(tenure.member, safe="")
        path = f"{PATH}{name}/{tenure.token}/{generation}"
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                found = await self.client.fetch((host, int(port)), path)
        except exceptions.PeerNotListening:
            # A process listens from its start until after its last call, also
            # while it is frozen.
            return True
        except (
            exceptions.PeerError,
            exceptions.RecordInvalid,
            TimeoutError,
        ) as error:
            events.log(
                events.PEER_SILENT, peer=tenure.address, reason=repr(error)
            )
            return False
        return found == ENDED

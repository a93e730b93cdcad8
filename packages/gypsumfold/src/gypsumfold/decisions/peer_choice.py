"""Chooses the nodes that serve requests for one that is cut off from replicas.

Load pattern: half of the nodes, or all of a data centre, cut off at once, or a
service whose replicas have all failed. The nodes asked must not include the
same few each time, and nodes that are cut off themselves must not be asked for
each request.
"""

import math
import random

from gypsumfold.decisions import members as members_module

# Maximum number of nodes asked for one request, some milliseconds each.
MAX_ASKED = 6
# Seconds for which a node that declined or did not answer isn't asked again.
DECLINED_SECONDS = 1.0
# Number of nodes that declined one after the other, after which none is asked
# about a service for some seconds: its replicas have failed for all.
PAUSE_THRESHOLD = 12
PAUSE_SECONDS = 0.5
# Entries after which those that are over are dropped.
MAX_REMEMBERED = 4096


class PeerChoice:
    """Remembers which nodes declined to serve a service.

    >>> choice = PeerChoice(random.Random(1))
    >>> choice.candidates("lm", members, now=0.0)
    [Member(...), Member(...), Member(...)]
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.declined_until: dict[tuple[str, str], float] = {}
        self.declined_in_row: dict[str, int] = {}
        self.paused_until: dict[str, float] = {}

    def candidates(
        self,
        service: str,
        members: list[members_module.Member],
        now: float,
    ) -> list[members_module.Member]:
        """Returns the nodes to ask for one request, in this order."""
        if self.paused_until.get(service, -math.inf) > now:
            return []
        found = []
        for member in members:
            until = self.declined_until.get((service, member.name), -math.inf)
            if until <= now:
                found.append(member)
        return self.rng.sample(found, min(len(found), MAX_ASKED))

    def declined(
        self, service: str, member: members_module.Member, now: float
    ) -> None:
        """Records that a node can't serve a service or doesn't answer."""
        if len(self.declined_until) > MAX_REMEMBERED:
            self.expire(now)
        self.declined_until[service, member.name] = now + DECLINED_SECONDS
        in_row = self.declined_in_row.get(service, 0) + 1
        if in_row >= PAUSE_THRESHOLD:
            self.paused_until[service] = now + PAUSE_SECONDS
            in_row = 0
        self.declined_in_row[service] = in_row

    def accepted(self, service: str) -> None:
        """Records that a node has served a request."""
        self.declined_in_row.pop(service, None)

    def expire(self, now: float) -> None:
        """Forgets what no longer counts."""
        for key, until in list(self.declined_until.items()):
            if until <= now:
                del self.declined_until[key]

"""What the platform keeps of calls that one node at a time may make.

Free of network and clock, so that the process and the virtual platform share
it. A call's fencing token is checked when the call is carried out, which may
be later than it was sent.
"""

from typing import Any
from typing import NamedTuple


class Call(NamedTuple):
    """One call that was carried out.

    Attributes:
        subject: What its token is compared on: the path, and for orders of
            replicas the service and data centre.
        body: The decoded body.
        holder: The node that names itself as the holder.
        token: The fencing token.
        at: When it was carried out.
        accepted: Whether it was accepted.
    """

    subject: str
    body: dict[str, Any]
    holder: str
    token: int
    at: float
    accepted: bool


class Duties:
    """The platform's side of the duties.

    Attributes:
        fenced: Whether calls with a lower token than seen are refused.
        calls: All calls that were carried out, in order.

    >>> duties = Duties()
    >>> duties.carry_out("/usage", {"windowSeq": 1, "counts": {}}, "n1", 2, 0.0)
    200
    """

    def __init__(self, fenced: bool = True):
        self.fenced = fenced
        self.calls: list[Call] = []
        self.highest: dict[str, int] = {}

    def carry_out(
        self,
        path: str,
        body: dict[str, Any],
        holder: str,
        token: int,
        now: float,
    ) -> int:
        """Carries a call out; returns the HTTP status."""
        subject = path
        if path == "/scale":
            subject = f"{path} {body['service']} {body['zone']}"
        accepted = not self.fenced or token >= self.highest.get(subject, 0)
        self.calls.append(Call(subject, body, holder, token, now, accepted))
        if not accepted:
            return 409
        self.highest[subject] = max(token, self.highest.get(subject, 0))
        return 200

    def accepted(self, subject: str) -> list[Call]:
        """Lists the accepted calls on one subject."""
        return [
            call
            for call in self.calls
            if call.accepted and call.subject == subject
        ]

    def contradictions(self) -> list[int]:
        """Lists the windows for which different counts were accepted."""
        counts: dict[int, dict[str, int]] = {}
        found = []
        for call in self.accepted("/usage"):
            window = call.body["windowSeq"]
            first = counts.setdefault(window, call.body["counts"])
            if first != call.body["counts"]:
                found.append(window)
        return found

    def shared_tokens(self) -> list[int]:
        """Lists the tokens that more than one holder has used."""
        holders: dict[tuple[str, int], str] = {}
        found = []
        for call in self.calls:
            key = (call.subject, call.token)
            if holders.setdefault(key, call.holder) != call.holder:
                found.append(call.token)
        return found

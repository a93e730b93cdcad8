"""Engines that start again between two calls of a request."""

from gypsumfold import exceptions
from gypsumfold.gateway import types


class WholeAnswer:
    """An engine's answer with one event."""

    status = 200
    reason = "OK"
    fields = ()
    sealed = True
    not_run = False
    length = None
    is_framed = True

    def hold(self, size, limit):
        assert size <= limit, size

    async def chunks(self):
        """The body as it comes."""
        yield b"id: 1\ndata: a\n\n"

    def close(self) -> None:
        """Ends the exchange."""


class RestartingEndpoints:
    """Engines of which the one that reads starts again when it has read.

    Attributes:
        calls: What was sent to engines, in order.
        restart: Has the node know of the new start.
    """

    def __init__(self, restart):
        self.calls: list[str] = []
        self.restart = restart

    def is_connected(self, replica: types.Replica) -> bool:
        """Whether a call would find a connection open."""
        return True

    async def prefill(
        self, replica: types.Replica, call: types.Call, instructions
    ) -> types.Handle:
        """Reads a prompt."""
        self.calls.append("prompt")
        return types.Handle(
            replica.instance, replica.address, "h", replica.started_at
        )

    async def send(
        self, replica: types.Replica, call: types.Call, instructions
    ) -> types.Answer:
        """Refuses the first run, and makes the tokens of later ones."""
        self.calls.append("run")
        if self.calls.count("run") == 1:
            self.restart()
            raise exceptions.EndpointMismatch("it has another role")
        return WholeAnswer()

    async def drop(self, replica: types.Replica, handle: types.Handle) -> None:
        """Frees a KV cache."""

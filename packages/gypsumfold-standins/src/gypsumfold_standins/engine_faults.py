"""Switches of the engine stand-in for tests."""

import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong, from when a test says so.

    Those that count streams apply to the next so many streams that reach the
    token index `at`, and count down.

    Attributes:
        at: The token index at which the stream faults below strike.
        model: Stream faults only count dispatches whose model contains it.
        truncated: Streams that end early, as if complete.
        reset: Streams whose connection is reset.
        silent: Streams that give nothing more and stay open.
        crossed: Streams with one event of another dispatch.
        skipped: Streams that leave one event out.
        repeated: Streams that give one event twice.
        wrong_count: Streams whose last event counts one token too many.
        late: Seconds by which each event of a stream is late.
        crash_at: Whether the process exits at token `at` of a dispatch.
        refused: Next dispatches that are answered with 503, not started.
        lost: Next dispatches that run though their answer never starts.
        slow: Factor on the time of each step.
        stuck: The steps stop: nothing is computed.
        leaving: Says that it leaves, and takes nothing new.
        announced: Says that it leaves, and would still take new work, so
            that a test sees whether any comes.
        unreported: Load polls are not answered.
        load_lag: Seconds by which the load report is late.
        event_lag: Seconds by which cache events are late.
        event_loss: Share of cache events that never come.
        refuse_orders: Orders are answered with 503, not carried out.
        lost_orders: Next orders that are carried out, the answer lost.
        order_delay: Seconds that each order takes longer.
        crash_in_order: Whether the process exits in the middle of an order.
        refuse_exports: KV exports are answered with 503.
    """

    at: int = 5
    model: str = ""
    truncated: int = 0
    reset: int = 0
    silent: int = 0
    crossed: int = 0
    skipped: int = 0
    repeated: int = 0
    wrong_count: int = 0
    late: float = 0.0
    crash_at: bool = False
    refused: int = 0
    lost: int = 0
    slow: float = 1.0
    stuck: bool = False
    leaving: bool = False
    announced: bool = False
    unreported: bool = False
    load_lag: float = 0.3
    event_lag: float = 0.3
    event_loss: float = 0.02
    refuse_orders: bool = False
    lost_orders: int = 0
    order_delay: float = 0.0
    crash_in_order: bool = False
    refuse_exports: bool = False

    def takes(self, name: str) -> bool:
        """Counts a fault down and says whether it strikes now."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return left > 0

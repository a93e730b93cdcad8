"""The nodes and engines of `control_model`, without network or clock."""

from typing import NamedTuple

from gypsumfold import settings as settings_module
from gypsumfold.control import control_state
from gypsumfold.control import leases
from gypsumfold.control import orders
from gypsumfold.control import records

SERVICE = "dispatch-lm"
SETTINGS = settings_module.ControlSection()
RETENTION = 30.0
# Bytes of a connection whose process has gone arrive by then at the latest.
USER_TIMEOUT = SETTINGS.quarantine - 5.0
CHECKS = {"checking": True, "ignoring": False}
# Rates of the nodes' clocks; within what the drift margin allows for.
RATES = (1.0, 1.05, 0.96)


class Sent(NamedTuple):
    """An order's bytes on their way."""

    engine: str
    order: records.Order
    until: float


class Engine:
    """An engine: carries orders out at once."""

    def __init__(self, name):
        self.name = name
        self.accepted = []
        self.last = ""

    def take(self, order):
        tokens = [token for token, _ in self.accepted]
        if CHECKS[self.name] and tokens and order.token < max(tokens):
            return
        self.accepted.append((order.token, order.id))
        self.last = order.id

    def state(self):
        highest = max((token for token, _ in self.accepted), default=-1)
        return orders.EngineState(
            "e1", "mixed", frozenset(), 0, False, self.last, True, highest
        )


class Node:
    """One node: control state, place in the stream and checked sends."""

    def __init__(self, number, generation, first, now):
        self.rate = RATES[number]
        self.address = f"10.0.0.{number}"
        self.incarnation = f"n{number}-{generation}"
        self.identity = leases.Identity(
            self.incarnation, f"n{number}", self.address
        )
        self.now = now * self.rate
        self.control_state = control_state.ControlState(
            RETENTION, lambda: self.now
        )
        self.next = 0
        self.tenure = leases.Tenure(self.identity)
        self.checked = []
        self.gave_up = {}
        if first:
            self.control_state.gap(0, first)
            self.next = first

    @property
    def book(self):
        return self.control_state.service_state(SERVICE)

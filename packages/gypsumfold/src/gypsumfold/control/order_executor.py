"""Carries out the changes that operators and the planner want of engines.

Each step reads the state on the log and takes the next action, so the
change continues after a crash, a lost answer or a takeover at any step.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import objects
from gypsumfold import settings as settings_module
from gypsumfold.control import closing
from gypsumfold.control import desired_orders
from gypsumfold.control import lease_manager as lease_manager_module
from gypsumfold.control import orders
from gypsumfold.control import records
from gypsumfold.control import sending

# Seconds between two checks of the engines.
CHECK_INTERVAL = 0.1
# Seconds to wait for an order's answer before the engine's state is read
# instead; a role change takes seconds.
ANSWER_TIMEOUT = 10.0
# Seconds between an engine's first order and the next while none succeeds,
# doubled each time up to the maximum. A failing engine must not fill the log,
# which takes several hundred appends a second from all services together.
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 60.0
# Doublings of a pause; beyond a thousand a float overflows.
MAX_DOUBLINGS = 20


class Engine(NamedTuple):
    """A declared engine of the service and its last reported role."""

    name: str
    declared: objects.Endpoint
    role: str


class OrderExecutor:
    """Changes one service's engines while this node holds the lease.

    Attributes:
        send_ended_at: By order id, when this process stopped sending it:
            infinity while it is being sent, minus infinity if nothing was
            sent or the answer is known.
        blocked: Engines whose order only time or an operator can resolve.
        planned_role: Returns the role planner's choice for an engine.

    >>> executor = OrderExecutor(
    ...     settings, lease_manager, closer, sender, engines, new_id
    ... )
    >>> await executor.run()
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        lease_manager: lease_manager_module.LeaseManager,
        closer: closing.Closer,
        sender: sending.Sender,
        engines: Callable[[], list[Engine]],
        new_id: Callable[[], str],
    ):
        self.settings = settings
        self.lease_manager = lease_manager
        self.closer = closer
        self.sender = sender
        self.engines = engines
        self.new_id = new_id
        self.send_ended_at: dict[str, float] = {}
        self.blocked: set[str] = set()
        self.attempts: dict[str, int] = {}
        self.next_attempt_at: dict[str, float] = {}
        self.tasks: set[asyncio.Task] = set()
        self.planned_role: Callable[[str], str | None] = lambda engine: None
        lease_manager.is_settled = self.is_settled

    @property
    def logged_orders(self) -> orders.Orders:
        """The service's orders, as read from the log."""
        return self.lease_manager.service_state.orders

    def is_settled(self) -> bool:
        """Whether no order from this process can still be in transit."""
        limit = clocks.now() - self.settings.control.quarantine
        return all(given_up < limit for given_up in self.send_ended_at.values())

    def can_order(self, engine: Engine) -> bool:
        """Whether this node may send the engine orders now."""
        if not self.lease_manager.is_valid() or self.lease_manager.stopping:
            return False
        return (
            engine.declared.checks_tokens
            or self.lease_manager.lease.is_undisputed(
                clocks.now(), self.settings.control
            )
        )

    async def run(self) -> None:
        """Runs as long as the service is declared."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            self.prune()
            for engine in self.engines():
                if (
                    not self.lease_manager.is_valid()
                    or self.lease_manager.stopping
                ):
                    break
                try:
                    await self.step(engine)
                except exceptions.EndpointError:
                    # The engine does not answer; retried on the next check.
                    continue

    def prune(self) -> None:
        """Drops sent orders that are resolved and no longer in transit."""
        open_ids = {
            order.id for order in self.logged_orders.outstanding.values()
        }
        limit = clocks.now() - self.settings.control.quarantine
        for order_id, given_up in list(self.send_ended_at.items()):
            if order_id not in open_ids and given_up < limit:
                del self.send_ended_at[order_id]

    async def step(self, engine: Engine) -> None:
        """Takes the next action for one engine."""
        order = self.logged_orders.outstanding.get(engine.name)
        if order is not None:
            await self.handle_outstanding(engine, order)
            return
        self.blocked.discard(engine.name)
        closed = engine.name in self.logged_orders.closed
        if not closed and not self.has_work(engine, engine.role):
            return
        if not self.can_order(engine) or not self.can_take_out(engine):
            return
        state = await self.sender.state(engine.declared.address)
        wanted = self.choose(engine, state)
        if wanted is not None and desired_orders.is_met(wanted, state):
            await self.record_met(engine, wanted)
            return
        if wanted is None or not self.is_due(engine):
            await self.reopen(engine)
            return
        if await self.close_until_idle(engine, wanted.verb):
            await self.record_intent(engine, wanted, state, "")

    def has_work(self, engine: Engine, role: str) -> bool:
        """Whether an order seems to be needed, by the last reported role."""
        if self.logged_orders.desired.get(engine.name):
            return True
        state = orders.EngineState(
            "", role, frozenset(), 0, False, "", True, -1
        )
        return self.choose(engine, state) is not None

    def choose(
        self, engine: Engine, state: orders.EngineState
    ) -> desired_orders.NextOrder | None:
        """Picks the next order for an engine."""
        return desired_orders.choose(
            self.logged_orders.desired.get(engine.name, []),
            self.logged_orders.pins.get(engine.name),
            engine.declared,
            self.planned_role(engine.name),
            state,
        )

    def is_due(self, engine: Engine) -> bool:
        """Whether the retry delay since the last attempt has passed."""
        return clocks.now() >= self.next_attempt_at.get(
            engine.name, float("-inf")
        )

    def count_attempt(self, engine: Engine) -> None:
        """Counts one attempt and sets when the next is due."""
        tries = self.attempts.get(engine.name, 0)
        wait = min(
            FIRST_RETRY_SECONDS * 2 ** min(tries, MAX_DOUBLINGS),
            MAX_RETRY_SECONDS,
        )
        self.attempts[engine.name] = tries + 1
        self.next_attempt_at[engine.name] = clocks.now() + wait

    def can_take_out(self, engine: Engine) -> bool:
        """Whether one more engine may be changed at the same time.

        This also limits load on the weight store: each load is a change.
        """
        changing = {*self.logged_orders.closed, *self.logged_orders.outstanding}
        changing -= {engine.name, *self.blocked}
        return len(changing) < self.settings.control.changes

    async def record_met(
        self, engine: Engine, wanted: desired_orders.NextOrder
    ) -> None:
        """Records that a desired order is already met."""
        await self.lease_manager.journal.write(
            records.DesiredOrderMet(
                self.lease_manager.service,
                engine.name,
                self.lease_manager.tenure.token,
                wanted.desired_offset,
                engine.declared.role,
            )
        )

    async def reopen(self, engine: Engine) -> None:
        """Lets nodes dispatch to the engine again."""
        self.closer.forget(engine.name)
        if engine.name not in self.logged_orders.closed:
            return
        await self.lease_manager.journal.write(
            records.EngineOpened(
                self.lease_manager.service,
                engine.name,
                self.lease_manager.tenure.token,
            )
        )

    async def close_until_idle(self, engine: Engine, verb: str) -> bool:
        """Closes an engine; returns whether it runs nothing and will not.

        Loading a model needs no idle engine.
        """
        if verb == "load":
            return True
        offset = self.logged_orders.closed.get(engine.name)
        if offset is None:
            await self.lease_manager.journal.write(
                records.EngineClosed(
                    self.lease_manager.service,
                    engine.name,
                    self.lease_manager.tenure.token,
                )
            )
            return False
        quiet = await self.closer.is_quiet(closing.Closing(engine.name, offset))
        if not quiet:
            return False
        state = await self.sender.state(engine.declared.address)
        return state.running == 0

    async def record_intent(
        self,
        engine: Engine,
        wanted: desired_orders.NextOrder,
        state: orders.EngineState,
        supersedes: str,
    ) -> None:
        """Logs the intent of an order; it is sent once it was read back."""
        self.count_attempt(engine)
        await self.lease_manager.journal.write(
            records.OrderIntended(
                self.lease_manager.service,
                engine.name,
                self.lease_manager.tenure.token,
                self.lease_manager.identity.incarnation,
                self.new_id(),
                wanted.verb,
                wanted.subject,
                wanted.desired_offset,
                state.incarnation,
                engine.declared.role,
                supersedes,
            )
        )

    async def handle_outstanding(
        self, engine: Engine, order: records.Order
    ) -> None:
        """Sends an outstanding order, or resolves one sent earlier."""
        mine = order.author == self.lease_manager.identity.incarnation
        if mine and order.id not in self.send_ended_at:
            self.send_ended_at[order.id] = float("inf")
            task = asyncio.create_task(self.send(engine, order))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return
        if self.send_ended_at.get(order.id) == float("inf"):
            return
        now = clocks.now()
        silent = self.lease_manager.lease.is_undisputed(
            now, self.settings.control
        )
        if mine:
            quarantine = self.settings.control.quarantine
            silent = now > self.send_ended_at[order.id] + quarantine
        state = await self.sender.state(engine.declared.address)
        found = orders.resolve(
            order, state, engine.declared.checks_tokens, silent
        )
        if found == orders.Resolution.WAIT:
            self.blocked.add(engine.name)
            return
        if found == orders.Resolution.SUPERSEDE:
            await self.supersede(engine, order, state)
            return
        await self.record_result(engine, order, found.value)

    async def supersede(
        self, engine: Engine, order: records.Order, state: orders.EngineState
    ) -> None:
        """Replaces an order by one whose token makes the engine refuse it."""
        if not self.can_order(engine) or not self.is_due(engine):
            return
        if await self.close_until_idle(engine, order.verb):
            wanted = desired_orders.NextOrder(
                order.verb, order.subject, order.desired_offset, ""
            )
            await self.record_intent(engine, wanted, state, order.id)

    async def send(self, engine: Engine, order: records.Order) -> None:
        """Sends an order once and records its answer."""

        def check() -> None:
            if not self.may_send(engine, order):
                self.send_ended_at[order.id] = float("-inf")
                raise exceptions.LeaseLost(order.id)

        events.log(
            events.ORDER_SENT,
            engine=engine.name,
            order=order.id,
            token=order.token,
            verb=order.verb,
            subject=order.subject,
        )
        answer = await self.sender.send(
            engine.declared.address, order, check, ANSWER_TIMEOUT
        )
        if self.send_ended_at[order.id] == float("-inf"):
            return
        self.send_ended_at[order.id] = clocks.now()
        if answer != sending.Answer.UNKNOWN:
            self.send_ended_at[order.id] = float("-inf")
            await self.record_result(engine, order, answer.value)

    def may_send(self, engine: Engine, order: records.Order) -> bool:
        """Whether the order's bytes may be written now."""
        if self.logged_orders.outstanding.get(engine.name) != order:
            return False
        return orders.may_send(
            order,
            self.lease_manager.tenure,
            self.lease_manager.lease,
            engine.declared.checks_tokens,
            clocks.now(),
            self.settings.control,
        )

    async def record_result(
        self, engine: Engine, order: records.Order, result: str
    ) -> None:
        """Logs an order's result."""
        if result == orders.Resolution.DONE:
            self.attempts.pop(engine.name, None)
            self.next_attempt_at.pop(engine.name, None)
        events.log(
            events.ORDER_ENDED,
            engine=engine.name,
            order=order.id,
            result=result,
        )
        await self.lease_manager.journal.write(
            records.OrderFinished(
                self.lease_manager.service, engine.name, order.id, result
            )
        )

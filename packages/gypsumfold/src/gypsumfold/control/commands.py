"""Operators' orders and seizures, and queries of leases and orders."""

import uuid6

from gypsumfold import clocks
from gypsumfold import exceptions
from gypsumfold.control import control as control_module
from gypsumfold.control import records
from gypsumfold.operators import queries
from gypsumfold.operators import statements

LEASE_COLUMNS = (
    "service",
    "node",
    "incarnation",
    "token",
    "released",
    "heard",
    "in_doubt",
)
ORDER_COLUMNS = (
    "engine",
    "service",
    "state",
    "verb",
    "subject",
    "token",
    "id",
    "by",
)


class Commands:
    """Writes operators' commands to the log, where the holder reads them.

    >>> await Commands(control).run(statements.Seize("dispatch", old), "ann")
    'seized'
    """

    def __init__(self, control: control_module.Control):
        self.control = control

    async def run(self, command: statements.Command, author: str) -> str:
        """Logs one command; see `operators.server.Commands`.

        Returns:
            The answer shown to the operator.

        Raises:
            exceptions.AppendUndetermined: The record was not read back.
            exceptions.CommandFailed: The endpoint is no declared engine.
        """
        change_id = str(uuid6.uuid7())
        if isinstance(command, statements.Seize):
            record = records.Seizure(
                command.service, command.incarnation, author, change_id
            )
            answer = f"{command.incarnation} is taken to be gone"
        else:
            record = records.OrderDesired(
                self.service(command.endpoint),
                command.endpoint,
                change_id,
                author,
                command.verb,
                command.argument,
            )
            answer = f"accepted as {change_id}; see: show orders"
        if not await self.control.journal.write(record):
            raise exceptions.AppendUndetermined("the log did not answer")
        return answer

    def service(self, endpoint: str) -> str:
        """Returns the service of a declared engine.

        Raises:
            exceptions.CommandFailed: No engine has this name.
        """
        configuration = self.control.node.configuration
        declared = configuration.get("endpoint", endpoint)
        if declared is None or declared.service not in self.control.services:
            raise exceptions.CommandFailed(f"{endpoint} is no declared engine")
        return declared.service


def register(control: control_module.Control, sources: queries.Sources) -> None:
    """Registers the sources ``leases`` and ``orders`` for queries."""
    sources.register(
        "leases", queries.Source(LEASE_COLUMNS, lambda: lease_rows(control))
    )
    sources.register(
        "orders", queries.Source(ORDER_COLUMNS, lambda: order_rows(control))
    )


def lease_rows(control: control_module.Control) -> list[tuple]:
    """Lists the leases; ``heard`` is seconds since the last renewal."""
    rows = []
    for service, state in sorted(control.control_state.services.items()):
        lease = state.lease
        if lease.holder is None:
            continue
        predecessors = [holder.incarnation for holder in lease.predecessors]
        rows.append(
            (
                service,
                lease.holder.node,
                lease.holder.incarnation,
                lease.holder.token,
                lease.released,
                round(clocks.now() - lease.received_at, 3),
                " ".join(predecessors),
            )
        )
    return rows


def order_rows(control: control_module.Control) -> list[tuple]:
    """Lists finished, outstanding and desired orders and closed engines."""
    rows = []
    for service, state in sorted(control.control_state.services.items()):
        found = state.orders
        for each in found.finished:
            rows.append(
                order_row(each.engine, service, each.result, each.order)
            )
        for engine, order in found.outstanding.items():
            rows.append(order_row(engine, service, "outstanding", order))
        for engine, waiting in found.desired.items():
            for desired in waiting:
                rows.append(
                    (
                        engine,
                        service,
                        "wished",
                        desired.verb,
                        desired.subject,
                        desired.offset,
                        desired.change_id,
                        desired.operator,
                    )
                )
        for engine, offset in found.closed.items():
            rows.append((engine, service, "closed", "", "", offset, "", ""))
    return rows


def order_row(
    engine: str, service: str, state: str, order: records.Order
) -> tuple:
    """Returns the row of one order."""
    return (
        engine,
        service,
        state,
        order.verb,
        order.subject,
        order.token,
        order.id,
        order.author,
    )

"""What ``show`` can tell of the live system, from this node's view."""

import time

from gypsumfold.endpoints import engines
from gypsumfold.operators import queries

ENDPOINT_COLUMNS = (
    "name",
    "service",
    "data_centre",
    "address",
    "role",
    "open",
    "drained",
    "leaving",
    "running",
    "waiting",
    "kv_used",
    "heard",
    "incarnation",
)
NODE_COLUMNS = (
    "name",
    "address",
    "data_centre",
    "incarnation",
    "revision",
    "stopping",
    "heard",
)


def register(node, sources: queries.Sources) -> None:
    """Adds the live sources of a node.

    Args:
        node: Whose view is shown.
        sources: Gets ``endpoints`` and ``nodes``.
    """
    sources.register(
        "endpoints",
        queries.Source(ENDPOINT_COLUMNS, lambda: endpoint_rows(node)),
    )
    sources.register(
        "nodes", queries.Source(NODE_COLUMNS, lambda: node_rows(node))
    )


def endpoint_rows(node) -> list[tuple]:
    """Lists the endpoints; ``heard`` is seconds ago."""
    now = time.monotonic()
    rows = []
    for name, watched in sorted(node.fleet.endpoints.items()):
        load = watched.load
        engine = load if isinstance(load, engines.Load) else None
        rows.append(
            (
                name,
                watched.declared.service,
                watched.declared.data_centre,
                watched.declared.address,
                engine.role if engine else None,
                watched.is_open(now, node.fleet.settings.silent_after),
                watched.declared.drained,
                load.leaving if load else None,
                load.running if load else None,
                engine.waiting if engine else None,
                engine.kv_used if engine else None,
                round(now - watched.last_seen, 3) if load else None,
                load.incarnation if load else None,
            )
        )
    return rows


def node_rows(node) -> list[tuple]:
    """Lists this node and the peers heard of lately."""
    now = time.monotonic()
    me = node.make_heartbeat()
    rows = [
        (
            me.node,
            me.address,
            me.data_centre,
            me.incarnation,
            me.revision,
            me.stopping,
            0.0,
        )
    ]
    for peer in sorted(node.peers.recently_seen()):
        rows.append(
            (
                peer.node,
                peer.address,
                peer.data_centre,
                peer.incarnation,
                peer.revision,
                peer.stopping,
                round(now - peer.last_seen, 3),
            )
        )
    return rows

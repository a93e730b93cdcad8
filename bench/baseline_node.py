"""A node whose scheduler is the baseline: round robin, nothing refused.

The product has no switch for this: ``python -m bench.baseline_node run FILE``.
"""

from gypsumfold import main
from gypsumfold import node
from gypsumfold.decisions import scheduler


def round_robin(self: node.Node, service: str) -> scheduler.Scheduler:
    """Makes the baseline scheduler for any service."""
    return scheduler.RoundRobin()


if __name__ == "__main__":
    node.Node.make_scheduler = round_robin
    main.main()

"""Runs a hypothesis state machine with the same examples every time."""

import hypothesis
from hypothesis import stateful


def run(
    machine: type[stateful.RuleBasedStateMachine], examples: int, steps: int
) -> None:
    """Runs a machine.

    Args:
        machine: Whose invariants must hold.
        examples: Interleavings to try.
        steps: Most rules in each.
    """
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )

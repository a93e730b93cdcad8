"""How long reads of the store may wait before they count as lost.

Load pattern: each topic is followed by long reads, so that a record is known
within milliseconds of its writing and an idle topic costs few calls. A
connection may go silent without a reset. The read that waits on it then ends
by its own time limit, and the node knows nothing of the topic until a repeat
on a new connection was answered. All of that has to fit into the time of
undisturbed contact after which a node must act on whatever the store says:

    pause + wait + answer + retry + answer + reserve <= contact
"""

from typing import NamedTuple

from gypsumfold.decisions import polling

# Share of the contact bound that a store may take to answer, and the most
# seconds that is ever waited for.
ANSWER_FRACTION = 0.25
MAX_ANSWER_SECONDS = 0.8
# Share of the contact bound that is left for a busy processor and late timers.
RESERVE_FRACTION = 0.1
# Share of the contact bound after which a read that waits while another node
# has a newer version is given up: answers to different nodes differ by less.
OVERDUE_FRACTION = 0.1
# Share of the contact bound after which another node is asked for a version
# that it has. The store goes first, as a large configuration takes a relay's
# link longer than the store's.
ASK_FRACTION = 0.2


class ReadTimeouts(NamedTuple):
    """Seconds by which reads of the store are bounded.

    Attributes:
        wait: How long a read waits for a record that is not there yet.
        answer: How long the store may take beyond that.
        overdue: How long a read may wait on while another node has read more.
        ask: How long a node lacks what another one has until it asks that.
        age: Age of what a relay has read beyond which a node that follows
            it reads for itself.
    """

    wait: float
    answer: float
    overdue_after: float
    ask_after: float
    max_age: float


def derive(contact: float) -> ReadTimeouts:
    """Derives all limits from the site's contact bound.

    Args:
        contact: Seconds of undisturbed contact after which a node must act on
            all that the store says.
    """
    answer = min(MAX_ANSWER_SECONDS, ANSWER_FRACTION * contact)
    reserve = RESERVE_FRACTION * contact
    repeat = polling.MAX_REPEAT_SECONDS + answer + reserve
    return ReadTimeouts(
        wait=max(0.0, contact - answer - repeat),
        answer=answer,
        overdue_after=OVERDUE_FRACTION * contact,
        ask_after=ASK_FRACTION * contact,
        max_age=max(0.0, contact - repeat),
    )


def wait_after(pause: float, longest: float, timeouts: ReadTimeouts) -> float:
    """Seconds that a read waits which begins after a pause.

    Its connection may have gone silent at any moment of the pause.

    Args:
        pause: Seconds since the read before.
        longest: Seconds that it would wait otherwise.
        timeouts: As of `derive`.
    """
    return max(0.0, min(longest, timeouts.wait - pause))

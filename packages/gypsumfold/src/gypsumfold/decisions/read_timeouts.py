"""Derives the timeouts of store reads from the contact bound.

Load pattern: each topic is followed by long polls, so that a record is known
within milliseconds of its write and an idle topic costs few calls. A
connection may go silent without a reset. The read that waits on it then ends
only by its timeout, and the node learns nothing of the topic until a retry on
a new connection is answered. All of that has to fit into the time of
undisturbed contact after which a node must act on whatever the store says:

    pause + wait + answer + retry + answer + reserve <= contact
"""

from typing import NamedTuple

from gypsumfold.decisions import polling

# Fraction of the contact bound that the store may take to answer, and the
# longest time to wait for an answer.
ANSWER_FRACTION = 0.25
MAX_ANSWER_SECONDS = 0.8
# Fraction of the contact bound left for a busy processor and late timers.
RESERVE_FRACTION = 0.1
# Fraction of the contact bound after which a waiting read is cancelled if
# another node has a newer version: answers to different nodes differ by less.
OVERDUE_FRACTION = 0.1
# Fraction of the contact bound after which another node is asked for a version
# that it has. The store comes first, since a large configuration takes longer
# over a relay's link than over the store's.
ASK_FRACTION = 0.2


class ReadTimeouts(NamedTuple):
    """Timeouts of store reads, in seconds.

    Attributes:
        wait: How long a read waits for a record that isn't there yet.
        answer: How long the store may take beyond that.
        overdue_after: How long a read may keep waiting while another node has
            read more.
        ask_after: How long a node lacks a version that another node has until
            it asks that node.
        max_age: Age of a relay's last read beyond which a node that follows it
            reads for itself.
    """

    wait: float
    answer: float
    overdue_after: float
    ask_after: float
    max_age: float


def derive(contact: float) -> ReadTimeouts:
    """Derives all timeouts from the site's contact bound.

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
    """Returns the seconds that a read may wait if it starts after a pause.

    Its connection may have gone silent at any time during the pause.

    Args:
        pause: Seconds since the previous read.
        longest: Seconds that it would wait otherwise.
        timeouts: The timeouts from `derive`.
    """
    return max(0.0, min(longest, timeouts.wait - pause))

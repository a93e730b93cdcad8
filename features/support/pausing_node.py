"""A node that freezes once between an order's check and its sending.

Run in place of `gypsumfold.main`; nothing else differs.
"""

import os
import signal

from gypsumfold import main
from gypsumfold.control import sending

encode = sending.encode
orders = []


def freeze_then_encode(order):
    """Stops this process before the first order's bytes are made."""
    orders.append(order)
    if len(orders) == 1:
        os.kill(os.getpid(), signal.SIGSTOP)
    return encode(order)


if __name__ == "__main__":
    sending.encode = freeze_then_encode
    main.main()

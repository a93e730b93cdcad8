"""What a soak does to the authority over engines, and how it is judged."""

import http.client
import random
import threading

from features.support import http as http_calls

# Seconds between two new divisions of the group's partitions, and the share of
# them in which all memberships lapse.
BETWEEN = (1.0, 5.0)
LAPSES = 0.2


class Divisions:
    """Has the store divide the partitions anew, again and again.

    >>> divisions = Divisions(fleet, seed=1)
    >>> divisions.start()
    >>> divisions.stop()
    """

    def __init__(self, fleet, seed: int):
        self.fleet = fleet
        # The faults of the soak are drawn from a sequence of their own.
        self.random = random.Random(f"divisions {seed}")
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.count = 0

    def start(self) -> None:
        """Begins to divide."""
        self.thread.start()

    def stop(self) -> None:
        """Ends the divisions."""
        self.ended.set()
        self.thread.join()

    def run(self) -> None:
        """Divides until the soak ends."""
        while not self.ended.wait(self.random.uniform(*BETWEEN)):
            what = "lapse" if self.random.random() < LAPSES else "divide"
            url = f"{self.fleet['store'].url}/_test/{what}"
            try:
                http_calls.post(url, b"")
            except (OSError, http.client.HTTPException):
                if self.fleet["store"].alive:
                    raise
            self.count += 1


def turns(instance: str, orders: list[dict], lease: float) -> list[str]:
    """Lists the orders to an engine in which holders act as A, B, A.

    Args:
        instance: The engine.
        orders: Its orders as they came.
        lease: Seconds of a lease.
    """
    found = []
    last: dict[str, float] = {}
    previous = ""
    for order in orders:
        # Two incarnations of one VM are one holder.
        holder, at = order["holder"].rpartition("-")[0], order["at"]
        if holder != previous and at - last.get(holder, at - lease) < lease:
            found.append(
                f"{instance}: {holder} acts {at - last[holder]:.2f} s after "
                f"its last order, and {previous} in between"
            )
        last[holder] = at
        previous = holder
    return found

"""A platform of replicas that are paid by the second, in steps of time."""

from gypsumfold.decisions import capacity
from gypsumfold.decisions import spreads

OFFER = capacity.Offer(
    1, 47, 4.0, 0.22, {"dc-0": 0.85, "dc-1": 1.2, "dc-2": 1.0}
)
POLICY = capacity.Policy(0.1, 1.5, 1.0)
# Seconds of one step, until a replica serves, and until a leaving one is gone.
STEP = 0.5
START = 4.0
LEAVE = 3.0


class Platform:
    """Starts and ends replicas as it is ordered to.

    Attributes:
        serving: When each replica serves, by data centre and kind; those that
            leave are not among them.
        dry_until: Until when a data centre has no reclaimable replicas.
        late: Seconds after which orders are carried out.
    """

    def __init__(self, count: int, names: list[str]):
        self.names = names
        self.serving: dict[tuple[str, bool], list[float]] = {}
        for place, name in enumerate(names):
            share = spreads.spread(count, names, 0, 99)[place]
            self.serving[name, False] = [0.0] * share
            self.serving[name, True] = []
        self.dry_until: dict[str, float] = {}
        self.late = 0.0
        self.waiting: list[tuple[float, capacity.Order]] = []
        self.orders = 0

    def order(self, order: capacity.Order, now: float) -> bool:
        """Takes an order; False if none are available."""
        self.orders += 1
        if order.spot and now < self.dry_until.get(order.data_centre, 0.0):
            return False
        self.waiting.append((now + self.late, order))
        return True

    def step(self, now: float) -> None:
        """Carries due orders out."""
        due = [one for one in self.waiting if one[0] <= now]
        self.waiting = [one for one in self.waiting if one[0] > now]
        for _, order in due:
            found = self.serving[order.data_centre, order.spot]
            del found[order.count :]
            while len(found) < order.count:
                found.append(now + START)

    def reclaim(self, name: str, until: float) -> None:
        """Takes the reclaimable replicas of a data centre back."""
        self.serving[name, True] = []
        self.dry_until[name] = until

    def count_steady(self) -> int:
        """Counts the replicas that can't be reclaimed, starting ones too."""
        found = 0
        for (_, spot), replicas in self.serving.items():
            if not spot:
                found += len(replicas)
        return found

    def present(self, now: float) -> dict[str, capacity.Count]:
        """The replicas that serve, by data centre."""
        found = {}
        for name in self.names:
            counts = []
            for spot in (False, True):
                ready = [at for at in self.serving[name, spot] if at <= now]
                counts.append(len(ready))
            found[name] = capacity.Count(*counts)
        return found


class Play:
    """Time passing before a leader that orders replicas."""

    def __init__(self, count: int, busy: float):
        self.platform = Platform(count, list(OFFER.prices))
        self.count = count
        self.busy = busy
        self.offer = OFFER
        self.leader = capacity.Capacity(count, POLICY)
        self.now = 0.0
        self.history: list[tuple[float, int, int]] = []

    def present(self) -> dict[str, capacity.Count]:
        """The replicas that serve now, by data centre."""
        return self.platform.present(self.now)

    def step(self) -> None:
        """Passes one step."""
        self.now += STEP
        self.platform.step(self.now)
        present = self.platform.present(self.now)
        for order in self.leader.plan(present, self.busy, self.offer, self.now):
            if self.platform.order(order, self.now):
                self.leader.record_order(order, self.now)
            else:
                self.leader.record_unavailable(order, self.now)
        steady = sum(count.steady for count in present.values())
        spot = sum(count.spot for count in present.values())
        self.history.append((self.now, steady + spot, steady))

    def disturb(self, trouble: str) -> None:
        """Causes a step's trouble."""
        if trouble.startswith("the replicas") and self.now == 30.0:
            self.platform.reclaim("dc-0", self.now + 20.0)
        if trouble.startswith("no reclaimable"):
            for name in self.offer.prices:
                self.platform.dry_until[name] = 1e9
        if trouble.startswith("orders"):
            self.platform.late = 6.0
        if trouble.startswith("a new leader") and self.now % 7.0 == 0.0:
            self.leader = capacity.Capacity(self.count, POLICY)

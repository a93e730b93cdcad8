"""Interleavings of three nodes over one log, two engines and their faults.

A hypothesis state machine: appends land late, in any order or never; each
node reads at its own pace; nodes freeze between check and send, die and
start again in mid-stream; orders' bytes arrive late; the log forgets.
"""

from hypothesis import stateful
from hypothesis import strategies

from features.support import control_parts
from gypsumfold.control import control_state
from gypsumfold.control import orders
from gypsumfold.control import records


class Interleavings(stateful.RuleBasedStateMachine):
    """Rules are single steps of nodes, log, network and engines."""

    nodes_at = strategies.integers(0, 2)
    engine_names = strategies.sampled_from(sorted(control_parts.CHECKS))

    def __init__(self):
        super().__init__()
        self.time = 0.0
        self.log = []
        self.first = 0
        self.flying = []
        self.sent = []
        self.engines = {
            name: control_parts.Engine(name) for name in control_parts.CHECKS
        }
        self.generation = 0
        self.nodes = [control_parts.Node(n, 0, 0, 0.0) for n in range(3)]
        self.gone = []
        self.seen = {}
        self.void = set()

    def append(self, record):
        self.log.append(
            control_state.LoggedRecord(len(self.log), self.time, record)
        )

    def lease_record(self, node, action):
        lease = node.book.lease
        token = -1 if action == records.CLAIM else lease.holder.token
        return records.LeaseChanged(
            control_parts.SERVICE,
            action,
            node.incarnation,
            node.identity.node,
            node.address,
            node.tenure.next_sequence(node.now),
            lease.last_offset,
            token,
            node.book.snapshot(),
        )

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 8.0, 20.0]))
    def pass_time(self, seconds):
        self.time += seconds
        for node in self.nodes:
            node.now = self.time * node.rate

    @stateful.rule(at=nodes_at, count=strategies.integers(1, 20))
    def read(self, at, count):
        node = self.nodes[at]
        if node.next < self.first:
            node.control_state.gap(node.next, self.first)
            node.next = self.first
            node.tenure.end()
        for noted in self.log[node.next : node.next + count]:
            self.hand_out(node, noted)
        if node.next == len(self.log):
            node.control_state.caught_up()

    def hand_out(self, node, noted):
        node.control_state.through = noted.offset
        valid = node.book.apply(noted, node.now)
        node.book.advance(noted.offset, noted.time)
        node.next = noted.offset + 1
        record = noted.record
        if isinstance(record, records.LeaseChanged) and valid:
            node.tenure.read_back(
                record, node.book.lease, control_parts.SETTINGS.duration
            )
        ended = isinstance(record, records.OrderFinished) and valid
        if ended and record.result == "void":
            self.void.add(record.id)
        if node.book.is_known:
            state = node.book.snapshot()._replace(time=0.0)
            known = self.seen.setdefault(noted.offset, state)
            assert known == state, (known, state)

    @stateful.rule(at=nodes_at)
    def renew_or_claim(self, at):
        node = self.nodes[at]
        if not node.book.is_known or node.next < self.first:
            return
        lease = node.book.lease
        if lease.is_held_by(node.incarnation, node.tenure.token):
            self.flying.append(self.lease_record(node, records.RENEW))
            return
        if lease.is_claimable(node.now, control_parts.SETTINGS):
            self.flying.append(self.lease_record(node, records.CLAIM))

    @stateful.rule(at=nodes_at)
    def release(self, at):
        node = self.nodes[at]
        lease = node.book.lease
        if not lease.is_held_by(node.incarnation, node.tenure.token):
            return
        if node.checked or self.own_outstanding(node):
            return
        node.tenure.end()
        self.flying.append(self.lease_record(node, records.RELEASE))

    def own_outstanding(self, node):
        outstanding = node.book.orders.outstanding.values()
        return [o for o in outstanding if o.author == node.incarnation]

    @stateful.rule(which=strategies.integers(0, 50), lost=strategies.booleans())
    def land(self, which, lost):
        if not self.flying:
            return
        record = self.flying.pop(which % len(self.flying))
        if not lost:
            self.append(record)

    @stateful.rule(at=nodes_at, engine=engine_names)
    def intend(self, at, engine):
        node = self.nodes[at]
        outstanding = node.book.orders.outstanding.get(engine)
        if not node.tenure.is_valid(node.now):
            return
        if not control_parts.CHECKS[
            engine
        ] and not node.book.lease.is_undisputed(
            node.now, control_parts.SETTINGS
        ):
            return
        replaced = ""
        if outstanding is not None:
            if not self.resolve(node, engine, outstanding):
                return
            replaced = outstanding.id
        self.generation += 1
        self.flying.append(
            records.OrderIntended(
                control_parts.SERVICE,
                engine,
                node.tenure.token,
                node.incarnation,
                f"o{self.generation}",
                "role",
                "decode",
                -1,
                "e1",
                "mixed",
                replaced,
            )
        )

    def resolve(self, node, engine, order):
        """Judges an outstanding order; whether it may be superseded."""
        given_up = node.gave_up.get(order.id)
        if order.author == node.incarnation:
            silent = (
                given_up is not None
                and node.now > given_up + control_parts.SETTINGS.quarantine
            )
            if given_up is None:
                return False
        else:
            silent = node.book.lease.is_undisputed(
                node.now, control_parts.SETTINGS
            )
        result = orders.resolve(
            order,
            self.engines[engine].state(),
            control_parts.CHECKS[engine],
            silent,
        )
        if result in (orders.Resolution.DONE, orders.Resolution.VOID):
            self.flying.append(
                records.OrderFinished(
                    control_parts.SERVICE, engine, order.id, result.value
                )
            )
        return result == orders.Resolution.SUPERSEDE

    @stateful.rule(at=nodes_at, engine=engine_names)
    def check(self, at, engine):
        """Checks and freezes before the bytes are written."""
        node = self.nodes[at]
        order = node.book.orders.outstanding.get(engine)
        if order is None or order.id in node.gave_up:
            return
        if orders.may_send(
            order,
            node.tenure,
            node.book.lease,
            control_parts.CHECKS[engine],
            node.now,
            control_parts.SETTINGS,
        ):
            node.checked.append((engine, order))
            node.gave_up[order.id] = float("inf")

    @stateful.rule(at=nodes_at)
    def write(self, at):
        """The bytes leave; the connection is given up at some time."""
        node = self.nodes[at]
        if not node.checked:
            return
        engine, order = node.checked.pop(0)
        node.gave_up[order.id] = node.now
        self.sent.append(
            control_parts.Sent(
                engine, order, self.time + control_parts.USER_TIMEOUT
            )
        )

    @stateful.rule(which=strategies.integers(0, 50), lost=strategies.booleans())
    def arrive(self, which, lost):
        self.sent = [sent for sent in self.sent if sent.until >= self.time]
        if not self.sent:
            return
        sent = self.sent.pop(which % len(self.sent))
        if lost:
            return
        self.engines[sent.engine].take(sent.order)
        accepted = self.engines[sent.engine].accepted
        tokens = [token for token, _ in accepted]
        assert tokens == sorted(set(tokens)), (sent.engine, accepted)
        assert sent.order.id not in self.void or accepted[-1] != (
            sent.order.token,
            sent.order.id,
        ), (sent, "took effect after it was declared void")

    @stateful.rule(at=nodes_at)
    def kill(self, at):
        old = self.nodes[at]
        self.gone.append(old.incarnation)
        self.generation += 1
        self.nodes[at] = control_parts.Node(
            at, self.generation, self.first, self.time
        )

    @stateful.rule(which=strategies.integers(0, 50))
    def prove(self, which):
        if self.gone:
            incarnation = self.gone[which % len(self.gone)]
            self.flying.append(
                records.HolderEnded(
                    control_parts.SERVICE, incarnation, "restarted"
                )
            )

    @stateful.rule(at=nodes_at)
    def hold(self, at):
        """Claims or renews with nothing lost on the way."""
        self.read(at, len(self.log))
        before = len(self.flying)
        self.renew_or_claim(at)
        self.land_last(before)
        self.read(at, len(self.log))

    @stateful.rule(at=nodes_at, engine=engine_names)
    def order(self, at, engine):
        """Intends and checks with nothing lost on the way."""
        before = len(self.flying)
        self.intend(at, engine)
        self.land_last(before)
        self.read(at, len(self.log))
        self.check(at, engine)

    @stateful.rule(
        at=nodes_at, engine=engine_names, prove=strategies.booleans()
    )
    def take_over(self, at, engine, prove):
        """Waits for the lease to lapse, then claims, resolves and orders."""
        for reader in range(len(self.nodes)):
            self.read(reader, len(self.log))
        if prove and self.gone:
            before = len(self.flying)
            self.prove(len(self.gone) - 1)
            self.land_last(before)
        self.pass_time(8.0)
        for _ in range(3):
            self.hold(at)
            self.order(at, engine)

    @stateful.rule(at=nodes_at)
    def write_and_arrive(self, at):
        self.write(at)
        if self.sent:
            self.arrive(len(self.sent) - 1, False)

    @stateful.rule(at=nodes_at, engine=engine_names)
    def write_and_die(self, at, engine):
        """The process ends with an order's bytes on their way."""
        self.hold(at)
        self.order(at, engine)
        self.write(at)
        self.kill(at)

    @stateful.rule(at=nodes_at)
    def renew_across_the_retention(self, at):
        """The log drops what a node that starts now would need."""
        for _ in range(5):
            self.pass_time(8.0)
            self.hold(at)
        self.forget()

    def land_last(self, before):
        while len(self.flying) > before:
            self.append(self.flying.pop(before))

    @stateful.rule(at=nodes_at)
    def clear(self, at):
        """The holder drops those whose quarantine is over."""
        node = self.nodes[at]
        lease = node.book.lease
        if not node.tenure.is_valid(node.now):
            return
        for holder in lease.predecessors:
            if lease.is_harmless(holder, node.now, control_parts.SETTINGS):
                self.flying.append(
                    records.HolderCleared(
                        control_parts.SERVICE, node.tenure.token, holder.token
                    )
                )

    @stateful.rule()
    def forget(self):
        while self.first < len(self.log):
            if self.time - self.log[self.first].time <= control_parts.RETENTION:
                return
            self.first += 1

    @stateful.invariant()
    def at_most_one_may_use_the_lease(self):
        able = [n.incarnation for n in self.nodes if n.tenure.is_valid(n.now)]
        assert len(able) <= 1, able

"""Chooses among the replicas that may get a request."""

import collections
from collections.abc import Callable
import math
import random
import time

from gypsumfold.decisions import cluster_totals
from gypsumfold.decisions import failure_rates as failure_rates_module
from gypsumfold.decisions import silence as silence_module
from gypsumfold.gateway import types

# Fraction of an engine by which one in another data centre must be less loaded
# to be chosen.
OTHER_DATA_CENTRE_PENALTY = 0.1
# The same for an engine without an open connection. Hundreds of nodes that each
# use every engine open 0.55 connections for each request, and each engine gets
# them from all nodes.
UNCONNECTED_PENALTY = 0.1
# The same for the only decode engine of its software version.
SOLE_ENGINE_PENALTY = 0.2


class ReplicaChoice:
    """Chooses the replica with the least load that is known here.

    >>> ready = directory.eligible.ready("seats", now=0.0)
    >>> directory.choice.least_busy(ready)
    Replica(...)
    """

    def __init__(
        self,
        silence: silence_module.SilenceDetector,
        streams: cluster_totals.ClusterTotals,
        failure_rates: failure_rates_module.FailureRates,
        rng: random.Random,
    ):
        self.silence = silence
        self.streams = streams
        self.failure_rates = failure_rates
        self.rng = rng

    def least_busy(
        self, replicas: list[types.Replica], data_centre: str = ""
    ) -> types.Replica | None:
        """Returns the replica with the fewest of this node's requests a slot.

        One whose answers were failures lately counts as busier.

        Ties go to the given data centre, then are broken at random, so that
        the nodes do not all choose the same replica.
        """
        now = time.monotonic()
        best = None
        best_key = None
        for replica in replicas:
            busy = self.silence.open_requests.get(replica.instance, 0)
            failing = self.failure_rates.load(replica.instance, now)
            key = (
                busy / max(1, replica.slots) + failing,
                replica.data_centre != data_centre,
                self.rng.random(),
            )
            if best_key is None or key < best_key:
                best, best_key = replica, key
        return best

    def least_loaded(
        self,
        engines: list[types.Replica],
        data_centre: str,
        connected: Callable[[types.Replica], bool] = lambda replica: True,
    ) -> types.Replica | None:
        """Returns the decode engine least loaded by all nodes together.

        An engine of the given data centre is preferred to others that are up
        to a tenth less loaded: a KV transfer between data centres takes twice
        as long. So is an engine with an open connection, and one whose streams
        could go on at another engine of its version.
        """
        now = time.monotonic()
        versions = collections.Counter(engine.version for engine in engines)
        best = None
        best_key = math.inf
        for engine in engines:
            key = self.streams.total(engine.instance, now)
            key += self.failure_rates.load(engine.instance, now)
            if engine.data_centre != data_centre:
                key += OTHER_DATA_CENTRE_PENALTY
            if not connected(engine):
                key += UNCONNECTED_PENALTY
            if versions[engine.version] == 1 and len(versions) > 1:
                key += SOLE_ENGINE_PENALTY
            key += self.rng.random() * 1e-3
            if key < best_key:
                best, best_key = engine, key
        return best

"""Counters, gauges and timings for statsd; docs/METRICS.md lists them."""

from typing import NamedTuple

import statsd

from gypsumfold import settings as settings_module


class Metric(NamedTuple):
    """One metric: its statsd name, its kind and its meaning."""

    name: str
    kind: str
    meaning: str


CATALOGUE: dict[str, Metric] = {}


def define(name: str, kind: str, meaning: str) -> Metric:
    """Adds a metric to the catalogue.

    Args:
        name: Dotted, without the prefix.
        kind: ``counter``, ``gauge`` or ``timing`` (milliseconds).
        meaning: One sentence, with the unit.

    Returns:
        The metric, to be passed to `Metrics`.
    """
    metric = Metric(name, kind, meaning)
    assert name not in CATALOGUE, name
    CATALOGUE[name] = metric
    return metric


REQUESTS = define("callers.requests", "counter", "Final answers sent.")
REQUEST_SECONDS = define(
    "callers.duration", "timing", "From a request to its final answer, ms."
)
OPEN_REQUESTS = define("callers.open", "gauge", "Requests in progress.")


class Metrics:
    """Sends metrics; does nothing if no host is set.

    >>> Metrics(settings.metrics).count(REQUESTS, outcome="complete")
    """

    def __init__(self, settings: settings_module.MetricsSection):
        self.client = None
        if settings.host:
            self.client = statsd.StatsClient(
                settings.host, settings.port, prefix=settings.prefix
            )

    def count(self, metric: Metric, value: int = 1, label: str = "") -> None:
        """Adds to a counter, under ``name.label`` if a label is given."""
        if self.client is not None:
            self.client.incr(_name(metric, label), value)

    def gauge(self, metric: Metric, value: float, label: str = "") -> None:
        """Sets a gauge."""
        if self.client is not None:
            self.client.gauge(_name(metric, label), value)

    def timing(self, metric: Metric, seconds: float, label: str = "") -> None:
        """Records a duration given in seconds."""
        if self.client is not None:
            self.client.timing(_name(metric, label), seconds * 1000)


def _name(metric: Metric, label: str) -> str:
    return f"{metric.name}.{label}" if label else metric.name

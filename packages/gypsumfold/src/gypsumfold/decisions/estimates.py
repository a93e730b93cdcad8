"""Estimates service times from load reports and completed requests.

Load pattern: answers far shorter than their limit, and engines that slow down
as their batch fills. Without estimates, deadline checks either refuse requests
that would have been on time or admit requests that can't be.
"""

import math
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import types

# Weight of one observation in the moving average: about the last ten count.
SMOOTHING = 0.1
# Half-life of a learned slowdown while no requests end: an estimate so high
# that everything is refused would otherwise never be corrected. Load reports
# are polled many times within it.
SLOWDOWN_HALF_LIFE_SECONDS = 5.0
# Fraction of the output limit expected of a kind without observations.
INITIAL_OUTPUT_FRACTION = 1.0


class KindStatistics(NamedTuple):
    """Moving averages for one kind of request.

    Attributes:
        output_share: Output tokens as a fraction of the limit.
        seconds: Seconds from dispatch to the end.
        slowdown: Factor by which a loaded engine exceeds the nominal time.
            It is kept per kind, since engines serve urgent requests first.
        observed: Time when the last request of this kind ended.
    """

    output_share: float
    seconds: float
    slowdown: float = 1.0
    observed: float = -math.inf


class Estimator(Protocol):
    """Estimates service times and learns from completed requests."""

    def seconds(
        self, request: types.Request, report: types.Report | None, now: float
    ) -> float:
        """Seconds from dispatch to the end at a replica under usual load."""

    def tokens(self, request: types.Request) -> float:
        """Prompt and expected output tokens; 1 for a plain call."""

    def observe(
        self,
        request: types.Request,
        report: types.Report | None,
        result: types.Result,
        now: float,
    ) -> None:
        """Updates the averages if the dispatch succeeded."""


class LearnedEstimator:
    """Learns the answer length and the slowdown of each kind of request.

    >>> LearnedEstimator().seconds(request, report, now=0.0)
    1.25
    """

    def __init__(self):
        self.kinds: dict[str, KindStatistics] = {}

    def seconds(
        self, request: types.Request, report: types.Report | None, now: float
    ) -> float:
        """Nominal time from the report's rates, times the slowdown."""
        kind = self.kinds.get(request.kind)
        if report is None or report.decode_rate <= 0:
            return kind.seconds if kind else 0.0
        output = self.output_tokens(request)
        return nominal_seconds(request, report, output) * current_slowdown(
            kind, now
        )

    def tokens(self, request: types.Request) -> float:
        """Prompt and expected output tokens; 1 for a plain call."""
        return max(1.0, request.prompt_tokens + self.output_tokens(request))

    def output_tokens(self, request: types.Request) -> float:
        """Output limit times the fraction that this kind has used so far."""
        kind = self.kinds.get(request.kind)
        share = kind.output_share if kind else INITIAL_OUTPUT_FRACTION
        return request.output_tokens * share

    def observe(
        self,
        request: types.Request,
        report: types.Report | None,
        result: types.Result,
        now: float,
    ) -> None:
        """Updates the averages if the dispatch succeeded."""
        if result.finish != types.Finish.DONE:
            return
        share = result.output_tokens / max(1, request.output_tokens)
        old = self.kinds.get(
            request.kind, KindStatistics(share, result.seconds)
        )
        slowdown = current_slowdown(old, now)
        if report is not None and report.decode_rate > 0:
            expected = nominal_seconds(request, report, result.output_tokens)
            slowdown = smooth(slowdown, max(1.0, result.seconds / expected))
        self.kinds[request.kind] = KindStatistics(
            smooth(old.output_share, share),
            smooth(old.seconds, result.seconds),
            slowdown,
            now,
        )


def current_slowdown(kind: KindStatistics | None, now: float) -> float:
    """Slowdown of a kind, decayed with `SLOWDOWN_HALF_LIFE_SECONDS`."""
    if kind is None:
        return 1.0
    idle = max(0.0, now - kind.observed)
    return 1.0 + (kind.slowdown - 1.0) * 0.5 ** (
        idle / SLOWDOWN_HALF_LIFE_SECONDS
    )


def nominal_seconds(
    request: types.Request, report: types.Report, output_tokens: float
) -> float:
    """Seconds that an idle engine would take."""
    prefill = request.prompt_tokens / max(1.0, report.prefill_rate)
    decode = max(1.0, output_tokens) / max(1.0, report.decode_rate)
    return prefill + decode


def smooth(old: float, new: float) -> float:
    """Updates an exponential moving average with a new value."""
    return old + SMOOTHING * (new - old)

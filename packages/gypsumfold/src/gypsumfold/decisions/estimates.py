"""How long a request will take, from reports and from what was observed.

Load pattern: answers far shorter than their limit, and engines that slow
down as their batch fills. Without it deadline checks either refuse work that
would have been on time or admit work that cannot be.
"""

import math
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import types

# Weight of one observation; about the last ten count (1 / 0.1).
SMOOTHING = 0.1
# Seconds after which half of a learnt slowdown is forgotten where nothing
# ends any more: an estimate that refuses everything must not last, since it
# would never be corrected. A load report is polled many times by then.
SLOWDOWN_HALF_LIFE_SECONDS = 5.0
# Share of the output limit expected of a kind that was never seen.
INITIAL_OUTPUT_FRACTION = 1.0


class KindStatistics(NamedTuple):
    """What was learnt of one kind of request.

    Attributes:
        output_share: Output tokens as a share of the limit.
        seconds: From dispatch to the end.
        slowdown: Times the nominal time, which a loaded engine takes. By
            kind, since engines serve the urgent first.
        observed: When the last one ended.
    """

    output_share: float
    seconds: float
    slowdown: float = 1.0
    observed: float = -math.inf


class Estimator(Protocol):
    """Estimates and learns service times."""

    def seconds(
        self, request: types.Request, report: types.Report | None, now: float
    ) -> float:
        """Seconds from dispatch to the end at a usually loaded replica."""

    def tokens(self, request: types.Request) -> float:
        """Prompt and expected output tokens; 1 for a plain call."""

    def observe(
        self,
        request: types.Request,
        report: types.Report | None,
        result: types.Result,
        now: float,
    ) -> None:
        """Learns from a dispatch that ended well."""


class LearnedEstimator:
    """Learns the answer's length and the slowdown by kind.

    >>> LearntEstimator().seconds(request, report, now=0.0)
    1.25
    """

    def __init__(self):
        self.kinds: dict[str, KindStatistics] = {}

    def seconds(
        self, request: types.Request, report: types.Report | None, now: float
    ) -> float:
        """Nominal time by the report's rates, times the slowdown."""
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
        """The limit times the share that this kind used so far."""
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
        """Learns from a dispatch that ended well."""
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
    """The slowdown, forgotten by half every `HALF_LIFE` seconds."""
    if kind is None:
        return 1.0
    idle = max(0.0, now - kind.observed)
    return 1.0 + (kind.slowdown - 1.0) * 0.5 ** (
        idle / SLOWDOWN_HALF_LIFE_SECONDS
    )


def nominal_seconds(
    request: types.Request, report: types.Report, output_tokens: float
) -> float:
    """Seconds that an engine with nothing else to do would take."""
    prefill = request.prompt_tokens / max(1.0, report.prefill_rate)
    decode = max(1.0, output_tokens) / max(1.0, report.decode_rate)
    return prefill + decode


def smooth(old: float, new: float) -> float:
    """Moves an average a little towards a new value."""
    return old + SMOOTHING * (new - old)

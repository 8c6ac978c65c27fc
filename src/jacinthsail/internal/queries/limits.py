"""Limiters: how many calls may be in flight to the own target.

A limiter learns from windows of finished calls. Latency alone cannot tell a slow target from a
queue at the target, so a limiter that sees latency rise lowers the limit and compares: with a
queue, latency falls in proportion to the calls in flight, and the limit is lowered further; with a
slow target, latency stays, so the limit returns and the latency becomes the new baseline.
"""

from collections.abc import Callable
from functools import singledispatch
from math import sqrt
from typing import NamedTuple

from jacinthsail.internal.model.admission import (
    AimdLimit,
    Comparison,
    FixedLimit,
    GradientLimit,
    LatencyTrend,
    LatencyWindow,
    Limiter,
    Sample,
)
from jacinthsail.internal.model.calls import Answered, Outcome, Reason, Unknown
from jacinthsail.internal.model.document import (
    AimdLimitPolicy,
    FixedLimitPolicy,
    GradientLimitPolicy,
    ServicePolicy,
)
from jacinthsail.internal.model.settings import Mechanism

# HTTP statuses by which a target says that it has too much to do.
OVERLOAD_STATUSES = frozenset({429, 503})

# A false alarm while the limit grows only holds it for a window, so few calls suffice; a low limit
# would otherwise take seconds to grow.
MIN_WINDOW_CALLS = 10

# In front of few slots a complete window takes many rounds of calls. The limit may grow after this
# many calls if none of them met a queue or an overloaded target.
MIN_GROWTH_CALLS = 3

# Means over fewer calls vary too much to be compared. At 4 slots and 200 ms a call, comparisons of
# 40 calls lasted longer than the slowdown that caused them and delayed the return of goodput.
MIN_COMPARED_CALLS = 6

# Below this share of the limit the calls in flight say nothing of what the limit does.
USED_SHARE = 0.8

# Window means vary by up to about a quarter, which must not look like a queue.
LATENCY_TOLERANCE = 1.5

# A single failed call must not lower the limit.
OVERLOAD_SHARE = 0.05

# A smaller step could not be told from the variation of window means.
COMPARISON_FACTOR = 0.7

# A baseline that was learned while there was a queue is too high; checking it from time to time
# corrects it and costs about 1% of throughput.
WINDOWS_BETWEEN_CHECKS = 64

# A higher baseline that was found while latency was still rising may be wrong; this is long enough
# for the queue that the target had at that time to reach its final length.
WINDOWS_BEFORE_RECHECK = 4

# How far the baseline moves towards a lower latency, and towards any latency while the limit is not
# in use.
BASELINE_FALL = 0.3
BASELINE_DRIFT = 0.1

# A shorter queue lowers latency at most in proportion to the calls in flight. Latency below this
# share of the proportion means that the target itself has become faster.
FASTER_SHARE = 0.6

# One window may halve the limit but not more, since its mean may be wrong.
STRONGEST_DECREASE = 0.5


# Near the baseline there is no queue, so a cold start reaches four times its initial limit in four
# windows; above it the limit grows by its square root.
NO_QUEUE_RATIO = 0.8
FASTEST_GROWTH = 1.5

AdaptiveLimit = AimdLimit | GradientLimit


class WindowMeans(NamedTuple):
    """What a complete window shows."""

    latency_s: float
    in_flight: float
    overload_share: float


class Steps(NamedTuple):
    """How a kind of limiter moves from its present limit.

    ``grown`` and ``shrunk`` also take baseline divided by latency, ``relieved`` the share of calls
    that met an overloaded target.
    """

    grown: Callable[[float, float], float]
    shrunk: Callable[[float, float], float]
    relieved: Callable[[float, float], float]


class LimitStep(NamedTuple):
    """The limit and what is known of the latency after a complete window.

    A comparison is preceded by one window at a held limit: while the limit grows or the target has
    just slowed down, latency is still rising and would make any lower limit look useless.
    """

    limit: float
    baseline_s: float
    comparison: Comparison | None
    windows_until_check: int
    held: bool = False


@singledispatch
def new_limiter(policy: object, now: float) -> Limiter:
    """Return a limiter in its initial state for a limit policy of the document."""
    raise NotImplementedError(f"no limiter for {type(policy).__name__}; register one")


@new_limiter.register
def _(policy: FixedLimitPolicy, now: float) -> Limiter:
    return FixedLimit(policy.limit)


@new_limiter.register
def _(policy: AimdLimitPolicy, now: float) -> Limiter:
    return AimdLimit(float(policy.initial), policy.minimum, policy.maximum, _new_trend(now))


@new_limiter.register
def _(policy: GradientLimitPolicy, now: float) -> Limiter:
    return GradientLimit(float(policy.initial), policy.minimum, policy.maximum, _new_trend(now))


def limiter_for(policy: ServicePolicy, disabled: frozenset[Mechanism], now: float) -> Limiter:
    """Return the limiter of a service; without adaptive limits only its connections bound it."""
    if Mechanism.ADAPTIVE_LIMIT in disabled:
        return FixedLimit(policy.connections)
    return new_limiter(policy.limit, now)


def _new_trend(now: float) -> LatencyTrend:
    return LatencyTrend(0.0, _new_window(now), False, None, WINDOWS_BETWEEN_CHECKS)


def _new_window(now: float) -> LatencyWindow:
    return LatencyWindow(now, 0, 0.0, 0, 0)


@singledispatch
def limit_of(limiter: object) -> int:
    """Return how many calls may be in flight."""
    raise NotImplementedError(f"no limit for {type(limiter).__name__}; register one")


@limit_of.register
def _(limiter: FixedLimit) -> int:
    return limiter.limit


@limit_of.register
def _(limiter: AimdLimit) -> int:
    return int(limiter.limit)


@limit_of.register
def _(limiter: GradientLimit) -> int:
    return int(limiter.limit)


@singledispatch
def limiter_after(limiter: object, sample: Sample, now: float) -> Limiter:
    """Return the limiter after one finished call."""
    raise NotImplementedError(f"no update for {type(limiter).__name__}; register one")


@limiter_after.register
def _(limiter: FixedLimit, sample: Sample, now: float) -> Limiter:
    return limiter


@limiter_after.register
def _(limiter: AimdLimit, sample: Sample, now: float) -> Limiter:
    return _adaptive_after(limiter, _AIMD_STEPS, sample, now)


@limiter_after.register
def _(limiter: GradientLimit, sample: Sample, now: float) -> Limiter:
    return _adaptive_after(limiter, _GRADIENT_STEPS, sample, now)


def _grown_by_one(limit: float, latency_ratio: float) -> float:
    return limit + 1


def _shrunk_by_factor(limit: float, latency_ratio: float) -> float:
    return limit * COMPARISON_FACTOR


def _grown_by_ratio(limit: float, latency_ratio: float) -> float:
    if latency_ratio >= NO_QUEUE_RATIO:
        return max(limit + 1, limit * FASTEST_GROWTH)
    return limit + sqrt(limit)


def _shrunk_by_ratio(limit: float, latency_ratio: float) -> float:
    return limit * min(COMPARISON_FACTOR, max(STRONGEST_DECREASE, latency_ratio))


def _relieved_of_share(limit: float, overload_share: float) -> float:
    return limit * max(STRONGEST_DECREASE, 1 - overload_share)


_AIMD_STEPS = Steps(_grown_by_one, _shrunk_by_factor, _shrunk_by_factor)
_GRADIENT_STEPS = Steps(_grown_by_ratio, _shrunk_by_ratio, _relieved_of_share)


def _adaptive_after(
    limiter: AdaptiveLimit, steps: Steps, sample: Sample, now: float
) -> AdaptiveLimit:
    trend = limiter.trend
    window = window_after(trend, sample, now)
    is_complete = window.calls >= calls_in_window(limiter)
    if not is_complete and not may_grow_early(limiter, window):
        return limiter._replace(trend=trend._replace(window=window))
    step = step_after_window(limiter, steps, means_of(window))
    if not is_complete:
        # Checks of the baseline cost throughput, so short windows do not bring them closer.
        step = step._replace(windows_until_check=trend.windows_until_check)
    limit = min(float(limiter.maximum), max(float(limiter.minimum), step.limit))
    return limiter._replace(limit=limit, trend=_trend_after(limiter, limit, step, now))


def calls_in_window(limiter: AdaptiveLimit) -> float:
    """Return how many calls make a complete window.

    The first calls to finish after a change are the shortest ones, so a comparison takes two rounds
    of the calls in flight.
    """
    trend = limiter.trend
    if trend.comparison is not None:
        return 2 * max(MIN_COMPARED_CALLS, limiter.limit)
    if trend.held:
        return max(MIN_COMPARED_CALLS, limiter.limit)
    return max(MIN_WINDOW_CALLS, limiter.limit)


def may_grow_early(limiter: AdaptiveLimit, window: LatencyWindow) -> bool:
    """Tell whether an incomplete window shows already that there is room for more calls."""
    trend = limiter.trend
    if trend.comparison is not None or trend.held or window.calls < MIN_GROWTH_CALLS:
        return False
    if limiter.limit >= MIN_WINDOW_CALLS or limiter.limit >= limiter.maximum or window.overloads:
        return False
    means = means_of(window)
    is_used = means.in_flight >= USED_SHARE * int(limiter.limit)
    return is_used and means.latency_s * NO_QUEUE_RATIO <= trend.baseline_s


def _trend_after(limiter: AdaptiveLimit, limit: float, step: LimitStep, now: float) -> LatencyTrend:
    trend = limiter.trend
    # Calls that started at a lower limit met no longer queue than those that start now, so growth
    # need not wait for them to finish.
    has_grown = trend.comparison is None and limit > limiter.limit
    since = trend.window.since if has_grown else now
    return LatencyTrend(
        baseline_s=step.baseline_s,
        window=_new_window(since),
        held=step.held,
        comparison=step.comparison,
        windows_until_check=step.windows_until_check,
    )


def window_after(trend: LatencyTrend, sample: Sample, now: float) -> LatencyWindow:
    """Return the window with one more finished call.

    A refusal by the target takes no time, so its latency is left out of the mean. A call that timed
    out sooner than calls usually finish had too little time, which says nothing of the target.
    """
    window = trend.window
    if now - sample.latency_s < window.since:
        return window
    if sample.timed_out and sample.latency_s < LATENCY_TOLERANCE * trend.baseline_s:
        return window
    if sample.overloaded:
        return window._replace(
            calls=window.calls + 1,
            total_in_flight=window.total_in_flight + sample.in_flight,
            overloads=window.overloads + 1,
        )
    return window._replace(
        calls=window.calls + 1,
        total_latency_s=window.total_latency_s + sample.latency_s,
        total_in_flight=window.total_in_flight + sample.in_flight,
    )


def means_of(window: LatencyWindow) -> WindowMeans:
    """Return the means over a window that holds at least one call."""
    served = window.calls - window.overloads
    latency_s = window.total_latency_s / served if served else 0.0
    return WindowMeans(
        latency_s, window.total_in_flight / window.calls, window.overloads / window.calls
    )


def step_after_window(limiter: AdaptiveLimit, steps: Steps, means: WindowMeans) -> LimitStep:
    """Return the limit and the baseline after a complete window."""
    limit = limiter.limit
    trend = limiter.trend
    windows = trend.windows_until_check - 1
    baseline_s = baseline_after(limiter, means)
    if means.overload_share > OVERLOAD_SHARE:
        lowered = steps.relieved(limit, means.overload_share)
        return LimitStep(lowered, baseline_s, None, windows)
    if means.in_flight < USED_SHARE * int(limit):
        restored = trend.comparison.limit if trend.comparison is not None else limit
        return LimitStep(restored, baseline_s, None, windows)
    if trend.comparison is not None:
        return _step_after_comparison(limiter, trend.comparison, means)
    latency_ratio = baseline_s / means.latency_s if means.latency_s else 1.0
    is_at_minimum = int(limit) <= limiter.minimum
    if means.latency_s < NO_QUEUE_RATIO * baseline_s:
        # The baseline follows the lower latency, which corrects it without a lower limit.
        windows = WINDOWS_BETWEEN_CHECKS
    is_due = windows <= 0
    if (is_due or has_risen(means, baseline_s)) and not is_at_minimum:
        if not trend.held:
            return LimitStep(limit, baseline_s, None, windows, held=True)
        comparison = Comparison(limit, means.latency_s, means.in_flight, is_due)
        lowered = steps.shrunk(limit, latency_ratio)
        return LimitStep(lowered, baseline_s, comparison, windows)
    return LimitStep(steps.grown(limit, latency_ratio), baseline_s, None, windows)


def _step_after_comparison(
    limiter: AdaptiveLimit, before: Comparison, means: WindowMeans
) -> LimitStep:
    if not is_queue_at_target(before, means):
        windows = WINDOWS_BETWEEN_CHECKS if before.checks_baseline else WINDOWS_BEFORE_RECHECK
        return LimitStep(before.limit, means.latency_s, None, windows)
    limit = limiter.limit
    windows = limiter.trend.windows_until_check - 1
    baseline_s = baseline_after(limiter, means)
    if has_become_faster(before, means):
        return LimitStep(before.limit, baseline_s, None, windows)
    if not before.checks_baseline and not has_risen(means, baseline_s):
        return LimitStep(limit, baseline_s, None, windows)
    comparison = Comparison(limit, means.latency_s, means.in_flight, before.checks_baseline)
    return LimitStep(limit * COMPARISON_FACTOR, baseline_s, comparison, windows)


def has_risen(means: WindowMeans, baseline_s: float) -> bool:
    """Tell whether latency is higher than the variation of window means explains."""
    return means.latency_s > LATENCY_TOLERANCE * baseline_s


def is_queue_at_target(before: Comparison, means: WindowMeans) -> bool:
    """Tell whether latency fell with the calls in flight by more than half of the proportion."""
    proportional_s = before.latency_s * means.in_flight / before.in_flight
    return means.latency_s < (before.latency_s + proportional_s) / 2


def baseline_after(limiter: AdaptiveLimit, means: WindowMeans) -> float:
    """Return the latency without a queue, as far as a window shows it.

    At the minimum this node causes no queue that it could shorten, so any latency is accepted.
    """
    baseline_s = limiter.trend.baseline_s
    if not means.latency_s:
        return baseline_s
    if not baseline_s or int(limiter.limit) <= limiter.minimum:
        return means.latency_s
    if means.latency_s < baseline_s:
        return baseline_s + BASELINE_FALL * (means.latency_s - baseline_s)
    if means.in_flight < USED_SHARE * int(limiter.limit):
        return baseline_s + BASELINE_DRIFT * (means.latency_s - baseline_s)
    return baseline_s


def has_become_faster(before: Comparison, means: WindowMeans) -> bool:
    """Tell whether latency fell by more than a shorter queue at the target explains."""
    proportional_s = before.latency_s * means.in_flight / before.in_flight
    return means.latency_s < FASTER_SHARE * proportional_s


@singledispatch
def is_overload(outcome: object) -> bool:
    """Tell whether an outcome says that the target has too much to do."""
    return True


@is_overload.register
def _(outcome: Answered) -> bool:
    return outcome.status in OVERLOAD_STATUSES


@singledispatch
def is_timeout(outcome: object) -> bool:
    """Tell whether a call ended at its deadline without an answer."""
    return False


@is_timeout.register
def _(outcome: Unknown) -> bool:
    return outcome.reason is Reason.DEADLINE_EXPIRED


def sample_of(outcome: Outcome | None, latency_s: float, in_flight: int) -> Sample | None:
    """Return what a finished call tells the limiter; a cancelled call has no outcome."""
    if outcome is None:
        return None
    return Sample(latency_s, in_flight, is_overload(outcome), is_timeout(outcome))

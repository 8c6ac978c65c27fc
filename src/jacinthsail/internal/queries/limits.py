"""Concurrency limiters: how many calls may be in flight to the local target.

An adaptive limiter evaluates windows of finished calls. Latency alone cannot distinguish a slow
target from a queue at the target, so when latency rises, the limiter lowers the limit and compares:
with a queue, latency falls in proportion to the calls in flight, and the limit is lowered further;
with a slow target, latency stays the same, so the limit is restored and the latency becomes the new
baseline.
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
    LatencySample,
    LatencyTrend,
    LatencyWindow,
    Limiter,
)
from jacinthsail.internal.model.calls import Answered, Outcome, Reason, Unknown
from jacinthsail.internal.model.document import (
    AimdLimitPolicy,
    FixedLimitPolicy,
    GradientLimitPolicy,
    ServicePolicy,
)
from jacinthsail.internal.model.settings import Mechanism

# HTTP statuses by which a target reports overload.
OVERLOAD_STATUSES = frozenset({429, 503})

# A false alarm during growth only holds the limit for one window, so few calls suffice; with larger
# windows a low limit would take seconds to grow.
MIN_WINDOW_CALLS = 10

# With a low limit, a complete window takes many rounds of calls. The limit may grow after this many
# calls if none of them met a queue or an overloaded target.
MIN_GROWTH_CALLS = 3

# Means over fewer calls vary too much to be compared. At 4 slots and 200 ms a call, comparisons of
# 40 calls lasted longer than the slowdown that caused them and delayed the return of goodput.
MIN_COMPARED_CALLS = 6

# Below this share of the limit, the calls in flight do not depend on the limit.
MIN_USED_SHARE = 0.8

# Window means vary by up to about a quarter, which must not be mistaken for a queue.
LATENCY_TOLERANCE = 1.5

# A single failed call must not lower the limit.
OVERLOAD_SHARE = 0.05

# The effect of a smaller step would be hidden by the variation of window means.
COMPARISON_FACTOR = 0.7

# A baseline that was learned while there was a queue is too high. A check after this many windows
# corrects it and costs about 1% of throughput.
WINDOWS_BETWEEN_CHECKS = 64

# A higher baseline that was found while latency was still rising may be wrong. After this many
# windows, the queue that the target had at that time has reached its final length.
WINDOWS_BEFORE_RECHECK = 4

# Smoothing factors with which the baseline follows a lower latency, and any latency while the limit
# is not in use.
BASELINE_FALL = 0.3
BASELINE_DRIFT = 0.1

# A shorter queue lowers latency at most in proportion to the calls in flight. Latency below this
# share of the proportional value shows that the target itself has become faster.
FASTER_SHARE = 0.6

# A single window may at most halve the limit, since its mean may be wrong.
MIN_DECREASE_FACTOR = 0.5

# Near the baseline there is no queue, so a cold start reaches four times its initial limit in four
# windows; at higher latency the limit grows by its square root.
NO_QUEUE_RATIO = 0.8
MAX_GROWTH_FACTOR = 1.5

AdaptiveLimit = AimdLimit | GradientLimit


class WindowMeans(NamedTuple):
    """Means over the calls of a window."""

    latency_s: float
    in_flight: float
    overload_share: float


class LimitRules(NamedTuple):
    """How one kind of limiter changes its limit; each rule takes the present limit first.

    ``increase`` and ``decrease`` also take baseline divided by latency, ``decrease_on_overload``
    takes the share of calls that met an overloaded target.
    """

    increase: Callable[[float, float], float]
    decrease: Callable[[float, float], float]
    decrease_on_overload: Callable[[float, float], float]


class LimitStep(NamedTuple):
    """The limit and the latency state after a complete window.

    A comparison is preceded by one window with the limit held: while the limit grows or the target
    has just slowed down, latency is still rising, which would hide the effect of a lower limit.
    """

    limit: float
    baseline_s: float
    comparison: Comparison | None
    windows_until_check: int
    held: bool = False


@singledispatch
def new_limiter(policy: object, now: float) -> Limiter:
    """Return a limiter in its initial state for a limit policy."""
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
    """Return the limiter of a service; without adaptive limits, its connections are the limit."""
    if Mechanism.ADAPTIVE_LIMIT in disabled:
        return FixedLimit(policy.connections)
    return new_limiter(policy.limit, now)


def _new_trend(now: float) -> LatencyTrend:
    return LatencyTrend(0.0, _new_window(now), False, None, WINDOWS_BETWEEN_CHECKS)


def _new_window(now: float) -> LatencyWindow:
    return LatencyWindow(now, 0, 0.0, 0, 0)


@singledispatch
def current_limit(limiter: object) -> int:
    """Return how many calls may be in flight to the target."""
    raise NotImplementedError(f"no limit for {type(limiter).__name__}; register one")


@current_limit.register
def _(limiter: FixedLimit) -> int:
    return limiter.limit


@current_limit.register
def _(limiter: AimdLimit) -> int:
    return int(limiter.limit)


@current_limit.register
def _(limiter: GradientLimit) -> int:
    return int(limiter.limit)


@singledispatch
def updated_limiter(limiter: object, sample: LatencySample, now: float) -> Limiter:
    """Return the limiter after the sample of one finished call."""
    raise NotImplementedError(f"no update for {type(limiter).__name__}; register one")


@updated_limiter.register
def _(limiter: FixedLimit, sample: LatencySample, now: float) -> Limiter:
    return limiter


@updated_limiter.register
def _(limiter: AimdLimit, sample: LatencySample, now: float) -> Limiter:
    return _updated_adaptive(limiter, _AIMD_RULES, sample, now)


@updated_limiter.register
def _(limiter: GradientLimit, sample: LatencySample, now: float) -> Limiter:
    return _updated_adaptive(limiter, _GRADIENT_RULES, sample, now)


def _increase_by_one(limit: float, latency_ratio: float) -> float:
    return limit + 1


def _decrease_by_factor(limit: float, latency_ratio: float) -> float:
    return limit * COMPARISON_FACTOR


def _increase_by_ratio(limit: float, latency_ratio: float) -> float:
    if latency_ratio >= NO_QUEUE_RATIO:
        return max(limit + 1, limit * MAX_GROWTH_FACTOR)
    return limit + sqrt(limit)


def _decrease_by_ratio(limit: float, latency_ratio: float) -> float:
    return limit * min(COMPARISON_FACTOR, max(MIN_DECREASE_FACTOR, latency_ratio))


def _decrease_by_overload_share(limit: float, overload_share: float) -> float:
    return limit * max(MIN_DECREASE_FACTOR, 1 - overload_share)


_AIMD_RULES = LimitRules(_increase_by_one, _decrease_by_factor, _decrease_by_factor)
_GRADIENT_RULES = LimitRules(_increase_by_ratio, _decrease_by_ratio, _decrease_by_overload_share)


def _updated_adaptive(
    limiter: AdaptiveLimit, rules: LimitRules, sample: LatencySample, now: float
) -> AdaptiveLimit:
    trend = limiter.trend
    window = updated_window(trend, sample, now)
    is_complete = window.calls >= calls_in_window(limiter)
    if not is_complete and not can_grow_early(limiter, window):
        return limiter._replace(trend=trend._replace(window=window))
    step = step_after_window(limiter, rules, window_means(window))
    if not is_complete:
        # Checks of the baseline cost throughput, so short windows do not bring them closer.
        step = step._replace(windows_until_check=trend.windows_until_check)
    limit = min(float(limiter.maximum), max(float(limiter.minimum), step.limit))
    return limiter._replace(limit=limit, trend=_updated_trend(limiter, limit, step, now))


def calls_in_window(limiter: AdaptiveLimit) -> float:
    """Return how many calls a complete window contains.

    The first calls to finish after a change are the shortest ones, so a comparison waits for two
    rounds of the calls in flight.
    """
    trend = limiter.trend
    if trend.comparison is not None:
        return 2 * max(MIN_COMPARED_CALLS, limiter.limit)
    if trend.held:
        return max(MIN_COMPARED_CALLS, limiter.limit)
    return max(MIN_WINDOW_CALLS, limiter.limit)


def can_grow_early(limiter: AdaptiveLimit, window: LatencyWindow) -> bool:
    """Return whether an incomplete window already shows that the target can take more calls."""
    trend = limiter.trend
    if trend.comparison is not None or trend.held or window.calls < MIN_GROWTH_CALLS:
        return False
    if limiter.limit >= MIN_WINDOW_CALLS or limiter.limit >= limiter.maximum or window.overloads:
        return False
    means = window_means(window)
    is_used = means.in_flight >= MIN_USED_SHARE * int(limiter.limit)
    return is_used and means.latency_s * NO_QUEUE_RATIO <= trend.baseline_s


def _updated_trend(
    limiter: AdaptiveLimit, limit: float, step: LimitStep, now: float
) -> LatencyTrend:
    trend = limiter.trend
    # Calls that started at a lower limit met no longer queue than calls that start now, so growth
    # does not wait for them to finish.
    has_grown = trend.comparison is None and limit > limiter.limit
    since = trend.window.since if has_grown else now
    return LatencyTrend(
        baseline_s=step.baseline_s,
        window=_new_window(since),
        held=step.held,
        comparison=step.comparison,
        windows_until_check=step.windows_until_check,
    )


def updated_window(trend: LatencyTrend, sample: LatencySample, now: float) -> LatencyWindow:
    """Return the window with one more finished call.

    The latency of a refusal by the target is excluded from the mean, since a refusal takes no time.
    A call that timed out sooner than calls usually finish is excluded, since its short deadline
    shows nothing about the target.
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


def window_means(window: LatencyWindow) -> WindowMeans:
    """Return the means over a window that contains at least one call."""
    served = window.calls - window.overloads
    latency_s = window.total_latency_s / served if served else 0.0
    return WindowMeans(
        latency_s, window.total_in_flight / window.calls, window.overloads / window.calls
    )


def step_after_window(limiter: AdaptiveLimit, rules: LimitRules, means: WindowMeans) -> LimitStep:
    """Return the limit and the baseline after a window."""
    limit = limiter.limit
    trend = limiter.trend
    windows = trend.windows_until_check - 1
    baseline_s = updated_baseline_s(limiter, means)
    if means.overload_share > OVERLOAD_SHARE:
        lowered = rules.decrease_on_overload(limit, means.overload_share)
        return LimitStep(lowered, baseline_s, None, windows)
    if means.in_flight < MIN_USED_SHARE * int(limit):
        restored = trend.comparison.limit if trend.comparison is not None else limit
        return LimitStep(restored, baseline_s, None, windows)
    if trend.comparison is not None:
        return _step_after_comparison(limiter, trend.comparison, means)
    latency_ratio = baseline_s / means.latency_s if means.latency_s else 1.0
    is_at_minimum = int(limit) <= limiter.minimum
    if means.latency_s < NO_QUEUE_RATIO * baseline_s:
        # The baseline follows the lower latency, so no check at a lower limit is needed.
        windows = WINDOWS_BETWEEN_CHECKS
    is_due = windows <= 0
    if (is_due or is_latency_raised(means, baseline_s)) and not is_at_minimum:
        if not trend.held:
            return LimitStep(limit, baseline_s, None, windows, held=True)
        comparison = Comparison(limit, means.latency_s, means.in_flight, is_due)
        lowered = rules.decrease(limit, latency_ratio)
        return LimitStep(lowered, baseline_s, comparison, windows)
    return LimitStep(rules.increase(limit, latency_ratio), baseline_s, None, windows)


def _step_after_comparison(
    limiter: AdaptiveLimit, before: Comparison, means: WindowMeans
) -> LimitStep:
    if not is_queue_at_target(before, means):
        windows = WINDOWS_BETWEEN_CHECKS if before.checks_baseline else WINDOWS_BEFORE_RECHECK
        return LimitStep(before.limit, means.latency_s, None, windows)
    limit = limiter.limit
    windows = limiter.trend.windows_until_check - 1
    baseline_s = updated_baseline_s(limiter, means)
    if is_target_faster(before, means):
        return LimitStep(before.limit, baseline_s, None, windows)
    if not before.checks_baseline and not is_latency_raised(means, baseline_s):
        return LimitStep(limit, baseline_s, None, windows)
    comparison = Comparison(limit, means.latency_s, means.in_flight, before.checks_baseline)
    return LimitStep(limit * COMPARISON_FACTOR, baseline_s, comparison, windows)


def is_latency_raised(means: WindowMeans, baseline_s: float) -> bool:
    """Return whether latency is higher than the variation of window means can explain."""
    return means.latency_s > LATENCY_TOLERANCE * baseline_s


def is_queue_at_target(before: Comparison, means: WindowMeans) -> bool:
    """Return whether latency fell by more than half as much as the calls in flight did."""
    proportional_s = before.latency_s * means.in_flight / before.in_flight
    return means.latency_s < (before.latency_s + proportional_s) / 2


def updated_baseline_s(limiter: AdaptiveLimit, means: WindowMeans) -> float:
    """Return the estimated latency without a queue, given the means of a window.

    At the minimum limit this node cannot shorten a queue, so any latency is accepted.
    """
    baseline_s = limiter.trend.baseline_s
    if not means.latency_s:
        return baseline_s
    if not baseline_s or int(limiter.limit) <= limiter.minimum:
        return means.latency_s
    if means.latency_s < baseline_s:
        return baseline_s + BASELINE_FALL * (means.latency_s - baseline_s)
    if means.in_flight < MIN_USED_SHARE * int(limiter.limit):
        return baseline_s + BASELINE_DRIFT * (means.latency_s - baseline_s)
    return baseline_s


def is_target_faster(before: Comparison, means: WindowMeans) -> bool:
    """Return whether latency fell by more than a shorter queue at the target can explain."""
    proportional_s = before.latency_s * means.in_flight / before.in_flight
    return means.latency_s < FASTER_SHARE * proportional_s


@singledispatch
def is_overload(outcome: object) -> bool:
    """Return whether an outcome is a sign that the target is overloaded."""
    return True


@is_overload.register
def _(outcome: Answered) -> bool:
    return outcome.status in OVERLOAD_STATUSES


@singledispatch
def is_timeout(outcome: object) -> bool:
    """Return whether a call reached its deadline without a response."""
    return False


@is_timeout.register
def _(outcome: Unknown) -> bool:
    return outcome.reason is Reason.DEADLINE_EXPIRED


def limiter_sample(
    outcome: Outcome | None, latency_s: float, in_flight: int
) -> LatencySample | None:
    """Return the sample of a finished call, or None for a cancelled call, which has no outcome."""
    if outcome is None:
        return None
    return LatencySample(latency_s, in_flight, is_overload(outcome), is_timeout(outcome))

"""Limiters: how many calls may be in flight to the own target."""

from functools import singledispatch

from jacinthsail.internal.model.admission import (
    AimdLimit,
    FixedLimit,
    GradientLimit,
    Limiter,
    Sample,
)
from jacinthsail.internal.model.calls import Answered, Outcome
from jacinthsail.internal.model.document import (
    AimdLimitPolicy,
    FixedLimitPolicy,
    GradientLimitPolicy,
)

# HTTP statuses by which a target says that it has too much to do.
OVERLOAD_STATUSES = frozenset({429, 503})


@singledispatch
def new_limiter(policy: object) -> Limiter:
    """Return a limiter in its initial state for a limit policy of the document."""
    raise NotImplementedError(f"no limiter for {type(policy).__name__}; register one")


@new_limiter.register
def _(policy: FixedLimitPolicy) -> Limiter:
    return FixedLimit(policy.limit)


@new_limiter.register
def _(policy: AimdLimitPolicy) -> Limiter:
    return AimdLimit(float(policy.initial), policy.minimum, policy.maximum, last_decrease=0.0)


@new_limiter.register
def _(policy: GradientLimitPolicy) -> Limiter:
    return GradientLimit(float(policy.initial), policy.minimum, policy.maximum, 0.0, 0.0)


@singledispatch
def limit_of(limiter: object) -> int:
    """Return how many calls may be in flight."""
    raise NotImplementedError(f"no limit for {type(limiter).__name__}; register one")


@limit_of.register
def _(limiter: FixedLimit) -> int:
    return limiter.limit


@limit_of.register
def _(limiter: AimdLimit) -> int:
    return max(limiter.minimum, int(limiter.limit))


@limit_of.register
def _(limiter: GradientLimit) -> int:
    return max(limiter.minimum, int(limiter.limit))


@singledispatch
def limiter_after(limiter: object, sample: Sample, now: float) -> Limiter:
    """Return the limiter after one finished call."""
    raise NotImplementedError(f"no update for {type(limiter).__name__}; register one")


@limiter_after.register
def _(limiter: FixedLimit, sample: Sample, now: float) -> Limiter:
    return limiter


@limiter_after.register
def _(limiter: AimdLimit, sample: Sample, now: float) -> Limiter:
    return limiter


@limiter_after.register
def _(limiter: GradientLimit, sample: Sample, now: float) -> Limiter:
    return limiter


@singledispatch
def is_overload(outcome: object) -> bool:
    """Tell whether an outcome says that the target has too much to do."""
    return True


@is_overload.register
def _(outcome: Answered) -> bool:
    return outcome.status in OVERLOAD_STATUSES


def sample_of(outcome: Outcome | None, latency_s: float, in_flight: int) -> Sample:
    """Return what a finished call tells the limiter; no outcome means that it was cancelled."""
    overloaded = outcome is not None and is_overload(outcome)
    return Sample(latency_s, in_flight, overloaded)

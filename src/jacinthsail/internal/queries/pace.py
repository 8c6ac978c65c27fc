"""Finds how many requests a target can take that has just started or recovered.

The load it answers: a target that is slow for an unknown time after its start, a fault or a long
idle time, while many callers take it for free.
"""

from jacinthsail.internal.model.pace import Pace
from jacinthsail.internal.model.work import WorkKind

START_SHARE = 0.1
MIN_LIMIT = 2.0

# After a long idle time the target is probably well, but its caches may be cold.
IDLE_S = 30.0
IDLE_SHARE = 0.5

# With twice the requests in flight, responses may take this many times as long before the limit
# stops to rise for a round, and before it falls.
STEADY_SLOWDOWN = 1.5
OVERLOAD_SLOWDOWN = 3.0

GROWTH = 2.0
LOWERING_FACTOR = 0.5
# Requests that were in flight together fail together and must lower the limit only once.
LOWERING_INTERVAL_S = 0.1

# A single refusal is usual at a busy target.
FAILURES_TO_BEGIN = 3


def new_pace(is_enabled: bool) -> Pace:
    """Return the state of a node whose target has not been published yet."""
    return Pace(
        is_enabled=is_enabled,
        limit=None,
        responses={},
        durations_s={},
        means_s={},
        slowdown=0.0,
        failures=0,
        lowered_at=float("-inf"),
        used_at=float("-inf"),
    )


def first_limit(slots: int, share: float = START_SHARE) -> float:
    """Return the limit at which the pace begins."""
    return max(MIN_LIMIT, share * slots)


def limit_on_slots(pace: Pace, slots: int) -> int:
    """Return how many requests may be in flight at a target with this many slots."""
    return slots if pace["limit"] is None else min(slots, int(pace["limit"]))


def slowdown_of(pace: Pace, kind: WorkKind, duration_s: float) -> float:
    """Return a duration as a multiple of the mean of the round before, or 1 in the first round."""
    mean_s = pace["means_s"].get(kind)
    return duration_s / mean_s if mean_s else 1.0


def is_round_over(pace: Pace) -> bool:
    """Return whether as many responses have arrived as the limit allows in flight."""
    return pace["limit"] is not None and sum(pace["responses"].values()) >= int(pace["limit"])


def limit_after_round(pace: Pace, limit: float, now: float) -> float:
    """Return the limit after a round of responses.

    Durations of single requests vary by a factor of about 6, so whole rounds are compared. Each is
    compared with the one before and not with the fastest: if the services that the target calls
    become slower, the limit stops to rise for one round only.
    """
    slowdown = pace["slowdown"] / sum(pace["responses"].values())
    if slowdown > OVERLOAD_SLOWDOWN:
        return lowered_limit(pace, limit, now)
    return limit * GROWTH if slowdown <= STEADY_SLOWDOWN else limit


def lowered_limit(pace: Pace, limit: float, now: float) -> float:
    """Return the next lower limit, or the same one if it was lowered a moment ago."""
    if now - pace["lowered_at"] < LOWERING_INTERVAL_S:
        return limit
    return max(MIN_LIMIT, limit * LOWERING_FACTOR)


def must_begin_after_failure(pace: Pace) -> bool:
    """Return whether the target has failed so often that its pace is unknown."""
    return pace["is_enabled"] and pace["limit"] is None and pace["failures"] >= FAILURES_TO_BEGIN


def must_begin_after_idle(pace: Pace, in_flight: int, now: float) -> bool:
    """Return whether the target was idle for so long that it may have become slow."""
    if not pace["is_enabled"] or pace["limit"] is not None or in_flight:
        return False
    return pace["used_at"] != float("-inf") and now - pace["used_at"] > IDLE_S

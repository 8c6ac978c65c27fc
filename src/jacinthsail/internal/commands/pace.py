"""Changes to the pace of the local target."""

from jacinthsail.internal.model.pace import Pace
from jacinthsail.internal.model.work import WorkKind
from jacinthsail.internal.queries.pace import (
    IDLE_SHARE,
    START_SHARE,
    first_limit,
    is_round_over,
    limit_after_round,
    lowered_limit,
    must_begin_after_failure,
    must_begin_after_idle,
    slowdown_of,
)


def begin_pace(pace: Pace, slots: int, is_warm: bool = False) -> None:
    """Begin to find the pace of a target, which may be warm if only its node has started."""
    if not pace["is_enabled"]:
        return
    pace["limit"] = first_limit(slots, IDLE_SHARE if is_warm else START_SHARE)
    pace["failures"] = 0
    pace["means_s"].clear()
    _begin_round(pace)


def _begin_round(pace: Pace) -> None:
    pace["responses"].clear()
    pace["durations_s"].clear()
    pace["slowdown"] = 0.0


def record_sent(pace: Pace, slots: int, in_flight: int, now: float) -> None:
    """Record that a request is sent to the target."""
    if must_begin_after_idle(pace, in_flight, now):
        pace["limit"] = first_limit(slots, IDLE_SHARE)
        pace["means_s"].clear()
        _begin_round(pace)
    pace["used_at"] = now


def record_paced_response(
    pace: Pace, kind: WorkKind, duration_s: float, slots: int, now: float
) -> None:
    """Record how long the target took; at the number of slots, the pace is found."""
    pace["failures"] = 0
    if pace["limit"] is None:
        return
    pace["slowdown"] += slowdown_of(pace, kind, duration_s)
    pace["responses"][kind] = pace["responses"].get(kind, 0) + 1
    pace["durations_s"][kind] = pace["durations_s"].get(kind, 0.0) + duration_s
    if not is_round_over(pace):
        return
    limit = limit_after_round(pace, pace["limit"], now)
    for one, count in pace["responses"].items():
        pace["means_s"][one] = pace["durations_s"][one] / count
    _begin_round(pace)
    _set_limit(pace, limit, now)
    if limit >= slots:
        pace["limit"] = None


def record_paced_failure(pace: Pace, slots: int, now: float) -> None:
    """Record that the target refused a request or broke an exchange off."""
    pace["failures"] += 1
    if pace["limit"] is not None:
        _set_limit(pace, lowered_limit(pace, pace["limit"], now), now)
    elif must_begin_after_failure(pace):
        begin_pace(pace, slots)


def _set_limit(pace: Pace, limit: float, now: float) -> None:
    if pace["limit"] is not None and limit < pace["limit"]:
        pace["lowered_at"] = now
    pace["limit"] = limit

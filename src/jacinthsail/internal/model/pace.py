"""The pace at which a target that has just started or recovered is given requests."""

from typing import TypedDict

from jacinthsail.internal.model.work import WorkKind


class Pace(TypedDict):
    """The limit on the requests in flight while the pace of the local target is being found.

    ``limit`` is None when nothing is limited. A round is as many responses as the limit allows in
    flight: ``responses`` and ``durations_s`` count those of the present round by kind of request,
    ``slowdown`` sums their durations as multiples of ``means_s``, the means of the round before.
    ``failures`` counts the refusals and broken exchanges in a row, and ``used_at`` is when a
    request was last sent.
    """

    is_enabled: bool
    limit: float | None
    responses: dict[WorkKind, int]
    durations_s: dict[WorkKind, float]
    means_s: dict[WorkKind, float]
    slowdown: float
    failures: int
    lowered_at: float
    used_at: float

"""The question where a request would go, and the parts of its answer."""

from typing import NamedTuple, TypedDict


class WhereQuestion(NamedTuple):
    """A request that is not sent; ``account`` is the name of an account, or empty."""

    host: str
    path: str
    account: str
    remaining_time_s: float | None


class CandidateFigures(TypedDict):
    """One target of the service; ``left_out`` says why it gets no request, or is empty."""

    target: str
    vm: str
    failure_domain: str
    distance: str
    expected_ms: float
    report_age_s: float | None
    in_flight_from_here: int
    left_out: str


class WhereAnswer(TypedDict):
    """Where the request would go now, and what led to it.

    ``decision`` is ``send`` or the reason of a refusal. ``admission`` says what the queue of the
    local target would do, if that target is chosen.
    """

    manifest: str
    route: str
    kind: str
    service: str
    account: str
    cap_per_s: float | None
    cap_home: str
    rank: int | None
    decision: str
    status: int
    retry_after_s: float
    chosen: str
    admission: str
    attempts_left: int
    knowledge_age_s: float | None
    candidates: list[CandidateFigures]

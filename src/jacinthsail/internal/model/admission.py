"""State of the queue and the concurrency limiter in front of a node's local target."""

from typing import NamedTuple, TypedDict

from sortedcontainers import SortedKeyList

from jacinthsail.internal.model.calls import CallContext, Reason
from jacinthsail.internal.model.document import LimitPolicy
from jacinthsail.internal.model.nested import NestedKey, NestedLimit
from jacinthsail.internal.model.settings import Mechanism


class FixedLimit(NamedTuple):
    """A constant limit."""

    limit: int


class LatencyWindow(NamedTuple):
    """Sums over the calls that started since the limit last changed.

    Calls that started earlier were queued under another limit, so they are left out.
    """

    since: float
    calls: int
    total_latency_s: float
    total_in_flight: int
    overloads: int


class Comparison(NamedTuple):
    """Measurements at a higher limit, kept to compare them with those at the lowered limit.

    With ``checks_baseline`` the limit is lowered until latency no longer falls, to measure the
    baseline again; otherwise only until latency is near the baseline.
    """

    limit: float
    latency_s: float
    in_flight: float
    checks_baseline: bool


class LatencyTrend(NamedTuple):
    """A limiter's measurements of the target's latency.

    ``baseline_s`` is the latency without a queue at the target, or 0 before it was measured.
    ``comparison`` is set while a lowered limit is evaluated. ``held`` is true if the limit is kept
    for the current window to measure latency before a comparison. ``windows_until_check`` counts
    down to the next check of the baseline.
    """

    baseline_s: float
    window: LatencyWindow
    held: bool
    comparison: Comparison | None
    windows_until_check: int


class AimdLimit(NamedTuple):
    """Grows by one per window and shrinks by a constant factor."""

    limit: float
    minimum: int
    maximum: int
    trend: LatencyTrend


class GradientLimit(NamedTuple):
    """Grows and shrinks by the ratio of baseline to latency."""

    limit: float
    minimum: int
    maximum: int
    trend: LatencyTrend


Limiter = FixedLimit | AimdLimit | GradientLimit


class LatencySample(NamedTuple):
    """The measurements of one finished call; ``in_flight`` includes the call itself.

    A call that timed out would have taken longer than ``latency_s``.
    """

    latency_s: float
    in_flight: int
    overloaded: bool
    timed_out: bool = False


class QueuedCall(NamedTuple):
    """A call that is queued for a slot of the local target or that occupies one.

    ``ticket`` numbers the calls in order of arrival.
    """

    ticket: int
    context: CallContext
    queued_at: float


class AdmissionState(TypedDict):
    """Queue, calls in flight and limiter of the local target.

    ``limit_policy`` is the policy from which the limiter was created. ``threshold`` is the lowest
    rank that is admitted while there is a queue. It is adjusted at the end of each window by
    ``window_min_wait_s``, the shortest time that the queue would have needed to drain since
    ``window_start``. ``nested_refused`` holds the tickets of calls in flight whose nested calls
    were refused.
    """

    disabled: frozenset[Mechanism]
    queue: SortedKeyList
    queue_length: int
    in_flight: dict[int, QueuedCall]
    limit_policy: LimitPolicy | None
    limiter: Limiter
    threshold: int
    window_start: float
    window_min_wait_s: float
    mean_latency_s: float
    nested_limits: dict[NestedKey, NestedLimit]
    nested_refused: set[int]
    next_ticket: int
    draining: bool


class Admit(NamedTuple):
    """The call is admitted: it starts at once if a slot is free and is queued otherwise."""


class AdmitByEviction(NamedTuple):
    """The call is admitted in place of a queued call of lower rank."""

    victim: QueuedCall


class Refuse(NamedTuple):
    """The call is refused before execution."""

    reason: Reason
    retry_after_s: float


AdmissionDecision = Admit | AdmitByEviction | Refuse

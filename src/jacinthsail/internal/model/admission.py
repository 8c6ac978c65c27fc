"""State of the queue and the limiter in front of a node's own target."""

from typing import NamedTuple, TypedDict

from sortedcontainers import SortedKeyList

from jacinthsail.internal.model.calls import CallHead, Reason
from jacinthsail.internal.model.document import LimitPolicy
from jacinthsail.internal.model.nested import NestedKey, NestedLimit
from jacinthsail.internal.model.settings import Mechanism


class FixedLimit(NamedTuple):
    """A limit that never moves."""

    limit: int


class LatencyWindow(NamedTuple):
    """Sums over the calls that started since the limit last changed.

    Calls that started earlier met the queue of another limit, so they say nothing of this one.
    """

    since: float
    calls: int
    total_latency_s: float
    total_in_flight: int
    overloads: int


class Comparison(NamedTuple):
    """What was seen at a higher limit, to compare with what the lowered limit brings.

    With ``checks_baseline`` the limit is lowered until latency no longer falls, to measure the
    baseline anew; otherwise only until latency is near the baseline again.
    """

    limit: float
    latency_s: float
    in_flight: float
    checks_baseline: bool


class LatencyTrend(NamedTuple):
    """What a limiter knows of the target's latency.

    ``baseline_s`` is the latency without a queue at the target, 0 when it is not known yet.
    ``comparison`` is set while a lowered limit is tried out. With ``held`` the limit was
    kept for the present window in order to measure latency before a comparison.
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


class Sample(NamedTuple):
    """What one finished call tells the limiter; ``in_flight`` counts the call itself.

    A call that timed out would have taken longer than ``latency_s``.
    """

    latency_s: float
    in_flight: int
    overloaded: bool
    timed_out: bool = False


class QueuedCall(NamedTuple):
    """A call that waits for a slot of the own target."""

    ticket: int
    head: CallHead
    queued_at: float


class AdmissionState(TypedDict):
    """Queue, calls in flight and limiter of the own target.

    ``limit_policy`` is the policy that the limiter was made from. ``threshold`` is the lowest rank
    that is admitted while there is a queue; it follows the shortest time that the queue would have
    needed to drain since ``window_start``. ``nested_refused`` holds the tickets of calls in flight
    whose nested calls were refused.
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
    """The call may wait in the queue, or start at once when there is room."""


class AdmitByEviction(NamedTuple):
    """The call may wait in place of a queued call of lower rank."""

    victim: QueuedCall


class Refuse(NamedTuple):
    """The call must not be run here."""

    reason: Reason
    retry_after_s: float


AdmissionDecision = Admit | AdmitByEviction | Refuse

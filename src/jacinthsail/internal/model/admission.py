"""State of the queue and the limiter in front of a node's own target."""

from typing import NamedTuple, TypedDict

from sortedcontainers import SortedKeyList

from jacinthsail.internal.model.calls import CallHead, Reason


class FixedLimit(NamedTuple):
    """A limit that never moves."""

    limit: int


class AimdLimit(NamedTuple):
    """Grows by one per round of successes and shrinks by a factor on refusal or timeout."""

    limit: float
    minimum: int
    maximum: int
    last_decrease: float


class GradientLimit(NamedTuple):
    """Follows the ratio of long-term to recent latency."""

    limit: float
    minimum: int
    maximum: int
    long_latency_s: float
    recent_latency_s: float


Limiter = FixedLimit | AimdLimit | GradientLimit


class Sample(NamedTuple):
    """What one finished call tells the limiter."""

    latency_s: float
    in_flight: int
    overloaded: bool


class QueuedCall(NamedTuple):
    """A call that waits for a slot of the own target."""

    ticket: int
    head: CallHead
    queued_at: float


class AdmissionState(TypedDict):
    """Queue, calls in flight and limiter of the own target."""

    queue: SortedKeyList
    queue_length: int
    in_flight: dict[int, QueuedCall]
    limiter: Limiter
    threshold: int
    window_start: float
    window_min_wait_s: float
    mean_latency_s: float
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

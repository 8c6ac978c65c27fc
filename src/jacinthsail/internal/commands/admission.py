"""Changes to the queue and the calls in flight of the own target."""

from jacinthsail.internal.commands.nested import change_nested_in_flight, record_nested_end
from jacinthsail.internal.model.admission import AdmissionState, QueuedCall, Sample
from jacinthsail.internal.model.document import ServicePolicy
from jacinthsail.internal.queries.admission import (
    THRESHOLD_WINDOW_S,
    drain_time_s,
    threshold_after_window,
)
from jacinthsail.internal.queries.limits import limiter_after, limiter_for
from jacinthsail.internal.queries.nested import shows_target

# About the last 10 calls decide, so that the expected wait follows a target that slows down.
LATENCY_WEIGHT = 0.1


def apply_service_policy(admission: AdmissionState, policy: ServicePolicy, now: float) -> None:
    """Set queue length and limiter from the section in force.

    A limiter whose policy has not changed keeps what it has learned.
    """
    admission["queue_length"] = policy.queue_length
    if admission["limit_policy"] == policy.limit:
        return
    admission["limit_policy"] = policy.limit
    admission["limiter"] = limiter_for(policy, admission["disabled"], now)


def observe_queue(admission: AdmissionState, now: float) -> None:
    """Note how long the queue is, and move the threshold at the end of a window."""
    wait_s = drain_time_s(admission)
    admission["window_min_wait_s"] = min(admission["window_min_wait_s"], wait_s)
    if now - admission["window_start"] < THRESHOLD_WINDOW_S:
        return
    admission["threshold"] = threshold_after_window(admission, now)
    admission["window_start"] = now
    admission["window_min_wait_s"] = wait_s


def enqueue_call(admission: AdmissionState, queued: QueuedCall) -> None:
    """Let a call wait for a slot."""
    admission["next_ticket"] = queued.ticket + 1
    admission["queue"].add(queued)


def remove_queued(admission: AdmissionState, queued: QueuedCall) -> None:
    """Take a call out of the queue without starting it."""
    admission["queue"].discard(queued)


def start_call(admission: AdmissionState, queued: QueuedCall, now: float) -> None:
    """Move a call from the queue to the calls in flight."""
    admission["queue"].discard(queued)
    admission["in_flight"][queued.ticket] = queued
    change_nested_in_flight(admission, queued, 1)


def finish_call(
    admission: AdmissionState, queued: QueuedCall, sample: Sample | None, now: float
) -> None:
    """Free the slot of a call and learn from its sample; a cancelled call has none."""
    del admission["in_flight"][queued.ticket]
    shown = sample if shows_target(admission, queued) else None
    if sample is not None:
        record_nested_end(admission, queued, now)
    change_nested_in_flight(admission, queued, -1)
    admission["nested_refused"].discard(queued.ticket)
    _learn(admission, shown, now)


def _learn(admission: AdmissionState, sample: Sample | None, now: float) -> None:
    if sample is None:
        return
    admission["limiter"] = limiter_after(admission["limiter"], sample, now)
    if sample.timed_out:
        _learn_latency(admission, max(sample.latency_s, admission["mean_latency_s"]))
        return
    if not sample.overloaded:
        _learn_latency(admission, sample.latency_s)


def _learn_latency(admission: AdmissionState, latency_s: float) -> None:
    if not admission["mean_latency_s"]:
        admission["mean_latency_s"] = latency_s
        return
    admission["mean_latency_s"] += LATENCY_WEIGHT * (latency_s - admission["mean_latency_s"])


def begin_draining(admission: AdmissionState) -> None:
    """Take no new work for the own target from now on."""
    admission["draining"] = True


def end_draining(admission: AdmissionState) -> None:
    """Take new work for the own target again."""
    admission["draining"] = False

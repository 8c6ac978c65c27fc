"""Changes to the queue and the calls in flight of the local target."""

from jacinthsail.internal.commands.nested import change_nested_in_flight, record_nested_end
from jacinthsail.internal.model.admission import AdmissionState, LatencySample, QueuedCall
from jacinthsail.internal.model.document import ServicePolicy
from jacinthsail.internal.queries.admission import (
    THRESHOLD_WINDOW_S,
    drain_time_s,
    threshold_after_window,
)
from jacinthsail.internal.queries.limits import limiter_for, updated_limiter
from jacinthsail.internal.queries.nested import is_target_latency_sample

# The mean covers about the last 10 calls, so that the expected wait follows a slowing target.
LATENCY_WEIGHT = 0.1


def apply_service_policy(admission: AdmissionState, policy: ServicePolicy, now: float) -> None:
    """Set queue length and limiter from the section in force.

    A limiter whose policy has not changed keeps its measurements.
    """
    admission["queue_length"] = policy.queue_length
    if admission["limit_policy"] == policy.limit:
        return
    admission["limit_policy"] = policy.limit
    admission["limiter"] = limiter_for(policy, admission["disabled"], now)


def observe_queue(admission: AdmissionState, now: float) -> None:
    """Record the time to drain the queue, and adjust the threshold at the end of a window."""
    wait_s = drain_time_s(admission)
    admission["window_min_wait_s"] = min(admission["window_min_wait_s"], wait_s)
    if now - admission["window_start"] < THRESHOLD_WINDOW_S:
        return
    admission["threshold"] = threshold_after_window(admission, now)
    admission["window_start"] = now
    admission["window_min_wait_s"] = wait_s


def enqueue_call(admission: AdmissionState, queued: QueuedCall) -> None:
    """Queue a call for a slot."""
    admission["next_ticket"] = queued.ticket + 1
    admission["queue"].add(queued)


def remove_queued(admission: AdmissionState, queued: QueuedCall) -> None:
    """Remove a call from the queue without starting it."""
    admission["queue"].discard(queued)


def start_call(admission: AdmissionState, queued: QueuedCall, now: float) -> None:
    """Move a call from the queue to the calls in flight."""
    admission["queue"].discard(queued)
    admission["in_flight"][queued.ticket] = queued
    change_nested_in_flight(admission, queued, 1)


def finish_call(
    admission: AdmissionState, queued: QueuedCall, sample: LatencySample | None, now: float
) -> None:
    """Free the slot of a call and update the limiter; a cancelled call has no sample."""
    del admission["in_flight"][queued.ticket]
    target_sample = sample if is_target_latency_sample(admission, queued) else None
    if sample is not None:
        record_nested_end(admission, queued, now)
    change_nested_in_flight(admission, queued, -1)
    admission["nested_refused"].discard(queued.ticket)
    _apply_sample(admission, target_sample, now)


def _apply_sample(admission: AdmissionState, sample: LatencySample | None, now: float) -> None:
    if sample is None:
        return
    admission["limiter"] = updated_limiter(admission["limiter"], sample, now)
    if sample.timed_out:
        _update_mean_latency(admission, max(sample.latency_s, admission["mean_latency_s"]))
        return
    if not sample.overloaded:
        _update_mean_latency(admission, sample.latency_s)


def _update_mean_latency(admission: AdmissionState, latency_s: float) -> None:
    if not admission["mean_latency_s"]:
        admission["mean_latency_s"] = latency_s
        return
    admission["mean_latency_s"] += LATENCY_WEIGHT * (latency_s - admission["mean_latency_s"])


def begin_draining(admission: AdmissionState) -> None:
    """Accept no new calls for the local target from now on."""
    admission["draining"] = True


def end_draining(admission: AdmissionState) -> None:
    """Accept new calls for the local target again."""
    admission["draining"] = False

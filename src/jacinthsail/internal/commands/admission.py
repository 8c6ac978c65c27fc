"""Changes to the queue and the calls in flight of the own target."""

from jacinthsail.internal.model.admission import AdmissionState, QueuedCall, Sample
from jacinthsail.internal.model.document import ServicePolicy
from jacinthsail.internal.queries.limits import limiter_after, new_limiter


def apply_service_policy(admission: AdmissionState, policy: ServicePolicy) -> None:
    """Set queue length and limiter from the section in force."""
    admission["queue_length"] = policy.queue_length
    admission["limiter"] = new_limiter(policy.limit)


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


def finish_call(admission: AdmissionState, queued: QueuedCall, sample: Sample, now: float) -> None:
    """Free the slot of a call and let the limiter learn from it."""
    del admission["in_flight"][queued.ticket]
    admission["limiter"] = limiter_after(admission["limiter"], sample, now)


def begin_draining(admission: AdmissionState) -> None:
    """Take no new work for the own target from now on."""
    admission["draining"] = True


def end_draining(admission: AdmissionState) -> None:
    """Take new work for the own target again."""
    admission["draining"] = False

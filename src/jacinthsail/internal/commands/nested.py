"""Changes to the limits that follow from refusals of nested calls deeper in the chain."""

from jacinthsail.internal.model.admission import AdmissionState, QueuedCall
from jacinthsail.internal.queries.nested import (
    NESTED_LIMIT_EXPIRY_S,
    initial_nested_limit,
    nested_key,
    nested_limit_after_refusal,
    nested_limit_after_success,
)


def change_nested_in_flight(admission: AdmissionState, queued: QueuedCall, change: int) -> None:
    """Count a call that started or ended, if its class has a limit."""
    if not admission["nested_limits"]:
        return
    key = nested_key(queued.context)
    nested = admission["nested_limits"].get(key)
    if nested is not None:
        in_flight = max(0, nested.in_flight + change)
        admission["nested_limits"][key] = nested._replace(in_flight=in_flight)


def record_nested_refusal(admission: AdmissionState, parent: QueuedCall, now: float) -> None:
    """Lower the limit that applies to a call whose nested call was refused, once for each call."""
    if parent.ticket in admission["nested_refused"]:
        return
    admission["nested_refused"].add(parent.ticket)
    key = nested_key(parent.context)
    nested = admission["nested_limits"].get(key)
    if nested is None:
        calls = admission["in_flight"].values()
        in_flight = sum(1 for queued in calls if nested_key(queued.context) == key)
        admission["nested_limits"][key] = initial_nested_limit(in_flight, now)
        return
    admission["nested_limits"][key] = nested_limit_after_refusal(nested, parent, now)


def record_nested_end(admission: AdmissionState, queued: QueuedCall, now: float) -> None:
    """Raise the limit after a call without a refusal, and drop a limit that has expired."""
    if queued.ticket in admission["nested_refused"] or not admission["nested_limits"]:
        return
    key = nested_key(queued.context)
    nested = admission["nested_limits"].get(key)
    if nested is None:
        return
    if now - nested.refused_at > NESTED_LIMIT_EXPIRY_S:
        del admission["nested_limits"][key]
        return
    admission["nested_limits"][key] = nested_limit_after_success(nested, queued)

"""Decides how many calls may be in flight whose nested calls are refused deeper in the chain.

A call that is refused by a deep service has already run at every service before it. The services
behind have a fixed number of slots and places in their queues, so the bound is a number of calls
and not a rate: it stays right while a deep service is slow and after it has become fast again.
"""

from functools import singledispatch

from jacinthsail.internal.model.admission import AdmissionState, QueuedCall
from jacinthsail.internal.model.calls import CallHead, NotRun, Reason
from jacinthsail.internal.model.nested import NestedKey, NestedLimit
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.rank import RANKS_PER_IMPORTANCE

# Refusals that more calls in flight make more frequent.
OVERLOAD_REASONS = frozenset(
    {
        Reason.BELOW_THRESHOLD,
        Reason.BELOW_EVERY_THRESHOLD,
        Reason.QUEUE_FULL,
        Reason.EVICTED,
        Reason.DEADLINE_TOO_SHORT,
        Reason.DEADLINE_EXPIRED,
    }
)

# The first refusals halve the limit until it fits; later ones, which end a phase of growth, lower
# it a little more than growth has raised it.
STRONGEST_DECREASE = 0.5
WEAKEST_DECREASE = 0.85

# Growth in one round of calls. With a start of 0.05 and a factor of 1.5 the limit met refusals so
# often that 13% of the executions in scenario wasted_work were wasted.
FIRST_GROWTH = 0.01
GROWTH_FACTOR = 1.2
LARGEST_GROWTH_SHARE = 0.5

# With a limit below 1 a single call is let through after this time to learn of free places.
PROBE_INTERVAL_S = 0.5
LOWEST_LIMIT = 0.5

# During an overload refusals are more frequent than this, because the limit grows until one occurs.
FORGET_S = 10.0


def shows_target(admission: AdmissionState, queued: QueuedCall) -> bool:
    """Tell whether the latency of a finished call is that of the target.

    A call whose nested call was refused ends early. Counted as fast, such calls would make the
    others look slow and lower the limit of a target that has free slots.
    """
    return queued.ticket not in admission["nested_refused"]


def nested_key(head: CallHead) -> NestedKey:
    """Return the key of the limit that a call belongs to."""
    return NestedKey(head.service, head.call_class, head.rank // RANKS_PER_IMPORTANCE)


@singledispatch
def is_nested_refusal(outcome: object) -> bool:
    """Tell whether the outcome of a nested call says that a deeper service is overloaded."""
    return False


@is_nested_refusal.register
def _(outcome: NotRun) -> bool:
    return outcome.reason in OVERLOAD_REASONS


def parents_of(admission: AdmissionState, head: CallHead) -> list[QueuedCall]:
    """Return the calls in flight at the own target that a nested call was made for."""
    if head.depth == 0:
        return []
    calls = admission["in_flight"].values()
    return [queued for queued in calls if queued.head.request_id == head.request_id]


def exceeds_nested_limit(admission: AdmissionState, head: CallHead, now: float) -> bool:
    """Tell whether services deeper in the chain would probably refuse the call's nested calls."""
    if not admission["nested_limits"]:
        return False
    nested = admission["nested_limits"].get(nested_key(head))
    return nested is not None and is_full(nested, now)


def full_nested_keys(admission: AdmissionState, now: float) -> list[NestedKey]:
    """Return the keys of which no further call may start."""
    limits = admission["nested_limits"].items()
    return [key for key, nested in limits if is_full(nested, now)]


def is_full(nested: NestedLimit, now: float) -> bool:
    """Tell whether a limit lets no further call start."""
    if nested.limit >= 1:
        return nested.in_flight >= int(nested.limit)
    return nested.in_flight > 0 or now - nested.refused_at < PROBE_INTERVAL_S


def limits_nested_calls(admission: AdmissionState) -> bool:
    """Tell whether calls are refused for what their nested calls would meet."""
    return Mechanism.IMPORTANCE not in admission["disabled"]


def first_nested_limit(in_flight: int, now: float) -> NestedLimit:
    """Return the limit after the first refusal, with the calls that are in flight then."""
    limit = max(LOWEST_LIMIT, STRONGEST_DECREASE * in_flight)
    return NestedLimit(limit, in_flight, 0, now, now, FIRST_GROWTH)


def nested_limit_after_pass(nested: NestedLimit, queued: QueuedCall) -> NestedLimit:
    """Return the limit after a call that met no refusal; it grows only while it is in use."""
    if queued.queued_at < nested.changed_at:
        return nested
    passed = nested.passed + 1
    if nested.in_flight < int(nested.limit):
        return nested._replace(passed=passed)
    limit = nested.limit + nested.growth / max(1.0, nested.limit)
    growth = nested.growth
    if passed % max(1, int(nested.limit)) == 0:
        growth = min(GROWTH_FACTOR * growth, max(1.0, LARGEST_GROWTH_SHARE * limit))
    return nested._replace(limit=limit, passed=passed, growth=growth)


def nested_limit_after_refusal(nested: NestedLimit, queued: QueuedCall, now: float) -> NestedLimit:
    """Return the limit after a refusal; calls from before the last change say nothing of it."""
    if queued.queued_at < nested.changed_at:
        return nested._replace(refused_at=now)
    passed_share = nested.passed / (nested.passed + 1)
    factor = min(WEAKEST_DECREASE, max(STRONGEST_DECREASE, passed_share))
    limit = max(LOWEST_LIMIT, factor * nested.limit)
    return NestedLimit(limit, nested.in_flight, 0, now, now, FIRST_GROWTH)

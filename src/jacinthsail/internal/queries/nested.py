"""Limits the calls in flight whose nested calls would be refused deeper in the chain.

When a deep service refuses a nested call, the services before it have already done their work for
nothing. Downstream services have fixed numbers of slots and queue places, so the limit is a number
of calls and not a rate: it stays right while a deep service is slow and after it has recovered.
"""

from functools import singledispatch

from jacinthsail.internal.model.admission import AdmissionState, QueuedCall
from jacinthsail.internal.model.calls import CallContext, NotRun, Reason
from jacinthsail.internal.model.nested import NestedKey, NestedLimit
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.rank import RANKS_PER_IMPORTANCE

# Refusal reasons that become more frequent with more calls in flight.
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

# The first refusals halve the limit until they stop. Later ones, which end a phase of growth,
# lower it slightly more than the growth raised it.
MIN_DECREASE_FACTOR = 0.5
MAX_DECREASE_FACTOR = 0.85

# Growth per round of calls. With a first growth of 0.05 and a factor of 1.5, refusals were so
# frequent that 13% of the executions in scenario wasted_work were wasted.
FIRST_GROWTH = 0.01
GROWTH_FACTOR = 1.2
LARGEST_GROWTH_SHARE = 0.5

# With a limit below 1, a single call may start after this time to detect free capacity.
PROBE_INTERVAL_S = 0.5
MIN_NESTED_LIMIT = 0.5

# A limit without refusals for this long is removed. During an overload refusals are more frequent,
# because the limit grows until one occurs.
NESTED_LIMIT_EXPIRY_S = 10.0


def is_target_latency_sample(admission: AdmissionState, queued: QueuedCall) -> bool:
    """Return whether the latency of a finished call is a sample of the target's latency.

    A call whose nested call was refused ends early. Such samples would lower the latency baseline,
    and the limit of a target with free slots would then fall because other calls seem slow.
    """
    return queued.ticket not in admission["nested_refused"]


def nested_key(context: CallContext) -> NestedKey:
    """Return the key of the nested limit that applies to a call."""
    return NestedKey(context.service, context.call_class, context.rank // RANKS_PER_IMPORTANCE)


@singledispatch
def is_nested_refusal(outcome: object) -> bool:
    """Return whether the outcome of a nested call shows that a downstream service is overloaded."""
    return False


@is_nested_refusal.register
def _(outcome: NotRun) -> bool:
    return outcome.reason in OVERLOAD_REASONS


def parent_calls(admission: AdmissionState, context: CallContext) -> list[QueuedCall]:
    """Return the calls in flight at the local target for which a nested call was made."""
    if context.depth == 0:
        return []
    calls = admission["in_flight"].values()
    return [queued for queued in calls if queued.context.request_id == context.request_id]


def exceeds_nested_limit(admission: AdmissionState, context: CallContext, now: float) -> bool:
    """Return whether downstream services would probably refuse the nested calls of a call."""
    if not admission["nested_limits"]:
        return False
    nested = admission["nested_limits"].get(nested_key(context))
    return nested is not None and is_nested_limit_reached(nested, now)


def exhausted_nested_keys(admission: AdmissionState, now: float) -> list[NestedKey]:
    """Return the keys whose limit allows no further call to start."""
    limits = admission["nested_limits"].items()
    return [key for key, nested in limits if is_nested_limit_reached(nested, now)]


def is_nested_limit_reached(nested: NestedLimit, now: float) -> bool:
    """Return whether a limit allows no further call to start."""
    if nested.limit >= 1:
        return nested.in_flight >= int(nested.limit)
    return nested.in_flight > 0 or now - nested.refused_at < PROBE_INTERVAL_S


def is_nested_limiting_enabled(admission: AdmissionState) -> bool:
    """Return whether calls are refused because of the expected refusal of their nested calls."""
    return Mechanism.IMPORTANCE not in admission["disabled"]


def initial_nested_limit(in_flight: int, now: float) -> NestedLimit:
    """Return the limit after the first refusal, given the number of calls in flight."""
    limit = max(MIN_NESTED_LIMIT, MIN_DECREASE_FACTOR * in_flight)
    return NestedLimit(limit, in_flight, 0, now, now, FIRST_GROWTH)


def nested_limit_after_success(nested: NestedLimit, queued: QueuedCall) -> NestedLimit:
    """Return the limit after a call without a refusal; it grows only while it is fully used."""
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
    """Return the limit after a refusal; calls queued before the last change do not lower it."""
    if queued.queued_at < nested.changed_at:
        return nested._replace(refused_at=now)
    passed_share = nested.passed / (nested.passed + 1)
    factor = min(MAX_DECREASE_FACTOR, max(MIN_DECREASE_FACTOR, passed_share))
    limit = max(MIN_NESTED_LIMIT, factor * nested.limit)
    return NestedLimit(limit, nested.in_flight, 0, now, now, FIRST_GROWTH)

"""Queueing in front of the local target: which requests wait, start, or are rejected."""

import math

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import KindLoad, LoadReport
from jacinthsail.internal.model.request_state import ForwardedRequest
from jacinthsail.internal.model.retry_budget import TargetRetryBudget
from jacinthsail.internal.model.statuses import STATUS_SERVER_ERROR, STATUS_TIMEOUT
from jacinthsail.internal.model.target_queue import (
    QueueDecision,
    QueueRequest,
    RejectRequest,
    StartRequest,
    TargetQueue,
    WaitingRequest,
    WorkQueue,
)
from jacinthsail.internal.model.work import WorkKind
from jacinthsail.internal.queries import chain_admission
from jacinthsail.internal.queries.chain_admission import new_chain_admission
from jacinthsail.internal.queries.lineage import RANKS_PER_PRIORITY
from jacinthsail.internal.queries.pace import limit_on_slots, new_pace
from jacinthsail.internal.queries.retry_budget import is_within_retry_budget

# Assumed until the target has returned its first response.
INITIAL_MEAN_S = 0.05

# A caller that retries sooner would meet the same queue.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0

# One failed call marks a node or target as unreachable, so a caller that retries after this time is
# routed to another one.
RETRY_AFTER_UNREACHABLE_S = 0.3

# Maximum number of queued requests as a multiple of the slots; bounds memory.
MAX_WAITING_PER_SLOT = 20

# A response is late if it leaves less than this share of ``latency_goal_s``, and less than this
# time, for the delay that the caller's node and the links add.
RETURN_SHARE = 0.3
MAX_RETURN_S = 0.1

# Responses that left the target before a lower limit took effect must not lower it a second time.
LOWERING_INTERVAL_S = 0.1
LOWERING_FACTOR = 0.93

# Some requests take long at any load, so the limit is lowered only if a larger share of responses
# is late, and raised only while a smaller share is.
LATE_SHARE_TO_LOWER = 0.35
LATE_SHARE_TO_RAISE = 0.25

# A request that fails because a downstream service shed its nested call has wasted the work of the
# services before it, so the accepted share is lower than that of late responses. A few such
# failures are normal while single nodes restart.
SHED_SHARE_TO_LOWER = 0.1
SHED_SHARE_TO_RAISE = 0.05

# At a low limit, few responses arrive, and averages over responses alone would describe a failure
# long after its end. They decay while no response arrives for longer than the first of these times.
DECAY_AFTER_S = 0.2
DECAY_HALF_LIFE_S = 0.7

# Smallest increase of the limit after a timely response. An increase of 1 for each round of
# requests, as usual, would take too long to use all slots again.
MIN_RAISE = 0.5

# Up to this many nested calls per request, a retry is taken to add no load to other services.
MAX_LEAF_CALLS_PER_REQUEST = 0.1

# A response that takes this many times the mean duration is probably lost; the durations of one
# kind of request vary by a factor of about 6. The minimum covers pauses of the target.
OVERDUE_FACTOR = 7.0
MIN_OVERDUE_S = 0.15

# A request that must not be repeated is lost if its node stops before it ends. Only durations up to
# this many times the mean are usual.
USUAL_DURATION_FACTOR = 6.0

# The mean duration is reliable only after this many responses. Before that, every request to a cold
# target would count as overdue.
MIN_RESPONSES = 60

# Share of the slots that new requests always keep, so that their responses show when the target
# recovers.
MIN_NEW_SHARE = 0.1


def new_work_queue(slots: int) -> WorkQueue:
    """Return an empty work queue whose limit is the number of slots."""
    return WorkQueue(
        waiting=[],
        by_rank={},
        in_flight=0,
        limit=float(slots),
        lowered_at=float("-inf"),
        responded_at=float("-inf"),
        mean_duration_s=INITIAL_MEAN_S,
        response_count=0,
        late_share=0.0,
        shed_share=0.0,
        calls_per_request=0.0,
    )


def new_target_queue(slots: int, is_paced: bool = False) -> TargetQueue:
    """Return the empty target queue of a node that has just started."""
    return TargetQueue(
        slots=slots,
        in_flight=0,
        work_queues={kind: new_work_queue(slots) for kind in WorkKind},
        waiting_by_ticket={},
        next_ticket=1,
        draining=False,
        blocked=False,
        stopped=False,
        cut_at=float("inf"),
        chain=new_chain_admission(),
        pace=new_pace(is_paced),
    )


def work_kind(rank: int) -> WorkKind:
    """Return the kind of work that a rank stands for: a new request or a nested call."""
    return WorkKind.NEW if rank % RANKS_PER_PRIORITY else WorkKind.NESTED


def decide_arrival(
    queue: TargetQueue, retry_budget: TargetRetryBudget, forwarded: ForwardedRequest, now: float
) -> QueueDecision:
    """Return whether an arriving request starts, waits or is rejected, given the retry budget."""
    multiplies = makes_nested_calls(queue, forwarded.rank)
    if not is_within_retry_budget(
        retry_budget, forwarded.retry_kind, forwarded.rank, multiplies, now
    ):
        return RejectRequest(Reason.RETRIES_SPENT, MIN_RETRY_AFTER_S)
    if work_kind(forwarded.rank) is WorkKind.NEW:
        chain = queue["chain"]
        if not chain_admission.admits_chain(chain, forwarded.rank):
            return RejectRequest(Reason.CHAIN_FULL, chain_admission.retry_after_s(chain))
    return decide_queueing(queue, forwarded, now)


def makes_nested_calls(queue: TargetQueue, rank: int) -> bool:
    """Return whether the target makes nested calls for requests of the same kind as ``rank``."""
    return queue["work_queues"][work_kind(rank)]["calls_per_request"] > MAX_LEAF_CALLS_PER_REQUEST


def decide_queueing(queue: TargetQueue, forwarded: ForwardedRequest, now: float) -> QueueDecision:
    """Return whether a request starts, waits or is rejected.

    Only requests of the same or greater importance are served before it, so important work waits
    less and is rejected last. A lower rank number means greater importance.
    """
    if queue["stopped"] or queue["draining"]:
        return RejectRequest(Reason.DRAINING, MIN_RETRY_AFTER_S)
    if queue["blocked"]:
        return RejectRequest(Reason.NOT_READY, MIN_RETRY_AFTER_S)
    kind = work_kind(forwarded.rank)
    work_queue = queue["work_queues"][kind]
    starts_at_once = has_free_slot(queue, work_queue) and not work_queue["waiting"]
    wait_s = 0.0 if starts_at_once else expected_wait_for_rank_s(queue, forwarded.rank)
    if may_outlast_node(queue, forwarded, now + wait_s):
        return RejectRequest(Reason.DEADLINE_TOO_SHORT, MIN_RETRY_AFTER_S)
    if starts_at_once:
        return StartRequest()
    if len(queue["waiting_by_ticket"]) >= MAX_WAITING_PER_SLOT * queue["slots"]:
        return RejectRequest(Reason.QUEUE_FULL, retry_after_s(queue, work_queue))
    if wait_s > forwarded.max_queue_wait_s:
        return RejectRequest(Reason.QUEUE_FULL, retry_after_s(queue, work_queue))
    return QueueRequest(now + forwarded.max_queue_wait_s)


def may_outlast_node(queue: TargetQueue, forwarded: ForwardedRequest, starts_at: float) -> bool:
    """Return whether a request that must not be repeated may still run when this node ends.

    Other nodes are still running, and can serve it to its end.
    """
    if forwarded.repeatable or queue["cut_at"] == math.inf:
        return False
    work_queue = queue["work_queues"][work_kind(forwarded.rank)]
    longest_s = min(forwarded.remaining_s, USUAL_DURATION_FACTOR * work_queue["mean_duration_s"])
    return starts_at + longest_s > queue["cut_at"]


def has_free_slot(queue: TargetQueue, work_queue: WorkQueue) -> bool:
    """Return whether the slots and the limit of a work queue allow one more request in flight."""
    if queue["in_flight"] >= limit_on_slots(queue["pace"], queue["slots"]):
        return False
    return work_queue["in_flight"] < int(work_queue["limit"])


def expected_wait_for_rank_s(queue: TargetQueue, rank: int) -> float:
    """Return the expected wait for a slot of a request with this rank."""
    work_queue = queue["work_queues"][work_kind(rank)]
    ahead = 1
    for other, count in work_queue["by_rank"].items():
        if other <= rank:
            ahead += count
    return ahead * work_queue["mean_duration_s"] / available_slots(queue, work_queue)


def available_slots(queue: TargetQueue, work_queue: WorkQueue) -> float:
    """Return how many requests of a work queue can be in flight beside those of other kinds."""
    others = queue["in_flight"] - work_queue["in_flight"]
    slots = limit_on_slots(queue["pace"], queue["slots"])
    return max(1.0, min(work_queue["limit"], float(slots - others)))


def retry_after_s(queue: TargetQueue, work_queue: WorkQueue) -> float:
    """Return the Retry-After time: when all requests that are queued now will have started."""
    queued = sum(work_queue["by_rank"].values())
    wait_s = (queued + 1) * work_queue["mean_duration_s"] / available_slots(queue, work_queue)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def next_queued_request(queue: TargetQueue) -> WaitingRequest | None:
    """Return the queued request to start next, or None if none may start."""
    best: tuple[int, int] | None = None
    for work_queue in queue["work_queues"].values():
        if not work_queue["waiting"] or not has_free_slot(queue, work_queue):
            continue
        if best is None or work_queue["waiting"][0] < best:
            best = work_queue["waiting"][0]
    return None if best is None else queue["waiting_by_ticket"][best[1]]


def has_stale_entry(queue: TargetQueue, work_queue: WorkQueue) -> bool:
    """Return whether the first heap entry of a work queue is a request that no longer waits."""
    return (
        bool(work_queue["waiting"])
        and work_queue["waiting"][0][1] not in queue["waiting_by_ticket"]
    )


def expired_requests(queue: TargetQueue, now: float) -> tuple[WaitingRequest, ...]:
    """Return the queued requests that have reached their queue wait limit."""
    return tuple(
        waiting for waiting in queue["waiting_by_ticket"].values() if now >= waiting.expires_at
    )


def limit_after_response(
    queue: TargetQueue, work_queue: WorkQueue, on_time: bool, now: float
) -> float:
    """Return the limit of a work queue after one more response, whether ``on_time`` or late.

    The duration includes the nested calls of the target, so the limit also falls when a downstream
    service is the bottleneck: work then waits in this queue, where no execution is lost.
    """
    limit = work_queue["limit"]
    may_raise = work_queue["late_share"] <= LATE_SHARE_TO_RAISE
    if on_time and may_raise and work_queue["shed_share"] <= SHED_SHARE_TO_RAISE:
        return min(float(queue["slots"]), limit + max(MIN_RAISE, 1.0 / max(1.0, limit)))
    if on_time or work_queue["late_share"] < LATE_SHARE_TO_LOWER:
        return limit
    return lowered_limit(queue, work_queue, now)


def limit_after_shed(queue: TargetQueue, work_queue: WorkQueue, now: float) -> float:
    """Return the limit of a work queue after a request failed because a nested call was shed."""
    if work_queue["shed_share"] < SHED_SHARE_TO_LOWER:
        return work_queue["limit"]
    return lowered_limit(queue, work_queue, now)


def lowered_limit(queue: TargetQueue, work_queue: WorkQueue, now: float) -> float:
    """Return the next lower limit, or the present one if it was lowered too recently."""
    limit = work_queue["limit"]
    if now - work_queue["lowered_at"] < LOWERING_INTERVAL_S:
        return limit
    # A limit above the slots in use has no effect, so the decrease starts from those in use.
    used = min(limit, float(work_queue["in_flight"]) + 1.0)
    least = float(math.ceil(MIN_NEW_SHARE * queue["slots"]))
    return min(limit, max(least, used * LOWERING_FACTOR))


def decayed_share(work_queue: WorkQueue, share: float, now: float) -> float:
    """Return a mean share of responses after the time since the last one."""
    idle_s = now - work_queue["responded_at"] - DECAY_AFTER_S
    return share if idle_s <= 0.0 else share * 0.5 ** (idle_s / DECAY_HALF_LIFE_S)


def is_on_time(forwarded: ForwardedRequest, duration_s: float) -> bool:
    """Return whether a response is on time, leaving a margin for the links to the caller."""
    goal_s = forwarded.latency_goal_s
    return duration_s <= goal_s - min(RETURN_SHARE * goal_s, MAX_RETURN_S)


def is_latency_sample(
    queue: TargetQueue, forwarded: ForwardedRequest, status: int, duration_s: float
) -> bool:
    """Return whether the duration of a response is a sample of the target's latency.

    Fast failures are excluded, since a failing target must not look fast. A timeout counts as a
    lower bound, unless the deadline came sooner than responses usually do.
    """
    if status < STATUS_SERVER_ERROR:
        return True
    work_queue = queue["work_queues"][work_kind(forwarded.rank)]
    return status == STATUS_TIMEOUT and duration_s >= work_queue["mean_duration_s"]


def is_response_overdue(
    queue: TargetQueue, forwarded: ForwardedRequest, started_at: float, deadline: float, now: float
) -> bool:
    """Return whether the response is probably lost while a retry could still finish in time.

    Nothing reports a lost response, so without this check the request would hold its slot until
    its deadline, and so would its parent request.
    """
    work_queue = queue["work_queues"][work_kind(forwarded.rank)]
    if not forwarded.repeatable or work_queue["response_count"] < MIN_RESPONSES:
        return False
    if queue["draining"]:
        # The retry would reach a target that gets no more requests.
        return False
    mean_duration_s = work_queue["mean_duration_s"]
    if now - started_at < max(MIN_OVERDUE_S, OVERDUE_FACTOR * mean_duration_s):
        return False
    return deadline - now > mean_duration_s


def load_report(queue: TargetQueue) -> LoadReport:
    """Return the load report for other nodes."""
    return LoadReport(
        queue["in_flight"],
        len(queue["waiting_by_ticket"]),
        limit_on_slots(queue["pace"], queue["slots"]),
        kind_load(queue, WorkKind.NEW),
        kind_load(queue, WorkKind.NESTED),
    )


def kind_load(queue: TargetQueue, kind: WorkKind) -> KindLoad:
    """Return the mean duration of one kind of request and the wait of one that arrives now."""
    work_queue = queue["work_queues"][kind]
    duration_s = work_queue["mean_duration_s"]
    if has_free_slot(queue, work_queue) and not work_queue["waiting"]:
        return KindLoad(duration_s, 0.0)
    ahead = sum(work_queue["by_rank"].values()) + 1
    return KindLoad(duration_s, ahead * duration_s / available_slots(queue, work_queue))

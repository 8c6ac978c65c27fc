"""Decides which requests wait for the own target, which start and which are rejected."""

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import LoadReport
from jacinthsail.internal.model.request_state import Forward
from jacinthsail.internal.model.retry_budget import RepeatState
from jacinthsail.internal.model.statuses import STATUS_SERVER_ERROR, STATUS_TIMEOUT
from jacinthsail.internal.model.target_queue import (
    BacklogDecision,
    BacklogState,
    Lane,
    Reject,
    StartNow,
    Wait,
    WaitingForward,
    WorkKind,
)
from jacinthsail.internal.queries.lineage import RANKS_PER_PRIORITY
from jacinthsail.internal.queries.retry_budget import is_within_budget

# Assumed until the target has answered once.
INITIAL_MEAN_S = 0.05

# A caller that returns sooner would find the same queue.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0

# A node or a target that cannot be reached is known to everybody after one failed call, so a caller
# that returns after this time is sent elsewhere.
RETRY_AFTER_UNREACHABLE_S = 0.3

# Requests that may wait, as a multiple of the slots; a bound for memory.
MAX_WAITING_PER_SLOT = 20

# New requests are held back while answers take longer than this share of the time in which they
# have their full value; the rest is for what the caller's own node and the links add.
GOOD_SHARE = 0.7

# Answers that left the target before a lower limit took effect do not lower it again.
LOWERING_INTERVAL_S = 0.1
LOWERING_FACTOR = 0.93

# Some requests take long at any load, so the limit is lowered only when more answers than this are
# late, and raised while fewer are.
LATE_SHARE_TO_LOWER = 0.35
LATE_SHARE_TO_RAISE = 0.25

# Runs that fail for want of room further on have used the services before it for nothing, so fewer
# of them are accepted than of late answers. A few occur while single nodes restart.
SHED_SHARE_TO_LOWER = 0.1
SHED_SHARE_TO_RAISE = 0.05

# With fewer calls than this for a request, another run of it costs no other service anything.
LEAF_CALLS_PER_RUN = 0.1

# An answer that takes this many times as long as the mean is probably lost; the durations of one
# kind of request vary by a factor of about 6. The minimum covers pauses of the target.
OVERDUE_FACTOR = 7.0
MIN_OVERDUE_S = 0.15

# After a start the mean follows the target only after so many answers. Every request would be taken
# for overdue before, while the targets may be cold as well.
MIN_ANSWERS = 60

# Slots that new requests keep in any case, so that the limit notices when the target recovers.
MIN_NEW_SHARE = 0.1


def new_lane(slots: int) -> Lane:
    """Return an empty lane."""
    return Lane(
        waiting=[],
        by_rank={},
        in_flight=0,
        limit=float(slots),
        lowered_at=float("-inf"),
        mean_s=INITIAL_MEAN_S,
        answers=0,
        late_share=0.0,
        shed_share=0.0,
        calls_per_run=0.0,
    )


def new_backlog(slots: int) -> BacklogState:
    """Return the queue of a node that has just started."""
    return BacklogState(
        slots=slots,
        in_flight=0,
        lanes={kind: new_lane(slots) for kind in WorkKind},
        tickets={},
        next_ticket=1,
        draining=False,
        blocked=False,
        stopped=False,
    )


def kind_of(rank: int) -> WorkKind:
    """Return whether a rank stands for a new request or a nested call."""
    return WorkKind.NEW if rank % RANKS_PER_PRIORITY else WorkKind.NESTED


def decide_arrival(
    backlog: BacklogState, repeats: RepeatState, forward: Forward, now: float
) -> BacklogDecision:
    """Return what becomes of a request that arrives, within the budget of repeats."""
    multiplies = makes_calls(backlog, forward.rank)
    if not is_within_budget(repeats, forward.repeat, forward.rank, multiplies, now):
        return Reject(Reason.RETRIES_SPENT, MIN_RETRY_AFTER_S)
    return decide_backlog(backlog, forward, now)


def makes_calls(backlog: BacklogState, rank: int) -> bool:
    """Tell whether the target calls other services for requests of a kind."""
    return backlog["lanes"][kind_of(rank)]["calls_per_run"] > LEAF_CALLS_PER_RUN


def decide_backlog(backlog: BacklogState, forward: Forward, now: float) -> BacklogDecision:
    """Return whether a request starts, waits or is rejected.

    Only requests of the same or a higher rank are ahead of it, so important work waits less and is
    rejected last. A rank with a lower number is more important.
    """
    if backlog["stopped"] or backlog["draining"]:
        return Reject(Reason.DRAINING, MIN_RETRY_AFTER_S)
    if backlog["blocked"]:
        return Reject(Reason.NOT_READY, MIN_RETRY_AFTER_S)
    kind = kind_of(forward.rank)
    lane = backlog["lanes"][kind]
    if has_room(backlog, lane) and not lane["waiting"]:
        return StartNow()
    if len(backlog["tickets"]) >= MAX_WAITING_PER_SLOT * backlog["slots"]:
        return Reject(Reason.QUEUE_FULL, retry_after_s(backlog, lane))
    if wait_for_rank_s(backlog, forward.rank) > forward.patience_s:
        return Reject(Reason.QUEUE_FULL, retry_after_s(backlog, lane))
    return Wait(now + forward.patience_s)


def has_room(backlog: BacklogState, lane: Lane) -> bool:
    """Tell whether one more request of a kind may be at the target."""
    return backlog["in_flight"] < backlog["slots"] and lane["in_flight"] < int(lane["limit"])


def wait_for_rank_s(backlog: BacklogState, rank: int) -> float:
    """Return how long a request of a rank would wait for a slot."""
    lane = backlog["lanes"][kind_of(rank)]
    ahead = 1
    for other, count in lane["by_rank"].items():
        if other <= rank:
            ahead += count
    return ahead * lane["mean_s"] / room_of(backlog, lane)


def room_of(backlog: BacklogState, lane: Lane) -> float:
    """Return how many requests of a kind can be at the target beside those of other kinds."""
    others = backlog["in_flight"] - lane["in_flight"]
    return max(1.0, min(lane["limit"], float(backlog["slots"] - others)))


def retry_after_s(backlog: BacklogState, lane: Lane) -> float:
    """Return after which time the requests that wait now will have started."""
    queued = sum(lane["by_rank"].values())
    wait_s = (queued + 1) * lane["mean_s"] / room_of(backlog, lane)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def next_waiting(backlog: BacklogState) -> WaitingForward | None:
    """Return the request that starts next, or None when nothing may start."""
    best: tuple[int, int] | None = None
    for lane in backlog["lanes"].values():
        if not lane["waiting"] or not has_room(backlog, lane):
            continue
        if best is None or lane["waiting"][0] < best:
            best = lane["waiting"][0]
    return None if best is None else backlog["tickets"][best[1]]


def has_stale_head(backlog: BacklogState, lane: Lane) -> bool:
    """Tell whether the first place of a lane belongs to a request that no longer waits."""
    return bool(lane["waiting"]) and lane["waiting"][0][1] not in backlog["tickets"]


def expired_waiting(backlog: BacklogState, now: float) -> tuple[WaitingForward, ...]:
    """Return the requests whose time in the queue is over."""
    return tuple(one for one in backlog["tickets"].values() if now >= one.expires_at)


def limit_after(backlog: BacklogState, lane: Lane, is_good: bool, now: float) -> float:
    """Return the limit of a lane after one more answer, which came in good time or not.

    The time includes the calls that the target makes, so the limit also falls when a service behind
    the target is the bottleneck: then the work waits here, where nothing has run yet.
    """
    limit = lane["limit"]
    may_raise = lane["late_share"] <= LATE_SHARE_TO_RAISE
    if is_good and may_raise and lane["shed_share"] <= SHED_SHARE_TO_RAISE:
        return min(float(backlog["slots"]), limit + 1.0 / max(1.0, limit))
    if is_good or lane["late_share"] < LATE_SHARE_TO_LOWER:
        return limit
    return lowered_limit(backlog, lane, now)


def limit_after_shed(backlog: BacklogState, lane: Lane, now: float) -> float:
    """Return the limit of a lane after a run that failed for want of room further on."""
    if lane["shed_share"] < SHED_SHARE_TO_LOWER:
        return lane["limit"]
    return lowered_limit(backlog, lane, now)


def lowered_limit(backlog: BacklogState, lane: Lane, now: float) -> float:
    """Return the next lower limit of a lane, unless it was lowered a moment ago."""
    limit = lane["limit"]
    if now - lane["lowered_at"] < LOWERING_INTERVAL_S:
        return limit
    # Slots that are free say nothing of a lower limit, so it starts from those in use.
    used = min(limit, float(lane["in_flight"]) + 1.0)
    return min(limit, max(1.0, MIN_NEW_SHARE * backlog["slots"], used * LOWERING_FACTOR))


def is_good_time(forward: Forward, duration_s: float) -> bool:
    """Tell whether an answer came early enough to have its full value."""
    return duration_s <= GOOD_SHARE * forward.good_within_s


def tells_duration(backlog: BacklogState, forward: Forward, status: int, duration_s: float) -> bool:
    """Tell whether an answer says how long the target takes.

    A target that fails at once must not look fast. One that reaches the deadline would have taken
    even longer, unless the deadline came sooner than its answers usually do.
    """
    if status < STATUS_SERVER_ERROR:
        return True
    lane = backlog["lanes"][kind_of(forward.rank)]
    return status == STATUS_TIMEOUT and duration_s >= lane["mean_s"]


def is_answer_overdue(
    backlog: BacklogState, forward: Forward, started_at: float, deadline: float, now: float
) -> bool:
    """Tell whether the answer to a request is probably lost, while another run could still answer.

    A target that ran a request and whose answer was lost says nothing. The request would keep its
    slot here until its deadline, and so would the request that it was made for.
    """
    lane = backlog["lanes"][kind_of(forward.rank)]
    if not forward.repeatable or lane["answers"] < MIN_ANSWERS:
        return False
    mean_s = lane["mean_s"]
    if now - started_at < max(MIN_OVERDUE_S, OVERDUE_FACTOR * mean_s):
        return False
    return deadline - now > mean_s


def load_report(backlog: BacklogState) -> LoadReport:
    """Return what other nodes are told of the queue."""
    new = backlog["lanes"][WorkKind.NEW]
    new_wait_s = 0.0
    if new["waiting"]:
        new_wait_s = (sum(new["by_rank"].values()) + 1) * new["mean_s"] / room_of(backlog, new)
    in_flight = max(1, backlog["in_flight"])
    mean_s = 0.0
    for lane in backlog["lanes"].values():
        mean_s += lane["mean_s"] * lane["in_flight"] / in_flight
    return LoadReport(
        backlog["in_flight"],
        len(backlog["tickets"]),
        backlog["slots"],
        mean_s or min(lane["mean_s"] for lane in backlog["lanes"].values()),
        new_wait_s,
    )

"""Chooses the target that takes a call: near ones first, further ones when callers gain by it."""

from collections.abc import Iterable
from random import Random

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import (
    Candidate,
    DistantTarget,
    FleetState,
    NodePlace,
    NoTarget,
    SendToNode,
    SendToOwnTarget,
    TargetChoice,
    TargetEntry,
    TargetView,
)
from jacinthsail.internal.model.membership import Distance
from jacinthsail.internal.model.request_state import Exchange
from jacinthsail.internal.model.target_queue import WorkKind
from jacinthsail.internal.queries.fleet_view import failing_share
from jacinthsail.internal.queries.target_queue import kind_of

# What a call must gain to go further, as a share of the time in which an answer has its full value.
# Links between failure domains and regions are slow and billed by volume, and a failure that all
# targets share looks a little better or worse at each of them.
DISTANCE_COST = {
    Distance.OWN_DOMAIN: 0.0,
    Distance.OWN_REGION: 0.15,
    Distance.OTHER_REGION: 0.6,
}

# A target in the own failure domain is good enough while its answer is expected within this share
# of the time in which it has its full value. Several nested calls share the time of one request, so
# each may use less.
NEAR_SHARE = {WorkKind.NEW: 0.6, WorkKind.NESTED: 0.3}

# What a call that fails costs its caller, as a share of the same time. It is more than the cost of
# any distance, so that a target that fails every call is left, but little enough that calls stay
# nearby while a failure is shared by all targets.
FAILING_COST = 0.7

# A report older than this says little of the queue, so calls may probe the target again.
REPORT_VALID_S = 0.5

# Assumed of a target that has not reported yet.
DEFAULT_MEAN_S = 0.05

# Without any target the list of targets may change within its usual delay.
RETRY_WITHOUT_TARGET_S = 0.5

# Expected waits closer than this are treated as equal, so that nodes do not all choose one target.
EQUAL_WAIT_S = 0.005


def choose_target(
    fleet: FleetState, place: NodePlace, exchange: Exchange, now: float, random: Random
) -> TargetChoice:
    """Return where a request goes next."""
    kind = kind_of(exchange["rank"])
    target_latency_s = exchange["route"].target_latency_s
    enough_s = NEAR_SHARE[kind] * target_latency_s
    best: Candidate | None = None
    suspected: list[Candidate] = []
    groups = fleet["by_service"].get(exchange["service"], {})
    for distance in Distance:
        usable = candidates_among(
            fleet, place, exchange, groups.get(distance, ()), suspected, kind, now
        )
        nearest = soonest(usable, random)
        if nearest is None:
            continue
        if distance is Distance.OWN_DOMAIN and nearest.expected_s <= enough_s:
            return choice_of(nearest)
        if best is None or cost_s(nearest, target_latency_s) < cost_s(best, target_latency_s):
            best = nearest
    if best is None:
        # Refusing everything because all targets failed once would outlast the fault.
        best = min(suspected, key=lambda one: cost_s(one, target_latency_s), default=None)
    if best is None:
        return NoTarget(Reason.NO_TARGET, RETRY_WITHOUT_TARGET_S)
    return choice_of(best)


def choice_of(candidate: Candidate) -> TargetChoice:
    """Return the choice that leads to a candidate."""
    if candidate.is_own:
        return SendToOwnTarget(candidate.entry)
    return SendToNode(candidate.entry)


def cost_s(candidate: Candidate, target_latency_s: float) -> float:
    """Return the expected time with what the distance costs beside it."""
    return candidate.expected_s + DISTANCE_COST[candidate.distance] * target_latency_s


def soonest(group: list[Candidate], random: Random) -> Candidate | None:
    """Return the candidate that answers soonest, any of those that are about equal."""
    if not group:
        return None
    best_s = min(candidate.expected_s for candidate in group)
    equal = [one for one in group if one.expected_s <= best_s + EQUAL_WAIT_S]
    return equal[0] if len(equal) == 1 else random.choice(equal)


def candidates_among(
    fleet: FleetState,
    place: NodePlace,
    exchange: Exchange,
    entries: Iterable[DistantTarget],
    suspected: list[Candidate],
    kind: WorkKind,
    now: float,
) -> list[Candidate]:
    """Return the targets that may take the request; those under suspicion go to another list."""
    usable = []
    is_bound = len(exchange["offered"]) >= exchange["route"].max_attempts
    for entry, distance in entries:
        if entry.leaving or entry.incarnation in exchange["tried"]:
            continue
        if is_bound and entry.incarnation not in exchange["offered"]:
            continue
        view = fleet["views"][entry.incarnation]
        if now < view["draining_until"]:
            continue
        wait_s = expected_wait_s(view, entry, kind, now)
        expected_s = wait_s + (view["report"].mean_s or DEFAULT_MEAN_S)
        if view["failing"]:
            failing_s = FAILING_COST * exchange["route"].target_latency_s
            expected_s += failing_share(view, now) * failing_s
        candidate = Candidate(entry, distance, entry.host == place.host, expected_s)
        if now < view["suspected_until"]:
            suspected.append(candidate)
            continue
        usable.append(candidate)
    return usable


def expected_wait_s(view: TargetView, entry: TargetEntry, kind: WorkKind, now: float) -> float:
    """Return how long a call would wait for a slot, from the last report and the calls since."""
    report = view["report"]
    limit = report.limit or entry.slots
    load = view["in_flight"]
    new_wait_s = 0.0
    if now - view["reported_at"] <= REPORT_VALID_S:
        load = max(load, report.in_flight + report.queued)
        new_wait_s = report.new_wait_s if kind is WorkKind.NEW else 0.0
    wait_s = max(0, load + 1 - limit) * (report.mean_s or DEFAULT_MEAN_S) / max(1, limit)
    return max(wait_s, new_wait_s)


def failing_elsewhere(fleet: FleetState, exchange: Exchange, now: float) -> float:
    """Return the share of calls that the best target fails that was not asked yet."""
    least = 1.0
    for entries in fleet["by_service"].get(exchange["service"], {}).values():
        for entry, _ in entries:
            if entry.leaving or entry.incarnation in exchange["tried"]:
                continue
            least = min(least, failing_share(fleet["views"][entry.incarnation], now))
    return least

"""Chooses the target of a call: nearby ones first, distant ones if they respond sooner."""

from collections.abc import Iterable
from random import Random

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import (
    Candidate,
    FleetState,
    KindLoad,
    LoadReport,
    NodeLocation,
    NoTarget,
    SendToLocalTarget,
    SendToNode,
    TargetAtDistance,
    TargetChoice,
    TargetView,
)
from jacinthsail.internal.model.membership import Distance
from jacinthsail.internal.model.request_state import RequestState
from jacinthsail.internal.model.work import WorkKind
from jacinthsail.internal.queries.fleet_view import failure_rate
from jacinthsail.internal.queries.target_queue import work_kind

# Cost of the distance as a share of the target latency; a distant target must be faster by more
# than this. Links between failure domains and regions are slow and billed by volume, and during a
# failure that all targets share, their failure rates still differ slightly.
DISTANCE_COST = {
    Distance.OWN_DOMAIN: 0.0,
    Distance.OWN_REGION: 0.15,
    Distance.OTHER_REGION: 0.6,
}

# A target in the own failure domain is chosen without comparison while its response is expected
# within this share of the target latency. Several nested calls share the time of one request, so
# each may use less.
NEARBY_TIME_SHARE = {WorkKind.NEW: 0.6, WorkKind.NESTED: 0.3}

# Cost of a failed call as a share of the target latency. It exceeds the cost of any distance, so
# that a target that fails every call is avoided, but is low enough that calls stay nearby while all
# targets share a failure.
FAILURE_COST = 0.7

# An older load report no longer describes the queue, so calls may probe the target again.
REPORT_VALID_S = 0.5

# Time in which a change of the list of targets usually arrives.
RETRY_WITHOUT_TARGET_S = 0.5

# Load reports are up to REPORT_VALID_S old. If every node chose the best target of a group, all of
# them would choose the same one until its next report, so each compares only this many random ones.
SAMPLED_TARGETS = 2

# Expected times that differ by less than this count as equal, so that nodes do not all choose the
# same target.
WAIT_TOLERANCE_S = 0.005


def choose_target(
    fleet: FleetState,
    location: NodeLocation,
    request_state: RequestState,
    now: float,
    random: Random,
) -> TargetChoice:
    """Return the target of a request's next attempt."""
    kind = work_kind(request_state["rank"])
    target_latency_s = request_state["route"].target_latency_s
    nearby_limit_s = NEARBY_TIME_SHARE[kind] * target_latency_s
    best: Candidate | None = None
    suspected: list[Candidate] = []
    groups = fleet["by_service"].get(request_state["service"], {})
    for distance in Distance:
        usable = usable_candidates(
            fleet, location, request_state, groups.get(distance, ()), suspected, kind, now
        )
        fastest = fastest_candidate(sampled_candidates(usable, random), random)
        if fastest is None:
            continue
        if distance is Distance.OWN_DOMAIN and fastest.expected_s > nearby_limit_s:
            fastest = fastest_candidate(usable, random) or fastest
        if distance is Distance.OWN_DOMAIN and fastest.expected_s <= nearby_limit_s:
            return choice_for(fastest)
        if best is None or cost_s(fastest, target_latency_s) < cost_s(best, target_latency_s):
            best = fastest
    if best is None:
        # Refusing all requests because every target failed once would prolong the outage.
        best = min(
            suspected, key=lambda candidate: cost_s(candidate, target_latency_s), default=None
        )
    if best is None:
        return NoTarget(Reason.NO_TARGET, RETRY_WITHOUT_TARGET_S)
    return choice_for(best)


def choice_for(candidate: Candidate) -> TargetChoice:
    """Return the choice for a candidate: the local target, or the node beside another target."""
    if candidate.is_local:
        return SendToLocalTarget(candidate.entry)
    return SendToNode(candidate.entry)


def cost_s(candidate: Candidate, target_latency_s: float) -> float:
    """Return the expected response time of a candidate plus the cost of its distance."""
    return candidate.expected_s + DISTANCE_COST[candidate.distance] * target_latency_s


def sampled_candidates(group: list[Candidate], random: Random) -> list[Candidate]:
    """Return random candidates of a group, or all of a small group."""
    if len(group) <= SAMPLED_TARGETS:
        return group
    return random.sample(group, SAMPLED_TARGETS)


def fastest_candidate(group: list[Candidate], random: Random) -> Candidate | None:
    """Return the candidate with the shortest expected time, chosen randomly among near equals."""
    if not group:
        return None
    best_s = min(candidate.expected_s for candidate in group)
    near_equal = [near for near in group if near.expected_s <= best_s + WAIT_TOLERANCE_S]
    return near_equal[0] if len(near_equal) == 1 else random.choice(near_equal)


def usable_candidates(
    fleet: FleetState,
    location: NodeLocation,
    request_state: RequestState,
    entries: Iterable[TargetAtDistance],
    suspected: list[Candidate],
    kind: WorkKind,
    now: float,
) -> list[Candidate]:
    """Return the targets that may receive the request; appends suspected ones to ``suspected``."""
    usable = []
    is_at_attempt_limit = (
        len(request_state["attempted_targets"]) >= request_state["route"].max_attempts
    )
    for entry, distance in entries:
        if entry.is_draining or entry.incarnation in request_state["excluded_targets"]:
            continue
        if is_at_attempt_limit and entry.incarnation not in request_state["attempted_targets"]:
            continue
        view = fleet["views"][entry.incarnation]
        if now < view["draining_until"]:
            continue
        load = load_of(view["report"], kind)
        expected_s = expected_wait_s(view, load, now) + load.duration_s
        if view["mean_failure_rate"]:
            failing_s = FAILURE_COST * request_state["route"].target_latency_s
            expected_s += failure_rate(view, now) * failing_s
        candidate = Candidate(entry, distance, entry.host == location.host, expected_s)
        if now < view["suspected_until"]:
            suspected.append(candidate)
            continue
        usable.append(candidate)
    return usable


def load_of(report: LoadReport, kind: WorkKind) -> KindLoad:
    """Return the part of a load report that concerns one kind of request."""
    return report.new if kind is WorkKind.NEW else report.nested


def expected_wait_s(view: TargetView, load: KindLoad, now: float) -> float:
    """Return the expected wait for a slot, from the last report and the calls sent since."""
    report = view["report"]
    limit = max(1, report.limit)
    if now - view["reported_at"] > REPORT_VALID_S:
        return max(0, view["in_flight"] + 1 - limit) * load.duration_s / limit
    sent = view["sent_since_report"]
    beyond_limit = report.in_flight + report.queued + sent + 1 - limit
    return load.wait_s + max(0, min(sent, beyond_limit)) * load.duration_s / limit


def failure_rate_elsewhere(fleet: FleetState, request_state: RequestState, now: float) -> float:
    """Return the lowest failure rate among the targets that were not attempted yet."""
    least = 1.0
    for entries in fleet["by_service"].get(request_state["service"], {}).values():
        for entry, _ in entries:
            if entry.is_draining or entry.incarnation in request_state["excluded_targets"]:
                continue
            least = min(least, failure_rate(fleet["views"][entry.incarnation], now))
    return least

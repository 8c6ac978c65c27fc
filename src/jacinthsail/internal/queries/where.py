"""Says where a request would go now, with the functions that decide about real requests.

It changes nothing: the random numbers are a copy of the node's, and no split position, token or
budget is used up.
"""

from random import Random
from typing import NamedTuple

from jacinthsail.internal.model.accounts import Account
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.caps import CapHome
from jacinthsail.internal.model.fleet import (
    Candidate,
    FleetState,
    NodeLocation,
    NoTarget,
    SendToLocalTarget,
    TargetAtDistance,
)
from jacinthsail.internal.model.request_state import (
    AcceptRequest,
    ForwardedRequest,
    RequestInfo,
    RequestState,
    RespondLocally,
)
from jacinthsail.internal.model.retry_budget import RetryKind, TargetRetryBudget
from jacinthsail.internal.model.statuses import STATUS_NOT_RUN, STATUS_UNAUTHORIZED
from jacinthsail.internal.model.target_queue import QueueRequest, RejectRequest, TargetQueue
from jacinthsail.internal.model.where import CandidateFigures, WhereAnswer, WhereQuestion
from jacinthsail.internal.queries.accounts import effective_priority
from jacinthsail.internal.queries.caps import home_of
from jacinthsail.internal.queries.fleet_view import manifest_version
from jacinthsail.internal.queries.lineage import new_request_rank
from jacinthsail.internal.queries.manifest_routes import decide_entry
from jacinthsail.internal.queries.new_requests import new_request_state
from jacinthsail.internal.queries.next_steps import is_repeatable
from jacinthsail.internal.queries.queue_wait import latency_goal_s, max_queue_wait_s
from jacinthsail.internal.queries.target_choice import (
    choose_target,
    expected_wait_s,
    load_of,
    usable_candidates,
)
from jacinthsail.internal.queries.target_queue import decide_arrival, work_kind


class NodeView(NamedTuple):
    """What a node knows when it answers; ``random`` is a copy that may be used up."""

    fleet: FleetState
    location: NodeLocation
    queue: TargetQueue
    retry_budget: TargetRetryBudget
    cap_home: CapHome
    knowledge_age_s: float
    is_key_proven: bool
    random: Random


def answer_where(question: WhereQuestion, view: NodeView, now: float) -> WhereAnswer:
    """Return where a request would go that a caller sent to this node now."""
    info = RequestInfo(
        request_id="",
        parent_id="",
        method="",
        url=question.path.encode(),
        host=question.host.lower(),
        path=question.path,
        remaining_time_s=question.remaining_time_s,
    )
    decision = decide_entry(view.fleet, info, now)
    if isinstance(decision, AcceptRequest):
        decision = _identify(decision, question.account, view)
    if isinstance(decision, RespondLocally):
        return _refusal(decision, question, view)
    return _accepted(decision, info, view, now)


def _identify(accepted: AcceptRequest, name: str, view: NodeView) -> AcceptRequest | RespondLocally:
    """Return the decision with the named account; its keys are not known here."""
    manifest = view.fleet["manifest"]
    if manifest is None or manifest.accounts is None or accepted.route.is_public:
        return accepted
    if not name:
        return RespondLocally(STATUS_UNAUTHORIZED, Reason.ACCOUNT_KEY_MISSING, 0.0)
    if not view.is_key_proven:
        return RespondLocally(STATUS_NOT_RUN, Reason.KEYS_NOT_PROVEN, 0.0)
    account = manifest.accounts.by_name.get(name)
    if account is None:
        return RespondLocally(STATUS_UNAUTHORIZED, Reason.ACCOUNT_KEY_UNKNOWN, 0.0)
    return accepted._replace(account=account)


def _empty_answer(view: NodeView, account: str) -> WhereAnswer:
    age_s = view.knowledge_age_s
    return WhereAnswer(
        manifest=f"{manifest_version(view.fleet):08x}",
        route="",
        kind="",
        service="",
        account=account,
        cap_per_s=None,
        cap_home="",
        rank=None,
        decision="send",
        status=0,
        retry_after_s=0.0,
        chosen="",
        admission="",
        attempts_left=0,
        knowledge_age_s=round(age_s, 3) if age_s != float("inf") else None,
        candidates=[],
    )


def _refusal(refusal: RespondLocally, question: WhereQuestion, view: NodeView) -> WhereAnswer:
    answer = _empty_answer(view, question.account)
    answer["decision"] = refusal.reason.value
    answer["status"] = refusal.status
    answer["retry_after_s"] = refusal.retry_after_s
    return answer


def _accepted(
    accepted: AcceptRequest, info: RequestInfo, view: NodeView, now: float
) -> WhereAnswer:
    request_state = _request_state(accepted, info, now)
    answer = _empty_answer(view, "" if accepted.account is None else accepted.account.name)
    answer["route"] = accepted.route.name
    answer["kind"] = accepted.route.execution.value
    answer["service"] = accepted.service
    answer["rank"] = request_state["rank"]
    answer["attempts_left"] = accepted.route.max_attempts
    _add_cap(answer, accepted.account, view)
    answer["candidates"] = _candidates(request_state, view, now)
    choice = choose_target(view.fleet, view.location, request_state, now, view.random)
    if isinstance(choice, NoTarget):
        answer["decision"] = choice.reason.value
        answer["status"] = STATUS_NOT_RUN
        answer["retry_after_s"] = choice.retry_after_s
        return answer
    answer["chosen"] = choice.entry.incarnation
    if isinstance(choice, SendToLocalTarget):
        answer["admission"] = _admission(request_state, choice.entry.incarnation, view, now)
    return answer


def _add_cap(answer: WhereAnswer, account: Account | None, view: NodeView) -> None:
    if account is None or account.cap is None:
        return
    answer["cap_per_s"] = account.cap.rate_per_s
    answer["cap_home"] = home_of(account.name, view.cap_home["hosts"]) or ""


def _request_state(accepted: AcceptRequest, info: RequestInfo, now: float) -> RequestState:
    return new_request_state(
        info,
        accepted.route,
        accepted.service,
        new_request_rank(effective_priority(accepted.route, accepted.account)),
        now,
        accepted.deadline,
    )


def _candidates(request_state: RequestState, view: NodeView, now: float) -> list[CandidateFigures]:
    figures = []
    for group in view.fleet["by_service"].get(request_state["service"], {}).values():
        for at_distance in group:
            figures.append(_figures(at_distance, request_state, view, now))
    return sorted(figures, key=lambda one: (bool(one["left_out"]), one["expected_ms"]))


def _figures(
    at_distance: TargetAtDistance, request_state: RequestState, view: NodeView, now: float
) -> CandidateFigures:
    entry, distance = at_distance
    target_view = view.fleet["views"][entry.incarnation]
    kind = work_kind(request_state["rank"])
    load = load_of(target_view["report"], kind)
    reported_at = target_view["reported_at"]
    return CandidateFigures(
        target=entry.incarnation,
        vm=entry.host,
        failure_domain=entry.failure_domain,
        distance=distance.value,
        expected_ms=round(1000 * (expected_wait_s(target_view, load, now) + load.duration_s), 1),
        report_age_s=None if reported_at == float("-inf") else round(now - reported_at, 3),
        in_flight_from_here=target_view["in_flight"],
        left_out=_left_out(at_distance, request_state, view, now),
    )


def _left_out(
    at_distance: TargetAtDistance, request_state: RequestState, view: NodeView, now: float
) -> str:
    """Return why the choice passes over a target, by asking the choice itself about it alone."""
    suspected: list[Candidate] = []
    usable = usable_candidates(
        view.fleet,
        view.location,
        request_state,
        (at_distance,),
        suspected,
        work_kind(request_state["rank"]),
        now,
    )
    if usable:
        return ""
    if suspected:
        return "unreachable or not ready a moment ago"
    return "leaving" if at_distance.entry.is_draining else "its node is stopping"


def _admission(request_state: RequestState, incarnation: str, view: NodeView, now: float) -> str:
    forwarded = ForwardedRequest(
        request_id="",
        method="",
        url=b"",
        service=request_state["service"],
        incarnation=incarnation,
        repeatable=is_repeatable(request_state),
        retry_kind=RetryKind.NONE,
        rank=request_state["rank"],
        remaining_s=max(0.0, request_state["deadline"] - now),
        max_queue_wait_s=max_queue_wait_s(request_state, now),
        latency_goal_s=latency_goal_s(request_state),
        head_lines=b"",
        body=b"",
    )
    decision = decide_arrival(view.queue, view.retry_budget, forwarded, now)
    if isinstance(decision, RejectRequest):
        return f"rejected: {decision.reason.value}"
    return "queued" if isinstance(decision, QueueRequest) else "started"


def describe_where(answer: WhereAnswer) -> tuple[str, ...]:
    """Return the answer as lines of text."""
    lines = []
    if answer["decision"] != "send":
        lines.append(
            f"refused with {answer['status']}: {answer['decision']},"
            f" retry after {answer['retry_after_s']:.1f} s"
        )
    else:
        lines.append(f"sent to {answer['chosen']} {answer['admission']}".rstrip())
    lines.append(
        f"route {answer['route'] or 'none'} ({answer['kind'] or 'unknown kind'}),"
        f" service {answer['service'] or 'none'}, rank {answer['rank']},"
        f" up to {answer['attempts_left']} targets; manifest {answer['manifest']}"
    )
    if answer["account"]:
        cap = "no cap" if answer["cap_per_s"] is None else f"cap {answer['cap_per_s']:g}/s"
        lines.append(f"account {answer['account']}: {cap} {answer['cap_home']}".rstrip())
    for one in answer["candidates"]:
        age = "no report" if one["report_age_s"] is None else f"report {one['report_age_s']} s old"
        reason = f"; left out: {one['left_out']}" if one["left_out"] else ""
        lines.append(
            f"  {one['target']} at {one['vm']} ({one['distance']}): expected"
            f" {one['expected_ms']} ms, {one['in_flight_from_here']} in flight from here,"
            f" {age}{reason}"
        )
    return tuple(lines)

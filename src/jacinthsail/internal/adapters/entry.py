"""Serves the requests of callers: routes them, sends them and passes the answer back."""

import asyncio
from collections.abc import Callable
from functools import singledispatch
from random import Random
from typing import Protocol

from returns.result import Failure, Result, Success

from jacinthsail.errors import MalformedMessage
from jacinthsail.internal.adapters.decision_log import log_request
from jacinthsail.internal.adapters.http_server import (
    HttpRequest,
    HttpResponse,
    RequestHandle,
    Respond,
)
from jacinthsail.internal.adapters.local_target import OwnTarget
from jacinthsail.internal.adapters.peer_links import PeerLinks
from jacinthsail.internal.adapters.request_metrics import RequestMetrics
from jacinthsail.internal.commands.fleet import (
    advance_split,
    record_call_end,
    record_call_sent,
    record_node_not_ready,
    record_node_stops,
    record_target_outcome,
    record_target_unreachable,
)
from jacinthsail.internal.commands.lineage import record_nested_call, record_shed_call
from jacinthsail.internal.commands.request_state import (
    record_failed_answer,
    record_failure,
    record_refusal,
    record_repeat,
    record_send,
    record_target_refusal,
)
from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.fleet import (
    FleetState,
    NodePlace,
    NoTarget,
    SendToNode,
    SendToOwnTarget,
    TargetEntry,
)
from jacinthsail.internal.model.lineage import LineageState
from jacinthsail.internal.model.request_state import (
    AnswerHere,
    Begin,
    Deliver,
    Exchange,
    Forward,
    ForwardOutcome,
    GiveUp,
    RequestFacts,
    SendAgain,
    TargetAnswer,
)
from jacinthsail.internal.model.retry_budget import Repeat
from jacinthsail.internal.model.statuses import STATUS_TIMEOUT
from jacinthsail.internal.queries.fleet_view import manifest_version
from jacinthsail.internal.queries.lineage import parent_of, rank_on_arrival
from jacinthsail.internal.queries.manifest_routes import decide_entry
from jacinthsail.internal.queries.next_steps import (
    NO_ROOM_REASONS,
    REFUSED_BY_TARGET,
    REPEATED_STATUSES,
    after_not_run,
    is_fault_of_target,
    is_repeatable,
    next_step,
)
from jacinthsail.internal.queries.queue_wait import good_within_s, patience_s
from jacinthsail.internal.queries.target_choice import choose_target, failing_elsewhere

# A target answers at the deadline that it was told; its answer needs some time to arrive here.
DEADLINE_SLACK_S = 0.12

STATUS_BAD_REQUEST = 400

_UNREACHABLE = frozenset({Reason.PEER_UNREACHABLE, Reason.TARGET_UNREACHABLE})


class CallerDialect(Protocol):
    """How requests and answers look on the connections of callers."""

    def facts_of(self, request: HttpRequest) -> Result[RequestFacts, MalformedMessage]:
        """Return what the decisions need of a request."""

    def head_lines(self, request: HttpRequest, caller_service: str) -> bytes:
        """Return the header lines that the target gets."""

    def own_answer(self, facts: RequestFacts | None, status: int, retry_after_s: float) -> bytes:
        """Return the header lines of an answer that this node makes by itself."""


class Entry:
    """The requests that entered at this node."""

    def __init__(
        self,
        fleet: FleetState,
        lineage: LineageState,
        place: NodePlace,
        dialect: CallerDialect,
        own_target: OwnTarget,
        links: PeerLinks,
        metrics: RequestMetrics,
        random: Random,
    ) -> None:
        self.fleet = fleet
        self.lineage = lineage
        self.place = place
        self.dialect = dialect
        self.own_target = own_target
        self.links = links
        self.metrics = metrics
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.open: set[OpenRequest] = set()

    def serve(self, request: HttpRequest, respond: Respond) -> RequestHandle | None:
        """Serve one request; ``respond`` is called once, unless the caller goes away."""
        now = self.loop.time()
        match self.dialect.facts_of(request):
            case Success(facts):
                return self._begin(request, facts, respond, now)
            case Failure(error):
                log_request("refused", "", Reason.MALFORMED_REQUEST, now, detail=error.detail)
                self.metrics.count("", STATUS_BAD_REQUEST, Reason.MALFORMED_REQUEST, 0.0)
                head_lines = self.dialect.own_answer(None, STATUS_BAD_REQUEST, 0.0)
                respond(HttpResponse(STATUS_BAD_REQUEST, head_lines, b""))
        return None

    def _begin(
        self, request: HttpRequest, facts: RequestFacts, respond: Respond, now: float
    ) -> RequestHandle | None:
        decision = decide_entry(self.fleet, facts, now)
        if isinstance(decision, AnswerHere):
            parent = parent_of(self.lineage, facts.parent_id)
            if parent is not None and decision.reason is Reason.NOT_READY:
                # Whatever the target runs now fails at its first call.
                self.own_target.block()
            log_request(
                "refused",
                facts.request_id,
                decision.reason,
                now,
                status=decision.status,
                parent="" if parent is None else parent["request_id"],
            )
            self.metrics.count("", decision.status, decision.reason, 0.0)
            head_lines = self.dialect.own_answer(facts, decision.status, decision.retry_after_s)
            respond(HttpResponse(decision.status, head_lines, b""))
            return None
        advance_split(self.fleet, decision.route)
        opened = OpenRequest(self, request, facts, decision, respond, now)
        self.open.add(opened)
        opened.send(now)
        return opened


class OpenRequest:
    """One request of a caller that has no answer yet."""

    __slots__ = ("entry", "request", "exchange", "respond", "handle", "timer", "head_lines")

    def __init__(
        self,
        entry: Entry,
        request: HttpRequest,
        facts: RequestFacts,
        begin: Begin,
        respond: Respond,
        now: float,
    ) -> None:
        self.entry = entry
        self.request = request
        self.head_lines = entry.dialect.head_lines(request, entry.place.service)
        self.respond: Callable[[HttpResponse], None] | None = respond
        self.handle: RequestHandle | None = None
        parent = parent_of(entry.lineage, facts.parent_id)
        if parent is not None:
            record_nested_call(parent)
        self.exchange = Exchange(
            facts=facts,
            route=begin.route,
            service=begin.service,
            arrived_at=now,
            deadline=begin.deadline,
            tried=set(),
            rank=rank_on_arrival(parent, begin.route.priority),
            parent_id="" if parent is None else parent["request_id"],
            offered=set(),
            bounces=0,
            refusals=0,
            current="",
            unsettled=False,
            repeat=Repeat.INHERITED if parent is not None and parent["is_repeat"] else Repeat.NONE,
            failed_answer=None,
        )
        self.timer = entry.loop.call_at(begin.deadline + DEADLINE_SLACK_S, self.on_deadline)

    def send(self, now: float) -> None:
        """Send the request to the target that is best now."""
        entry = self.entry
        choice = choose_target(entry.fleet, entry.place, self.exchange, now, entry.random)
        if isinstance(choice, NoTarget):
            _follow(after_not_run(choice.reason, self.exchange, choice.retry_after_s), self, now)
            return
        target = choice.entry
        record_send(self.exchange, target.incarnation)
        record_call_sent(entry.fleet, target)
        forward = self._forward(target, now)
        if isinstance(choice, SendToOwnTarget):
            handle: RequestHandle = entry.own_target.submit(forward, self.on_outcome)
        else:
            assert isinstance(choice, SendToNode)
            handle = entry.links.send(target.host, forward, self.on_outcome)
        if self.exchange["current"] == target.incarnation and self.respond is not None:
            self.handle = handle

    def _forward(self, target: TargetEntry, now: float) -> Forward:
        exchange = self.exchange
        return Forward(
            request_id=exchange["facts"].request_id,
            method=self.request.method,
            url=self.request.url,
            service=exchange["service"],
            incarnation=target.incarnation,
            repeatable=is_repeatable(exchange),
            repeat=exchange["repeat"],
            rank=exchange["rank"],
            remaining_s=max(0.0, exchange["deadline"] - now),
            patience_s=patience_s(exchange, now),
            good_within_s=good_within_s(exchange),
            head_lines=self.head_lines,
            body=self.request.body,
        )

    def on_outcome(self, outcome: ForwardOutcome) -> None:
        """Continue after one send."""
        now = self.entry.loop.time()
        incarnation = self.exchange["current"]
        self.handle = None
        record_call_end(self.entry.fleet, incarnation)
        if self.respond is None:
            return
        _record(outcome, self, incarnation, now)
        failing = failing_elsewhere(self.entry.fleet, self.exchange, now)
        _follow(next_step(outcome, self.exchange, failing, now), self, now)

    def give_up(self, step: GiveUp, now: float) -> None:
        """Answer the caller without a target."""
        head_lines = self.entry.dialect.own_answer(
            self.exchange["facts"], step.status, step.retry_after_s
        )
        self.finish(HttpResponse(step.status, head_lines, b""), step.reason, now)
        if step.reason in NO_ROOM_REASONS:
            self.mark_parent_shed()

    def mark_parent_shed(self) -> None:
        """Tell the run that made this call that it was refused for want of room."""
        parent = parent_of(self.entry.lineage, self.exchange["parent_id"])
        if parent is not None:
            record_shed_call(parent)

    def finish(self, response: HttpResponse, reason: Reason, now: float) -> None:
        """Write the final answer, once."""
        respond = self.respond
        if respond is None:
            return
        self._close(now, response.status, reason)
        respond(response)

    def _close(self, now: float, status: int, reason: Reason) -> None:
        exchange = self.exchange
        self.respond = None
        self.timer.cancel()
        self.entry.open.discard(self)
        took_s = now - exchange["arrived_at"]
        self.entry.metrics.count(exchange["route"].name, status, reason, took_s)
        log_request(
            "finished",
            exchange["facts"].request_id,
            reason,
            now,
            is_routine=200 <= status < 300,
            status=status,
            route=exchange["route"].name,
            service=exchange["service"],
            offered=len(exchange["offered"]),
            rank=exchange["rank"],
            refusals=exchange["refusals"],
            took_ms=round(took_s * 1000, 1),
            allowed_ms=round((exchange["deadline"] - exchange["arrived_at"]) * 1000),
            parent=exchange["parent_id"],
            manifest=manifest_version(self.entry.fleet),
        )

    def on_deadline(self) -> None:
        """Answer a caller whose time is over and tell the target's node to stop."""
        now = self.entry.loop.time()
        handle = self.handle
        self.handle = None
        self.give_up(GiveUp(STATUS_TIMEOUT, Reason.ROUTE_TIMEOUT, 0.0), now)
        self._abandon(handle)

    def cancel(self) -> None:
        """Give the request up because its caller went away."""
        handle = self.handle
        self.handle = None
        if self.respond is not None:
            self._close(self.entry.loop.time(), 0, Reason.CALLER_GONE)
        self._abandon(handle)

    def _abandon(self, handle: RequestHandle | None) -> None:
        if handle is None:
            return
        record_call_end(self.entry.fleet, self.exchange["current"])
        handle.cancel()


@singledispatch
def _record(outcome: object, opened: OpenRequest, incarnation: str, now: float) -> None:
    """Remember what an outcome says of its target."""
    raise NotImplementedError(f"no record of {type(outcome).__name__}; register one")


@_record.register
def _(outcome: TargetAnswer, opened: OpenRequest, incarnation: str, now: float) -> None:
    if outcome.status in REPEATED_STATUSES:
        record_failed_answer(opened.exchange, outcome)
    record_target_outcome(opened.entry.fleet, incarnation, is_fault_of_target(outcome), now)
    record_failure(opened.exchange, may_have_run=True)


@_record.register
def _(outcome: NotRun, opened: OpenRequest, incarnation: str, now: float) -> None:
    fleet = opened.entry.fleet
    if outcome.reason in REFUSED_BY_TARGET:
        record_target_outcome(fleet, incarnation, True, now)
        record_target_refusal(opened.exchange)
        return
    if outcome.reason in _UNREACHABLE:
        record_target_unreachable(fleet, incarnation, now)
    if outcome.reason is Reason.DRAINING:
        record_node_stops(fleet, (incarnation,), now)
    if outcome.reason is Reason.NOT_READY:
        record_node_not_ready(fleet, incarnation, now)
    record_refusal(opened.exchange)


@_record.register
def _(outcome: Unknown, opened: OpenRequest, incarnation: str, now: float) -> None:
    if outcome.reason is Reason.CONNECTION_LOST:
        record_target_unreachable(opened.entry.fleet, incarnation, now)
    else:
        record_target_outcome(opened.entry.fleet, incarnation, True, now)
    record_failure(opened.exchange, may_have_run=True)


@singledispatch
def _follow(step: object, opened: OpenRequest, now: float) -> None:
    """Carry out what was decided after an outcome."""
    raise NotImplementedError(f"no action for {type(step).__name__}; register one")


@_follow.register
def _(step: Deliver, opened: OpenRequest, now: float) -> None:
    answer = step.answer
    response = HttpResponse(answer.status, answer.head_lines, answer.body)
    opened.finish(response, Reason.TARGET_ANSWERED, now)
    if answer.is_shed:
        opened.mark_parent_shed()


@_follow.register
def _(step: SendAgain, opened: OpenRequest, now: float) -> None:
    exchange = opened.exchange
    log_request(
        "again",
        exchange["facts"].request_id,
        step.reason,
        now,
        service=exchange["service"],
        offered=len(exchange["offered"]),
        bounces=exchange["bounces"],
        refusals=exchange["refusals"],
        left_ms=round((exchange["deadline"] - now) * 1000),
    )
    record_repeat(exchange, step.repeat)
    opened.send(now)


@_follow.register
def _(step: GiveUp, opened: OpenRequest, now: float) -> None:
    opened.give_up(step, now)

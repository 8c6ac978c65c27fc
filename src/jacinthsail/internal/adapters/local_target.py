"""Sends requests to the local target over HTTP, from the queue in front of it."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from jacinthsail.internal.adapters.decision_log import log_request
from jacinthsail.internal.adapters.http_client import (
    BrokenExchange,
    ExchangeResult,
    HeldBytes,
    HttpClientConnection,
    HttpClientResponse,
)
from jacinthsail.internal.commands.chain_admission import record_call_result, record_new_request
from jacinthsail.internal.commands.lineage import add_parent, record_parent_retry, remove_parent
from jacinthsail.internal.commands.pace import record_paced_failure
from jacinthsail.internal.commands.retry_budget import record_attempt, record_retry_demand
from jacinthsail.internal.commands.target_queue import (
    enqueue_request,
    record_duration,
    record_request_end,
    record_request_start,
    record_shed,
    remove_waiting_request,
    set_blocked,
    update_calls_per_request,
)
from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.lineage import LineageState, ParentRequest
from jacinthsail.internal.model.request_state import (
    ForwardedOutcome,
    ForwardedRequest,
    ForwardedResponse,
)
from jacinthsail.internal.model.retry_budget import RetryKind, TargetRetryBudget
from jacinthsail.internal.model.statuses import STATUS_SERVER_ERROR
from jacinthsail.internal.model.target_queue import (
    QueueRequest,
    RejectRequest,
    StartRequest,
    TargetQueue,
    WaitingRequest,
)
from jacinthsail.internal.model.work import WorkKind
from jacinthsail.internal.queries.lineage import new_parent
from jacinthsail.internal.queries.retry_budget import is_within_retry_budget
from jacinthsail.internal.queries.target_queue import (
    MIN_OVERDUE_S,
    RETRY_AFTER_UNREACHABLE_S,
    decide_arrival,
    expired_requests,
    is_latency_sample,
    is_response_overdue,
    makes_nested_calls,
    next_queued_request,
    work_kind,
)

_LOG = logging.getLogger("jacinthsail.target")

CONNECT_TIMEOUT_S = 0.5

# A request is abandoned this long after its deadline. The target responds no later than the
# deadline that was sent to it, and its response needs some time to arrive.
DEADLINE_SLACK_S = 0.25

# Interval between checks for expired requests in the queue, while there are any.
EXPIRY_INTERVAL_S = 0.025

# Idle connections are closed this long before the target would close them, so that no request is
# sent while the target closes its connection.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_TIMEOUT_S = 5.0

# Interval between checks for responses that are probably lost, while requests are in flight.
OVERDUE_INTERVAL_S = 0.05

# After this many executions, a request whose responses keep getting lost waits for its deadline.
MAX_EXECUTIONS = 2

# A request that must not be executed twice cannot be retried when its idle connection turns out to
# be dropped, so it uses only connections that were in use this recently.
MAX_IDLE_NON_REPEATABLE_S = 1.0

# Maximum attempts of one request while the target refuses requests. The delay before a retry grows
# by RETRY_DELAY_S with each attempt, so that a full target has time to empty its queue.
MAX_ATTEMPTS = 7
RETRY_DELAY_S = 0.005

# Kinds of retry that may execute a request again; the calls that the target makes during such an
# execution are retries themselves.
RETRY_EXECUTION_KINDS = frozenset({RetryKind.POSSIBLY_EXECUTED, RetryKind.INHERITED})

OnOutcome = Callable[[ForwardedOutcome], None]


class TargetDialect(Protocol):
    """Encodes requests to the target and decodes its responses."""

    def encode(self, forwarded: ForwardedRequest, remaining_s: float) -> bytes:
        """Return the bytes of the request as they are written."""

    def decode(self, response: HttpClientResponse) -> ForwardedOutcome:
        """Return the outcome that a response represents."""

    def is_response_to(self, response: HttpClientResponse, forwarded: ForwardedRequest) -> bool:
        """Return whether a response belongs to a request."""


class LocalRequest:
    """One request for the local target; ``cancel`` abandons it.

    ``waiting`` is set while the request is queued and ``timer`` while it is in flight.
    """

    __slots__ = (
        "target",
        "forwarded",
        "on_outcome",
        "waiting",
        "connection",
        "timer",
        "started_at",
        "parent",
        "deadline",
        "attempts",
        "executions",
    )

    def __init__(
        self, target: "LocalTarget", forwarded: ForwardedRequest, on_outcome: OnOutcome
    ) -> None:
        self.target = target
        self.forwarded = forwarded
        self.on_outcome: OnOutcome | None = on_outcome
        self.waiting: WaitingRequest | None = None
        self.connection: HttpClientConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.started_at = 0.0
        self.parent: ParentRequest | None = None
        self.deadline = 0.0
        self.attempts = 0
        self.executions = 1

    def cancel(self) -> None:
        """Remove the request from the queue, or stop its execution if it may be retried."""
        self.on_outcome = None
        self.target.cancel_request(self)


class LocalTarget:
    """The queue, the connections and the requests in flight of the local target."""

    def __init__(
        self,
        queue: TargetQueue,
        lineage: LineageState,
        retry_budget: TargetRetryBudget,
        dialect: TargetDialect,
        host: str,
        port: int,
    ) -> None:
        self.queue = queue
        self.lineage = lineage
        self.retry_budget = retry_budget
        self.dialect = dialect
        self.host = host
        self.port = port
        self.idle: list[HttpClientConnection] = []
        self.connections: set[HttpClientConnection] = set()
        self.queued: dict[int, LocalRequest] = {}
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.executing: dict[LocalRequest, None] = {}
        self.overdue_timer: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.opened_count = 0
        self.held = HeldBytes(total=0)

    def submit(self, forwarded: ForwardedRequest, on_outcome: OnOutcome) -> LocalRequest:
        """Start, queue or reject a request; the callback is called once with its outcome."""
        now = self.loop.time()
        request = LocalRequest(self, forwarded, on_outcome)
        record_retry_demand(self.retry_budget, forwarded.retry_kind, forwarded.rank, now)
        decision = decide_arrival(self.queue, self.retry_budget, forwarded, now)
        if work_kind(forwarded.rank) is WorkKind.NEW:
            is_admitted = not isinstance(decision, RejectRequest)
            record_new_request(self.queue["chain"], forwarded.rank, is_admitted, now)
        if isinstance(decision, RejectRequest):
            self._log("rejected", request, decision.reason, now)
            self._report_outcome(request, NotRun(decision.reason, 0, decision.retry_after_s))
            return request
        deadline = now + forwarded.remaining_s
        if isinstance(decision, StartRequest):
            self._start(request, deadline)
            return request
        self._enqueue(request, decision, now, deadline)
        return request

    def _enqueue(
        self, request: LocalRequest, decision: QueueRequest, now: float, deadline: float
    ) -> None:
        waiting = WaitingRequest(
            self.queue["next_ticket"],
            work_kind(request.forwarded.rank),
            request.forwarded,
            now,
            decision.expires_at,
            deadline,
        )
        request.waiting = waiting
        enqueue_request(self.queue, waiting)
        self.queued[waiting.ticket] = request
        if self.expiry_timer is None:
            self.expiry_timer = self.loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def _expire(self) -> None:
        self.expiry_timer = None
        for waiting in expired_requests(self.queue, self.loop.time()):
            request = self._take_from_queue(waiting)
            self._log("expired", request, Reason.DEADLINE_TOO_SHORT, waiting.expires_at)
            self._report_outcome(
                request, NotRun(Reason.DEADLINE_TOO_SHORT, 0, RETRY_AFTER_UNREACHABLE_S)
            )
        if self.queued:
            self.expiry_timer = self.loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def _take_from_queue(self, waiting: WaitingRequest) -> LocalRequest:
        remove_waiting_request(self.queue, waiting)
        request = self.queued.pop(waiting.ticket)
        request.waiting = None
        return request

    def record_call_result(self, parent: ParentRequest, lacks_room: bool, now: float) -> None:
        """Record whether a call of the target was refused for lack of room further on."""
        if work_kind(parent["rank"]) is WorkKind.NEW:
            record_call_result(self.queue["chain"], parent["admitted_share"], lacks_room, now)

    def start_queued(self) -> None:
        """Start queued requests while there are free slots."""
        while True:
            waiting = next_queued_request(self.queue)
            if waiting is None:
                return
            self._start(self._take_from_queue(waiting), waiting.deadline)

    def refuse_all_queued(self, reason: Reason) -> None:
        """Refuse every queued request, because the local target will execute none of them."""
        for request in list(self.queued.values()):
            assert request.waiting is not None
            self._take_from_queue(request.waiting)
            self._report_outcome(request, NotRun(reason, 0, RETRY_AFTER_UNREACHABLE_S))

    def block_admission(self) -> None:
        """Refuse new requests until this node can route the calls that they cause."""
        if self.queue["blocked"]:
            return
        _LOG.warning("local target makes calls that cannot be routed yet; new requests are refused")
        set_blocked(self.queue, True)
        self.refuse_all_queued(Reason.NOT_READY)

    def _start(self, request: LocalRequest, deadline: float) -> None:
        now = self.loop.time()
        record_request_start(self.queue, request.forwarded, now)
        request.started_at = now
        request.parent = new_parent(
            request.forwarded.request_id,
            self.lineage["next_ticket"],
            request.forwarded.rank,
            request.forwarded.retry_kind in RETRY_EXECUTION_KINDS,
            self.queue["chain"]["share"],
        )
        add_parent(self.lineage, request.parent)
        request.timer = self.loop.call_at(
            deadline + DEADLINE_SLACK_S, self._end, request, Unknown(Reason.DEADLINE_EXPIRED, 0)
        )
        request.deadline = deadline
        record_attempt(self.retry_budget, request.forwarded.retry_kind, now)
        self.executing[request] = None
        if self.overdue_timer is None:
            self.overdue_timer = self.loop.call_later(OVERDUE_INTERVAL_S, self._check_overdue)
        self._attempt(request)

    def _check_overdue(self) -> None:
        """Retry the requests whose responses are probably lost."""
        self.overdue_timer = None
        now = self.loop.time()
        for request in list(self.executing):
            if now - request.started_at < MIN_OVERDUE_S:
                continue
            self._retry_if_overdue(request, now)
        if self.executing:
            self.overdue_timer = self.loop.call_later(OVERDUE_INTERVAL_S, self._check_overdue)

    def _retry_if_overdue(self, request: LocalRequest, now: float) -> None:
        forwarded = request.forwarded
        connection = request.connection
        if connection is None or connection.in_message or request.executions >= MAX_EXECUTIONS:
            return
        if not is_response_overdue(
            self.queue, forwarded, request.started_at, request.deadline, now
        ):
            return
        record_retry_demand(self.retry_budget, RetryKind.POSSIBLY_EXECUTED, forwarded.rank, now)
        has_nested_calls = makes_nested_calls(self.queue, forwarded.rank)
        if not is_within_retry_budget(
            self.retry_budget, RetryKind.POSSIBLY_EXECUTED, forwarded.rank, has_nested_calls, now
        ):
            return
        self._log("answer overdue", request, Reason.ANSWER_OVERDUE, now)
        record_attempt(self.retry_budget, RetryKind.POSSIBLY_EXECUTED, now)
        if request.parent is not None:
            record_parent_retry(request.parent)
        request.executions += 1
        request.connection = None
        request.started_at = now
        connection.abort()
        self._attempt(request)

    def _attempt(self, request: LocalRequest) -> None:
        if request.timer is None:
            return
        request.attempts += 1
        connection = self._idle_connection(request.forwarded, self.loop.time())
        if connection is not None:
            self._send(request, connection)
            return
        task = self.loop.create_task(self._connect(request))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def _idle_connection(
        self, forwarded: ForwardedRequest, now: float
    ) -> HttpClientConnection | None:
        """Return the most recently used idle connection that may carry the request, or None.

        A connection on which the request was refused or failed before is left out, because a second
        copy of that response may still arrive there.
        """
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            idle_s = now - connection.idle_since
            if not connection.is_idle() or idle_s > idle_limit_s(connection):
                del self.idle[index]
                connection.abort()
                continue
            if not forwarded.repeatable and idle_s > MAX_IDLE_NON_REPEATABLE_S:
                return None
            if forwarded.request_id in connection.failed_ids:
                continue
            del self.idle[index]
            return connection
        return None

    async def _connect(self, request: LocalRequest) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    lambda: HttpClientConnection(self._on_idle, self._on_closed, self.held),
                    self.host,
                    self.port,
                )
        except (OSError, TimeoutError):
            self._end(request, NotRun(Reason.TARGET_UNREACHABLE, 0, RETRY_AFTER_UNREACHABLE_S))
            return
        self.opened_count += 1
        self.connections.add(connection)
        if request.timer is None:
            # The request ended while the connection was opened; the next request can use it.
            self._on_idle(connection)
            return
        self._send(request, connection)

    def _send(self, request: LocalRequest, connection: HttpClientConnection) -> None:
        forwarded = request.forwarded
        request.connection = connection
        remaining_s = request.deadline - self.loop.time()
        connection.send(
            self.dialect.encode(forwarded, remaining_s),
            lambda result: self._on_result(request, result),
            lambda response: self.dialect.is_response_to(response, forwarded),
            forwarded.method == "HEAD",
        )

    def _on_result(self, request: LocalRequest, result: ExchangeResult) -> None:
        if isinstance(result, BrokenExchange):
            if not result.request_sent and request.attempts < MAX_ATTEMPTS:
                # The connection had ended or held bytes; another one can carry the request.
                request.connection = None
                self._attempt(request)
                return
            record_paced_failure(self.queue["pace"], self.queue["slots"], self.loop.time())
            if result.request_sent:
                self._end(request, Unknown(Reason.INCOMPLETE_ANSWER, 0))
            else:
                self._end(request, NotRun(Reason.TARGET_UNREACHABLE, 0, RETRY_AFTER_UNREACHABLE_S))
            return
        outcome = self.dialect.decode(result)
        if isinstance(outcome, NotRun | Unknown):
            record_paced_failure(self.queue["pace"], self.queue["slots"], self.loop.time())
        if request.connection is not None and may_be_sent_again(outcome):
            request.connection.record_failure(request.forwarded.request_id)
        if isinstance(outcome, NotRun) and self._schedule_retry(request, outcome):
            return
        if isinstance(outcome, ForwardedResponse):
            outcome = self._record_response(request, outcome)
        self._end(request, outcome)

    def _record_response(
        self, request: LocalRequest, response: ForwardedResponse
    ) -> ForwardedResponse:
        """Record statistics of a response, and mark it if a nested call was shed."""
        now = self.loop.time()
        parent = request.parent
        if parent is not None:
            update_calls_per_request(self.queue, request.forwarded, parent["calls"])
        duration_s = now - request.started_at
        if is_latency_sample(self.queue, request.forwarded, response.status, duration_s):
            record_duration(self.queue, request.forwarded, duration_s, now)
        if response.status < STATUS_SERVER_ERROR:
            return response
        if parent is None or not parent["is_shed"]:
            return response
        record_shed(self.queue, request.forwarded, now)
        return response._replace(is_shed=True, lacks_room=parent["lacks_room"])

    def _schedule_retry(self, request: LocalRequest, outcome: NotRun) -> bool:
        """Schedule a retry of a refused request if time and retry budget remain.

        Return whether a retry was scheduled.
        """
        now = self.loop.time()
        forwarded = request.forwarded
        delay_s = RETRY_DELAY_S * request.attempts
        if outcome.reason is not Reason.TARGET_REFUSED or request.on_outcome is None:
            return False
        if request.attempts >= MAX_ATTEMPTS or now + delay_s >= request.deadline:
            return False
        if self.queue["draining"]:
            return False
        record_retry_demand(self.retry_budget, RetryKind.NOT_EXECUTED, forwarded.rank, now)
        if not is_within_retry_budget(
            self.retry_budget, RetryKind.NOT_EXECUTED, forwarded.rank, False, now
        ):
            return False
        record_attempt(self.retry_budget, RetryKind.NOT_EXECUTED, now)
        request.connection = None
        self.loop.call_later(delay_s, self._attempt, request)
        return True

    def _end(self, request: LocalRequest, outcome: ForwardedOutcome) -> None:
        if request.timer is None:
            return
        request.timer.cancel()
        request.timer = None
        self.executing.pop(request, None)
        if request.parent is not None:
            remove_parent(self.lineage, request.parent)
        if request.connection is not None and request.connection.on_result is not None:
            # The closed connection makes the target stop the execution.
            request.connection.abort()
        request.connection = None
        if not isinstance(outcome, ForwardedResponse):
            self._log("target failed", request, outcome.reason, self.loop.time())
        record_request_end(self.queue, request.forwarded)
        self._report_outcome(request, outcome)
        self.start_queued()

    def _report_outcome(self, request: LocalRequest, outcome: ForwardedOutcome) -> None:
        on_outcome = request.on_outcome
        request.on_outcome = None
        if on_outcome is not None:
            report_outcome(on_outcome, outcome, request.forwarded.request_id)

    def _log(self, event: str, request: LocalRequest, reason: Reason, now: float) -> None:
        """Log a decision or a failure with the state of the queue that led to it."""
        queue = self.queue
        forwarded = request.forwarded
        log_request(
            event,
            forwarded.request_id,
            reason,
            now,
            rank=forwarded.rank,
            incarnation=forwarded.incarnation,
            in_flight=queue["in_flight"],
            slots=queue["slots"],
            queued=len(queue["waiting_by_ticket"]),
            patience_ms=round(forwarded.max_queue_wait_s * 1000),
            ran_ms=round((now - request.started_at) * 1000) if request.started_at else 0,
        )

    def cancel_request(self, request: LocalRequest) -> None:
        """Abandon a request, unless it is in flight and must not be executed twice."""
        if request.waiting is not None:
            self._take_from_queue(request.waiting)
            return
        if request.timer is not None and request.forwarded.repeatable:
            self._end(request, Unknown(Reason.CALLER_GONE, 0))

    def _on_idle(self, connection: HttpClientConnection) -> None:
        if connection.is_idle():
            self.idle.append(connection)

    def _on_closed(self, connection: HttpClientConnection) -> None:
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            connection.abort()


def report_outcome(on_outcome: OnOutcome, outcome: ForwardedOutcome, request_id: str) -> None:
    """Report the outcome of one request.

    An exception of the callback is logged here. It would otherwise end a loop over several
    requests, or make the event loop close a connection that carries other requests.
    """
    try:
        on_outcome(outcome)
    except Exception:
        _LOG.exception("unhandled exception while reporting the outcome of request %s", request_id)


def may_be_sent_again(outcome: ForwardedOutcome) -> bool:
    """Return whether this node or another one may send the request to the target once more."""
    return not isinstance(outcome, ForwardedResponse) or outcome.status >= STATUS_SERVER_ERROR


def idle_limit_s(connection: HttpClientConnection) -> float:
    """Return how long a connection may stay idle before the target might close it."""
    stated_s = connection.idle_timeout_s
    return DEFAULT_IDLE_TIMEOUT_S if stated_s is None else stated_s - IDLE_MARGIN_S

"""Sends requests to the own target over HTTP, from the queue in front of it."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from jacinthsail.internal.adapters.decision_log import log_request
from jacinthsail.internal.adapters.http_client import (
    Broken,
    ExchangeResult,
    HttpAnswer,
    HttpClientConnection,
)
from jacinthsail.internal.commands.lineage import add_parent, record_repeated_run, remove_parent
from jacinthsail.internal.commands.retry_budget import record_arrival, record_demand
from jacinthsail.internal.commands.target_queue import (
    leave_queue,
    put_in_queue,
    record_calls,
    record_duration,
    record_end,
    record_shed,
    record_start,
    set_blocked,
)
from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.lineage import LineageState, RunningParent
from jacinthsail.internal.model.request_state import Forward, ForwardOutcome, TargetAnswer
from jacinthsail.internal.model.retry_budget import Repeat, RepeatState
from jacinthsail.internal.model.statuses import STATUS_SERVER_ERROR
from jacinthsail.internal.model.target_queue import (
    BacklogState,
    Reject,
    StartNow,
    Wait,
    WaitingForward,
)
from jacinthsail.internal.queries.lineage import new_parent
from jacinthsail.internal.queries.retry_budget import is_within_budget
from jacinthsail.internal.queries.target_queue import (
    MIN_OVERDUE_S,
    RETRY_AFTER_UNREACHABLE_S,
    decide_arrival,
    expired_waiting,
    is_answer_overdue,
    kind_of,
    makes_calls,
    next_waiting,
    tells_duration,
)

_LOG = logging.getLogger("jacinthsail.target")

CONNECT_TIMEOUT_S = 0.5

# The target itself answers at the deadline that it was told; its answer needs some time to arrive.
DEADLINE_SLACK_S = 0.25

# Requests in the queue are checked for their time this often, while there are any.
EXPIRY_INTERVAL_S = 0.025

# Idle connections are closed this long before the target does, so that no request meets the close.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_S = 5.0

# Runs are checked this often for answers that are probably lost, while there are any.
OVERDUE_INTERVAL_S = 0.05

# A request whose answers get lost again and again is left to its deadline after so many runs.
MAX_RUNS = 2

# A request that must not run twice is lost when its connection was dropped in the meantime, so it
# uses only connections that were in use a moment ago.
FRESH_IDLE_S = 1.0

# Times that one request is offered to the target while it turns requests away, and the pause before
# each further one, which grows so that a target that is really full has time to empty its queue.
MAX_OFFERS = 7
REOFFER_DELAY_S = 0.005

# Calls of such a run are made once more.
MAY_HAVE_RUN = frozenset({Repeat.RUN, Repeat.INHERITED})

OnOutcome = Callable[[ForwardOutcome], None]


class TargetDialect(Protocol):
    """How requests and answers look on the connection to the target."""

    def encode(self, forward: Forward, remaining_s: float) -> bytes:
        """Return the request as it is written."""

    def decode(self, answer: HttpAnswer) -> ForwardOutcome:
        """Return the outcome that an answer stands for."""

    def is_answer_to(self, answer: HttpAnswer, forward: Forward) -> bool:
        """Tell whether an answer belongs to a request."""


class RunningForward:
    """One request that this node was asked to run; ``cancel`` gives it up."""

    __slots__ = (
        "target",
        "forward",
        "on_outcome",
        "waiting",
        "connection",
        "timer",
        "started_at",
        "parent",
        "deadline",
        "offers",
        "runs",
    )

    def __init__(self, target: "OwnTarget", forward: Forward, on_outcome: OnOutcome) -> None:
        self.target = target
        self.forward = forward
        self.on_outcome: OnOutcome | None = on_outcome
        self.waiting: WaitingForward | None = None
        self.connection: HttpClientConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.started_at = 0.0
        self.parent: RunningParent | None = None
        self.deadline = 0.0
        self.offers = 0
        self.runs = 1

    def cancel(self) -> None:
        """Drop a request that waits; stop one that runs if it may be run again."""
        self.on_outcome = None
        self.target.cancelled(self)


class OwnTarget:
    """The queue, the connections and the requests in flight of the own target."""

    def __init__(
        self,
        backlog: BacklogState,
        lineage: LineageState,
        repeats: RepeatState,
        dialect: TargetDialect,
        host: str,
        port: int,
    ) -> None:
        self.backlog = backlog
        self.lineage = lineage
        self.repeats = repeats
        self.dialect = dialect
        self.host = host
        self.port = port
        self.idle: list[HttpClientConnection] = []
        self.connections: set[HttpClientConnection] = set()
        self.queued: dict[int, RunningForward] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.expiry: asyncio.TimerHandle | None = None
        self.at_target: dict[RunningForward, None] = {}
        self.overdue_check: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.opened = 0

    def submit(self, forward: Forward, on_outcome: OnOutcome) -> RunningForward:
        """Run a request now or later, or reject it; the callback gets its outcome once."""
        now = self.loop.time()
        running = RunningForward(self, forward, on_outcome)
        record_demand(self.repeats, forward.repeat, forward.rank, now)
        decision = decide_arrival(self.backlog, self.repeats, forward, now)
        if isinstance(decision, Reject):
            self._log("rejected", running, decision.reason, now)
            self._settle(running, NotRun(decision.reason, 0, decision.retry_after_s))
            return running
        deadline = now + forward.remaining_s
        if isinstance(decision, StartNow):
            self._start(running, deadline)
            return running
        self._wait(running, decision, now, deadline)
        return running

    def _wait(self, running: RunningForward, decision: Wait, now: float, deadline: float) -> None:
        waiting = WaitingForward(
            self.backlog["next_ticket"],
            kind_of(running.forward.rank),
            running.forward,
            now,
            decision.expires_at,
            deadline,
        )
        running.waiting = waiting
        put_in_queue(self.backlog, waiting)
        self.queued[waiting.ticket] = running
        if self.expiry is None:
            self.expiry = self.loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def _expire(self) -> None:
        self.expiry = None
        for waiting in expired_waiting(self.backlog, self.loop.time()):
            running = self._take_from_queue(waiting)
            self._log("expired", running, Reason.DEADLINE_TOO_SHORT, waiting.expires_at)
            self._settle(running, NotRun(Reason.DEADLINE_TOO_SHORT, 0, RETRY_AFTER_UNREACHABLE_S))
        if self.queued:
            self.expiry = self.loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def _take_from_queue(self, waiting: WaitingForward) -> RunningForward:
        leave_queue(self.backlog, waiting)
        running = self.queued.pop(waiting.ticket)
        running.waiting = None
        return running

    def start_waiting(self) -> None:
        """Start the requests for which there are free slots."""
        while True:
            waiting = next_waiting(self.backlog)
            if waiting is None:
                return
            self._start(self._take_from_queue(waiting), waiting.deadline)

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse every request that waits, because none of them will be run here."""
        for running in list(self.queued.values()):
            assert running.waiting is not None
            self._take_from_queue(running.waiting)
            self._settle(running, NotRun(reason, 0, RETRY_AFTER_UNREACHABLE_S))

    def block(self) -> None:
        """Refuse new work until this node can route the calls that the target makes for it."""
        if self.backlog["blocked"]:
            return
        _LOG.warning("own target needs calls that cannot be routed yet; it gets no new work")
        set_blocked(self.backlog, True)
        self.refuse_waiting(Reason.NOT_READY)

    def _start(self, running: RunningForward, deadline: float) -> None:
        now = self.loop.time()
        record_start(self.backlog, running.forward)
        running.started_at = now
        running.parent = new_parent(
            running.forward.request_id,
            self.lineage["next_ticket"],
            running.forward.rank,
            running.forward.repeat in MAY_HAVE_RUN,
        )
        add_parent(self.lineage, running.parent)
        running.timer = self.loop.call_at(
            deadline + DEADLINE_SLACK_S, self._end, running, Unknown(Reason.DEADLINE_EXPIRED, 0)
        )
        running.deadline = deadline
        record_arrival(self.repeats, running.forward.repeat, now)
        self.at_target[running] = None
        if self.overdue_check is None:
            self.overdue_check = self.loop.call_later(OVERDUE_INTERVAL_S, self._check_overdue)
        self._offer(running)

    def _check_overdue(self) -> None:
        """Run requests again whose answers are probably lost."""
        self.overdue_check = None
        now = self.loop.time()
        for running in list(self.at_target):
            if now - running.started_at < MIN_OVERDUE_S:
                continue
            self._run_again_if_overdue(running, now)
        if self.at_target:
            self.overdue_check = self.loop.call_later(OVERDUE_INTERVAL_S, self._check_overdue)

    def _run_again_if_overdue(self, running: RunningForward, now: float) -> None:
        forward = running.forward
        connection = running.connection
        if connection is None or connection.in_message or running.runs >= MAX_RUNS:
            return
        if not is_answer_overdue(self.backlog, forward, running.started_at, running.deadline, now):
            return
        record_demand(self.repeats, Repeat.RUN, forward.rank, now)
        multiplies = makes_calls(self.backlog, forward.rank)
        if not is_within_budget(self.repeats, Repeat.RUN, forward.rank, multiplies, now):
            return
        self._log("answer overdue", running, Reason.ANSWER_OVERDUE, now)
        record_arrival(self.repeats, Repeat.RUN, now)
        if running.parent is not None:
            record_repeated_run(running.parent)
        running.runs += 1
        running.connection = None
        running.started_at = now
        connection.abort()
        self._offer(running)

    def _offer(self, running: RunningForward) -> None:
        if running.timer is None:
            return
        running.offers += 1
        connection = self._idle_connection(running.forward, self.loop.time())
        if connection is not None:
            self._send(running, connection)
            return
        task = self.loop.create_task(self._connect(running))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _idle_connection(self, forward: Forward, now: float) -> HttpClientConnection | None:
        """Return the connection that was in use last and may carry the request.

        A second answer to the last request on a connection may still arrive there, and its id would
        match if that request were sent again on it.
        """
        for place in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[place]
            idle_s = now - connection.idle_since
            if not connection.is_idle() or idle_s > idle_limit_s(connection):
                del self.idle[place]
                connection.abort()
                continue
            if not forward.repeatable and idle_s > FRESH_IDLE_S:
                return None
            if connection.last_request_id == forward.request_id:
                continue
            del self.idle[place]
            return connection
        return None

    async def _connect(self, running: RunningForward) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    lambda: HttpClientConnection(self._on_free, self._on_closed),
                    self.host,
                    self.port,
                )
        except (OSError, TimeoutError):
            self._end(running, NotRun(Reason.TARGET_UNREACHABLE, 0, RETRY_AFTER_UNREACHABLE_S))
            return
        self.opened += 1
        self.connections.add(connection)
        if running.timer is None:
            # The request was given up meanwhile; the connection serves the next one.
            self._on_free(connection)
            return
        self._send(running, connection)

    def _send(self, running: RunningForward, connection: HttpClientConnection) -> None:
        forward = running.forward
        running.connection = connection
        remaining_s = running.deadline - self.loop.time()
        connection.send(
            self.dialect.encode(forward, remaining_s),
            lambda result: self._on_result(running, result),
            lambda answer: self.dialect.is_answer_to(answer, forward),
            forward.method == "HEAD",
            forward.request_id,
        )

    def _on_result(self, running: RunningForward, result: ExchangeResult) -> None:
        if isinstance(result, Broken):
            if result.reached:
                self._end(running, Unknown(Reason.INCOMPLETE_ANSWER, 0))
            else:
                self._end(running, NotRun(Reason.TARGET_UNREACHABLE, 0, RETRY_AFTER_UNREACHABLE_S))
            return
        outcome = self.dialect.decode(result)
        if isinstance(outcome, NotRun) and self._offers_again(running, outcome):
            return
        if isinstance(outcome, TargetAnswer):
            outcome = self._record_answer(running, outcome)
        self._end(running, outcome)

    def _record_answer(self, running: RunningForward, answer: TargetAnswer) -> TargetAnswer:
        """Learn from an answer, and mark one that failed for want of room further on."""
        now = self.loop.time()
        parent = running.parent
        if parent is not None:
            record_calls(self.backlog, running.forward, parent["calls"])
        duration_s = now - running.started_at
        if tells_duration(self.backlog, running.forward, answer.status, duration_s):
            record_duration(self.backlog, running.forward, duration_s, now)
        if answer.status < STATUS_SERVER_ERROR:
            return answer
        if parent is None or not parent["is_shed"]:
            return answer
        record_shed(self.backlog, running.forward, now)
        return answer._replace(is_shed=True)

    def _offers_again(self, running: RunningForward, outcome: NotRun) -> bool:
        """Offer a request once more that the target turned away, if there is time and budget."""
        now = self.loop.time()
        forward = running.forward
        delay_s = REOFFER_DELAY_S * running.offers
        if outcome.reason is not Reason.TARGET_REFUSED or running.on_outcome is None:
            return False
        if running.offers >= MAX_OFFERS or now + delay_s >= running.deadline:
            return False
        record_demand(self.repeats, Repeat.OFFER, forward.rank, now)
        if not is_within_budget(self.repeats, Repeat.OFFER, forward.rank, False, now):
            return False
        record_arrival(self.repeats, Repeat.OFFER, now)
        running.connection = None
        self.loop.call_later(delay_s, self._offer, running)
        return True

    def _end(self, running: RunningForward, outcome: ForwardOutcome) -> None:
        if running.timer is None:
            return
        running.timer.cancel()
        running.timer = None
        self.at_target.pop(running, None)
        if running.parent is not None:
            remove_parent(self.lineage, running.parent)
        if running.connection is not None and running.connection.on_result is not None:
            # Closing the connection tells the target to stop.
            running.connection.abort()
        running.connection = None
        if not isinstance(outcome, TargetAnswer):
            self._log("target failed", running, outcome.reason, self.loop.time())
        record_end(self.backlog, running.forward)
        self._settle(running, outcome)
        self.start_waiting()

    def _settle(self, running: RunningForward, outcome: ForwardOutcome) -> None:
        on_outcome = running.on_outcome
        running.on_outcome = None
        if on_outcome is not None:
            on_outcome(outcome)

    def _log(self, event: str, running: RunningForward, reason: Reason, now: float) -> None:
        """Log a decision or a failure with the state of the queue that led to it."""
        backlog = self.backlog
        forward = running.forward
        log_request(
            event,
            forward.request_id,
            reason,
            now,
            rank=forward.rank,
            incarnation=forward.incarnation,
            in_flight=backlog["in_flight"],
            slots=backlog["slots"],
            queued=len(backlog["tickets"]),
            patience_ms=round(forward.patience_s * 1000),
            ran_ms=round((now - running.started_at) * 1000) if running.started_at else 0,
        )

    def cancelled(self, running: RunningForward) -> None:
        """Give a request up whose caller went away."""
        if running.waiting is not None:
            self._take_from_queue(running.waiting)
            return
        if running.timer is not None and running.forward.repeatable:
            self._end(running, Unknown(Reason.CALLER_GONE, 0))

    def _on_free(self, connection: HttpClientConnection) -> None:
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


def idle_limit_s(connection: HttpClientConnection) -> float:
    """Return how long a connection may be idle before the target may close it."""
    stated_s = connection.idle_timeout_s
    return DEFAULT_IDLE_S if stated_s is None else stated_s - IDLE_MARGIN_S

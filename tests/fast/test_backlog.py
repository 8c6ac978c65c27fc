"""Tests the queue in front of the local target."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.commands.target_queue import (
    enqueue_request,
    record_duration,
    record_request_end,
    record_request_start,
    record_shed,
    remove_waiting_request,
    set_target_draining,
)
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.target_queue import (
    QueueRequest,
    RejectRequest,
    StartRequest,
    WaitingRequest,
    WorkKind,
)
from jacinthsail.internal.queries.target_queue import (
    decide_queueing,
    expired_requests,
    is_latency_sample,
    is_response_overdue,
    load_report,
    next_queued_request,
    work_kind,
)
from tests.common.fleets import backlog, forwarded

STEADY = settings(derandomize=True, deadline=None, max_examples=100)


def enqueue(state, one, now=0.0):
    kind = work_kind(one.rank)
    waiting = WaitingRequest(
        state["next_ticket"], kind, one, now, now + one.max_queue_wait_s, now + 2.0
    )
    enqueue_request(state, waiting)
    return waiting


def full(slots=2, mean_duration_s=0.1):
    state = backlog(slots, mean_duration_s)
    for _ in range(slots):
        record_request_start(state, forwarded(rank=2))
    return state


class BacklogTest(unittest.TestCase):
    def test_free_slot_starts_at_once(self):
        """A request must not wait while a slot is free."""
        self.assertIsInstance(decide_queueing(backlog(), forwarded(), 0.0), StartRequest)

    def test_request_beyond_the_slots_is_queued(self):
        """A request beyond the slots would otherwise queue at the target, which ignores rank."""
        self.assertEqual(
            decide_queueing(full(), forwarded(max_queue_wait_s=0.5), 1.0), QueueRequest(1.5)
        )

    def test_request_that_would_wait_too_long_is_rejected_at_once(self):
        """A caller that is refused only after a wait has lost that time."""
        state = full()
        for _ in range(20):
            enqueue(state, forwarded())
        decision = decide_queueing(state, forwarded(max_queue_wait_s=0.5), 0.0)
        self.assertIsInstance(decision, RejectRequest)
        self.assertGreater(decision.retry_after_s, 0.5)

    def test_important_request_does_not_wait_for_others(self):
        """Otherwise a filing would be refused because lookups fill the queue."""
        state = full()
        for _ in range(20):
            enqueue(state, forwarded(rank=5))
        self.assertIsInstance(
            decide_queueing(state, forwarded(rank=1, max_queue_wait_s=0.5), 0.0), QueueRequest
        )
        important = enqueue(state, forwarded(rank=1))
        record_request_end(state, forwarded(rank=2))
        self.assertEqual(next_queued_request(state), important)

    def test_draining_target_rejects_new_requests(self):
        """A draining target must not receive new requests from its own node either."""
        state = backlog()
        set_target_draining(state, True)
        self.assertEqual(decide_queueing(state, forwarded(), 0.0).reason, Reason.DRAINING)

    def test_late_responses_lower_the_limit_and_timely_ones_raise_it(self):
        """Otherwise a slow downstream service would be flooded with work that ends too late."""
        state = full(slots=20)
        state["work_queues"][WorkKind.NEW]["in_flight"] = 20
        for number in range(60):
            record_duration(state, forwarded(rank=3), 0.45, number * 0.2)
        self.assertEqual(state["work_queues"][WorkKind.NEW]["limit"], 2.0)
        record_request_end(state, forwarded(rank=2))
        self.assertIsInstance(decide_queueing(state, forwarded(rank=2), 9.0), StartRequest)
        for number in range(600):
            record_duration(state, forwarded(rank=3), 0.1, 9.0 + number * 0.01)
        self.assertEqual(state["work_queues"][WorkKind.NEW]["limit"], 20.0)

    def test_a_few_late_responses_do_not_lower_the_limit(self):
        """Some requests take long at any load; they must not make an idle target reject others."""
        state = full(slots=20)
        for number in range(400):
            is_late = number % 10 == 0
            record_duration(state, forwarded(rank=3), 0.45 if is_late else 0.1, number * 0.05)
        self.assertEqual(state["work_queues"][WorkKind.NEW]["limit"], 20.0)

    def test_shed_nested_calls_lower_the_limit_of_new_requests(self):
        """Chains that fail at their last call would waste the work of all services before it."""
        state = full(slots=20)
        lane = state["work_queues"][WorkKind.NEW]
        lane["in_flight"] = 20
        for number in range(60):
            record_duration(state, forwarded(rank=3), 0.1, number * 0.2)
            record_shed(state, forwarded(rank=3), number * 0.2 + 0.1)
        self.assertEqual(lane["limit"], 2.0)
        for number in range(600):
            record_duration(state, forwarded(rank=3), 0.1, 12.0 + number * 0.01)
        self.assertEqual(lane["limit"], 20.0)

    def test_a_few_shed_nested_calls_do_not_lower_the_limit(self):
        """The restart of one node must not make the services before it reject requests."""
        state = full(slots=20)
        for number in range(400):
            if number % 40 == 0:
                record_shed(state, forwarded(rank=3), number * 0.05)
            record_duration(state, forwarded(rank=3), 0.1, number * 0.05)
        self.assertEqual(state["work_queues"][WorkKind.NEW]["limit"], 20.0)

    def test_nested_calls_do_not_wait_behind_limited_new_requests(self):
        """Nearly finished work would be lost behind work that has not started."""
        state = full(slots=4)
        state["work_queues"][WorkKind.NEW]["limit"] = 1.0
        state["work_queues"][WorkKind.NEW]["in_flight"] = 1
        for _ in range(5):
            enqueue(state, forwarded(rank=1))
        nested = enqueue(state, forwarded(rank=4))
        record_request_end(state, forwarded(rank=2))
        self.assertEqual(next_queued_request(state), nested)

    def test_timeouts_lower_the_limit_of_new_requests(self):
        """Otherwise a target that became slow would look as fast as before and keep its share."""
        state = full(slots=20)
        lane = state["work_queues"][WorkKind.NEW]
        for status, duration_s, tells in ((500, 0.8, False), (504, 0.8, True), (504, 0.05, False)):
            with self.subTest(status=status, duration_s=duration_s):
                self.assertEqual(
                    is_latency_sample(state, forwarded(rank=3), status, duration_s), tells
                )
        lane["in_flight"] = 20
        for number in range(60):
            record_duration(state, forwarded(rank=3), 0.8, number * 0.2)
        self.assertLess(lane["limit"], 5.0)

    def test_lost_response_is_detected_long_before_the_deadline(self):
        """Otherwise a lost response would hold a slot and the caller until the deadline."""
        state = backlog(mean_duration_s=0.03)
        for number in range(60):
            record_duration(state, forwarded(rank=2), 0.03, number * 0.01)
        for now, deadline, repeatable, is_overdue in (
            (0.25, 1.0, True, True),
            (0.2, 1.0, True, False),
            (0.25, 0.27, True, False),
            (0.25, 1.0, False, False),
        ):
            with self.subTest(now=now, deadline=deadline, repeatable=repeatable):
                one = forwarded(rank=2, repeatable=repeatable)
                self.assertEqual(is_response_overdue(state, one, 0.0, deadline, now), is_overdue)

    def test_slow_target_is_not_mistaken_for_one_that_loses_responses(self):
        """Otherwise every request to a slow target would be executed twice."""
        state = backlog(mean_duration_s=0.03)
        for number in range(60):
            record_duration(state, forwarded(rank=2), 0.3, number * 0.01)
        self.assertFalse(is_response_overdue(state, forwarded(rank=2), 0.0, 9.0, 1.0))

    def test_no_response_is_overdue_before_the_mean_duration_is_known(self):
        """After a restart, every request would be executed twice while the targets are cold."""
        state = backlog(mean_duration_s=0.03)
        self.assertFalse(is_response_overdue(state, forwarded(rank=2), 0.0, 9.0, 1.0))

    def test_expired_requests_are_found(self):
        """A request must not stay queued beyond its queue wait limit."""
        state = full()
        waiting = enqueue(state, forwarded(max_queue_wait_s=0.5))
        self.assertEqual(expired_requests(state, 0.4), ())
        self.assertEqual(expired_requests(state, 0.5), (waiting,))

    @STEADY
    @given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=60))
    def test_queue_serves_by_rank_then_by_arrival(self, events):
        """A request removed from the queue must not block or reorder the others."""
        state = full(slots=1)
        expected = []
        for rank, gives_up in events:
            waiting = enqueue(state, forwarded(rank=rank))
            if gives_up:
                remove_waiting_request(state, waiting)
                continue
            expected.append((rank, waiting.ticket))
        record_request_end(state, forwarded(rank=2))
        served = []
        while (waiting := next_queued_request(state)) is not None:
            remove_waiting_request(state, waiting)
            served.append((waiting.forwarded.rank, waiting.ticket))
        self.assertEqual(served, sorted(expected))
        self.assertEqual(load_report(state).queued, 0)
        for lane in state["work_queues"].values():
            self.assertEqual(sum(lane["by_rank"].values()), 0)

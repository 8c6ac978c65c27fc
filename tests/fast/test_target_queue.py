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
    set_cut_time,
    set_target_draining,
)
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.target_queue import (
    QueueRequest,
    RejectRequest,
    StartRequest,
    WaitingRequest,
)
from jacinthsail.internal.model.work import WorkKind
from jacinthsail.internal.queries.target_queue import (
    MIN_NEW_SHARE,
    decide_queueing,
    expired_requests,
    is_latency_sample,
    is_response_overdue,
    load_report,
    next_queued_request,
    work_kind,
)
from tests.common.fleets import forwarded, target_queue

REPEATABLE = settings(derandomize=True, deadline=None, max_examples=100)


def enqueue(queue, request, now=0.0):
    kind = work_kind(request.rank)
    waiting = WaitingRequest(
        queue["next_ticket"], kind, request, now, now + request.max_queue_wait_s, now + 2.0
    )
    enqueue_request(queue, waiting)
    return waiting


def full_queue(slots=2, mean_duration_s=0.1):
    queue = target_queue(slots, mean_duration_s)
    for _ in range(slots):
        record_request_start(queue, forwarded(rank=2), 0.0)
    return queue


class StoppingNodeTest(unittest.TestCase):
    def decide(self, now, repeatable=False, remaining_s=5.0, mean_duration_s=0.7):
        queue = target_queue(2, mean_duration_s)
        set_cut_time(queue, 105.25)
        request = forwarded(rank=2)._replace(repeatable=repeatable, remaining_s=remaining_s)
        return decide_queueing(queue, request, now)

    def test_charge_that_may_outlast_the_node_is_refused(self):
        """It ran at the target of a stopping node, and was cut when the process ended."""
        self.assertIsInstance(self.decide(101.7), RejectRequest)
        self.assertIsInstance(self.decide(100.5), StartRequest)

    def test_request_that_ends_in_time_is_served(self):
        """A stopping node would leave its target idle for longer than its restart takes."""
        self.assertIsInstance(self.decide(101.7, mean_duration_s=0.2), StartRequest)
        self.assertIsInstance(self.decide(101.7, remaining_s=3.0), StartRequest)

    def test_lookup_is_served_until_the_target_refuses(self):
        """It is sent elsewhere if it is cut."""
        self.assertIsInstance(self.decide(101.7, repeatable=True), StartRequest)

    def test_node_that_does_not_stop_refuses_nothing(self):
        queue = target_queue(2, 100.0)
        request = forwarded(rank=2)._replace(repeatable=False, remaining_s=500.0)
        self.assertIsInstance(decide_queueing(queue, request, 101.7), StartRequest)


class TargetQueueTest(unittest.TestCase):
    def test_free_slot_starts_at_once(self):
        """A request must not wait while a slot is free."""
        self.assertIsInstance(decide_queueing(target_queue(), forwarded(), 0.0), StartRequest)

    def test_request_beyond_the_slots_is_queued(self):
        """A request beyond the slots would otherwise queue at the target, which ignores rank."""
        self.assertEqual(
            decide_queueing(full_queue(), forwarded(max_queue_wait_s=0.5), 1.0), QueueRequest(1.5)
        )

    def test_request_that_would_wait_too_long_is_rejected_at_once(self):
        """A caller that is refused only after a wait has lost that time."""
        queue = full_queue()
        for _ in range(20):
            enqueue(queue, forwarded())
        decision = decide_queueing(queue, forwarded(max_queue_wait_s=0.5), 0.0)
        self.assertIsInstance(decision, RejectRequest)
        self.assertGreater(decision.retry_after_s, 0.5)

    def test_important_request_does_not_wait_for_others(self):
        """Otherwise a filing would be refused because lookups fill the queue."""
        queue = full_queue()
        for _ in range(20):
            enqueue(queue, forwarded(rank=5))
        self.assertIsInstance(
            decide_queueing(queue, forwarded(rank=1, max_queue_wait_s=0.5), 0.0), QueueRequest
        )
        important = enqueue(queue, forwarded(rank=1))
        record_request_end(queue, forwarded(rank=2))
        self.assertEqual(next_queued_request(queue), important)

    def test_draining_target_rejects_new_requests(self):
        """A draining target must not receive new requests from its own node either."""
        queue = target_queue()
        set_target_draining(queue, True)
        self.assertEqual(decide_queueing(queue, forwarded(), 0.0).reason, Reason.DRAINING)

    def test_late_responses_lower_the_limit_and_timely_ones_raise_it(self):
        """Otherwise a slow downstream service would be flooded with work that ends too late."""
        queue = full_queue(slots=20)
        queue["work_queues"][WorkKind.NEW]["in_flight"] = 20
        for number in range(60):
            record_duration(queue, forwarded(rank=3), 0.45, number * 0.2)
        self.assertEqual(queue["work_queues"][WorkKind.NEW]["limit"], 2.0)
        record_request_end(queue, forwarded(rank=2))
        self.assertIsInstance(decide_queueing(queue, forwarded(rank=2), 9.0), StartRequest)
        for number in range(600):
            record_duration(queue, forwarded(rank=3), 0.1, 9.0 + number * 0.01)
        self.assertEqual(queue["work_queues"][WorkKind.NEW]["limit"], 20.0)

    def test_a_few_late_responses_do_not_lower_the_limit(self):
        """Some requests take long at any load; they must not make an idle target reject others."""
        queue = full_queue(slots=20)
        for number in range(400):
            is_late = number % 10 == 0
            record_duration(queue, forwarded(rank=3), 0.45 if is_late else 0.1, number * 0.05)
        self.assertEqual(queue["work_queues"][WorkKind.NEW]["limit"], 20.0)

    def test_shed_nested_calls_lower_the_limit_of_new_requests(self):
        """Chains that fail at their last call would waste the work of all services before it."""
        queue = full_queue(slots=20)
        work_queue = queue["work_queues"][WorkKind.NEW]
        work_queue["in_flight"] = 20
        for number in range(60):
            record_duration(queue, forwarded(rank=3), 0.1, number * 0.2)
            record_shed(queue, forwarded(rank=3), number * 0.2 + 0.1)
        self.assertEqual(work_queue["limit"], 2.0)
        for number in range(600):
            record_duration(queue, forwarded(rank=3), 0.1, 12.0 + number * 0.01)
        self.assertEqual(work_queue["limit"], 20.0)

    def test_limit_recovers_within_seconds_after_a_long_failure_downstream(self):
        """At a low limit few responses arrive, and an idle service would go on refusing requests.

        The load is that of one target with 19 slots whose requests take 0.8 s: while a service
        further on refuses half of the calls, the limit falls; then all calls succeed, and requests
        always wait.
        """
        queue = target_queue(slots=19)
        work_queue = queue["work_queues"][WorkKind.NEW]
        work_queue["in_flight"] = 19
        for number in range(200):
            now = number * 0.05
            record_duration(queue, forwarded(rank=5), 0.1, now)
            record_shed(queue, forwarded(rank=5), now)
        self.assertEqual(work_queue["limit"], 2.0)
        while work_queue["limit"] < 19.0 and now < 20.0:
            now += 0.8 / int(work_queue["limit"])
            work_queue["in_flight"] = int(work_queue["limit"])
            record_duration(queue, forwarded(rank=5), 0.1, now)
        self.assertLess(now - 10.0, 8.0)

    def test_share_of_new_requests_is_never_less_than_stated(self):
        """A limit of 1.9 slots would be used as 1, and unimportant requests would starve."""
        queue = target_queue(slots=19)
        work_queue = queue["work_queues"][WorkKind.NEW]
        for number in range(200):
            record_shed(queue, forwarded(rank=5), number * 0.2)
        self.assertGreaterEqual(int(work_queue["limit"]) / 19, MIN_NEW_SHARE)

    def test_a_few_shed_nested_calls_do_not_lower_the_limit(self):
        """The restart of one node must not make the services before it reject requests."""
        queue = full_queue(slots=20)
        for number in range(400):
            if number % 40 == 0:
                record_shed(queue, forwarded(rank=3), number * 0.05)
            record_duration(queue, forwarded(rank=3), 0.1, number * 0.05)
        self.assertEqual(queue["work_queues"][WorkKind.NEW]["limit"], 20.0)

    def test_nested_calls_do_not_wait_behind_limited_new_requests(self):
        """Nearly finished work would be lost behind work that has not started."""
        queue = full_queue(slots=4)
        queue["work_queues"][WorkKind.NEW]["limit"] = 1.0
        queue["work_queues"][WorkKind.NEW]["in_flight"] = 1
        for _ in range(5):
            enqueue(queue, forwarded(rank=1))
        nested = enqueue(queue, forwarded(rank=4))
        record_request_end(queue, forwarded(rank=2))
        self.assertEqual(next_queued_request(queue), nested)

    def test_timeouts_lower_the_limit_of_new_requests(self):
        """Otherwise a target that became slow would look as fast as before and keep its share."""
        queue = full_queue(slots=20)
        work_queue = queue["work_queues"][WorkKind.NEW]
        for status, duration_s, is_sample in (
            (500, 0.8, False),
            (504, 0.8, True),
            (504, 0.05, False),
        ):
            with self.subTest(status=status, duration_s=duration_s):
                self.assertEqual(
                    is_latency_sample(queue, forwarded(rank=3), status, duration_s), is_sample
                )
        work_queue["in_flight"] = 20
        for number in range(60):
            record_duration(queue, forwarded(rank=3), 0.8, number * 0.2)
        self.assertLess(work_queue["limit"], 5.0)

    def test_lost_response_is_detected_long_before_the_deadline(self):
        """Otherwise a lost response would hold a slot and the caller until the deadline."""
        queue = target_queue(mean_duration_s=0.03)
        for number in range(60):
            record_duration(queue, forwarded(rank=2), 0.03, number * 0.01)
        for now, deadline, repeatable, is_overdue in (
            (0.25, 1.0, True, True),
            (0.2, 1.0, True, False),
            (0.25, 0.27, True, False),
            (0.25, 1.0, False, False),
        ):
            with self.subTest(now=now, deadline=deadline, repeatable=repeatable):
                request = forwarded(rank=2, repeatable=repeatable)
                self.assertEqual(
                    is_response_overdue(queue, request, 0.0, deadline, now), is_overdue
                )

    def test_slow_target_is_not_mistaken_for_one_that_loses_responses(self):
        """Otherwise every request to a slow target would be executed twice."""
        queue = target_queue(mean_duration_s=0.03)
        for number in range(60):
            record_duration(queue, forwarded(rank=2), 0.3, number * 0.01)
        self.assertFalse(is_response_overdue(queue, forwarded(rank=2), 0.0, 9.0, 1.0))

    def test_leaving_target_gets_no_second_attempt(self):
        """A retry after an overdue response reached the target seconds after it had left."""
        queue = target_queue(mean_duration_s=0.03)
        for number in range(60):
            record_duration(queue, forwarded(rank=2), 0.03, number * 0.01)
        self.assertTrue(is_response_overdue(queue, forwarded(rank=2), 0.0, 9.0, 3.0))
        set_target_draining(queue, True)
        self.assertFalse(is_response_overdue(queue, forwarded(rank=2), 0.0, 9.0, 3.0))

    def test_no_response_is_overdue_before_the_mean_duration_is_known(self):
        """After a restart, every request would be executed twice while the targets are cold."""
        queue = target_queue(mean_duration_s=0.03)
        self.assertFalse(is_response_overdue(queue, forwarded(rank=2), 0.0, 9.0, 1.0))

    def test_expired_requests_are_found(self):
        """A request must not stay queued beyond its queue wait limit."""
        queue = full_queue()
        waiting = enqueue(queue, forwarded(max_queue_wait_s=0.5))
        self.assertEqual(expired_requests(queue, 0.4), ())
        self.assertEqual(expired_requests(queue, 0.5), (waiting,))

    @REPEATABLE
    @given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=60))
    def test_queue_serves_by_rank_then_by_arrival(self, events):
        """A request removed from the queue must not block or reorder the others."""
        queue = full_queue(slots=1)
        expected = []
        for rank, is_removed in events:
            waiting = enqueue(queue, forwarded(rank=rank))
            if is_removed:
                remove_waiting_request(queue, waiting)
                continue
            expected.append((rank, waiting.ticket))
        record_request_end(queue, forwarded(rank=2))
        served = []
        while (waiting := next_queued_request(queue)) is not None:
            remove_waiting_request(queue, waiting)
            served.append((waiting.forwarded.rank, waiting.ticket))
        self.assertEqual(served, sorted(expected))
        self.assertEqual(load_report(queue).queued, 0)
        for work_queue in queue["work_queues"].values():
            self.assertEqual(sum(work_queue["by_rank"].values()), 0)

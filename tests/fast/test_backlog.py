"""Guards the queue in front of the own target."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.commands.target_queue import (
    leave_queue,
    put_in_queue,
    record_duration,
    record_end,
    record_shed,
    record_start,
    set_target_leaving,
)
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.target_queue import Reject, StartNow, Wait, WaitingForward, WorkKind
from jacinthsail.internal.queries.target_queue import (
    decide_backlog,
    expired_waiting,
    is_answer_overdue,
    kind_of,
    load_report,
    next_waiting,
    tells_duration,
)
from tests.common.fleets import backlog, forward

STEADY = settings(derandomize=True, deadline=None, max_examples=100)


def enqueue(state, one, now=0.0):
    kind = kind_of(one.rank)
    waiting = WaitingForward(state["next_ticket"], kind, one, now, now + one.patience_s, now + 2.0)
    put_in_queue(state, waiting)
    return waiting


def full(slots=2, mean_s=0.1):
    state = backlog(slots, mean_s)
    for _ in range(slots):
        record_start(state, forward(rank=2))
    return state


class BacklogTest(unittest.TestCase):
    def test_free_slot_starts_at_once(self):
        """A request must not wait while the target has room."""
        self.assertIsInstance(decide_backlog(backlog(), forward(), 0.0), StartNow)

    def test_full_target_lets_requests_wait(self):
        """A request beyond the slots would queue at the target, where rank orders nothing."""
        self.assertEqual(decide_backlog(full(), forward(patience_s=0.5), 1.0), Wait(1.5))

    def test_request_that_would_wait_too_long_is_rejected_at_once(self):
        """A caller that is refused after it waited has lost that time."""
        state = full()
        for _ in range(20):
            enqueue(state, forward())
        decision = decide_backlog(state, forward(patience_s=0.5), 0.0)
        self.assertIsInstance(decision, Reject)
        self.assertGreater(decision.retry_after_s, 0.5)

    def test_important_request_does_not_wait_for_others(self):
        """A filing would be refused because lookups fill the queue."""
        state = full()
        for _ in range(20):
            enqueue(state, forward(rank=5))
        self.assertIsInstance(decide_backlog(state, forward(rank=1, patience_s=0.5), 0.0), Wait)
        important = enqueue(state, forward(rank=1))
        record_end(state, forward(rank=2))
        self.assertEqual(next_waiting(state), important)

    def test_leaving_target_takes_nothing_new(self):
        """A target that leaves must not get new work from its own node either."""
        state = backlog()
        set_target_leaving(state, True)
        self.assertEqual(decide_backlog(state, forward(), 0.0).reason, Reason.DRAINING)

    def test_late_answers_hold_new_requests_back_and_good_ones_let_them_in(self):
        """A slow service behind the target would be flooded with work that ends too late."""
        state = full(slots=20)
        state["lanes"][WorkKind.NEW]["in_flight"] = 20
        for number in range(60):
            record_duration(state, forward(rank=3), 0.45, number * 0.2)
        self.assertEqual(state["lanes"][WorkKind.NEW]["limit"], 2.0)
        record_end(state, forward(rank=2))
        self.assertIsInstance(decide_backlog(state, forward(rank=2), 9.0), StartNow)
        for number in range(600):
            record_duration(state, forward(rank=3), 0.1, 9.0 + number * 0.01)
        self.assertEqual(state["lanes"][WorkKind.NEW]["limit"], 20.0)

    def test_a_few_late_answers_change_nothing(self):
        """Some requests take long at any load; an idle target would refuse work."""
        state = full(slots=20)
        for number in range(400):
            is_late = number % 10 == 0
            record_duration(state, forward(rank=3), 0.45 if is_late else 0.1, number * 0.05)
        self.assertEqual(state["lanes"][WorkKind.NEW]["limit"], 20.0)

    def test_runs_that_fail_for_want_of_room_hold_new_requests_back(self):
        """Chains that fail at their last call would keep other services busy for nothing."""
        state = full(slots=20)
        lane = state["lanes"][WorkKind.NEW]
        lane["in_flight"] = 20
        for number in range(60):
            record_duration(state, forward(rank=3), 0.1, number * 0.2)
            record_shed(state, forward(rank=3), number * 0.2 + 0.1)
        self.assertEqual(lane["limit"], 2.0)
        for number in range(600):
            record_duration(state, forward(rank=3), 0.1, 12.0 + number * 0.01)
        self.assertEqual(lane["limit"], 20.0)

    def test_a_few_runs_without_room_change_nothing(self):
        """One node that restarts must not close the services before it."""
        state = full(slots=20)
        for number in range(400):
            if number % 40 == 0:
                record_shed(state, forward(rank=3), number * 0.05)
            record_duration(state, forward(rank=3), 0.1, number * 0.05)
        self.assertEqual(state["lanes"][WorkKind.NEW]["limit"], 20.0)

    def test_nested_calls_do_not_wait_behind_held_back_requests(self):
        """Work that is nearly done would be lost behind work that has not begun."""
        state = full(slots=4)
        state["lanes"][WorkKind.NEW]["limit"] = 1.0
        state["lanes"][WorkKind.NEW]["in_flight"] = 1
        for _ in range(5):
            enqueue(state, forward(rank=1))
        nested = enqueue(state, forward(rank=4))
        record_end(state, forward(rank=2))
        self.assertEqual(next_waiting(state), nested)

    def test_answers_that_time_out_hold_new_requests_back(self):
        """A target that became slow would look as fast as before and keep getting its share."""
        state = full(slots=20)
        lane = state["lanes"][WorkKind.NEW]
        for status, duration_s, tells in ((500, 0.8, False), (504, 0.8, True), (504, 0.05, False)):
            with self.subTest(status=status, duration_s=duration_s):
                self.assertEqual(tells_duration(state, forward(rank=3), status, duration_s), tells)
        lane["in_flight"] = 20
        for number in range(60):
            record_duration(state, forward(rank=3), 0.8, number * 0.2)
        self.assertLess(lane["limit"], 5.0)

    def test_lost_answer_is_noticed_long_before_the_deadline(self):
        """A target that says nothing would hold a slot and the caller for the whole time left."""
        state = backlog(mean_s=0.03)
        for number in range(60):
            record_duration(state, forward(rank=2), 0.03, number * 0.01)
        for now, deadline, repeatable, is_overdue in (
            (0.25, 1.0, True, True),
            (0.2, 1.0, True, False),
            (0.25, 0.27, True, False),
            (0.25, 1.0, False, False),
        ):
            with self.subTest(now=now, deadline=deadline, repeatable=repeatable):
                one = forward(rank=2, repeatable=repeatable)
                self.assertEqual(is_answer_overdue(state, one, 0.0, deadline, now), is_overdue)

    def test_slow_target_is_not_taken_for_one_that_loses_answers(self):
        """Every call of a slow target would be run twice."""
        state = backlog(mean_s=0.03)
        for number in range(60):
            record_duration(state, forward(rank=2), 0.3, number * 0.01)
        self.assertFalse(is_answer_overdue(state, forward(rank=2), 0.0, 9.0, 1.0))

    def test_nothing_is_overdue_before_the_usual_time_is_known(self):
        """After a restart every request would be run twice while the targets are still cold."""
        state = backlog(mean_s=0.03)
        self.assertFalse(is_answer_overdue(state, forward(rank=2), 0.0, 9.0, 1.0))

    def test_expired_requests_are_found(self):
        """A request must not be held once it cannot be served."""
        state = full()
        waiting = enqueue(state, forward(patience_s=0.5))
        self.assertEqual(expired_waiting(state, 0.4), ())
        self.assertEqual(expired_waiting(state, 0.5), (waiting,))

    @STEADY
    @given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=60))
    def test_queue_serves_by_rank_then_by_arrival(self, events):
        """A given-up request must leave no trace that blocks or reorders the others."""
        state = full(slots=1)
        expected = []
        for rank, gives_up in events:
            waiting = enqueue(state, forward(rank=rank))
            if gives_up:
                leave_queue(state, waiting)
                continue
            expected.append((rank, waiting.ticket))
        record_end(state, forward(rank=2))
        served = []
        while (waiting := next_waiting(state)) is not None:
            leave_queue(state, waiting)
            served.append((waiting.forward.rank, waiting.ticket))
        self.assertEqual(served, sorted(expected))
        self.assertEqual(load_report(state).queued, 0)
        for lane in state["lanes"].values():
            self.assertEqual(sum(lane["by_rank"].values()), 0)

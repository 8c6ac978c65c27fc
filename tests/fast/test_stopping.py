"""Tests the times of a stop, and the decisions about requests that arrive during it."""

import unittest

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.request_state import AcceptRequest, RespondLocally
from jacinthsail.internal.queries.stopping import (
    EXCUSED_SHARE,
    decide_entry_while_stopping,
    stop_schedule,
)
from tests.common.fleets import route

ENDS_AT = 10.0


class StoppingTest(unittest.TestCase):
    def decide(self, deadline, is_nested, now):
        accepted = AcceptRequest(route(), "seals", deadline)
        return decide_entry_while_stopping(accepted, is_nested, ENDS_AT, now)

    def test_new_request_is_refused(self):
        """It would be cut at the end of the grace period after it was passed on."""
        decision = self.decide(9.0, False, 8.0)
        self.assertIsInstance(decision, RespondLocally)
        self.assertEqual((decision.status, decision.reason), (503, Reason.DRAINING))
        self.assertGreater(decision.retry_after_s, 0.0)

    def test_nested_call_ends_before_the_process(self):
        """The target would work on a call whose response nobody can receive."""
        self.assertEqual(self.decide(12.0, True, 8.0).deadline, ENDS_AT)
        self.assertEqual(self.decide(9.0, True, 8.0).deadline, 9.0)

    def test_nested_call_without_time_is_refused(self):
        """It would reach a target that cannot respond in time."""
        self.assertIsInstance(self.decide(12.0, True, ENDS_AT), RespondLocally)

    def test_refusal_stays_a_refusal(self):
        """A request without a route would be reported as refused by the stop."""
        refusal = RespondLocally(404, Reason.UNKNOWN_CLASS, 0.0)
        self.assertEqual(decide_entry_while_stopping(refusal, False, ENDS_AT, 8.0), refusal)


class StopScheduleTest(unittest.TestCase):
    # Responses cross to another region and back within this time.
    ROUND_TRIP_S = 0.05

    def test_response_that_left_its_target_in_time_is_not_cut(self):
        """It was cut on its way, at the very moment from which targets at work excuse a cut."""
        for grace_s in (1.0, 3.0, 6.0, 10.0, 30.0):
            with self.subTest(grace_s=grace_s):
                schedule = stop_schedule(100.0, grace_s)
                excused_at = 100.0 + grace_s * (1.0 - EXCUSED_SHARE)
                wanted_s = min(self.ROUND_TRIP_S, grace_s * EXCUSED_SHARE / 4)
                self.assertGreaterEqual(schedule.cuts_at, excused_at + wanted_s)

    def test_steps_follow_one_another_within_the_grace_period(self):
        """A node with a short grace period was killed before it had sent its last messages."""
        for grace_s in (0.0, 0.5, 3.0, 6.0, 10.0):
            with self.subTest(grace_s=grace_s):
                steps = (100.0, *stop_schedule(100.0, grace_s), 100.0 + grace_s)
                self.assertEqual(list(steps), sorted(steps))

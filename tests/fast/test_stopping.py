"""Tests the decisions about requests that arrive while a node stops."""

import unittest

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.request_state import AcceptRequest, RespondLocally
from jacinthsail.internal.queries.stopping import decide_entry_while_stopping
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

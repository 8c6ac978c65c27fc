"""Tests the outcomes that callers get for calls with more than one attempt."""

import unittest

from jacinthsail.internal.model.calls import Answered, NotRun, Reason, Unknown
from jacinthsail.internal.model.routing import RouteRefused
from jacinthsail.internal.queries.idempotency import outcome_of_unrouted_call
from jacinthsail.internal.queries.outcomes import final_outcome
from tests.common.call_factories import call_context

LOST = Unknown(Reason.CONNECTION_LOST, 0)
FULL = NotRun(Reason.QUEUE_FULL, 1, 1.0)
NO_TARGET = NotRun(Reason.NO_TARGET, 1)


class FinalOutcomeTest(unittest.TestCase):
    def test_no_refusal_hides_an_attempt_that_may_have_executed(self):
        """A caller files again after not-run, so hiding a lost attempt would file twice."""
        for earlier in [(LOST,), (LOST, FULL), (FULL, LOST), (FULL, LOST, FULL)]:
            for last in [FULL, NO_TARGET]:
                with self.subTest(earlier=earlier, last=last):
                    self.assertEqual(final_outcome(last, earlier), LOST._replace(retries_left=1))

    def test_response_or_indeterminate_outcome_is_final(self):
        """A response after a lost attempt is still the response to the call."""
        silent = Unknown(Reason.PEER_SILENT, 0)
        for last in [Answered(200, "", b"", 0), silent]:
            self.assertEqual(final_outcome(last, (LOST, FULL)), last)

    def test_reason_is_that_of_the_last_vm_that_refused(self):
        """After an attempt at every VM, no-target would hide the refusals from operators."""
        unreachable = NotRun(Reason.PEER_UNREACHABLE, 2)
        self.assertEqual(final_outcome(NO_TARGET, (unreachable, FULL)), FULL)
        self.assertEqual(final_outcome(FULL, (unreachable,)), FULL)
        self.assertEqual(final_outcome(NO_TARGET, ()), NO_TARGET)


class RefusedUnroutedTest(unittest.TestCase):
    def test_restarted_node_does_not_report_a_key_as_not_run(self):
        """A node without sections cannot rule out that an earlier call was executed."""
        route = RouteRefused(Reason.NOT_READY)
        keyed = call_context(idempotency_key="issued.billing-1.a.b.1")
        self.assertEqual(outcome_of_unrouted_call(keyed, route), Unknown(Reason.NOT_READY, 2))
        self.assertIsInstance(outcome_of_unrouted_call(call_context(), route), NotRun)

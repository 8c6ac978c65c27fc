"""Guards what callers are told of calls that were sent more than once."""

import unittest

from jacinthsail.internal.model.calls import Answered, NotRun, Reason, Unknown
from jacinthsail.internal.model.routing import Refused
from jacinthsail.internal.queries.idempotency import outcome_without_route
from jacinthsail.internal.queries.outcomes import settle
from tests.common.call_factories import call_head

LOST = Unknown(Reason.CONNECTION_LOST, 0)
FULL = NotRun(Reason.QUEUE_FULL, 1, 1.0)
NOWHERE = NotRun(Reason.NO_TARGET, 1)


class SettleTest(unittest.TestCase):
    def test_no_refusal_hides_an_attempt_that_may_have_run(self):
        """A clerk who hears not-run files again, so one lost attempt would file twice."""
        for earlier in [(LOST,), (LOST, FULL), (FULL, LOST), (FULL, LOST, FULL)]:
            for last in [FULL, NOWHERE]:
                with self.subTest(earlier=earlier, last=last):
                    self.assertEqual(settle(last, earlier), LOST._replace(retries_left=1))

    def test_answer_and_doubt_stand(self):
        """An answer after a lost attempt is still the answer to the call."""
        silent = Unknown(Reason.PEER_SILENT, 0)
        for last in [Answered(200, "", b"", 0), silent]:
            self.assertEqual(settle(last, (LOST, FULL)), last)

    def test_reason_is_that_of_the_last_vm_that_refused(self):
        """After every VM was tried, no-target tells an operator nothing about the refusals."""
        unreachable = NotRun(Reason.PEER_UNREACHABLE, 2)
        self.assertEqual(settle(NOWHERE, (unreachable, FULL)), FULL)
        self.assertEqual(settle(FULL, (unreachable,)), FULL)
        self.assertEqual(settle(NOWHERE, ()), NOWHERE)


class RefusedUnroutedTest(unittest.TestCase):
    def test_restarted_node_does_not_deny_a_key(self):
        """A node without sections cannot know that no earlier call with the key ran."""
        route = Refused(Reason.NOT_READY)
        keyed = call_head(idempotency_key="issued.billing-1.a.b.1")
        self.assertEqual(outcome_without_route(keyed, route), Unknown(Reason.NOT_READY, 2))
        self.assertIsInstance(outcome_without_route(call_head(), route), NotRun)

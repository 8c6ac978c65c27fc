"""Tests the limits on calls whose nested calls are refused deeper in the chain."""

import unittest

from jacinthsail.internal.commands.admission import finish_call
from jacinthsail.internal.commands.nested import record_nested_refusal
from jacinthsail.internal.model.admission import LatencySample
from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.queries.nested import (
    NESTED_LIMIT_EXPIRY_S,
    PROBE_INTERVAL_S,
    is_nested_refusal,
    nested_key,
    parent_calls,
)
from jacinthsail.testing.admission_events import arrive, finish, new_run, start_queued_calls
from tests.common.call_factories import call_context


def refused_run(calls=4, limit=8):
    """Return a run with calls in flight; a nested call of the first was refused at 1 s."""
    run = new_run(limit=limit, queue_length=20)
    for number in range(calls):
        arrive(run, call_context(f"r{number}"), 0.0)
    record_nested_refusal(run["admission"], run["started"][0], 1.0)
    return run


def nested_limit(run):
    return run["admission"]["nested_limits"][nested_key(call_context())]


class NestedTest(unittest.TestCase):
    def test_call_stays_queued_while_a_nested_service_refuses(self):
        """A call that starts although its nested calls will be refused is wasted work."""
        run = refused_run()
        arrive(run, call_context("later"), 1.1)
        self.assertEqual(len(run["started"]), 4)
        self.assertEqual(len(run["admission"]["queue"]), 1)

    def test_other_class_is_not_limited(self):
        """Calls that do not need the overloaded service must use the free slots."""
        run = refused_run()
        arrive(run, call_context("waits"), 1.1)
        arrive(run, call_context("other", call_class="list"), 1.1)
        self.assertEqual(run["started"][-1].context.request_id, "other")

    def test_calls_started_before_the_change_lower_the_limit_once(self):
        """Refusals of calls already in flight would otherwise lower the limit to nothing."""
        run = refused_run()
        for queued in run["started"][1:]:
            record_nested_refusal(run["admission"], queued, 1.1)
        self.assertEqual(nested_limit(run).limit, 2.0)

    def test_refused_call_is_no_latency_sample(self):
        """Calls that end early would make the others look slow to the limiter."""
        run = refused_run()
        finish_call(run["admission"], run["started"][0], LatencySample(0.01, 4, False), 1.2)
        self.assertEqual(run["admission"]["mean_latency_s"], 0.0)
        self.assertEqual(run["admission"]["nested_refused"], set())

    def test_one_call_probes_a_limit_below_one(self):
        """Without calls in flight the limit would never detect free capacity downstream."""
        run = refused_run(calls=1)
        finish(run, run["started"][0], LatencySample(0.01, 1, False), 1.1)
        arrive(run, call_context("early"), 1.2)
        self.assertEqual(len(run["started"]), 1)
        start_queued_calls(run, 1.0 + PROBE_INTERVAL_S)
        self.assertEqual(len(run["started"]), 2)

    def test_limit_grows_while_it_is_in_use(self):
        """A limit that never grows would leave slots added to the nested service unused."""
        run = refused_run()
        now = 2.0
        for number in range(200):
            arrive(run, call_context(f"n{number}"), now)
        while len(run["admission"]["in_flight"]) > 0:
            now += 0.05
            first = next(iter(run["admission"]["in_flight"].values()))
            finish(run, first, LatencySample(0.05, 2, False), now)
        self.assertGreater(nested_limit(run).limit, 2.0)

    def test_limit_expires_without_refusals(self):
        """A limit from an overload that ended long ago must not restrict calls."""
        run = refused_run()
        finish(run, run["started"][1], LatencySample(0.05, 2, False), 1.1 + NESTED_LIMIT_EXPIRY_S)
        self.assertEqual(run["admission"]["nested_limits"], {})

    def test_only_overload_counts_as_refusal(self):
        """A lost connection or a malformed key does not show a lack of capacity."""
        self.assertTrue(is_nested_refusal(NotRun(Reason.QUEUE_FULL, 0)))
        self.assertFalse(is_nested_refusal(NotRun(Reason.KEY_MALFORMED, 0)))
        self.assertFalse(is_nested_refusal(Unknown(Reason.DEADLINE_EXPIRED, 0)))

    def test_call_at_the_entry_has_no_parent(self):
        """A request id that a caller reuses must not be mistaken for a nested call."""
        run = refused_run()
        self.assertEqual(parent_calls(run["admission"], call_context("r0")), [])
        parents = parent_calls(run["admission"], call_context("r0", depth=1))
        self.assertEqual([parent.context.request_id for parent in parents], ["r0"])

"""Tests admission to the local target: order, eviction, deadlines and the threshold."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.model.admission import Admit, AdmitByEviction, LatencySample, Refuse
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.document import FixedLimitPolicy
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.admission import (
    MAX_THRESHOLD,
    advertised_threshold,
    decide_admission,
    expected_wait_s,
)
from jacinthsail.testing.admission_events import (
    arrive,
    finish,
    new_run,
    queued_contexts,
    start_queued_calls,
)
from jacinthsail.testing.fake_target import FakeTarget, Phase, service_policy_with
from tests.common.call_factories import call_context

REPEATABLE = settings(derandomize=True, print_blob=True, deadline=None, max_examples=150)
CAPACITY_REFUSALS = frozenset({Reason.BELOW_THRESHOLD, Reason.QUEUE_FULL, Reason.EVICTED})

ARRIVALS = st.tuples(st.just("arrive"), st.integers(0, 7), st.integers(0, 3), st.floats(0.05, 20.0))
FINISHES = st.tuples(st.just("finish"), st.floats(0.001, 2.0), st.booleans())
PAUSES = st.tuples(st.just("pause"), st.floats(0.0, 0.5))
# Windows change the threshold as well, but rarely within one example.
THRESHOLDS = st.tuples(st.just("threshold"), st.integers(0, MAX_THRESHOLD))
# Without a minimum size, most examples have about 5 events, too few to fill the queue.
EVENTS = st.lists(
    st.one_of(ARRIVALS, ARRIVALS, ARRIVALS, FINISHES, PAUSES, THRESHOLDS), min_size=30, max_size=90
)


def simulate(run, events):
    """Apply events in order and yield the time after each one."""
    now = 0.0
    for number, event in enumerate(events):
        match event:
            case ("arrive", importance, depth, remaining_s):
                context = call_context(
                    f"r{number}", importance, depth=depth, deadline=now + remaining_s
                )
                arrive(run, context, now)
            case ("finish", latency_s, overloaded):
                in_flight = list(run["admission"]["in_flight"].values())
                if in_flight:
                    sample = LatencySample(latency_s, len(in_flight), overloaded)
                    finish(run, in_flight[0], sample, now)
            case ("threshold", rank):
                run["admission"]["threshold"] = rank
            case ("pause", seconds):
                now += seconds
        yield now


def busy_run(**options):
    """Return a run whose only slot is taken."""
    run = new_run(limit=1, **options)
    arrive(run, call_context("first", 7), 0.0)
    return run


class OrderTest(unittest.TestCase):
    @REPEATABLE
    @given(events=EVENTS)
    def test_no_call_is_refused_for_capacity_while_a_lower_one_is_queued(self, events):
        """Importance would be inverted if a filing were refused and a draft view then executed."""
        run = new_run()
        for _ in simulate(run, events):
            pass
        for refused in run["refused"]:
            if refused.reason not in CAPACITY_REFUSALS:
                continue
            for queued in refused.waiting:
                self.assertGreaterEqual(
                    (queued.rank, queued.depth), (refused.context.rank, refused.context.depth)
                )

    @REPEATABLE
    @given(events=EVENTS)
    def test_target_is_fully_used_while_calls_are_queued_or_refused_for_capacity(self, events):
        """Shedding calls while slots are free would lower goodput without need."""
        run = new_run()
        admission = run["admission"]
        refused_before = 0
        for _ in simulate(run, events):
            newly_refused = run["refused"][refused_before:]
            refused_before = len(run["refused"])
            lacks_capacity = any(refused.reason in CAPACITY_REFUSALS for refused in newly_refused)
            if admission["queue"] or lacks_capacity:
                self.assertEqual(len(admission["in_flight"]), 2)
            self.assertLessEqual(len(admission["in_flight"]), 2)
            self.assertLessEqual(len(admission["queue"]), admission["queue_length"])

    @REPEATABLE
    @given(
        ranks=st.lists(st.tuples(st.integers(0, 7), st.integers(0, 3)), min_size=5, max_size=20),
        data=st.data(),
    )
    def test_the_same_calls_stay_queued_in_any_order_of_arrival(self, ranks, data):
        """Which calls stay queued must depend on rank, not on the order of arrival."""
        contexts = []
        for number, (importance, depth) in enumerate(ranks):
            contexts.append(call_context(f"r{number}", importance, depth=depth))
        kept = []
        for order in (contexts, data.draw(st.permutations(contexts))):
            run = busy_run()
            for context in order:
                arrive(run, context, 0.0)
            kept.append(sorted((context.rank, context.depth) for context in queued_contexts(run)))
        self.assertEqual(kept[0], kept[1])

    @REPEATABLE
    @given(events=EVENTS)
    def test_no_call_starts_after_its_deadline(self, events):
        """Work for a caller that has timed out is wasted."""
        run = new_run()
        started_before = 0
        for now in simulate(run, events):
            for queued in run["started"][started_before:]:
                self.assertLess(now, queued.context.deadline)
            started_before = len(run["started"])

    @REPEATABLE
    @given(events=EVENTS)
    def test_every_call_starts_or_is_refused_once(self, events):
        """A call lost from the queue would leave its caller without a response."""
        run = new_run()
        for _ in simulate(run, events):
            pass
        accounted = [queued.context.request_id for queued in run["started"]]
        accounted += [refused.context.request_id for refused in run["refused"]]
        accounted += [context.request_id for context in queued_contexts(run)]
        arrived = [f"r{number}" for number, event in enumerate(events) if event[0] == "arrive"]
        self.assertEqual(sorted(accounted), sorted(arrived))

    def test_deeper_calls_of_a_rank_start_first(self):
        """The work already done for a call deep in a chain is lost if the call fails."""
        run = busy_run()
        for depth in (0, 2, 1):
            arrive(run, call_context("same", 3, depth=depth), 0.0)
        self.assertEqual([context.depth for context in queued_contexts(run)], [2, 1, 0])

    def test_without_importance_arrival_decides(self):
        """Control runs of importance scenarios must refuse calls that importance would admit."""
        run = busy_run(queue_length=1, disabled=frozenset({Mechanism.IMPORTANCE}))
        run["admission"]["threshold"] = 900
        self.assertEqual(arrive(run, call_context("low", 0), 0.0), Admit())
        decision = arrive(run, call_context("high", 7), 0.0)
        self.assertEqual(decision.reason, Reason.QUEUE_FULL)
        self.assertEqual(advertised_threshold(run["admission"]), 0)

    def test_full_queue_evicts_its_lowest_call(self):
        """A queue full of draft views must not cause a filing to be refused."""
        run = busy_run(queue_length=2)
        arrive(run, call_context("a", 1), 0.0)
        arrive(run, call_context("b", 2), 0.0)
        decision = arrive(run, call_context("c", 6), 0.0)
        self.assertIsInstance(decision, AdmitByEviction)
        self.assertEqual(decision.victim.context.request_id, "a")

    def test_queue_of_length_0_admits_what_can_start(self):
        """With a queue length of 0, a free slot must still be used."""
        run = new_run(limit=1, queue_length=0)
        self.assertEqual(arrive(run, call_context("a"), 0.0), Admit())
        self.assertEqual(arrive(run, call_context("b"), 0.0).reason, Reason.QUEUE_FULL)


class DeadlineTest(unittest.TestCase):
    def setUp(self):
        self.run_state = busy_run(queue_length=10)
        self.admission = self.run_state["admission"]
        self.admission["mean_latency_s"] = 1.0
        for number in range(3):
            arrive(self.run_state, call_context(f"q{number}", 4), 0.0)

    def test_wait_counts_only_calls_ahead_in_the_queue(self):
        """Counting the whole queue would refuse important calls because of less important ones."""
        self.assertEqual(expected_wait_s(self.admission, call_context("low", 1)), 4.0)
        self.assertEqual(expected_wait_s(self.admission, call_context("high", 6)), 1.0)

    def test_call_that_would_wait_too_long_is_refused_on_arrival(self):
        """A call that cannot finish in time would only occupy the queue and delay its refusal."""
        low = call_context("low", 1, deadline=3.5)
        high = call_context("high", 6, deadline=3.5)
        self.assertEqual(
            decide_admission(self.admission, low, 0.0).reason, Reason.DEADLINE_TOO_SHORT
        )
        self.assertEqual(decide_admission(self.admission, high, 0.0), Admit())

    def test_expired_call_is_refused(self):
        """An expired call must not execute, and its caller must be notified that it did not."""
        decision = decide_admission(self.admission, call_context(deadline=1.0), 1.0)
        self.assertEqual(decision, Refuse(Reason.DEADLINE_EXPIRED, 0.0))

    def test_mean_latency_grows_with_calls_that_time_out(self):
        """A mean over only the calls that finished would hide that most time out."""
        queued = self.run_state["started"][0]
        late = LatencySample(3.0, 1, overloaded=True, timed_out=True)
        finish(self.run_state, queued, late, 0.0)
        self.assertGreater(self.admission["mean_latency_s"], 1.0)
        queued = self.run_state["started"][-1]
        before = self.admission["mean_latency_s"]
        short = LatencySample(0.001, 1, overloaded=True, timed_out=True)
        finish(self.run_state, queued, short, 0.0)
        self.assertEqual(self.admission["mean_latency_s"], before)

    def test_without_deadline_drop_expired_calls_start(self):
        """Control runs of deadline scenarios must execute calls that are too late."""
        run = busy_run(disabled=frozenset({Mechanism.DEADLINE_DROP}))
        run["admission"]["mean_latency_s"] = 1.0
        self.assertEqual(arrive(run, call_context("late", deadline=0.5), 1.0), Admit())
        run["admission"]["in_flight"].clear()
        start_queued_calls(run, 2.0)
        self.assertEqual(run["started"][-1].context.request_id, "late")


def simulate_overload(disabled=frozenset()):
    """Return the results at 4 times and at half the capacity; 10% of the calls are important."""
    phases = (Phase("overload", 6.0, 20, 0.05, 1600.0), Phase("calm", 2.0, 20, 0.05, 200.0))
    policy = service_policy_with(FixedLimitPolicy(20), queue_length=80)
    target = FakeTarget(policy, seed=11, importances=(1,) * 9 + (6,), disabled=disabled)
    return [target.simulate(phase, deadline_s=0.5) for phase in phases]


class ThresholdTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.overload, cls.calm = simulate_overload()

    def test_important_calls_are_answered_at_four_times_capacity(self):
        """Draft views must not displace filings, and the target must stay fully used."""
        self.assertLessEqual(self.overload.unserved[6], 0.01 * self.overload.arrivals[6])
        self.assertGreaterEqual(self.overload.goodput_share, 0.9)
        self.assertLess(self.overload.wasted_share, 0.03)

    def test_threshold_rises_under_overload_and_falls_after_it(self):
        """A threshold that stays high would refuse calls although capacity is free again."""
        self.assertGreater(self.overload.highest_threshold, 128)
        self.assertEqual(self.calm.last_threshold, 0)
        self.assertLessEqual(self.calm.unserved[1], 0.05 * self.calm.arrivals[1])

    def test_without_importance_important_calls_are_shed(self):
        """The control shows that the first test of this class measures the effect of importance."""
        overload, _ = simulate_overload(frozenset({Mechanism.IMPORTANCE}))
        self.assertGreater(overload.unserved[6], 0.5 * overload.arrivals[6])

    def test_threshold_is_not_advertised_while_a_slot_is_free(self):
        """An advertised threshold would make peers send no calls to an idle target."""
        run = new_run(limit=1)
        run["admission"]["threshold"] = 300
        self.assertEqual(advertised_threshold(run["admission"]), 0)
        arrive(run, call_context("a", 0), 0.0)
        self.assertEqual(advertised_threshold(run["admission"]), 300)

"""Guards admission to the own target: order, eviction, deadlines and the threshold."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.model.admission import Admit, AdmitByEviction, Refuse, Sample
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
    start_waiting,
    waiting_heads,
)
from jacinthsail.testing.fake_target import FakeTarget, Phase, service_policy_with
from tests.common.call_factories import call_head

REPEATABLE = settings(derandomize=True, print_blob=True, deadline=None, max_examples=150)
FOR_WANT_OF_ROOM = frozenset({Reason.BELOW_THRESHOLD, Reason.QUEUE_FULL, Reason.EVICTED})

ARRIVALS = st.tuples(st.just("arrive"), st.integers(0, 7), st.integers(0, 3), st.floats(0.05, 20.0))
FINISHES = st.tuples(st.just("finish"), st.floats(0.001, 2.0), st.booleans())
PAUSES = st.tuples(st.just("pause"), st.floats(0.0, 0.5))
# Windows move the threshold as well, but seldom within one example.
THRESHOLDS = st.tuples(st.just("threshold"), st.integers(0, MAX_THRESHOLD))
# Without a least size most examples have about 5 events, too few to fill the queue.
EVENTS = st.lists(
    st.one_of(ARRIVALS, ARRIVALS, ARRIVALS, FINISHES, PAUSES, THRESHOLDS), min_size=30, max_size=90
)


def play(run, events):
    """Apply events one after the other; yield the time after each."""
    now = 0.0
    for number, event in enumerate(events):
        match event:
            case ("arrive", importance, depth, remaining_s):
                head = call_head(f"r{number}", importance, depth=depth, deadline=now + remaining_s)
                arrive(run, head, now)
            case ("finish", latency_s, overloaded):
                in_flight = list(run["admission"]["in_flight"].values())
                if in_flight:
                    sample = Sample(latency_s, len(in_flight), overloaded)
                    finish(run, in_flight[0], sample, now)
            case ("threshold", rank):
                run["admission"]["threshold"] = rank
            case ("pause", seconds):
                now += seconds
        yield now


def busy_run(**options):
    """Return a run whose only slot is taken."""
    run = new_run(limit=1, **options)
    arrive(run, call_head("first", 7), 0.0)
    return run


class OrderTest(unittest.TestCase):
    @REPEATABLE
    @given(events=EVENTS)
    def test_no_call_is_refused_for_room_while_a_lower_one_waits(self, events):
        """Importance would be inverted if a filing were refused and a draft view then run."""
        run = new_run()
        for _ in play(run, events):
            pass
        for refused in run["refused"]:
            if refused.reason not in FOR_WANT_OF_ROOM:
                continue
            for waiting in refused.waiting:
                self.assertGreaterEqual(
                    (waiting.rank, waiting.depth), (refused.head.rank, refused.head.depth)
                )

    @REPEATABLE
    @given(events=EVENTS)
    def test_target_is_fully_used_while_calls_wait_or_are_refused_for_room(self, events):
        """Shedding calls while slots are free would lower goodput for nothing."""
        run = new_run()
        admission = run["admission"]
        refused_before = 0
        for _ in play(run, events):
            newly_refused = run["refused"][refused_before:]
            refused_before = len(run["refused"])
            is_short = any(refused.reason in FOR_WANT_OF_ROOM for refused in newly_refused)
            if admission["queue"] or is_short:
                self.assertEqual(len(admission["in_flight"]), 2)
            self.assertLessEqual(len(admission["in_flight"]), 2)
            self.assertLessEqual(len(admission["queue"]), admission["queue_length"])

    @REPEATABLE
    @given(
        ranks=st.lists(st.tuples(st.integers(0, 7), st.integers(0, 3)), min_size=5, max_size=20),
        data=st.data(),
    )
    def test_the_same_calls_are_kept_in_any_order_of_arrival(self, ranks, data):
        """Which calls survive must follow from rank, not from who came first."""
        heads = []
        for number, (importance, depth) in enumerate(ranks):
            heads.append(call_head(f"r{number}", importance, depth=depth))
        kept = []
        for order in (heads, data.draw(st.permutations(heads))):
            run = busy_run()
            for head in order:
                arrive(run, head, 0.0)
            kept.append(sorted((head.rank, head.depth) for head in waiting_heads(run)))
        self.assertEqual(kept[0], kept[1])

    @REPEATABLE
    @given(events=EVENTS)
    def test_no_call_starts_after_its_deadline(self, events):
        """Work for a caller that has given up is wasted."""
        run = new_run()
        seen = 0
        for now in play(run, events):
            for queued in run["started"][seen:]:
                self.assertLess(now, queued.head.deadline)
            seen = len(run["started"])

    @REPEATABLE
    @given(events=EVENTS)
    def test_every_call_starts_or_is_refused_once(self, events):
        """A call that vanished from the queue would leave its caller without an answer."""
        run = new_run()
        for _ in play(run, events):
            pass
        known = [queued.head.request_id for queued in run["started"]]
        known += [refused.head.request_id for refused in run["refused"]]
        known += [head.request_id for head in waiting_heads(run)]
        arrived = [f"r{number}" for number, event in enumerate(events) if event[0] == "arrive"]
        self.assertEqual(sorted(known), sorted(arrived))

    def test_deeper_calls_of_a_rank_start_first(self):
        """A call deep in a chain carries work that is lost when it fails."""
        run = busy_run()
        for depth in (0, 2, 1):
            arrive(run, call_head("same", 3, depth=depth), 0.0)
        self.assertEqual([head.depth for head in waiting_heads(run)], [2, 1, 0])

    def test_without_importance_arrival_decides(self):
        """The control of scenarios on importance must refuse what importance would admit."""
        run = busy_run(queue_length=1, disabled=frozenset({Mechanism.IMPORTANCE}))
        run["admission"]["threshold"] = 900
        self.assertEqual(arrive(run, call_head("low", 0), 0.0), Admit())
        decision = arrive(run, call_head("high", 7), 0.0)
        self.assertEqual(decision.reason, Reason.QUEUE_FULL)
        self.assertEqual(advertised_threshold(run["admission"]), 0)

    def test_full_queue_evicts_its_lowest_call(self):
        """A full queue of draft views must not keep a filing out."""
        run = busy_run(queue_length=2)
        arrive(run, call_head("a", 1), 0.0)
        arrive(run, call_head("b", 2), 0.0)
        decision = arrive(run, call_head("c", 6), 0.0)
        self.assertIsInstance(decision, AdmitByEviction)
        self.assertEqual(decision.victim.head.request_id, "a")

    def test_queue_of_length_0_admits_what_can_start(self):
        """Without a queue a free slot must still be used."""
        run = new_run(limit=1, queue_length=0)
        self.assertEqual(arrive(run, call_head("a"), 0.0), Admit())
        self.assertEqual(arrive(run, call_head("b"), 0.0).reason, Reason.QUEUE_FULL)


class DeadlineTest(unittest.TestCase):
    def setUp(self):
        self.run_state = busy_run(queue_length=10)
        self.admission = self.run_state["admission"]
        self.admission["mean_latency_s"] = 1.0
        for number in range(3):
            arrive(self.run_state, call_head(f"q{number}", 4), 0.0)

    def test_wait_counts_only_calls_ahead_in_the_queue(self):
        """Counting the whole queue would refuse important calls for the sake of lesser ones."""
        self.assertEqual(expected_wait_s(self.admission, call_head("low", 1)), 4.0)
        self.assertEqual(expected_wait_s(self.admission, call_head("high", 6)), 1.0)

    def test_call_that_would_wait_too_long_is_refused_on_arrival(self):
        """A call that waits for nothing takes a place and its caller's time."""
        low = call_head("low", 1, deadline=3.5)
        high = call_head("high", 6, deadline=3.5)
        self.assertEqual(
            decide_admission(self.admission, low, 0.0).reason, Reason.DEADLINE_TOO_SHORT
        )
        self.assertEqual(decide_admission(self.admission, high, 0.0), Admit())

    def test_expired_call_is_refused(self):
        """An expired call must not run, and its caller must hear that it did not."""
        decision = decide_admission(self.admission, call_head(deadline=1.0), 1.0)
        self.assertEqual(decision, Refuse(Reason.DEADLINE_EXPIRED, 0.0))

    def test_mean_latency_grows_with_calls_that_time_out(self):
        """A mean over the calls that finished would hide that most do not."""
        queued = self.run_state["started"][0]
        late = Sample(3.0, 1, overloaded=True, timed_out=True)
        finish(self.run_state, queued, late, 0.0)
        self.assertGreater(self.admission["mean_latency_s"], 1.0)
        queued = self.run_state["started"][-1]
        before = self.admission["mean_latency_s"]
        short = Sample(0.001, 1, overloaded=True, timed_out=True)
        finish(self.run_state, queued, short, 0.0)
        self.assertEqual(self.admission["mean_latency_s"], before)

    def test_without_deadline_drop_expired_calls_start(self):
        """The control of scenarios on deadlines must run what is too late."""
        run = busy_run(disabled=frozenset({Mechanism.DEADLINE_DROP}))
        run["admission"]["mean_latency_s"] = 1.0
        self.assertEqual(arrive(run, call_head("late", deadline=0.5), 1.0), Admit())
        run["admission"]["in_flight"].clear()
        start_waiting(run, 2.0)
        self.assertEqual(run["started"][-1].head.request_id, "late")


def play_overload(disabled=frozenset()):
    """Return the results at 4 times capacity and at half of it; 10% of calls are important."""
    phases = (Phase("overload", 6.0, 20, 0.05, 1600.0), Phase("calm", 2.0, 20, 0.05, 200.0))
    policy = service_policy_with(FixedLimitPolicy(20), queue_length=80)
    target = FakeTarget(policy, seed=11, importances=(1,) * 9 + (6,), disabled=disabled)
    return [target.play(phase, deadline_s=0.5) for phase in phases]


class ThresholdTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.overload, cls.calm = play_overload()

    def test_important_calls_are_answered_at_four_times_capacity(self):
        """Filings must not suffer from draft views, and the target must stay in use."""
        self.assertLessEqual(self.overload.lost[6], 0.01 * self.overload.asked[6])
        self.assertGreaterEqual(self.overload.useful_share, 0.9)
        self.assertLess(self.overload.wasted_share, 0.03)

    def test_threshold_rises_under_overload_and_falls_after_it(self):
        """A threshold that stays up would refuse calls that there is room for again."""
        self.assertGreater(self.overload.highest_threshold, 128)
        self.assertEqual(self.calm.last_threshold, 0)
        self.assertLessEqual(self.calm.lost[1], 0.05 * self.calm.asked[1])

    def test_without_importance_important_calls_suffer(self):
        """The control shows that the first test of this class measures importance."""
        overload, _ = play_overload(frozenset({Mechanism.IMPORTANCE}))
        self.assertGreater(overload.lost[6], 0.5 * overload.asked[6])

    def test_threshold_is_not_advertised_while_a_slot_is_free(self):
        """Peers would keep calls away from an idle target."""
        run = new_run(limit=1)
        run["admission"]["threshold"] = 300
        self.assertEqual(advertised_threshold(run["admission"]), 0)
        arrive(run, call_head("a", 0), 0.0)
        self.assertEqual(advertised_threshold(run["admission"]), 300)

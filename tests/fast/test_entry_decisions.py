"""Guards routing, choice of targets and repeats at the node where a request arrives."""

import unittest
from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.commands.fleet import (
    advance_split,
    put_target,
    record_call_sent,
    record_load,
    record_node_not_ready,
    record_node_started,
    record_node_stops,
    record_target_outcome,
    record_target_unreachable,
)
from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.fleet import LoadReport, NoTarget, SendToNode, SendToOwnTarget
from jacinthsail.internal.model.request_state import (
    AnswerHere,
    Begin,
    Deliver,
    GiveUp,
    SendAgain,
    TargetAnswer,
)
from jacinthsail.internal.model.retry_budget import Repeat
from jacinthsail.internal.queries.fleet_view import new_fleet
from jacinthsail.internal.queries.manifest_routes import decide_entry, route_of
from jacinthsail.internal.queries.next_steps import is_fault_of_target, next_step
from jacinthsail.internal.queries.target_choice import choose_target
from tests.common.fleets import PLACE, exchange, facts, fleet, route, target

STEADY = settings(derandomize=True, deadline=None, max_examples=100)

OK = TargetAnswer(200, b"", b"x")
FAILED = TargetAnswer(500, b"", b"")
SHED = TargetAnswer(500, b"", b"", is_shed=True)


class RoutesTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        """A request on a nested prefix would run at the wrong service."""
        state = fleet(routes=(route("outer", "/a/"), route("inner", "/a/b/")))
        for path, name in (("/a/x", "outer"), ("/a/b/x", "inner"), ("/a/bx", "outer")):
            with self.subTest(path=path):
                self.assertEqual(route_of(state["routes"], "h.example", path).name, name)
        self.assertIsNone(route_of(state["routes"], "h.example", "/b/a/"))
        self.assertIsNone(route_of(state["routes"], "other.example", "/a/x"))

    def test_no_manifest_is_a_promise_that_nothing_ran(self):
        """A 404 before the first manifest would tell callers to stop asking."""
        decision = decide_entry(new_fleet(PLACE), facts(), 0.0)
        self.assertEqual((decision.status, decision.reason), (503, Reason.NOT_READY))

    def test_time_left_bounds_the_deadline(self):
        """A caller that waits 100 ms must not occupy a queue for the route's whole timeout."""
        state = fleet(routes=(route(timeout_s=2.0),))
        self.assertEqual(decide_entry(state, facts(time_left_s=0.1), 5.0).deadline, 5.1)
        self.assertEqual(decide_entry(state, facts(), 5.0).deadline, 7.0)
        self.assertIsInstance(decide_entry(state, facts(time_left_s=0.0), 5.0), AnswerHere)

    @STEADY
    @given(st.integers(1, 99))
    def test_split_follows_the_weights(self, weight):
        """A share that lies off its weight sends an untested version too many requests."""
        policy = route(services=("a", "b"), weights=(float(weight), float(100 - weight)))
        state = fleet(routes=(policy,))
        counts = Counter()
        for _ in range(300):
            decision = decide_entry(state, facts(), 0.0)
            self.assertIsInstance(decision, Begin)
            counts[decision.service] += 1
            advance_split(state, policy)
        self.assertAlmostEqual(counts["a"] / 300, weight / 100, delta=0.02)


class TargetChoiceTest(unittest.TestCase):
    def choose(self, state, request=None, now=0.0):
        return choose_target(state, PLACE, request or exchange(), now, Random(1))

    def test_own_failure_domain_comes_first(self):
        """Bytes between failure domains are paid for, and a partition may cut them off."""
        state = fleet(
            target("far", "10.0.2.1", "davao", "mindanao"),
            target("near", "10.0.0.2"),
            target("region", "10.0.1.1", "baguio"),
        )
        self.assertEqual(self.choose(state).entry.incarnation, "near")

    def test_own_target_needs_no_other_node(self):
        """A call to the own target that went through another node would pay two more hops."""
        state = fleet(target("own", PLACE.host))
        self.assertIsInstance(self.choose(state), SendToOwnTarget)

    def test_long_queue_nearby_sends_calls_further(self):
        """One overloaded failure domain would miss its times while others have free slots."""
        state = fleet(target("near", "10.0.0.2"), target("region", "10.0.1.1", "baguio"))
        record_load(state, "near", LoadReport(10, 40, 10, 0.1), 0.0)
        self.assertEqual(self.choose(state).entry.incarnation, "region")

    def test_calls_since_the_last_report_count(self):
        """All calls between two reports would go to one target."""
        entry = target("near", "10.0.0.2")
        state = fleet(entry, target("region", "10.0.1.1", "baguio"))
        for _ in range(200):
            record_call_sent(state, entry)
        self.assertEqual(self.choose(state).entry.incarnation, "region")

    def test_request_turned_away_by_as_many_targets_as_allowed_stays_with_them(self):
        """A request that did not run could reach more targets than its route allows."""
        state = fleet(target("a", "10.0.0.2"), target("b", "10.0.1.1", "baguio"))
        request = exchange(route(max_attempts=1))
        request["offered"].add("b")
        self.assertEqual(self.choose(state, request).entry.incarnation, "b")

    def test_leaving_draining_and_tried_targets_get_nothing_new(self):
        """A target that leaves must stop receiving work within seconds."""
        state = fleet(target("leaving", "10.0.0.2", leaving=True), target("draining", "10.0.0.3"))
        record_node_stops(state, ("draining",), 0.0)
        self.assertIsInstance(self.choose(state), NoTarget)
        put_target(state, target("tried", "10.0.0.4"))
        request = exchange()
        request["tried"].add("tried")
        self.assertIsInstance(self.choose(state, request), NoTarget)

    def test_target_of_a_node_without_manifest_is_the_last_choice(self):
        """After an outage of the store calls would find no target while all nodes restarted."""
        state = fleet(target("near", "10.0.0.2"), target("region", "10.0.1.1", "baguio"))
        record_node_not_ready(state, "near", 0.0)
        self.assertEqual(self.choose(state).entry.incarnation, "region")
        record_node_stops(state, ("region",), 0.0)
        self.assertEqual(self.choose(state).entry.incarnation, "near")

    def test_failures_that_all_targets_share_keep_calls_nearby(self):
        """While a whole service fails, calls to other regions would cost bytes and gain nothing."""
        state = fleet(target("near", "10.0.0.2"), target("far", "10.0.2.1", "davao", "mindanao"))
        for number in range(40):
            record_target_outcome(state, "near", number % 4 != 0, 0.0)
            record_target_outcome(state, "far", number % 2 != 0, 0.0)
        self.assertEqual(self.choose(state).entry.incarnation, "near")

    def test_node_that_has_started_again_gets_work(self):
        """A target would stay without work for good after a restart of the node beside it."""
        state = fleet(target("a", "10.0.0.2"), target("b", "10.0.1.1", "baguio"))
        record_node_stops(state, ("a",), 0.0)
        self.assertEqual(self.choose(state, now=1.0).entry.incarnation, "b")
        self.assertEqual(self.choose(state, now=5.0).entry.incarnation, "a")
        record_node_stops(state, ("a",), 5.0)
        record_node_started(state, ("a",))
        self.assertEqual(self.choose(state, now=5.1).entry.incarnation, "a")

    def test_failing_target_is_left_for_a_further_one_and_tried_again_later(self):
        """A target that fails half of its calls at once would attract them as the fastest one."""
        state = fleet(target("near", "10.0.0.2"), target("region", "10.0.1.1", "baguio"))
        for _ in range(20):
            record_target_outcome(state, "near", True, 0.0)
        self.assertEqual(self.choose(state).entry.incarnation, "region")
        self.assertEqual(self.choose(state, now=10.0).entry.incarnation, "near")

    def test_suspected_targets_are_a_last_resort(self):
        """Refusing everything because all targets failed once would outlast the fault."""
        state = fleet(target("a", "10.0.0.2"), target("b", "10.0.1.1", "baguio"))
        record_target_unreachable(state, "a", 0.0)
        self.assertEqual(self.choose(state, now=0.1).entry.incarnation, "b")
        record_target_unreachable(state, "b", 0.0)
        self.assertIsInstance(self.choose(state, now=0.1), SendToNode)
        self.assertEqual(self.choose(state, now=5.0).entry.incarnation, "a")


class NextStepsTest(unittest.TestCase):
    def test_success_is_delivered(self):
        """An answer that is ready must reach its caller."""
        self.assertEqual(next_step(OK, exchange(), 0.0, 9.0), Deliver(OK))

    def test_failed_repeatable_request_is_sent_again(self):
        """One failing target in a hundred would fail one caller in a hundred."""
        step = next_step(FAILED, exchange(), 0.0, 0.1)
        self.assertEqual(step, SendAgain(Reason.TARGET_ANSWERED, Repeat.RUN))

    def test_failure_that_all_targets_share_is_not_repeated(self):
        """A second run would fail too and take the repeats of the services behind."""
        self.assertEqual(next_step(FAILED, exchange(), 0.5, 0.1), Deliver(FAILED))

    def test_slow_target_is_at_fault_and_one_before_a_full_service_is_not(self):
        """Callers beside a slow target would go on asking it while others are idle."""
        for status, is_shed, at_fault in (
            (504, False, True),
            (500, True, False),
            (404, False, False),
        ):
            with self.subTest(status=status):
                answer = TargetAnswer(status, b"", b"", is_shed)
                self.assertEqual(is_fault_of_target(answer), at_fault)

    def test_run_without_room_further_on_is_not_repeated(self):
        """Another run would make all its calls again and meet the same full service."""
        shed = FAILED._replace(is_shed=True)
        self.assertEqual(next_step(shed, exchange(), 0.0, 0.1), Deliver(shed))

    def test_at_most_once_request_is_never_sent_again_after_it_may_have_run(self):
        """A filing or a charge would run twice."""
        request = exchange(route(execution=Execution.AT_MOST_ONCE))
        self.assertEqual(next_step(FAILED, request, 0.0, 0.1), Deliver(FAILED))
        for reason in (Reason.CONNECTION_LOST, Reason.INCOMPLETE_ANSWER):
            step = next_step(Unknown(reason, 0), request, 0.0, 0.1)
            self.assertEqual((type(step), step.status), (GiveUp, 502))

    def test_at_most_once_request_goes_on_after_a_true_not_run(self):
        """A filing would be refused although another target is free."""
        request = exchange(route(execution=Execution.AT_MOST_ONCE))
        step = next_step(NotRun(Reason.TARGET_REFUSED, 0), request, 0.0, 0.1)
        self.assertEqual(step, SendAgain(Reason.TARGET_REFUSED, Repeat.OFFER))
        step = next_step(NotRun(Reason.QUEUE_FULL, 0, 0.2), request, 0.0, 0.1)
        self.assertEqual(step, SendAgain(Reason.QUEUE_FULL, Repeat.NONE))

    def test_not_run_is_promised_only_when_no_send_may_have_run(self):
        """A 503 after a lost answer would tell the caller that its request never ran."""
        request = exchange()
        request["refusals"] = 9
        refused = NotRun(Reason.QUEUE_FULL, 0, 0.2)
        self.assertEqual(next_step(refused, request, 0.0, 0.1), GiveUp(503, Reason.QUEUE_FULL, 0.2))
        request["unsettled"] = True
        self.assertEqual(next_step(refused, request, 0.0, 0.1).status, 502)

    def test_spent_budget_ends_the_repeats_with_the_answer_there_is(self):
        """A caller would lose the target's own failure, or more nodes would be asked in vain."""
        request = exchange()
        spent = NotRun(Reason.RETRIES_SPENT, 0, 0.2)
        self.assertEqual(
            next_step(spent, request, 0.0, 0.1), GiveUp(503, Reason.RETRIES_SPENT, 0.2)
        )
        request["unsettled"] = True
        request["failed_answer"] = FAILED
        self.assertEqual(next_step(spent, request, 0.0, 0.1), Deliver(FAILED))

    def test_attempts_are_bounded(self):
        """A request must not reach more targets than its route allows."""
        request = exchange()
        request["offered"] |= {"a", "b"}
        self.assertEqual(next_step(FAILED, request, 0.0, 0.1), Deliver(FAILED))

    def test_nothing_is_sent_again_without_time(self):
        """A repeat that cannot finish in time is wasted work."""
        self.assertEqual(next_step(FAILED, exchange(), 0.0, 1.97), Deliver(FAILED))

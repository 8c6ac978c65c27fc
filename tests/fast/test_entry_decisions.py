"""Tests routing, choice of targets and retries at the node where a request arrives."""

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
    record_node_draining,
    record_node_not_ready,
    record_node_started,
    record_target_outcome,
    record_target_unreachable,
)
from jacinthsail.internal.model.calls import NotRun, Reason, Unknown
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.fleet import (
    KindLoad,
    LoadReport,
    NoTarget,
    SendToLocalTarget,
    SendToNode,
)
from jacinthsail.internal.model.request_state import (
    AcceptRequest,
    FailRequest,
    ForwardedResponse,
    RespondLocally,
    RetryAttempt,
    ReturnResponse,
)
from jacinthsail.internal.model.retry_budget import RetryKind
from jacinthsail.internal.queries.fleet_view import new_fleet
from jacinthsail.internal.queries.lineage import nested_call_rank
from jacinthsail.internal.queries.manifest_routes import decide_entry, match_route
from jacinthsail.internal.queries.next_steps import is_target_failure, next_step
from jacinthsail.internal.queries.target_choice import choose_target
from tests.common.fleets import LOCATION, fleet, request_info, request_state, route, target

REPEATABLE = settings(derandomize=True, deadline=None, max_examples=100)

OK = ForwardedResponse(200, b"", b"x")
FAILED = ForwardedResponse(500, b"", b"")
SHED = ForwardedResponse(500, b"", b"", is_shed=True)


class RoutesTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        """Otherwise a request on a nested prefix would execute at the wrong service."""
        state = fleet(routes=(route("outer", "/a/"), route("inner", "/a/b/")))
        for path, name in (("/a/x", "outer"), ("/a/b/x", "inner"), ("/a/bx", "outer")):
            with self.subTest(path=path):
                self.assertEqual(match_route(state["routes"], "h.example", path).name, name)
        self.assertIsNone(match_route(state["routes"], "h.example", "/b/a/"))
        self.assertIsNone(match_route(state["routes"], "other.example", "/a/x"))

    def test_missing_manifest_is_reported_as_not_run(self):
        """A 404 before the first manifest would make callers stop retrying."""
        decision = decide_entry(new_fleet(LOCATION), request_info(), 0.0)
        self.assertEqual((decision.status, decision.reason), (503, Reason.NOT_READY))

    def test_remaining_time_bounds_the_deadline(self):
        """A caller that waits 100 ms must not occupy a queue for the route's whole timeout."""
        state = fleet(routes=(route(timeout_s=2.0),))
        self.assertEqual(decide_entry(state, request_info(remaining_time_s=0.1), 5.0).deadline, 5.1)
        self.assertEqual(decide_entry(state, request_info(), 5.0).deadline, 7.0)
        self.assertIsInstance(
            decide_entry(state, request_info(remaining_time_s=0.0), 5.0), RespondLocally
        )

    @REPEATABLE
    @given(st.integers(1, 99))
    def test_split_follows_the_weights(self, weight):
        """A share above its weight would send an untested version too many requests."""
        policy = route(services=("a", "b"), weights=(float(weight), float(100 - weight)))
        state = fleet(routes=(policy,))
        counts = Counter()
        for _ in range(300):
            decision = decide_entry(state, request_info(), 0.0)
            self.assertIsInstance(decision, AcceptRequest)
            counts[decision.service] += 1
            advance_split(state, policy)
        self.assertAlmostEqual(counts["a"] / 300, weight / 100, delta=0.02)


class TargetChoiceTest(unittest.TestCase):
    def choose(self, state, request=None, now=0.0):
        return choose_target(state, LOCATION, request or request_state(), now, Random(1))

    def test_own_failure_domain_comes_first(self):
        """Traffic between failure domains is billed, and a partition may interrupt it."""
        state = fleet(
            target("far", "10.0.2.1", "davao", "mindanao"),
            target("near", "10.0.0.2"),
            target("region", "10.0.1.1", "baguio"),
        )
        self.assertEqual(self.choose(state).entry.incarnation, "near")

    def test_local_target_is_called_directly(self):
        """A call to the local target through another node would take two more hops."""
        state = fleet(target("local", LOCATION.host))
        self.assertIsInstance(self.choose(state), SendToLocalTarget)

    def test_long_queue_nearby_makes_calls_go_further(self):
        """An overloaded failure domain would miss deadlines while others have free slots."""
        state = fleet(target("near", "10.0.0.2"), target("region", "10.0.1.1", "baguio"))
        record_load(
            state, "near", LoadReport(10, 40, 10, KindLoad(0.1, 0.4), KindLoad(0.1, 0.4)), 0.0
        )
        self.assertEqual(self.choose(state).entry.incarnation, "region")

    def test_long_new_requests_do_not_drive_nested_calls_away(self):
        """Short calls would cross failure domains while their target nearby has free slots."""
        state = fleet(target("near", "10.0.0.2"), target("region", "10.0.1.1", "baguio"))
        record_load(state, "near", LoadReport(9, 0, 10, KindLoad(1.2, 0.0), KindLoad(0.05, 0)), 0.0)
        request = request_state(route())
        request["rank"] = nested_call_rank(request["rank"])
        self.assertEqual(self.choose(state, request).entry.incarnation, "near")

    def test_calls_since_the_last_report_count(self):
        """Otherwise all calls between two load reports would go to one target."""
        entry = target("near", "10.0.0.2")
        state = fleet(entry, target("region", "10.0.1.1", "baguio"))
        for _ in range(200):
            record_call_sent(state, entry)
        self.assertEqual(self.choose(state).entry.incarnation, "region")

    def test_request_at_its_attempt_limit_goes_only_to_previous_targets(self):
        """An unexecuted request could otherwise reach more targets than its route allows."""
        state = fleet(target("a", "10.0.0.2"), target("b", "10.0.1.1", "baguio"))
        request = request_state(route(max_attempts=1))
        request["attempted_targets"].add("b")
        self.assertEqual(self.choose(state, request).entry.incarnation, "b")

    def test_draining_and_excluded_targets_receive_no_requests(self):
        """A draining target must stop receiving requests within seconds."""
        state = fleet(
            target("listed-draining", "10.0.0.2", is_draining=True),
            target("node-draining", "10.0.0.3"),
        )
        record_node_draining(state, ("node-draining",), 0.0)
        self.assertIsInstance(self.choose(state), NoTarget)
        put_target(state, target("excluded", "10.0.0.4"))
        request = request_state()
        request["excluded_targets"].add("excluded")
        self.assertIsInstance(self.choose(state, request), NoTarget)

    def test_target_of_a_node_without_manifest_is_the_last_choice(self):
        """After a store outage, calls would otherwise find no target while all nodes restart."""
        state = fleet(target("near", "10.0.0.2"), target("region", "10.0.1.1", "baguio"))
        record_node_not_ready(state, "near", 0.0)
        self.assertEqual(self.choose(state).entry.incarnation, "region")
        record_node_draining(state, ("region",), 0.0)
        self.assertEqual(self.choose(state).entry.incarnation, "near")

    def test_failures_that_all_targets_share_keep_calls_nearby(self):
        """While a whole service fails, calls to other regions would cost bytes without any gain."""
        state = fleet(target("near", "10.0.0.2"), target("far", "10.0.2.1", "davao", "mindanao"))
        for number in range(40):
            record_target_outcome(state, "near", number % 4 != 0, 0.0)
            record_target_outcome(state, "far", number % 2 != 0, 0.0)
        self.assertEqual(self.choose(state).entry.incarnation, "near")

    def test_restarted_node_receives_requests(self):
        """A target must not stay without requests after a restart of the node beside it."""
        state = fleet(target("a", "10.0.0.2"), target("b", "10.0.1.1", "baguio"))
        record_node_draining(state, ("a",), 0.0)
        self.assertEqual(self.choose(state, now=1.0).entry.incarnation, "b")
        self.assertEqual(self.choose(state, now=5.0).entry.incarnation, "a")
        record_node_draining(state, ("a",), 5.0)
        record_node_started(state, ("a",))
        self.assertEqual(self.choose(state, now=5.1).entry.incarnation, "a")

    def test_failing_target_is_avoided_and_retried_later(self):
        """A target that fails calls immediately would otherwise attract them as the fastest one."""
        state = fleet(target("near", "10.0.0.2"), target("region", "10.0.1.1", "baguio"))
        for _ in range(20):
            record_target_outcome(state, "near", True, 0.0)
        self.assertEqual(self.choose(state).entry.incarnation, "region")
        self.assertEqual(self.choose(state, now=10.0).entry.incarnation, "near")

    def test_suspected_targets_are_a_last_resort(self):
        """Refusing all requests because every target failed once would prolong the outage."""
        state = fleet(target("a", "10.0.0.2"), target("b", "10.0.1.1", "baguio"))
        record_target_unreachable(state, "a", 0.0)
        self.assertEqual(self.choose(state, now=0.1).entry.incarnation, "b")
        record_target_unreachable(state, "b", 0.0)
        self.assertIsInstance(self.choose(state, now=0.1), SendToNode)
        self.assertEqual(self.choose(state, now=5.0).entry.incarnation, "a")


class NextStepsTest(unittest.TestCase):
    def test_success_is_returned(self):
        """A successful response must reach its caller."""
        self.assertEqual(next_step(OK, request_state(), 0.0, 9.0), ReturnResponse(OK))

    def test_failed_repeatable_request_is_retried(self):
        """Otherwise one failing target in a hundred would fail one caller in a hundred."""
        step = next_step(FAILED, request_state(), 0.0, 0.1)
        self.assertEqual(step, RetryAttempt(Reason.TARGET_ANSWERED, RetryKind.POSSIBLY_EXECUTED))

    def test_failure_that_all_targets_share_is_not_retried(self):
        """A retry would fail too and use up the retry budget of downstream services."""
        self.assertEqual(next_step(FAILED, request_state(), 0.5, 0.1), ReturnResponse(FAILED))

    def test_timeout_is_a_target_failure_and_a_shed_nested_call_is_not(self):
        """Otherwise nearby callers would keep calling a slow target while others are idle."""
        for status, is_shed, is_failure in (
            (504, False, True),
            (500, True, False),
            (404, False, False),
        ):
            with self.subTest(status=status):
                target_response = ForwardedResponse(status, b"", b"", is_shed)
                self.assertEqual(is_target_failure(target_response), is_failure)

    def test_request_with_a_shed_nested_call_is_not_retried(self):
        """A retry would make all nested calls again and meet the same overloaded service."""
        shed = FAILED._replace(is_shed=True)
        self.assertEqual(next_step(shed, request_state(), 0.0, 0.1), ReturnResponse(shed))

    def test_at_most_once_request_is_not_retried_after_it_may_have_executed(self):
        """Otherwise a filing or a charge could execute twice."""
        request = request_state(route(execution=Execution.AT_MOST_ONCE))
        self.assertEqual(next_step(FAILED, request, 0.0, 0.1), ReturnResponse(FAILED))
        for reason in (Reason.CONNECTION_LOST, Reason.INCOMPLETE_ANSWER):
            step = next_step(Unknown(reason, 0), request, 0.0, 0.1)
            self.assertEqual((type(step), step.status), (FailRequest, 502))

    def test_at_most_once_request_is_retried_after_a_proven_not_run(self):
        """Otherwise a filing would be refused although another target is free."""
        request = request_state(route(execution=Execution.AT_MOST_ONCE))
        step = next_step(NotRun(Reason.TARGET_REFUSED, 0), request, 0.0, 0.1)
        self.assertEqual(step, RetryAttempt(Reason.TARGET_REFUSED, RetryKind.NOT_EXECUTED))
        step = next_step(NotRun(Reason.QUEUE_FULL, 0, 0.2), request, 0.0, 0.1)
        self.assertEqual(step, RetryAttempt(Reason.QUEUE_FULL, RetryKind.NONE))

    def test_not_run_is_reported_only_if_no_attempt_may_have_executed(self):
        """A 503 after a lost response would falsely report that the request was not executed."""
        request = request_state()
        request["node_refusals"] = 9
        refused = NotRun(Reason.QUEUE_FULL, 0, 0.2)
        self.assertEqual(
            next_step(refused, request, 0.0, 0.1), FailRequest(503, Reason.QUEUE_FULL, 0.2)
        )
        request["may_have_executed"] = True
        self.assertEqual(next_step(refused, request, 0.0, 0.1).status, 502)

    def test_spent_budget_ends_retries_with_the_last_response(self):
        """The caller must get the target's failure, and no further nodes must be called in vain."""
        request = request_state()
        spent = NotRun(Reason.RETRIES_SPENT, 0, 0.2)
        self.assertEqual(
            next_step(spent, request, 0.0, 0.1), FailRequest(503, Reason.RETRIES_SPENT, 0.2)
        )
        request["may_have_executed"] = True
        request["failed_response"] = FAILED
        self.assertEqual(next_step(spent, request, 0.0, 0.1), ReturnResponse(FAILED))

    def test_attempts_are_bounded(self):
        """A request must not reach more targets than its route allows."""
        request = request_state()
        request["attempted_targets"] |= {"a", "b"}
        self.assertEqual(next_step(FAILED, request, 0.0, 0.1), ReturnResponse(FAILED))

    def test_request_without_remaining_time_is_not_retried(self):
        """A retry that cannot finish in time is wasted work."""
        self.assertEqual(next_step(FAILED, request_state(), 0.0, 1.97), ReturnResponse(FAILED))

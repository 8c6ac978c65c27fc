"""Tests the checks of the fault soak: one that finds nothing would let every run pass."""

import unittest

from jacinthsail.testing.soak_accounts import ACCOUNT, REVOCATION_S, SoakAccounts
from jacinthsail.testing.soak_checks import violations
from jacinthsail.testing.soak_model import (
    STILL_RUNNING,
    Attempt,
    Departure,
    Disturbance,
    Ending,
    Execution,
    MovedRoute,
    StopNode,
    new_record,
)
from jacinthsail.testing.soak_plan import draw_plan

STOP_AT = 100.0

ANSWERED = Attempt("r", 1, False, False, 101.0, 101.5, 5.0, Ending.ANSWERED, 200, True, True, False)
EXECUTION = Execution("r", 3, "filings", "i-1", 101.0, 101.5)


class SoakChecksTest(unittest.TestCase):
    def setUp(self):
        self.record = new_record()
        self.record["disturbances"].append(Disturbance(1, "stop", STOP_AT, True))

    def rules(self, attempt, *executions):
        self.record["attempts"] = [attempt]
        self.record["executions"] = list(executions)
        return [violation.rule for violation in violations(self.record)]

    def test_whole_response_keeps_every_promise(self):
        """A false alarm would hide the real ones."""
        self.assertEqual(self.rules(ANSWERED, EXECUTION), [])

    def test_response_of_another_request(self):
        self.assertEqual(self.rules(ANSWERED._replace(is_whole=False), EXECUTION), ["MIXED"])

    def test_filing_that_ran_twice(self):
        self.assertEqual(self.rules(ANSWERED, EXECUTION, EXECUTION), ["TWICE"])
        lookup = ANSWERED._replace(is_repeatable=True)
        self.assertEqual(self.rules(lookup, EXECUTION, EXECUTION), [])

    def test_false_refusal(self):
        refused = ANSWERED._replace(status=503, is_sealed=False)
        self.assertIn("REFUSED", self.rules(refused, EXECUTION))
        self.assertEqual(self.rules(refused), [])

    def test_requests_lost_around_a_stop(self):
        """These are the losses that callers saw around planned stops."""
        cut = ANSWERED._replace(ending=Ending.CUT, status=0, is_sealed=False, is_whole=False)
        own_failure = ANSWERED._replace(status=502, is_sealed=False, is_whole=False)
        for attempt in (cut, own_failure):
            with self.subTest(ending=attempt.ending):
                self.assertEqual(self.rules(attempt, EXECUTION), ["LOST"])
                self.record["disturbances"][0] = Disturbance(2, "stop", STOP_AT, True)
                self.assertEqual(self.rules(attempt, EXECUTION), [])
                self.record["disturbances"][0] = Disturbance(1, "stop", STOP_AT, True)
        self.assertEqual(self.rules(cut), ["LOST"])

    def test_excused_losses(self):
        """Rules that the pages do not state would be reported as broken."""
        cut = ANSWERED._replace(ending=Ending.CUT, status=0, is_sealed=False, ended_at=105.1)
        at_work = EXECUTION._replace(ended_at=STILL_RUNNING)
        self.assertEqual(self.rules(cut._replace(limit_s=6.0), at_work), [])
        late = cut._replace(sent_at=103.5, limit_s=6.0)
        self.assertEqual(self.rules(late, at_work), ["LOST"])
        self.assertEqual(self.rules(cut._replace(limit_s=4.0), EXECUTION), [])
        self.assertEqual(self.rules(cut._replace(is_behind=True)), [])
        self.record["disturbances"].append(Disturbance(2, "kill", 102.0, False))
        self.assertEqual(self.rules(late, at_work), [])

    def test_execution_at_a_target_that_left(self):
        self.record["disturbances"].clear()
        self.record["departures"] = [Departure("i-1", 98.0)]
        self.assertEqual(self.rules(ANSWERED, EXECUTION), ["DRAIN"])
        self.record["departures"] = [Departure("i-1", 99.5)]
        self.assertEqual(self.rules(ANSWERED, EXECUTION), [])

    def test_disturbance_of_another_node_excuses_nothing(self):
        """While nodes stop all the time, no late request would ever be reported."""
        self.record["departures"] = [Departure("i-1", 98.0)]
        for node, rules in ((2, ["DRAIN"]), (1, []), (3, []), (0, [])):
            with self.subTest(node=node):
                self.record["disturbances"] = [Disturbance(node, "freeze", 99.0, False)]
                self.assertEqual(self.rules(ANSWERED, EXECUTION), rules)

    def test_execution_by_a_service_from_which_the_route_was_moved(self):
        self.record["disturbances"].clear()
        moved = ANSWERED._replace(is_moved=True)
        self.record["moves"] = [MovedRoute("filings", 10.0), MovedRoute("drafts", 98.0)]
        self.assertEqual(self.rules(moved, EXECUTION), ["CONFIG"])
        self.assertEqual(self.rules(moved, EXECUTION._replace(service="drafts")), [])
        self.record["moves"][1] = MovedRoute("drafts", 99.5)
        self.assertEqual(self.rules(moved, EXECUTION), [])

    def test_key_that_was_withdrawn_too_long_before(self):
        """Nothing excuses it, not even a fault of the node."""
        self.record["disturbances"].append(Disturbance(1, "freeze", 100.5, False))
        self.record["keys"]["r"] = "k0"
        self.record["withdrawals"]["k0"] = ANSWERED.sent_at - REVOCATION_S + 0.1
        self.assertEqual(self.rules(ANSWERED, EXECUTION), [])
        self.record["withdrawals"]["k0"] = ANSWERED.sent_at - REVOCATION_S - 0.1
        self.assertEqual(self.rules(ANSWERED, EXECUTION), ["REVOKE"])

    def test_target_that_was_told_a_key_or_another_account(self):
        accounts = SoakAccounts(1, self.record)
        told = [(b"X-Tenant-Id", ACCOUNT.encode())]
        accounts.check_headers("r", told)
        accounts.check_headers("r.0", [])
        self.assertEqual(self.record["wrong_accounts"], [])
        for name, headers in (
            ("r", [*told, (b"X-Api-Key", b"k0")]),
            ("r", [(b"X-Tenant-Id", b"choir")]),
            ("r", []),
            ("r.0", told),
        ):
            accounts.check_headers(name, headers)
        self.assertEqual(len(self.record["wrong_accounts"]), 4)

    def test_process_that_ended_by_itself(self):
        self.record["unexpected_exits"].append("node 1 ended with status 1")
        self.assertEqual(self.rules(ANSWERED, EXECUTION), ["EXIT"])


class SoakPlanTest(unittest.TestCase):
    def test_seed_determines_the_plan(self):
        """A run that failed could not be repeated."""
        self.assertEqual(draw_plan(7, 8, 20.0, True), draw_plan(7, 8, 20.0, True))
        self.assertNotEqual(draw_plan(7, 8, 20.0, True), draw_plan(8, 8, 20.0, True))

    def test_stops_overlap(self):
        """A stop on its own does not show what another stop beside it breaks."""
        overlapping = 0
        for seed in range(20):
            actions = draw_plan(seed, 8, 20.0, False).actions
            stops = [action.at for action in actions if isinstance(action, StopNode)]
            overlapping += any(
                later - earlier < 6.0 for earlier, later in zip(stops, stops[1:], strict=False)
            )
        self.assertGreater(overlapping, 15)

    def test_proxies_add_actions_to_those_of_the_seed(self):
        """A seed that failed once would no longer repeat the same work."""
        for with_faults in (False, True):
            plan = draw_plan(301, 8, 20.0, with_faults)
            extended = draw_plan(301, 8, 20.0, with_faults, with_proxies=True)
            self.assertLess(set(plan.actions), set(extended.actions))
            self.assertEqual(
                extended.actions, tuple(sorted(extended.actions, key=lambda one: one.at))
            )

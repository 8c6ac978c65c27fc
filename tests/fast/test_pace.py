import unittest

from jacinthsail.internal.commands.pace import (
    begin_pace,
    record_paced_failure,
    record_paced_response,
    record_sent,
)
from jacinthsail.internal.commands.target_queue import record_duration, record_request_start
from jacinthsail.internal.model.target_queue import QueueRequest, StartRequest
from jacinthsail.internal.model.work import WorkKind
from jacinthsail.internal.queries.pace import IDLE_S, limit_on_slots, new_pace
from jacinthsail.internal.queries.target_queue import decide_queueing, load_report, new_target_queue
from jacinthsail.platform.settings import decode_settings
from jacinthsail.testing.fuzz import SAMPLE_SETTINGS
from tests.common.fleets import forwarded

SLOTS = 32
USUAL_S = 0.1


class PaceTest(unittest.TestCase):
    """Load: a target that starts, recovers or was idle, while many callers send to it at once."""

    def begun(self, is_warm=False):
        pace = new_pace(True)
        begin_pace(pace, SLOTS, is_warm)
        return pace

    def answer(self, pace, count, duration_s=USUAL_S, kind=WorkKind.NEW, now=0.0):
        for _ in range(count):
            record_paced_response(pace, kind, duration_s, SLOTS, now)

    def test_cold_target_is_not_flooded(self):
        """All slots were filled at once, so the first requests all came late."""
        self.assertEqual(limit_on_slots(self.begun(), SLOTS), 3)
        self.assertEqual(limit_on_slots(self.begun(is_warm=True), SLOTS), 16)

    def test_target_that_answers_steadily_is_not_left_idle(self):
        """A fixed warm-up time would leave its slots unused; it takes five rounds instead."""
        pace = self.begun()
        rounds = 0
        while pace["limit"] is not None:
            self.answer(pace, limit_on_slots(pace, SLOTS))
            rounds += 1
        self.assertLessEqual(rounds, 5)
        self.assertEqual(limit_on_slots(pace, SLOTS), SLOTS)

    def test_slow_target_is_used_if_more_requests_make_it_no_slower(self):
        """A target that stays slow would never get more than the first few requests."""
        pace = self.begun()
        for _ in range(6):
            self.answer(pace, limit_on_slots(pace, SLOTS), 4 * USUAL_S)
        self.assertIsNone(pace["limit"])

    def test_limit_stays_while_more_requests_make_the_target_slower(self):
        """Doubling on would queue the requests inside the target, where none can be refused."""
        pace = self.begun()
        self.answer(pace, 3)
        before = pace["limit"]
        self.answer(pace, int(before), 2 * USUAL_S)
        self.assertEqual(pace["limit"], before)
        self.answer(pace, int(before), 7 * USUAL_S, now=1.0)
        self.assertLess(pace["limit"], before)

    def test_slower_services_behind_the_target_hold_it_for_one_round_only(self):
        """A shortage further on would keep a healthy target at its first limit."""
        pace = self.begun()
        self.answer(pace, 3)
        self.answer(pace, int(pace["limit"]), 2 * USUAL_S)
        held = pace["limit"]
        self.answer(pace, int(held), 2 * USUAL_S)
        self.assertEqual(pace["limit"], 2 * held)

    def test_kinds_of_requests_are_compared_with_their_own(self):
        """Long requests after short ones would look like an overload."""
        pace = self.begun()
        self.answer(pace, 2, 0.01, WorkKind.NESTED)
        self.answer(pace, 1, 1.0, WorkKind.NEW)
        before = pace["limit"]
        self.answer(pace, 1, 0.01, WorkKind.NESTED)
        self.answer(pace, int(before) - 1, 1.0, WorkKind.NEW)
        self.assertEqual(pace["limit"], 2 * before)

    def test_refusals_lower_the_limit_once_a_moment(self):
        """Requests that were in flight together would take the limit to its minimum."""
        pace = self.begun(is_warm=True)
        for _ in range(10):
            record_paced_failure(pace, SLOTS, 5.0)
        self.assertEqual(pace["limit"], 8.0)
        record_paced_failure(pace, SLOTS, 5.2)
        self.assertEqual(pace["limit"], 4.0)

    def test_target_that_fails_in_a_row_is_paced_again(self):
        """A target that has recovered was flooded by all callers that had avoided it."""
        pace = new_pace(True)
        record_paced_failure(pace, SLOTS, 0.0)
        record_paced_failure(pace, SLOTS, 0.0)
        self.answer(pace, 1)
        record_paced_failure(pace, SLOTS, 0.0)
        self.assertIsNone(pace["limit"])
        record_paced_failure(pace, SLOTS, 0.0)
        record_paced_failure(pace, SLOTS, 0.0)
        self.assertEqual(limit_on_slots(pace, SLOTS), 3)

    def test_long_idle_target_begins_at_half(self):
        """Its caches may be cold, but a tenth of the slots would leave it idle for longer."""
        pace = new_pace(True)
        record_sent(pace, SLOTS, 0, 100.0)
        self.assertIsNone(pace["limit"])
        record_sent(pace, SLOTS, 3, 101.0 + IDLE_S)
        self.assertIsNone(pace["limit"])
        record_sent(pace, SLOTS, 0, 102.0 + 2 * IDLE_S)
        self.assertEqual(limit_on_slots(pace, SLOTS), 16)

    def test_pace_is_off_unless_the_settings_ask_for_it(self):
        """Earlier deployments are served as before."""
        pace = new_pace(False)
        begin_pace(pace, SLOTS)
        for _ in range(10):
            record_paced_failure(pace, SLOTS, 0.0)
        record_sent(pace, SLOTS, 0, 0.0)
        record_sent(pace, SLOTS, 0, 1000.0)
        self.assertEqual(limit_on_slots(pace, SLOTS), SLOTS)

    def test_queue_and_report_follow_the_pace(self):
        """Other nodes would take a cold target for one with all slots free."""
        queue = new_target_queue(SLOTS, is_paced=True)
        begin_pace(queue["pace"], SLOTS)
        for _ in range(3):
            self.assertIsInstance(decide_queueing(queue, forwarded(), 0.0), StartRequest)
            record_request_start(queue, forwarded(), 0.0)
        self.assertIsInstance(decide_queueing(queue, forwarded(), 0.0), QueueRequest)
        report = load_report(queue)
        self.assertEqual(report.limit, 3)
        self.assertGreater(report.new.wait_s, 0.0)
        for _ in range(3):
            record_duration(queue, forwarded(), USUAL_S, 0.0)
        self.assertEqual(load_report(queue).limit, 6)

    def test_settings_switch_the_pace(self):
        """A deployment that asks for nothing new must be served as before."""
        text = SAMPLE_SETTINGS.decode()
        for line, expected in (("", False), ("pacesTarget = true\n", True)):
            with self.subTest(line=line):
                settings = decode_settings(line + text, "settings").unwrap()
                self.assertIs(settings.node.paces_target, expected)

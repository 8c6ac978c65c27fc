"""Guards the reading of keys, the ledger of a home, and the detection of pauses."""

import unittest

from jacinthsail.internal.commands.idempotency import (
    record_interrupted,
    record_outcome,
    record_running,
    record_waiting,
)
from jacinthsail.internal.commands.pauses import observe_clock
from jacinthsail.internal.commands.placement import record_confirmation
from jacinthsail.internal.model.calls import Answered, NotRun, Reason, Unknown
from jacinthsail.internal.model.clock import Awake, Paused
from jacinthsail.internal.model.idempotency import (
    IssuedKey,
    KeyUnknown,
    RefuseKey,
    ReplayAnswer,
    RunKey,
    TimedKey,
)
from jacinthsail.internal.model.routing import Refused, ToOwnTarget, ToPeer
from jacinthsail.internal.queries.idempotency import (
    UNPROVEN_REASONS,
    decide_key,
    key_text,
    next_issued_key,
    outcome_for_given_key,
    parse_key,
)
from jacinthsail.internal.queries.initial import initial_state
from jacinthsail.internal.queries.pauses import decide_pause
from jacinthsail.testing.key_simulation import LEDGER_ENTRIES, SERVICE, settings_of

NOW_MS = 1_000_000
ANSWER = Answered(200, "text/plain", b"filed", 0)


class KeyTextTest(unittest.TestCase):
    def test_timed_key(self):
        """The example of RFC 9562, appendix A.6, in any spelling, is one key."""
        key = parse_key("017F22E2-79B0-7CC3-98C4-DC0C0C07398F").unwrap()
        self.assertEqual(key, TimedKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1645557742000))
        self.assertEqual(parse_key("017f22e279b07cc398c4dc0c0c07398f").unwrap(), key)

    def test_issued_key(self):
        """A VM's name may hold the characters that separate the other parts."""
        key = IssuedKey("billing-1.manila", "inc", "issuer", 7)
        self.assertEqual(parse_key(key_text(key)).unwrap(), key)

    def test_malformed_keys(self):
        """A text without a birth or a home must not be taken for a key."""
        texts = (
            "",
            "x" * 401,
            "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
            "017f22e2-79b0-7cc3-d8c4-dc0c0c07398f",
            "issued.vm.inc.7",
            "issued.vm.inc.issuer.-7",
            "issued.vm.inc.issuer.07",
            "issued.vm.inc.issuer.٧",
        )
        for text in texts:
            with self.subTest(text=text):
                self.assertIsNone(parse_key(text).value_or(None))


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.state = initial_state(settings_of("vm-0"), "inc", 0.0, NOW_MS)
        self.ledger = self.state["ledger"]

    def issue(self):
        key = next_issued_key(self.ledger, "vm-0", "inc", NOW_MS)
        self.ledger["next_sequence"] = key.sequence + 1
        return key

    def decide(self, key, fingerprint="f"):
        return decide_key(key, self.state, SERVICE, fingerprint, NOW_MS)

    def run_key(self, key, outcome):
        record_waiting(self.ledger, key, "f")
        record_running(self.ledger, key)
        record_outcome(self.ledger, key, outcome)

    def test_repeated_key_gets_the_stored_answer(self):
        """A lost answer must not cost a second execution."""
        key = self.issue()
        self.assertEqual(self.decide(key), RunKey())
        self.run_key(key, ANSWER)
        self.assertEqual(self.decide(key), ReplayAnswer(ANSWER))
        self.assertEqual(self.decide(key, "other body"), RefuseKey(Reason.KEY_REUSED))

    def test_key_that_did_not_run_may_be_tried_again(self):
        """A refused call would otherwise never run."""
        key = self.issue()
        self.run_key(key, NotRun(Reason.QUEUE_FULL, 0))
        self.assertEqual(self.decide(key), RunKey())

    def test_interrupted_call(self):
        """A call that was given up while it waited did not run; at the target it may have."""
        waiting, running = self.issue(), self.issue()
        record_waiting(self.ledger, waiting, "f")
        record_waiting(self.ledger, running, "f")
        record_running(self.ledger, running)
        self.assertEqual(self.decide(waiting), KeyUnknown(Reason.KEY_RUNNING))
        record_interrupted(self.ledger, waiting)
        record_interrupted(self.ledger, running)
        self.assertEqual(self.decide(waiting), RunKey())
        self.assertEqual(self.decide(running), KeyUnknown(Reason.CALLER_GONE))

    def test_forgotten_key_is_unknown(self):
        """A key that the ledger forgot must not look new, and a running one is never forgotten."""
        running = self.issue()
        record_waiting(self.ledger, running, "f")
        keys = [self.issue() for _ in range(LEDGER_ENTRIES)]
        for key in keys:
            self.run_key(key, ANSWER)
        self.assertEqual(self.decide(keys[0]), KeyUnknown(Reason.KEY_TOO_OLD))
        self.assertEqual(self.decide(keys[-1]), ReplayAnswer(ANSWER))
        self.assertEqual(self.decide(running), KeyUnknown(Reason.KEY_RUNNING))

    def test_bytes_are_bounded(self):
        """Large answers must not exceed the memory of a node."""
        self.ledger["capacity_bytes"] = 8
        first, second = self.issue(), self.issue()
        self.run_key(first, ANSWER)
        self.run_key(second, ANSWER)
        self.assertEqual(self.ledger["answer_bytes"], len(ANSWER.body))
        self.assertEqual(self.decide(first), KeyUnknown(Reason.KEY_TOO_OLD))

    def test_key_of_another_process(self):
        """Only the process that a key names knows whether it ran."""
        other = IssuedKey("vm-0", "earlier", "issuer", NOW_MS << 16)
        self.assertEqual(self.decide(other), KeyUnknown(Reason.KEY_HOME_GONE))
        self.assertEqual(
            self.decide(other._replace(home_vm="vm-1")), KeyUnknown(Reason.KEY_HOME_ELSEWHERE)
        )


class GivenKeyTest(unittest.TestCase):
    def test_unreachable_home(self):
        """An earlier call with the key may have run at the home that was not asked."""
        relayed = ToPeer(None, crosses_region=True)
        for reason in UNPROVEN_REASONS:
            with self.subTest(reason=reason):
                outcome = outcome_for_given_key(NotRun(reason, 1), relayed)
                self.assertEqual(outcome, Unknown(reason, 1))
        refused = Refused(Reason.NO_TARGET)
        self.assertEqual(
            outcome_for_given_key(NotRun(Reason.NO_TARGET, 1), refused),
            Unknown(Reason.NO_TARGET, 1),
        )
        full = NotRun(Reason.QUEUE_FULL, 1)
        self.assertEqual(outcome_for_given_key(full, ToOwnTarget()), full)
        self.assertEqual(outcome_for_given_key(full, relayed), full)
        expired = NotRun(Reason.DEADLINE_EXPIRED, 1)
        self.assertEqual(outcome_for_given_key(expired, ToOwnTarget()), expired)


class PauseTest(unittest.TestCase):
    def setUp(self):
        self.state = initial_state(settings_of("vm-0"), "inc", 10.0, NOW_MS)

    def test_either_clock_reveals_a_pause(self):
        """The monotonic clock stands still in a suspended VM, so one clock is not enough."""
        clock = self.state["clock"]
        self.assertEqual(decide_pause(clock, 11.9, NOW_MS + 1_900), Awake())
        self.assertEqual(decide_pause(clock, 13.0, NOW_MS), Paused(3.0))
        self.assertEqual(decide_pause(clock, 10.1, NOW_MS + 3_000), Paused(3.0))

    def test_a_pause_drops_the_confirmation(self):
        """A node that slept must not run timed keys on the list from before."""
        record_confirmation(self.state["store"], NOW_MS)
        observe_clock(self.state, Paused(3.0), 13.0, NOW_MS + 3_000)
        self.assertEqual(self.state["store"]["placement"]["confirmed_ms"], 0)
        self.assertEqual(self.state["clock"]["pauses"], 1)
        record_confirmation(self.state["store"], NOW_MS + 3_000)
        self.assertEqual(self.state["store"]["placement"]["confirmed_ms"], NOW_MS + 3_000)
        self.assertEqual(self.state["store"]["placement"]["floor_ms"], NOW_MS + 15_000)

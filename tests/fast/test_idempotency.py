"""Tests the parsing of keys, the ledger of a key owner, and the detection of pauses."""

import unittest

from jacinthsail.internal.commands.idempotency import (
    record_interrupted,
    record_outcome,
    record_queued,
    record_running,
)
from jacinthsail.internal.commands.pauses import observe_clock
from jacinthsail.internal.commands.placement import record_confirmation
from jacinthsail.internal.model.calls import Answered, NotRun, Reason, Unknown
from jacinthsail.internal.model.clock import NoPause, Paused
from jacinthsail.internal.model.idempotency import (
    IssuedKey,
    KeyIndeterminate,
    RefuseKey,
    ReplayResponse,
    RunKey,
    TimedKey,
)
from jacinthsail.internal.model.routing import RouteRefused, RouteToLocalTarget, RouteToPeer
from jacinthsail.internal.queries.idempotency import (
    UNCONFIRMED_REASONS,
    decide_key,
    key_text,
    next_issued_key,
    outcome_for_caller_key,
    parse_key,
)
from jacinthsail.internal.queries.initial import initial_state
from jacinthsail.internal.queries.pauses import detect_pause
from jacinthsail.testing.key_simulation import LEDGER_ENTRIES, SERVICE, simulation_settings

NOW_MS = 1_000_000
RESPONSE = Answered(200, "text/plain", b"filed", 0)


class KeyTextTest(unittest.TestCase):
    def test_timed_key(self):
        """All spellings of the UUIDv7 example of RFC 9562, appendix A.6, are one key."""
        key = parse_key("017F22E2-79B0-7CC3-98C4-DC0C0C07398F").unwrap()
        self.assertEqual(key, TimedKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1645557742000))
        self.assertEqual(parse_key("017f22e279b07cc398c4dc0c0c07398f").unwrap(), key)

    def test_issued_key(self):
        """A VM's name may contain the separator of the other parts."""
        key = IssuedKey("billing-1.manila", "inc", "issuer", 7)
        self.assertEqual(parse_key(key_text(key)).unwrap(), key)

    def test_malformed_keys(self):
        """A text without a creation time or an owner must not be parsed as a key."""
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
        self.state = initial_state(simulation_settings("vm-0"), "inc", 0.0, NOW_MS)
        self.ledger = self.state["ledger"]

    def issue(self):
        key = next_issued_key(self.ledger, "vm-0", "inc", NOW_MS)
        self.ledger["next_sequence"] = key.sequence + 1
        return key

    def decide(self, key, fingerprint="f"):
        return decide_key(key, self.state, SERVICE, fingerprint, NOW_MS)

    def run_key(self, key, outcome):
        record_queued(self.ledger, key, "f")
        record_running(self.ledger, key)
        record_outcome(self.ledger, key, outcome)

    def test_retry_with_the_key_gets_the_stored_response(self):
        """A retry after a lost response must not cause a second execution."""
        key = self.issue()
        self.assertEqual(self.decide(key), RunKey())
        self.run_key(key, RESPONSE)
        self.assertEqual(self.decide(key), ReplayResponse(RESPONSE))
        self.assertEqual(self.decide(key, "other body"), RefuseKey(Reason.KEY_REUSED))

    def test_key_of_a_call_that_was_not_executed_can_be_retried(self):
        """A refused call could otherwise never be executed."""
        key = self.issue()
        self.run_key(key, NotRun(Reason.QUEUE_FULL, 0))
        self.assertEqual(self.decide(key), RunKey())

    def test_interrupted_call(self):
        """A call cancelled in the queue was not executed; one at the target may have been."""
        queued, running = self.issue(), self.issue()
        record_queued(self.ledger, queued, "f")
        record_queued(self.ledger, running, "f")
        record_running(self.ledger, running)
        self.assertEqual(self.decide(queued), KeyIndeterminate(Reason.KEY_RUNNING))
        record_interrupted(self.ledger, queued)
        record_interrupted(self.ledger, running)
        self.assertEqual(self.decide(queued), RunKey())
        self.assertEqual(self.decide(running), KeyIndeterminate(Reason.CALLER_GONE))

    def test_evicted_key_is_indeterminate(self):
        """An evicted key must not look new, and a running one must never be evicted."""
        running = self.issue()
        record_queued(self.ledger, running, "f")
        keys = [self.issue() for _ in range(LEDGER_ENTRIES)]
        for key in keys:
            self.run_key(key, RESPONSE)
        self.assertEqual(self.decide(keys[0]), KeyIndeterminate(Reason.KEY_TOO_OLD))
        self.assertEqual(self.decide(keys[-1]), ReplayResponse(RESPONSE))
        self.assertEqual(self.decide(running), KeyIndeterminate(Reason.KEY_RUNNING))

    def test_bytes_are_bounded(self):
        """Large stored responses must not exhaust the memory of a node."""
        self.ledger["capacity_bytes"] = 8
        first, second = self.issue(), self.issue()
        self.run_key(first, RESPONSE)
        self.run_key(second, RESPONSE)
        self.assertEqual(self.ledger["total_response_bytes"], len(RESPONSE.body))
        self.assertEqual(self.decide(first), KeyIndeterminate(Reason.KEY_TOO_OLD))

    def test_key_of_another_process(self):
        """Only the process that a key names knows whether the call was executed."""
        other = IssuedKey("vm-0", "earlier", "issuer", NOW_MS << 16)
        self.assertEqual(self.decide(other), KeyIndeterminate(Reason.KEY_HOME_GONE))
        self.assertEqual(
            self.decide(other._replace(owner_vm="vm-1")),
            KeyIndeterminate(Reason.KEY_HOME_ELSEWHERE),
        )


class CallerKeyTest(unittest.TestCase):
    def test_unreachable_owner(self):
        """An earlier call with the key may have been executed at the unreachable owner."""
        relayed = RouteToPeer(None, crosses_region=True)
        for reason in UNCONFIRMED_REASONS:
            with self.subTest(reason=reason):
                outcome = outcome_for_caller_key(NotRun(reason, 1), relayed)
                self.assertEqual(outcome, Unknown(reason, 1))
        refused = RouteRefused(Reason.NO_TARGET)
        self.assertEqual(
            outcome_for_caller_key(NotRun(Reason.NO_TARGET, 1), refused),
            Unknown(Reason.NO_TARGET, 1),
        )
        full = NotRun(Reason.QUEUE_FULL, 1)
        self.assertEqual(outcome_for_caller_key(full, RouteToLocalTarget()), full)
        self.assertEqual(outcome_for_caller_key(full, relayed), full)
        expired = NotRun(Reason.DEADLINE_EXPIRED, 1)
        self.assertEqual(outcome_for_caller_key(expired, RouteToLocalTarget()), expired)


class PauseTest(unittest.TestCase):
    def setUp(self):
        self.state = initial_state(simulation_settings("vm-0"), "inc", 10.0, NOW_MS)

    def test_either_clock_reveals_a_pause(self):
        """The monotonic clock stops in a suspended VM, so both clocks must be compared."""
        clock = self.state["clock"]
        self.assertEqual(detect_pause(clock, 11.9, NOW_MS + 1_900), NoPause())
        self.assertEqual(detect_pause(clock, 13.0, NOW_MS), Paused(3.0))
        self.assertEqual(detect_pause(clock, 10.1, NOW_MS + 3_000), Paused(3.0))

    def test_a_pause_drops_the_confirmation(self):
        """A node that was suspended must not execute timed keys on the basis of its old list."""
        record_confirmation(self.state["store"], NOW_MS)
        observe_clock(self.state, Paused(3.0), 13.0, NOW_MS + 3_000)
        self.assertEqual(self.state["store"]["placement"]["confirmed_ms"], 0)
        self.assertEqual(self.state["clock"]["pauses"], 1)
        record_confirmation(self.state["store"], NOW_MS + 3_000)
        self.assertEqual(self.state["store"]["placement"]["confirmed_ms"], NOW_MS + 3_000)
        self.assertEqual(self.state["store"]["placement"]["floor_ms"], NOW_MS + 15_000)

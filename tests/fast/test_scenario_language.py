"""Guards the reader of scenario files and the checks on outcomes."""

import json
import unittest

from jacinthsail.errors import MissingKey, UnknownChoice, UnknownKey, WrongType, describe
from jacinthsail.testing import scenario_model as model
from jacinthsail.testing.run_record import LoadSpan, SeenVersions, Told, empty_record
from jacinthsail.testing.scenario import SCENARIOS
from jacinthsail.testing.scenario_checks import faults_of
from jacinthsail.testing.scenario_loader import load_scenario, parse_scenario

SCENARIO = """
name = "example"
guards = "An example."
[mesh]
vms = [{ vm = "a-1", service = "a", failure_domain = "manila", region = "luzon" }]
[[step]]
do = "pause"
seconds = 1
[[check]]
that = "answers-whole"
[twin]
disabled = ["whole-answers"]
fails = ["answers-whole"]
"""


def errors_of(text):
    return parse_scenario(text, "x.toml").swap().value_or(())


def told(number=0, **changes):
    call = Told(
        label="l",
        request_id=f"l-{number}-0-0",
        plan_id=f"l-{number}",
        key="",
        service="a",
        call_class="view",
        sent_at=1.0,
        latency_s=0.1,
        status=200,
        outcome="answered",
        reason="",
        body=json.dumps({"id": f"l-{number}", "path": "a/view", "target": "a-1"}),
        is_last=True,
    )
    return call._replace(**changes)


def execution(number=0, **changes):
    run = {
        "target": "a-1",
        "service": "a",
        "call_class": "view",
        "request_id": f"l-{number}-0-0",
        "key": "",
        "started_at": 1.0,
        "ended_at": 1.1,
    }
    return run | changes


def record_of(**changes):
    record = empty_record()
    record["spans"]["l"] = LoadSpan(0.0, 2.0)
    return record | changes


class LoaderTest(unittest.TestCase):
    def test_scenarios_of_the_package_load(self):
        """A scenario that cannot be read would never be run."""
        for path in sorted(SCENARIOS.glob("*.toml")):
            with self.subTest(scenario=path.name):
                self.assertEqual(load_scenario(path).swap().value_or(()), ())

    def test_example_loads(self):
        scenario = parse_scenario(SCENARIO, "x.toml").unwrap()
        self.assertEqual(scenario.steps, (model.Pause(1),))
        self.assertEqual(scenario.twin, model.Twin(("whole-answers",), ("answers-whole",)))

    def test_faults_are_typed(self):
        """A misspelt key that is passed over would make a scenario check less than it says."""
        cases = {
            ("seconds = 1", "seconds = 1\nsecond = 2"): UnknownKey("x.toml", "step[0].second"),
            ("seconds = 1", ""): MissingKey("x.toml", "step[0].seconds"),
            ("seconds = 1", 'seconds = "1"'): WrongType(
                "x.toml", "step[0].seconds", "float", "'1'"
            ),
            ("[[step]]", "target = { slot = 1 }\n[[step]]"): UnknownKey(
                "x.toml", "mesh.target.slot"
            ),
            ("[[step]]", "disabled_on = { b = [] }\n[[step]]"): UnknownKey(
                "x.toml", "mesh.disabled_on.b"
            ),
            ("[[check]]", '[[step]]\ndo = "link"\nvms = []\nbehaviour = { x = 1 }\n[[check]]'): (
                UnknownKey("x.toml", "step[1].behaviour.x")
            ),
            ('guards = "An example."', ""): MissingKey("x.toml", "guards"),
        }
        for (old, new), error in cases.items():
            with self.subTest(error=error):
                errors = errors_of(SCENARIO.replace(old, new))
                self.assertEqual(errors, (error,))
                self.assertIn("x.toml", describe(errors[0]))

    def test_unknown_names_are_typed(self):
        """A twin whose mechanism or check does not exist would show nothing."""
        cases = {
            'do = "pause"': ('do = "sleep"', "step[0].do"),
            'that = "answers-whole"': ('that = "answer"', "check[0].that"),
            'disabled = ["whole-answers"]': ('disabled = ["whole"]', "twin.disabled"),
            'fails = ["answers-whole"]': ('fails = ["at-most-once"]', "twin.fails"),
        }
        for old, (new, key) in cases.items():
            with self.subTest(key=key):
                errors = errors_of(SCENARIO.replace(old, new))
                found = [error.key for error in errors if type(error) is UnknownChoice]
                self.assertIn(key, found)


class ChecksTest(unittest.TestCase):
    """Each check must find the fault that it is for, and nothing in a run without it."""

    def assert_found(self, check, good, bad):
        self.assertEqual(faults_of(check, good), [])
        self.assertNotEqual(faults_of(check, bad), [])

    def test_double_execution(self):
        runs = [execution(key="k"), execution(1, key="k")]
        good = record_of(executions=runs[:1])
        self.assert_found(model.AtMostOnce(), good, record_of(executions=runs))

    def test_at_most_once_needs_keys(self):
        """A run in which no key was executed shows nothing about double execution."""
        self.assertNotEqual(faults_of(model.AtMostOnce(), record_of()), [])

    def test_false_not_run(self):
        refused = told(outcome="not-run", status=503, body="")
        good = record_of(told=[refused])
        bad = record_of(told=[refused], executions=[execution()])
        self.assert_found(model.OutcomesTrue(), good, bad)

    def test_answer_without_execution(self):
        good = record_of(told=[told()], executions=[execution()])
        self.assert_found(model.OutcomesTrue(), good, record_of(told=[told()]))

    def test_answer_of_another_call(self):
        other = told(body=told(1).body)
        self.assert_found(
            model.AnswersWhole(), record_of(told=[told()]), record_of(told=[told(1), other])
        )

    def test_half_answer(self):
        half = told(body=told().body[:20])
        self.assert_found(
            model.AnswersWhole(), record_of(told=[told()]), record_of(told=[told(1), half])
        )

    def test_shedding_order(self):
        check = model.ShedOrder("l", "a/view", "a/file", 0.9)
        shed = {"outcome": "not-run", "status": 503}
        good = record_of(told=[told(**shed), told(1, call_class="file")])
        bad = record_of(told=[told(), told(1, call_class="file", **shed)])
        self.assert_found(check, good, bad)

    def test_too_many_executions(self):
        check = model.ExecutionsPerRequest("a", 1)
        good = record_of(executions=[execution(), execution(1)])
        self.assert_found(check, good, record_of(executions=[execution(), execution()]))

    def test_wasted_execution(self):
        check = model.WastedShare("l", 0.4)
        runs = [execution(), execution(1)]
        good = record_of(told=[told(), told(1)], executions=runs)
        bad = record_of(told=[told(), told(1, status=504)], executions=runs)
        self.assert_found(check, good, bad)

    def test_goodput_ratio(self):
        check = model.GoodputRatio("l", "m", 0.9)
        spans = {"l": LoadSpan(0.0, 1.0), "m": LoadSpan(0.0, 1.0)}
        reference = [told(2, label="m"), told(3, label="m")]
        good = record_of(spans=spans, told=[*reference, told(), told(1)])
        bad = record_of(spans=spans, told=[*reference, told(), told(1, status=503)])
        self.assert_found(check, good, bad)

    def test_reverted_section(self):
        seen = [SeenVersions("a-1", "i", {"s": version}) for version in (1, 2, 1)]
        self.assert_found(model.NeverReverted(), record_of(seen=seen[:2]), record_of(seen=seen))

    def test_work_after_leaving(self):
        check = model.NoNewWork("a-1", "leave", 1.0)
        good = record_of(marks={"leave": 1.0}, executions=[execution(started_at=1.5)])
        bad = record_of(marks={"leave": 1.0}, executions=[execution(started_at=2.5)])
        self.assert_found(check, good, bad)

    def test_unclean_exit(self):
        good = record_of(exit_codes={"a-1/node": 0})
        self.assert_found(model.ExitedCleanly("a-1"), good, record_of(exit_codes={"a-1/node": -9}))

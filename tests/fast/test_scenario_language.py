"""Checks the parser of scenario files and the checks that scenarios use."""

import json
import unittest

from jacinthsail.errors import MissingKey, UnknownChoice, UnknownKey, WrongType, describe
from jacinthsail.testing import scenario_model as model
from jacinthsail.testing.run_record import AttemptResult, LoadSpan, ObservedVersions, new_run_record
from jacinthsail.testing.scenario import SCENARIOS
from jacinthsail.testing.scenario_checks import find_faults
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


def parse_errors(text):
    return parse_scenario(text, "x.toml").swap().value_or(())


def attempt_result(number=0, **changes):
    result = AttemptResult(
        label="l",
        request_id=f"l-{number}-0-0",
        logical_call_id=f"l-{number}",
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
    return result._replace(**changes)


def execution(number=0, **changes):
    fields = {
        "target": "a-1",
        "service": "a",
        "call_class": "view",
        "request_id": f"l-{number}-0-0",
        "key": "",
        "started_at": 1.0,
        "ended_at": 1.1,
    }
    return fields | changes


def run_record_with(**changes):
    record = new_run_record()
    record["spans"]["l"] = LoadSpan(0.0, 2.0)
    return record | changes


class LoaderTest(unittest.TestCase):
    def test_scenarios_of_the_package_load(self):
        """A scenario that cannot be parsed would never be run."""
        for path in sorted(SCENARIOS.glob("*.toml")):
            with self.subTest(scenario=path.name):
                self.assertEqual(load_scenario(path).swap().value_or(()), ())

    def test_example_loads(self):
        """A scenario decoded wrongly would test something other than its file states."""
        scenario = parse_scenario(SCENARIO, "x.toml").unwrap()
        self.assertEqual(scenario.steps, (model.Pause(1),))
        self.assertEqual(scenario.twin, model.Twin(("whole-answers",), ("answers-whole",)))

    def test_errors_are_typed(self):
        """A misspelt key that is ignored would make a scenario check less than its file states."""
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
                errors = parse_errors(SCENARIO.replace(old, new))
                self.assertEqual(errors, (error,))
                self.assertIn("x.toml", describe(errors[0]))

    def test_unknown_names_are_typed(self):
        """A twin that names an unknown mechanism or check would prove nothing."""
        cases = {
            'do = "pause"': ('do = "sleep"', "step[0].do"),
            'that = "answers-whole"': ('that = "answer"', "check[0].that"),
            'disabled = ["whole-answers"]': ('disabled = ["whole"]', "twin.disabled"),
            'fails = ["answers-whole"]': ('fails = ["at-most-once"]', "twin.fails"),
        }
        for old, (new, key) in cases.items():
            with self.subTest(key=key):
                errors = parse_errors(SCENARIO.replace(old, new))
                found = [error.key for error in errors if type(error) is UnknownChoice]
                self.assertIn(key, found)


class ChecksTest(unittest.TestCase):
    """Each check must find its fault, and report nothing for a run without it."""

    def assert_found(self, check, good, bad):
        self.assertEqual(find_faults(check, good), [])
        self.assertNotEqual(find_faults(check, bad), [])

    def test_double_execution(self):
        """A key that is executed twice is a duplicate billing claim."""
        executions = [execution(key="k"), execution(1, key="k")]
        good = run_record_with(executions=executions[:1])
        self.assert_found(model.AtMostOnce(), good, run_record_with(executions=executions))

    def test_at_most_once_needs_keys(self):
        """A run in which no key was executed proves nothing about double execution."""
        self.assertNotEqual(find_faults(model.AtMostOnce(), run_record_with()), [])

    def test_false_not_run(self):
        """A call reported as not-run but executed would be executed again by a retry."""
        refused = attempt_result(outcome="not-run", status=503, body="")
        good = run_record_with(attempt_results=[refused])
        bad = run_record_with(attempt_results=[refused], executions=[execution()])
        self.assert_found(model.OutcomesTrue(), good, bad)

    def test_response_without_execution(self):
        """A call reported as answered but not executed would be lost without a retry."""
        good = run_record_with(attempt_results=[attempt_result()], executions=[execution()])
        self.assert_found(
            model.OutcomesTrue(), good, run_record_with(attempt_results=[attempt_result()])
        )

    def test_response_to_another_call(self):
        """A caller must not receive the response to a different call."""
        other = attempt_result(body=attempt_result(1).body)
        self.assert_found(
            model.AnswersWhole(),
            run_record_with(attempt_results=[attempt_result()]),
            run_record_with(attempt_results=[attempt_result(1), other]),
        )

    def test_truncated_response(self):
        """A caller must not receive a truncated response as a complete one."""
        half = attempt_result(body=attempt_result().body[:20])
        self.assert_found(
            model.AnswersWhole(),
            run_record_with(attempt_results=[attempt_result()]),
            run_record_with(attempt_results=[attempt_result(1), half]),
        )

    def test_shedding_order(self):
        """An important class must not be shed while a less important one is answered."""
        check = model.ShedOrder("l", "a/view", "a/file", 0.9)
        shed = {"outcome": "not-run", "status": 503}
        good = run_record_with(
            attempt_results=[attempt_result(**shed), attempt_result(1, call_class="file")]
        )
        bad = run_record_with(
            attempt_results=[attempt_result(), attempt_result(1, call_class="file", **shed)]
        )
        self.assert_found(check, good, bad)

    def test_too_many_executions(self):
        """Retries at several layers would multiply the executions of one request."""
        check = model.ExecutionsPerRequest("a", 1)
        good = run_record_with(executions=[execution(), execution(1)])
        self.assert_found(check, good, run_record_with(executions=[execution(), execution()]))

    def test_wasted_execution(self):
        """An execution whose caller gets no successful response wastes capacity."""
        check = model.WastedShare("l", 0.4)
        executions = [execution(), execution(1)]
        good = run_record_with(
            attempt_results=[attempt_result(), attempt_result(1)], executions=executions
        )
        bad = run_record_with(
            attempt_results=[attempt_result(), attempt_result(1, status=504)], executions=executions
        )
        self.assert_found(check, good, bad)

    def test_goodput_ratio(self):
        """A fault that lowers the goodput of a load below its reference must be found."""
        check = model.GoodputRatio("l", "m", 0.9)
        spans = {"l": LoadSpan(0.0, 1.0), "m": LoadSpan(0.0, 1.0)}
        reference = [attempt_result(2, label="m"), attempt_result(3, label="m")]
        good = run_record_with(
            spans=spans, attempt_results=[*reference, attempt_result(), attempt_result(1)]
        )
        bad = run_record_with(
            spans=spans,
            attempt_results=[*reference, attempt_result(), attempt_result(1, status=503)],
        )
        self.assert_found(check, good, bad)

    def test_reverted_section(self):
        """A node that applies an older version again has reverted an edit of the section."""
        observations = [ObservedVersions("a-1", "i", {"s": version}) for version in (1, 2, 1)]
        self.assert_found(
            model.NeverReverted(),
            run_record_with(observations=observations[:2]),
            run_record_with(observations=observations),
        )

    def test_execution_while_draining(self):
        """A draining VM that starts new executions would lose them when it stops."""
        check = model.NoNewWork("a-1", "leave", 1.0)
        good = run_record_with(step_times={"leave": 1.0}, executions=[execution(started_at=1.5)])
        bad = run_record_with(step_times={"leave": 1.0}, executions=[execution(started_at=2.5)])
        self.assert_found(check, good, bad)

    def test_unclean_exit(self):
        """A node that fails during a planned stop may have interrupted calls in flight."""
        good = run_record_with(exit_codes={"a-1/node": 0})
        self.assert_found(
            model.ExitedCleanly("a-1"), good, run_record_with(exit_codes={"a-1/node": -9})
        )

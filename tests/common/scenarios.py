"""Helpers for tests that run scenarios."""

from jacinthsail.errors import describe
from jacinthsail.testing.scenario import SCENARIOS, is_expected, report_verdict, run_scenario
from jacinthsail.testing.scenario_loader import load_scenario


def load_named_scenario(name):
    """Return the scenario loaded from the file of this name in the package."""
    loaded = load_scenario(SCENARIOS / f"{name}.toml")
    errors = [describe(error) for error in loaded.swap().value_or(())]
    if errors:
        raise AssertionError("\n".join(errors))
    return loaded.unwrap()


def assert_scenario(test, scenario, twin):
    """Fail a test with the full report unless the scenario or its twin behaves as expected."""
    lines = []
    verdict = run_scenario(scenario, twin, lines.append)
    report_verdict(scenario, verdict, twin, lines.append)
    test.assertTrue(is_expected(verdict, twin), "\n" + "\n".join(lines))

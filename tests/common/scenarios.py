"""Runs scenarios for tests."""

from jacinthsail.errors import describe
from jacinthsail.testing.scenario import SCENARIOS, is_right, report_verdict, run_scenario
from jacinthsail.testing.scenario_loader import load_scenario


def scenario_named(name):
    """Return the scenario in a file of the package."""
    loaded = load_scenario(SCENARIOS / f"{name}.toml")
    errors = [describe(error) for error in loaded.swap().value_or(())]
    if errors:
        raise AssertionError("\n".join(errors))
    return loaded.unwrap()


def check_scenario(test, scenario, twin):
    """Fail a test with the whole report unless the scenario, or its twin, comes out as it must."""
    lines = []
    verdict = run_scenario(scenario, twin, lines.append)
    report_verdict(scenario, verdict, twin, lines.append)
    test.assertTrue(is_right(verdict, twin), "\n" + "\n".join(lines))

"""Runs the scenarios in real processes, and each twin, which must fail its checks."""

import unittest

from tests.common.scenarios import assert_scenario, load_named_scenario

# A scenario is listed once it passes and its twin, run with the mechanism disabled, fails.
SCENARIOS = (
    "platform_down",
    "whole_answers",
    "not_run_truth",
    "at_most_once",
    "timed_keys",
    "home_killed",
    "pause",
    "two_faults",
    "callers_gone",
    "no_context",
    "planned_stop",
    "leaving_target",
    "silent_connection",
    "edit_in_force",
    "long_outage",
    "partition",
    "partition_edits",
    "operator_race",
    "broken_section",
    "late_waker",
    "pause_confirmed",
    "new_vm_stale",
    "regions_parted",
    "recovery",
    "retry_bound",
    "shedding_order",
    "wasted_work",
)


class ScenariosTest(unittest.TestCase):
    """Holds one test per scenario and per twin, which are added below."""


def _scenario_test(name):
    def test(self):
        assert_scenario(self, load_named_scenario(name), None)

    test.__doc__ = f"{name}: {load_named_scenario(name).guards}"
    return test


def _twin_test(name):
    def test(self):
        scenario = load_named_scenario(name)
        assert_scenario(self, scenario, scenario.twin)

    test.__doc__ = f"{name} must fail its checks when its mechanism is disabled."
    return test


def _add_test(name, test):
    # unittest looks up a test by the name of its function when it is run alone.
    test.__name__ = name
    setattr(ScenariosTest, name, test)


for _name in SCENARIOS:
    _add_test(f"test_{_name}", _scenario_test(_name))
    if load_named_scenario(_name).twin is not None:
        _add_test(f"test_{_name}_twin", _twin_test(_name))

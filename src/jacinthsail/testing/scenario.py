"""Command that runs a scenario: ``python -m jacinthsail.testing.scenario run <file> [--twin]``."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from absl import app, flags
from aiohttp import ClientSession, TCPConnector
from returns.result import Failure, Success

from jacinthsail.errors import describe
from jacinthsail.testing.mesh import Mesh
from jacinthsail.testing.records import read_executions
from jacinthsail.testing.run_record import RunRecord, new_run_record
from jacinthsail.testing.scenario_checks import (
    MAX_LINES_PER_CHECK,
    describe_figure,
    describe_loads,
    find_faults,
)
from jacinthsail.testing.scenario_clients import Client
from jacinthsail.testing.scenario_loader import check_name, load_scenario
from jacinthsail.testing.scenario_model import Check, JoinLoads, MeshPlan, Scenario, Step, Twin
from jacinthsail.testing.scenario_steps import (
    Runner,
    StepError,
    publish_section,
    record_versions,
    run_step,
    watch_versions,
)

SCENARIOS = Path(__file__).parent / "scenarios"

EXIT_FAILED = 1
EXIT_BAD_SCENARIO = 2

_TWIN = flags.DEFINE_bool(
    "twin", False, "Run the twin, with its mechanism disabled; its checks must fail."
)

Report = Callable[[str], None]


class CheckResult(NamedTuple):
    """The faults that one check found."""

    check: Check
    faults: list[str]


class Verdict(NamedTuple):
    """The result of one run; ``step_error`` is empty when every step was executed."""

    check_results: list[CheckResult]
    step_error: str
    record: RunRecord

    def has_passed(self) -> bool:
        """Return whether every step was executed and every check was met."""
        return not self.step_error and not any(result.faults for result in self.check_results)

    def has_expected_failures(self, twin: Twin) -> bool:
        """Return whether every step was executed and each check in ``twin.fails`` was not met."""
        unmet = {check_name(result.check) for result in self.check_results if result.faults}
        # A twin whose steps could not be executed shows nothing about its mechanism.
        return not self.step_error and unmet.issuperset(twin.fails)


def run_scenario(scenario: Scenario, twin: Twin | None, report: Report) -> Verdict:
    """Run a scenario, or its twin if one is given, in a new mesh."""
    plan = scenario.mesh
    disabled = twin.disabled if twin is not None else ()
    with Mesh(
        plan.vms,
        plan.sections,
        vm_settings=_testing_settings(plan, disabled),
        behaviour=plan.behaviour,
        has_links=plan.links,
        platform_behind_s=plan.platform_behind_s,
    ) as mesh:
        return asyncio.run(_run_in_mesh(scenario, mesh, report))


def _testing_settings(plan: MeshPlan, disabled: tuple[str, ...]) -> dict[str, str]:
    settings = {}
    for vm in plan.vms:
        names = [*plan.disabled, *plan.disabled_on.get(vm.vm, ()), *disabled]
        listed = ", ".join(f'"{name}"' for name in names)
        settings[vm.vm] = f"[testing]\ndisabled = [{listed}]\n"
    return settings


async def _run_in_mesh(scenario: Scenario, mesh: Mesh, report: Report) -> Verdict:
    record = new_run_record()
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        urls = {vm: mesh.callers_url(vm) for vm in mesh.vms}
        client = Client(session, urls, record)
        runner = Runner(mesh, client, record, dict(mesh.sections), set())
        for section, text in mesh.sections.items():
            await publish_section(runner, section, text)
        watcher = asyncio.create_task(watch_versions(runner))
        try:
            step_error = await _run_steps((*scenario.steps, JoinLoads()), runner, report)
        finally:
            for task in [watcher, *runner.loads]:
                task.cancel()
            await asyncio.gather(watcher, *runner.loads, return_exceptions=True)
        # The last observations of the watcher can be older than the end of the last step.
        await record_versions(runner)
    for vm in mesh.vms:
        record["executions"] += read_executions(mesh.record_path(vm))
    check_results = [CheckResult(check, find_faults(check, record)) for check in scenario.checks]
    return Verdict(check_results, step_error, record)


async def _run_steps(steps: tuple[Step, ...], runner: Runner, report: Report) -> str:
    started_at = time.monotonic()
    for step in steps:
        now = time.monotonic()
        label = getattr(step, "label", "")
        if label:
            runner.record["step_times"][label] = now
        report(f"{now - started_at:6.2f} s  {type(step).__name__} {label}".rstrip())
        try:
            await run_step(step, runner)
        except StepError as error:
            report(f"step failed: {error}")
            return str(error)
    return ""


def is_expected(verdict: Verdict, twin: Twin | None) -> bool:
    """Return whether a run has the required result: a scenario must pass, a twin must fail."""
    return verdict.has_passed() if twin is None else verdict.has_expected_failures(twin)


def report_verdict(scenario: Scenario, verdict: Verdict, twin: Twin | None, report: Report) -> None:
    """Report the measured values of a run and its verdict."""
    for line in describe_loads(verdict.record):
        report(f"  {line}")
    report(f"  {len(verdict.record['executions'])} executions")
    for checked in verdict.check_results:
        name = type(checked.check).__name__
        state = "FAULT" if checked.faults else "ok"
        report(f"  {state:5} {name} {describe_figure(checked.check, verdict.record)}".rstrip())
        for fault in checked.faults[:MAX_LINES_PER_CHECK]:
            report(f"        {fault}")
        if len(checked.faults) > MAX_LINES_PER_CHECK:
            report(f"        and {len(checked.faults) - MAX_LINES_PER_CHECK} more")
    kind = "scenario" if twin is None else "twin"
    result = "PASS" if is_expected(verdict, twin) else "FAIL"
    report(f"{result}: {kind} {scenario.name}")


def _print(line: str) -> None:
    print(line, flush=True)


def run(argv: list[str]) -> int:
    """Run one scenario file; print its steps, measured values and verdict."""
    if len(argv) != 3 or argv[1] != "run":
        print("usage: python -m jacinthsail.testing.scenario run <file> [--twin]")
        return EXIT_BAD_SCENARIO
    match load_scenario(Path(argv[2])):
        case Success(scenario):
            if _TWIN.value and scenario.twin is None:
                print(f"{argv[2]}: twin is missing; add it or run without --twin")
                return EXIT_BAD_SCENARIO
            twin = scenario.twin if _TWIN.value else None
            verdict = run_scenario(scenario, twin, _print)
            report_verdict(scenario, verdict, twin, _print)
            return 0 if is_expected(verdict, twin) else EXIT_FAILED
        case Failure(errors):
            for error in errors:
                print(describe(error))
    return EXIT_BAD_SCENARIO


def main() -> None:
    """Run the command-line interface."""
    app.run(run)


if __name__ == "__main__":
    main()

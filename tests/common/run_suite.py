"""Runs the tests with nose2, some side by side, and closes with one line of counts.

Tests listed in ``KNOWN-RED.txt`` are run and printed, but count neither as passed nor as failed.
The tests that start no processes and the slow ones run in processes of their own, since most of
their time is waiting.
"""

import asyncio
import json
import os
import sys
import tempfile
import unittest
from pathlib import Path
from typing import NamedTuple

import nose2

from tests.common.outcome_counter import OutcomeCounter

ROOT = Path(__file__).resolve().parents[2]
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test:"

# Each scenario uses about one processor, and the machines that run the tests have six or more.
SLOW_PROCESSES = 2

# The tests of this class share nothing, so they need not stay in one process.
DIVIDED_CLASS = "ScenariosTest"


class Outcomes(NamedTuple):
    """What became of the tests of one process."""

    passed: frozenset[str]
    failed: frozenset[str]
    skipped: frozenset[str]


def known_red(text):
    """Return the ids of the tests that a ``KNOWN-RED.txt`` lists."""
    names = []
    for line in text.splitlines():
        if not line.startswith(KNOWN_RED_PREFIX):
            continue
        names.append(line.removeprefix(KNOWN_RED_PREFIX).strip())
    return frozenset(names)


def run_here(arguments):
    """Run tests in this process and return their outcomes."""
    nose2.discover(argv=["nose2", *arguments], plugins=["tests.common.outcome_counter"], exit=False)
    return Outcomes(
        frozenset(OutcomeCounter.passed),
        frozenset(OutcomeCounter.failed),
        frozenset(OutcomeCounter.skipped),
    )


def slow_shares(count):
    """Divide the slow tests; the tests of a class stay together because they share a fixture."""
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests/slow"), top_level_dir=str(ROOT))
    groups = {}
    for test in tests_in(suite):
        name = test.id()
        group = name if DIVIDED_CLASS in name else name.rpartition(".")[0]
        groups.setdefault(group, name if group == name else group)
    shares = [[] for _ in range(count)]
    for number, name in enumerate(sorted(groups.values())):
        shares[number % count].append(name)
    return [share for share in shares if share]


def tests_in(suite):
    """Return the single tests of nested suites."""
    found = []
    for member in suite:
        if isinstance(member, unittest.TestSuite):
            found.extend(tests_in(member))
            continue
        found.append(member)
    return found


async def run_apart(arguments, folder, number):
    """Run tests in a process of their own; its end without a report is a failure of all of them."""
    report = Path(folder) / f"{number}.json"
    environment = {**os.environ, "SUITE_REPORT": str(report)}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.common.run_suite", "--part", *arguments, env=environment
    )
    await process.wait()
    if not report.exists():
        return Outcomes(frozenset(), frozenset({f"process {number} ended"}), frozenset())
    return Outcomes(*(frozenset(names) for names in json.loads(report.read_text())))


async def run_side_by_side():
    """Run all tests in several processes."""
    parts = [["-s", "tests/fast", "-t", str(ROOT)]]
    for share in slow_shares(SLOW_PROCESSES):
        parts.append(["-s", str(ROOT), "-t", str(ROOT), *share])
    with tempfile.TemporaryDirectory(prefix="jacinthsail-suite-") as folder:
        runs = [run_apart(part, folder, number) for number, part in enumerate(parts)]
        return await asyncio.gather(*runs)


def report_outcomes(parts):
    """Print what failed and the counts, and return the exit status."""
    passed = frozenset().union(*(part.passed for part in parts))
    failed = frozenset().union(*(part.failed for part in parts))
    skipped = frozenset().union(*(part.skipped for part in parts))
    red = known_red(KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else "")
    for name in sorted(red):
        seen = "passed" if name in passed else "was not run"
        seen = "failed" if name in failed else seen
        print(f"known red: {name}: {seen}")
    passed = passed - failed - red
    failed = failed - red
    for name in sorted(failed):
        print(f"failed: {name}")
    left_out = f", {len(skipped)} skipped" if skipped else ""
    print(f"{len(passed)} passed, {len(failed)} failed{left_out}")
    return 1 if failed or not passed else 0


def main():
    """Run the suite; the exit status is 0 only when nothing failed but known red tests."""
    arguments = sys.argv[1:]
    if "--part" in arguments:
        outcomes = run_here([argument for argument in arguments if argument != "--part"])
        report = [sorted(names) for names in outcomes]
        Path(os.environ["SUITE_REPORT"]).write_text(json.dumps(report))
        return 0
    if arguments:
        start = "tests/fast" if "--fast" in arguments else "tests"
        names = [argument for argument in arguments if argument != "--fast"]
        return report_outcomes([run_here(["-s", start, "-t", str(ROOT), *names])])
    return report_outcomes(asyncio.run(run_side_by_side()))


if __name__ == "__main__":
    raise SystemExit(main())

"""Runs the tests with nose2 in parallel processes and prints one line of counts at the end.

Tests listed in ``KNOWN-RED.txt`` are run and printed, but count neither as passed nor as failed.
The fast tests, which start no processes of their own, and the slow ones run at the same time in
separate processes, since the slow ones wait for most of their time.
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

# The tests of this class share no fixture, so they may run in different processes.
SPLIT_CLASS = "ScenariosTest"

# The tests of this module measure the memory of a process, so they run after all others.
ALONE_MODULE = "tests.slow.test_hostile_callers"


class Outcomes(NamedTuple):
    """Ids of the tests of one process by outcome."""

    passed: frozenset[str]
    failed: frozenset[str]
    skipped: frozenset[str]


def known_red_ids(text):
    """Return the ids of the tests listed in the text of a ``KNOWN-RED.txt``."""
    names = []
    for line in text.splitlines():
        if not line.startswith(KNOWN_RED_PREFIX):
            continue
        names.append(line.removeprefix(KNOWN_RED_PREFIX).strip())
    return frozenset(names)


def run_in_process(arguments):
    """Run tests in this process and return their outcomes."""
    nose2.discover(argv=["nose2", *arguments], plugins=["tests.common.outcome_counter"], exit=False)
    return Outcomes(
        frozenset(OutcomeCounter.passed),
        frozenset(OutcomeCounter.failed),
        frozenset(OutcomeCounter.skipped),
    )


def partition_slow_tests(count):
    """Return the slow tests in ``count`` parts.

    The tests of a class stay in one part, because they share a fixture.
    """
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests/slow"), top_level_dir=str(ROOT))
    groups = {}
    for test in tests_in(suite):
        name = test.id()
        if name.startswith(ALONE_MODULE):
            continue
        group = name if SPLIT_CLASS in name else name.rpartition(".")[0]
        groups.setdefault(group, name if group == name else group)
    shares = [[] for _ in range(count)]
    for number, name in enumerate(sorted(groups.values())):
        shares[number % count].append(name)
    return [share for share in shares if share]


def tests_in(suite):
    """Return the tests of nested suites as one list."""
    found = []
    for member in suite:
        if isinstance(member, unittest.TestSuite):
            found.extend(tests_in(member))
            continue
        found.append(member)
    return found


async def run_in_subprocess(arguments, folder, number):
    """Run tests in a subprocess; if it exits without a report, all of them count as failed."""
    report = Path(folder) / f"{number}.json"
    environment = {**os.environ, "SUITE_REPORT": str(report)}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.common.run_suite", "--part", *arguments, env=environment
    )
    await process.wait()
    if not report.exists():
        return Outcomes(frozenset(), frozenset({f"process {number} ended"}), frozenset())
    return Outcomes(*(frozenset(names) for names in json.loads(report.read_text())))


async def run_in_parallel():
    """Run all tests in parallel subprocesses, and then those that need to run alone."""
    parts = [["-s", "tests/fast", "-t", str(ROOT)]]
    for share in partition_slow_tests(SLOW_PROCESSES):
        parts.append(["-s", str(ROOT), "-t", str(ROOT), *share])
    with tempfile.TemporaryDirectory(prefix="jacinthsail-suite-") as folder:
        runs = [run_in_subprocess(part, folder, number) for number, part in enumerate(parts)]
        outcomes = await asyncio.gather(*runs)
        alone = ["-s", str(ROOT), "-t", str(ROOT), ALONE_MODULE]
        outcomes.append(await run_in_subprocess(alone, folder, len(parts)))
        return outcomes


def report_outcomes(parts):
    """Print the failed tests and the counts; return the exit status."""
    passed = frozenset().union(*(part.passed for part in parts))
    failed = frozenset().union(*(part.failed for part in parts))
    skipped = frozenset().union(*(part.skipped for part in parts))
    known_red = known_red_ids(KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else "")
    for name in sorted(known_red):
        outcome = "passed" if name in passed else "was not run"
        outcome = "failed" if name in failed else outcome
        print(f"known red: {name}: {outcome}")
    passed = passed - failed - known_red
    failed = failed - known_red
    for name in sorted(failed):
        print(f"failed: {name}")
    skipped_text = f", {len(skipped)} skipped" if skipped else ""
    print(f"{len(passed)} passed, {len(failed)} failed{skipped_text}")
    return 1 if failed or not passed else 0


def main():
    """Run the suite; the exit status is 0 only if no tests failed except known red ones."""
    arguments = sys.argv[1:]
    if "--part" in arguments:
        outcomes = run_in_process([argument for argument in arguments if argument != "--part"])
        report = [sorted(names) for names in outcomes]
        Path(os.environ["SUITE_REPORT"]).write_text(json.dumps(report))
        return 0
    if arguments:
        start = "tests/fast" if "--fast" in arguments else "tests"
        names = [argument for argument in arguments if argument != "--fast"]
        return report_outcomes([run_in_process(["-s", start, "-t", str(ROOT), *names])])
    return report_outcomes(asyncio.run(run_in_parallel()))


if __name__ == "__main__":
    raise SystemExit(main())

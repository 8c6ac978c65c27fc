"""Runs the tests with nose2 and closes with one line of counts.

Tests listed in ``KNOWN-RED.txt`` are run and printed, but count neither as passed nor as failed.
"""

import sys
from pathlib import Path

import nose2

from tests.common.outcome_counter import OutcomeCounter

ROOT = Path(__file__).resolve().parents[2]
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test:"


def known_red(text):
    """Return the ids of the tests that a ``KNOWN-RED.txt`` lists."""
    names = []
    for line in text.splitlines():
        if not line.startswith(KNOWN_RED_PREFIX):
            continue
        names.append(line.removeprefix(KNOWN_RED_PREFIX).strip())
    return frozenset(names)


def main():
    """Run the suite; the exit status is 0 only when nothing failed but known red tests."""
    fast_only = "--fast" in sys.argv
    names = [argument for argument in sys.argv[1:] if argument != "--fast"]
    start = "tests/fast" if fast_only else "tests"
    nose2.discover(
        argv=["nose2", "-s", start, "-t", str(ROOT), *names],
        plugins=["tests.common.outcome_counter"],
        exit=False,
    )
    red = known_red(KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else "")
    for name in sorted(red):
        seen = "passed" if name in OutcomeCounter.passed else "was not run"
        seen = "failed" if name in OutcomeCounter.failed else seen
        print(f"known red: {name}: {seen}")
    passed = OutcomeCounter.passed - OutcomeCounter.failed - red
    failed = OutcomeCounter.failed - red
    for name in sorted(failed):
        print(f"failed: {name}")
    skipped = f", {len(OutcomeCounter.skipped)} skipped" if OutcomeCounter.skipped else ""
    print(f"{len(passed)} passed, {len(failed)} failed{skipped}")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    raise SystemExit(main())

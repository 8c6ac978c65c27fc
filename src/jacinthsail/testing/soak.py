"""Runs the real nodes under random planned work and faults, and checks the promises to callers.

    python -m jacinthsail.testing.soak --seed 1 --runs 50

Each run prints one line; the exit status is 1 if a promise was broken. The seed determines the
plan of a run, but not the interleaving of its processes.
"""

import asyncio
import shutil
import tempfile
from pathlib import Path

from absl import app, flags

from jacinthsail.testing.soak_actions import execute
from jacinthsail.testing.soak_checks import violations
from jacinthsail.testing.soak_clients import (
    Client,
    KeptClient,
    LeavingClient,
    PipeliningClient,
    ReadinessIgnoringClient,
    SlowBodyClient,
    run_client,
)
from jacinthsail.testing.soak_fleet import SoakFleet
from jacinthsail.testing.soak_model import Action, SoakPlan, SoakRecord, Violation
from jacinthsail.testing.soak_plan import draw_plan

# After the last action, stops end and the last requests are answered.
SETTLE_S = 9.0

MAX_REPORTED = 20

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the first run.")
_RUNS = flags.DEFINE_integer("runs", 1, "Number of runs, with consecutive seeds.")
_NODES = flags.DEFINE_integer("nodes", 8, "Number of nodes.", lower_bound=2, upper_bound=100)
_LENGTH_S = flags.DEFINE_float("length_s", 20.0, "Time in which actions begin, in s.")
_FAULTS = flags.DEFINE_boolean("faults", False, "Whether faults occur beside planned work.")
_PROXIES = flags.DEFINE_boolean(
    "proxies", False, "Whether proxies delay all links between nodes, and disturb them with faults."
)
_ACCOUNTS = flags.DEFINE_boolean(
    "accounts", False, "Whether callers need keys, which manifests withdraw."
)
_HOSTILE_TARGETS = flags.DEFINE_boolean(
    "hostile_targets", False, "Whether targets break off heads and send bytes without an end."
)
_KEEP = flags.DEFINE_string("keep", "", "Folder for the logs of failed runs.")


async def run_plan(plan: SoakPlan, folder: Path) -> SoakRecord:
    """Execute a plan and return what was seen."""
    fleet = SoakFleet(plan, folder)
    try:
        await fleet.start()
        clients: list[Client] = []
        for node in range(1, plan.nodes + 1):
            clients += [KeptClient(node) for _ in range(plan.clients.kept)]
            clients += [LeavingClient(node) for _ in range(plan.clients.leaving)]
            clients += [PipeliningClient(node) for _ in range(plan.clients.pipelining)]
            clients += [SlowBodyClient(node) for _ in range(plan.clients.slow_body)]
            clients += [
                ReadinessIgnoringClient(node) for _ in range(plan.clients.readiness_ignoring)
            ]
        for client in clients:
            fleet.keep(run_client(client, fleet))
        started = fleet.now()
        actions = [execute_at(action, started, fleet) for action in plan.actions]
        await asyncio.gather(*actions)
        await asyncio.sleep(max(0.0, started + plan.length_s + SETTLE_S - fleet.now()))
    finally:
        await fleet.close()
    return fleet.record


async def execute_at(action: Action, started: float, fleet: SoakFleet) -> None:
    """Execute an action at its time."""
    await asyncio.sleep(max(0.0, started + action.at - fleet.now()))
    await execute(action, fleet)


def report(plan: SoakPlan, record: SoakRecord, found: list[Violation]) -> None:
    """Print one line for a run, and its first violations."""
    verdict = "held" if not found else f"{len(found)} violations"
    sent = len(record["attempts"])
    ran = len(record["executions"])
    print(f"seed {plan.seed}: {verdict}; {sent} requests, {ran} executions", flush=True)
    for violation in found[:MAX_REPORTED]:
        print(f"  {violation.rule} {violation.request_id}: {violation.detail}", flush=True)


def run(_argv: list[str]) -> None:
    """Execute the runs; exit with 1 if one of them broke a promise."""
    failed = False
    for seed in range(_SEED.value, _SEED.value + _RUNS.value):
        plan = draw_plan(
            seed,
            _NODES.value,
            _LENGTH_S.value,
            _FAULTS.value,
            _PROXIES.value,
            _ACCOUNTS.value,
            _HOSTILE_TARGETS.value,
        )
        with tempfile.TemporaryDirectory(prefix="jacinthsail-soak-") as folder:
            record = asyncio.run(run_plan(plan, Path(folder)))
            found = violations(record)
            report(plan, record, found)
            failed = failed or bool(found)
            if found and _KEEP.value:
                shutil.copytree(folder, Path(_KEEP.value) / str(seed), dirs_exist_ok=True)
    raise SystemExit(1 if failed else 0)


def main() -> None:
    """Run the soak."""
    app.run(run)


if __name__ == "__main__":
    main()

"""Measures goodput, wasted executions and recovery under overload with real processes.

Usage: ``python -m jacinthsail.testing.measure_overload --deployments=stenonet --policies=full``.
Capacity is computed from slots and service times. Goodput is compared with the best goodput of any
policy at 1 times capacity in the same run.
"""

import asyncio
import os
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from absl import app, flags
from aiohttp import ClientSession, TCPConnector

from jacinthsail.testing import overload_model as model
from jacinthsail.testing.mesh import Mesh
from jacinthsail.testing.overload_figures import load_figures, load_label, recovery_figures
from jacinthsail.testing.records import read_executions
from jacinthsail.testing.run_record import new_run_record
from jacinthsail.testing.scenario_clients import Client, run_load
from jacinthsail.testing.scenario_model import Load, Target
from jacinthsail.testing.scenario_steps import Runner, run_step
from jacinthsail.testing.target_model import Execution

_DEPLOYMENTS = flags.DEFINE_list(
    "deployments", ["stenonet", "featherbox"], "Deployments to measure."
)
_POLICIES = flags.DEFINE_list("policies", ["none", "fixed", "full"], "Policies to measure.")
_FACTORS = flags.DEFINE_list("factors", ["0.5", "1", "2", "4", "10"], "Multiples of capacity.")
_LOAD_S = flags.DEFINE_float(
    "load_s", 6.0, "Duration of each load in s.", lower_bound=3, upper_bound=60
)
_RECOVERY = flags.DEFINE_bool("recovery", True, "Also measure recovery after a slowdown.")

WARM_UP_S = 3.0
BEFORE_S = 4.0
TRIGGER_S = 4.0
AFTER_S = 6.0

# Below capacity, so that the deployment can work off its queues after the trigger.
BASELINE_FACTOR = 0.8
SLOWDOWN_FACTOR = 5.0
CLIENT_RETRIES = 3

# Queued requests of one load must have ended before the next one starts.
PAUSE_BETWEEN_LOADS_S = 1.0


async def send_load(
    runner: Runner,
    deployment: model.Deployment,
    phase: str,
    factor: float,
    duration_s: float,
    client_retries: int = 0,
) -> None:
    """Send requests of every class at a multiple of capacity and wait for their outcomes."""
    loads = []
    for traffic in deployment.traffic:
        entries = tuple(vm.vm for vm in model.vms_of(deployment) if vm.service == traffic.service)
        mix = {
            "service": traffic.service,
            "call_class": traffic.call_class,
            "then": list(traffic.then),
        }
        load = Load(
            label=load_label(phase, traffic),
            rate=traffic.rate * factor,
            duration_s=duration_s,
            entries=entries,
            mix=(mix,),
            client_retries=client_retries,
        )
        loads.append(run_load(load, runner.client))
    await asyncio.gather(*loads)


async def configure_targets(runner: Runner, deployment: model.Deployment) -> None:
    """Set the slots and the service time of all targets."""
    for service in deployment.services:
        behaviour = {
            "slots": service.slots,
            "connections": 7 * service.slots,
            "service_time_ms": service.service_time_ms,
        }
        await run_step(Target(vms_with(deployment, service.name), behaviour), runner)


def vms_with(deployment: model.Deployment, service: str) -> tuple[str, ...]:
    """Return the names of the VMs of a service."""
    return tuple(vm.vm for vm in model.vms_of(deployment) if vm.service == service)


async def measure_loads(
    runner: Runner, deployment: model.Deployment, factors: list[float]
) -> list[model.LoadFigures]:
    """Return the figures at each multiple of capacity."""
    for factor in factors:
        await send_load(runner, deployment, f"x{factor:g}", factor, _LOAD_S.value)
        await asyncio.sleep(PAUSE_BETWEEN_LOADS_S)
    executions = executions_of(runner.mesh)
    return [load_figures(runner.record, executions, deployment, factor) for factor in factors]


async def measure_recovery(runner: Runner, deployment: model.Deployment) -> model.RecoveryFigures:
    """Slow down the deep service while demand doubles, and return the recovery figures."""
    deep = vms_with(deployment, deployment.deep_service)
    await send_load(runner, deployment, "before", BASELINE_FACTOR, BEFORE_S)
    await run_step(Target(deep, {"slow_factor": SLOWDOWN_FACTOR}), runner)
    trigger = asyncio.create_task(
        send_load(runner, deployment, "trigger", 2 * BASELINE_FACTOR, TRIGGER_S, CLIENT_RETRIES)
    )
    await asyncio.sleep(TRIGGER_S)
    await run_step(Target(deep, {"slow_factor": 1.0}), runner)
    await send_load(runner, deployment, "after", BASELINE_FACTOR, AFTER_S, CLIENT_RETRIES)
    await trigger
    return recovery_figures(runner.record, executions_of(runner.mesh), deployment)


def executions_of(mesh: Mesh) -> list[Execution]:
    """Return the executions recorded by all targets."""
    executions = []
    for vm in mesh.vms:
        executions += read_executions(mesh.record_path(vm))
    return executions


@asynccontextmanager
async def runner_in(mesh: Mesh, deployment: model.Deployment) -> AsyncIterator[Runner]:
    """Yield a runner for a mesh after setting its targets and warming up the adaptive limits."""
    record = new_run_record()
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        urls = {vm: mesh.callers_url(vm) for vm in mesh.vms}
        runner = Runner(mesh, Client(session, urls, record), record, {}, set())
        await configure_targets(runner, deployment)
        await send_load(runner, deployment, "warm", BASELINE_FACTOR, WARM_UP_S)
        yield runner


async def measure(
    mesh: Mesh, deployment: model.Deployment, factors: list[float]
) -> tuple[list[model.LoadFigures], model.RecoveryFigures | None]:
    """Return the figures of one deployment under one policy."""
    async with runner_in(mesh, deployment) as runner:
        recovery = await measure_recovery(runner, deployment) if _RECOVERY.value else None
        if recovery is not None:
            await asyncio.sleep(PAUSE_BETWEEN_LOADS_S)
        return await measure_loads(runner, deployment, factors), recovery


def print_loads(policy: str, loads: list[model.LoadFigures]) -> None:
    """Print one line for each multiple of capacity."""
    for load in loads:
        classes = "  ".join(f"{name} {rate:.1f}" for name, rate in load.goodput.items())
        print(
            f"{policy:5}  x{load.factor:<4g} important {load.important_goodput:5.1f}/s"
            f"  total {load.total:5.1f}/s  wasted {load.wasted_share:6.1%}"
            f"  deep service utilization {load.deep_utilization:.1%}"
            f"  attempts {load.mean_attempts:.2f} mean, {load.max_attempts} max"
            f"  client lag {load.client_lag_s * 1000:.0f} ms  ({classes})",
            flush=True,
        )


def print_recovery(policy: str, recovery: model.RecoveryFigures) -> None:
    """Print goodput before, during and after the trigger."""
    seconds = " ".join(f"{rate:.0f}" for rate in recovery.after_by_second)
    recovered = (
        "not recovered"
        if recovery.recovery_s is None
        else f"recovered after {recovery.recovery_s:.2f} s"
    )
    print(
        f"{policy:5}  trigger: before {recovery.before:.1f}/s, during {recovery.during:.1f}/s,"
        f" {recovered} (goodput in each second after it: {seconds}),"
        f" wasted {recovery.wasted_share:.1%}, attempts {recovery.max_attempts} max",
        flush=True,
    )


def print_shares(deployment: model.Deployment, results: dict[str, list[model.LoadFigures]]) -> None:
    """Print goodput of each policy relative to the best goodput at 1 times capacity."""
    at_capacity = [load for loads in results.values() for load in loads if load.factor == 1]
    if not at_capacity:
        return
    best_important = max(load.important_goodput for load in at_capacity)
    best_total = max(load.total for load in at_capacity)
    computed = sum(traffic.rate for traffic in deployment.traffic)
    print(
        f"best at x1: important {best_important:.1f}/s, total {best_total:.1f}/s;"
        f" computed capacity {computed:g}/s"
    )
    for policy, loads in results.items():
        for load in loads:
            print(
                f"{policy:5}  x{load.factor:<4g}"
                f" important {load.important_goodput / best_important:6.1%}"
                f"  total {load.total / best_total:6.1%}"
            )


def run_deployment(deployment: model.Deployment, factors: list[float]) -> None:
    """Measure a deployment under each selected policy and print the figures."""
    print(f"{deployment.name}: load average {os.getloadavg()[0]:.1f}", flush=True)
    results = {}
    for policy in model.POLICIES:
        if policy.name not in _POLICIES.value:
            continue
        listed = ", ".join(f'"{name}"' for name in policy.disabled)
        settings = f"[testing]\ndisabled = [{listed}]\n"
        with Mesh(
            model.vms_of(deployment), model.sections_of(deployment, policy), settings
        ) as mesh:
            loads, recovery = asyncio.run(measure(mesh, deployment, factors))
        results[policy.name] = loads
        print_loads(policy.name, loads)
        if recovery is not None:
            print_recovery(policy.name, recovery)
    print_shares(deployment, results)


def run(argv: list[str]) -> None:
    """Measure the selected deployments."""
    started_at = time.monotonic()
    factors = [float(factor) for factor in _FACTORS.value]
    for deployment in model.DEPLOYMENTS:
        if deployment.name in _DEPLOYMENTS.value:
            run_deployment(deployment, factors)
    print(f"{time.monotonic() - started_at:.0f} s")


def main() -> None:
    """Run the measurement."""
    app.run(run)


if __name__ == "__main__":
    main()

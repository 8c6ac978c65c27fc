"""Commands that execute the steps of a scenario."""

import asyncio
import json
import signal
import time
from functools import singledispatch
from typing import Any, NamedTuple

from aiohttp import ClientError, ClientTimeout

from jacinthsail.testing import scenario_model as model
from jacinthsail.testing.mesh import Mesh, process_name
from jacinthsail.testing.run_record import (
    ObservedVersions,
    PublishedEdit,
    RunRecord,
    latest_observations,
)
from jacinthsail.testing.scenario_clients import Client, run_load

POLL_S = 0.1
STATUS_TIMEOUT = ClientTimeout(total=1.0)
HEALTHY_LINK: dict[str, object] = {
    "cut": False,
    "silent": False,
    "silences_new": False,
    "only_from": [],
}


class StepError(Exception):
    """A step could not be executed, or a condition was not met in time."""


class Runner(NamedTuple):
    """The mesh, the client and the state that the steps of a run share."""

    mesh: Mesh
    client: Client
    record: RunRecord
    section_texts: dict[str, str]
    loads: set[asyncio.Task[None]]


@singledispatch
async def run_step(step: object, runner: Runner) -> None:
    """Execute one step."""
    raise NotImplementedError(f"no rule for step {type(step).__name__}; register one")


@run_step.register
async def _(step: model.Load, runner: Runner) -> None:
    if step.background:
        runner.loads.add(asyncio.create_task(run_load(step, runner.client)))
        return
    await run_load(step, runner.client)


@run_step.register
async def _(step: model.Call, runner: Runner) -> None:
    load = model.Load(step.label, 1.0, 1.0, (step.entry,), (step.call,))
    await run_load(load, runner.client)


@run_step.register
async def _(step: model.JoinLoads, runner: Runner) -> None:
    await asyncio.gather(*runner.loads)


@run_step.register
async def _(step: model.Target, runner: Runner) -> None:
    for vm in step.vms:
        await _post_control(runner, vm, "target", step.behaviour)


@run_step.register
async def _(step: model.Link, runner: Runner) -> None:
    for vm in step.vms:
        await _post_control(runner, vm, step.role, step.behaviour)


@run_step.register
async def _(step: model.Cut, runner: Runner) -> None:
    for vm in step.vms:
        await _post_control(runner, vm, step.role, {"cut": True})


@run_step.register
async def _(step: model.Silence, runner: Runner) -> None:
    for vm in step.vms:
        await _post_control(runner, vm, step.role, {"silent": True, "silences_new": step.new_too})


@run_step.register
async def _(step: model.Heal, runner: Runner) -> None:
    for vm in step.vms:
        await _post_control(runner, vm, step.role, HEALTHY_LINK)


@run_step.register
async def _(step: model.Partition, runner: Runner) -> None:
    change: dict[str, object] = {"cut": True}
    if step.silent:
        change = {"silent": True, "silences_new": True}
    for vm in step.one_side:
        await _post_control(runner, vm, "link", {**change, "only_from": step.other_side})
    for vm in step.other_side:
        await _post_control(runner, vm, "link", {**change, "only_from": step.one_side})
    for vm in step.off_platform:
        await _post_control(runner, vm, "platform-link", change)


@run_step.register
async def _(step: model.Freeze, runner: Runner) -> None:
    for vm in step.vms:
        runner.mesh.signal_process(vm, step.role, signal.SIGSTOP)


@run_step.register
async def _(step: model.Resume, runner: Runner) -> None:
    for vm in step.vms:
        runner.mesh.signal_process(vm, step.role, signal.SIGCONT)


@run_step.register
async def _(step: model.Kill, runner: Runner) -> None:
    for vm in step.vms:
        runner.mesh.signal_process(vm, step.role, signal.SIGKILL)


@run_step.register
async def _(step: model.Start, runner: Runner) -> None:
    for vm in step.vms:
        await _wait_for_exit(runner, vm, step.role, 5.0)
        runner.mesh.start_process(vm, step.role)


@run_step.register
async def _(step: model.Stop, runner: Runner) -> None:
    runner.mesh.signal_process(step.vm, "node", signal.SIGTERM)
    code = await _wait_for_exit(runner, step.vm, "node", step.timeout_s)
    runner.record["exit_codes"][process_name(step.vm, "node")] = code


@run_step.register
async def _(step: model.Leave, runner: Runner) -> None:
    runner.mesh.publish_vm_lists(frozenset(step.vms))


@run_step.register
async def _(step: model.Remove, runner: Runner) -> None:
    runner.mesh.remove_from_lists(step.vms)


@run_step.register
async def _(step: model.Relist, runner: Runner) -> None:
    runner.mesh.relist_vms(step.vms)


@run_step.register
async def _(step: model.Platform, runner: Runner) -> None:
    change = {"mode": step.mode, "delay_ms": step.delay_ms, "back": step.back}
    await _post_control(runner, "", "platform", change)


@run_step.register
async def _(step: model.Edit, runner: Runner) -> None:
    text = step.text or runner.section_texts[step.section]
    for old, new in step.replace:
        if old not in text:
            raise StepError(
                f"section {step.section} does not contain {old!r}; correct the replace pair"
            )
        text = text.replace(old, new)
    if step.broken:
        version = await _publish(runner, step.section, text)
    else:
        runner.section_texts[step.section] = text
        version = await publish_section(runner, step.section, text)
    runner.record["edits"][step.label] = PublishedEdit(step.section, version)


@run_step.register
async def _(step: model.Pause, runner: Runner) -> None:
    await asyncio.sleep(step.seconds)


@run_step.register
async def _(step: model.WaitSections, runner: Runner) -> None:
    # The step reads the observations of the watcher. If it queried the nodes itself, a later step
    # could revert a version before the next poll of the watcher, and the record would lack it.
    started_at = time.monotonic()
    while time.monotonic() < started_at + step.timeout_s:
        if _sections_in_force(step.vms, runner.record, started_at):
            return
        await asyncio.sleep(POLL_S)
    raise StepError(f"sections not in force on {step.vms} after {step.timeout_s} s")


@run_step.register
async def _(step: model.WaitReady, runner: Runner) -> None:
    deadline = time.monotonic() + step.timeout_s
    while time.monotonic() < deadline:
        statuses = [await node_status(runner, vm) for vm in step.vms]
        if all(status is not None and status["ready"] for status in statuses):
            return
        await asyncio.sleep(POLL_S)
    raise StepError(f"{step.vms} not ready after {step.timeout_s} s")


def _sections_in_force(vms: tuple[str, ...], record: RunRecord, since: float) -> bool:
    """Return whether each VM was observed since ``since`` with the published versions in force."""
    newest = latest_observations(record, since)
    return all(vm in newest and newest[vm].versions == record["published"] for vm in vms)


async def publish_section(runner: Runner, section: str, text: str) -> int:
    """Publish a section; record and return the version that the platform assigned."""
    version = await _publish(runner, section, text)
    runner.record["published"][section] = version
    return version


async def _publish(runner: Runner, section: str, text: str) -> int:
    url = f"http://127.0.0.1:{runner.mesh.platform_port}/v1/items/section/{section}"
    async with runner.client.session.put(url, data=text.encode()) as response:
        version: int = (await response.json())["version"]
        return version


async def node_status(runner: Runner, vm: str) -> dict[str, Any] | None:
    """Return the status page of a node, or None when the node does not respond."""
    try:
        async with runner.client.session.get(
            runner.mesh.status_url(vm), timeout=STATUS_TIMEOUT
        ) as response:
            status: dict[str, Any] = await response.json()
            return status
    except (ClientError, OSError, TimeoutError):
        return None


def active_versions(status: dict[str, Any] | None) -> dict[str, int]:
    """Return the versions of the sections that are in force according to a status page."""
    if status is None:
        return {}
    sections = status["sections"]
    return {name.removeprefix("section/"): sections[name]["version"] for name in sections}


async def watch_versions(runner: Runner) -> None:
    """Record the versions in force on every ready node, until cancelled."""
    while True:
        await record_versions(runner)
        await asyncio.sleep(POLL_S)


async def record_versions(runner: Runner) -> None:
    """Record the versions that are in force now on every ready node."""
    for vm in runner.mesh.vms:
        status = await node_status(runner, vm)
        if status is None or not status["ready"]:
            continue
        runner.record["observations"].append(_observe(vm, status))


def _observe(vm: str, status: dict[str, Any]) -> ObservedVersions:
    now = time.monotonic()
    rejected = {}
    for name, section in status["sections"].items():
        if section["rejected_version"] is not None and section["errors"]:
            rejected[name.removeprefix("section/")] = section["rejected_version"]
    return ObservedVersions(
        vm=vm,
        incarnation=status["incarnation"],
        versions=active_versions(status),
        observed_at=now,
        # The platform stand-in uses the wall clock of the same machine.
        confirmed_as_of=status["as_of_ms"] / 1000 - (time.time() - now),
        rejected=rejected,
    )


async def _post_control(runner: Runner, vm: str, role: str, change: dict[str, Any]) -> None:
    url = runner.mesh.control_url(vm, role)
    async with runner.client.session.post(url, data=json.dumps(change)) as response:
        if response.status != 200:
            raise StepError(f"{role} {vm}: control request failed: {await response.text()}")


async def _wait_for_exit(runner: Runner, vm: str, role: str, timeout_s: float) -> int | None:
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        code = runner.mesh.exit_code(vm, role)
        if code is not None:
            return code
        await asyncio.sleep(POLL_S)
    return None

"""Executes the actions of a soak plan on its deployment."""

import asyncio
import signal
from functools import singledispatch

from jacinthsail.testing.soak_fleet import SoakFleet
from jacinthsail.testing.soak_model import (
    GRACE_S,
    BreakResponses,
    CutWatches,
    Departure,
    FreezeNode,
    HoldLinks,
    HoldStore,
    KillNode,
    PublishManifest,
    ReloadNode,
    RemoveVm,
    ReplaceTarget,
    ResetLinks,
    SilenceLinks,
    StopNode,
    StoreOutage,
)
from jacinthsail.testing.soak_proxy import Direction, LinkProxy

# A target that leaves serves on for this long after the store has accepted it.
SERVES_ON_S = 2.5


@singledispatch
async def execute(action: object, fleet: SoakFleet) -> None:
    """Execute one action of the plan."""
    raise NotImplementedError(f"no execution for {type(action).__name__}; register one")


@execute.register
async def _(action: StopNode, fleet: SoakFleet) -> None:
    await stop_node(action.node, fleet)


async def stop_node(node: int, fleet: SoakFleet) -> None:
    """Send SIGTERM to a node, and start it again after its end."""
    if node in fleet.stops:
        return
    process = fleet.processes[node]
    fleet.stops.add(node)
    fleet.disturb(node, "stop", is_planned=True)
    process.terminate()
    try:
        async with asyncio.timeout(GRACE_S):
            await process.wait()
    except TimeoutError:
        fleet.record["unexpected_exits"].append(f"node {node} outlived its grace period")
        if process.returncode is None:
            process.kill()
        await process.wait()
    await fleet.start_node(node)
    fleet.stops.discard(node)


@execute.register
async def _(action: KillNode, fleet: SoakFleet) -> None:
    if action.node in fleet.stops:
        return
    fleet.stops.add(action.node)
    fleet.disturb(action.node, "kill", is_planned=False)
    fleet.processes[action.node].kill()
    await fleet.processes[action.node].wait()
    await fleet.start_node(action.node)
    fleet.stops.discard(action.node)


@execute.register
async def _(action: FreezeNode, fleet: SoakFleet) -> None:
    if action.node in fleet.stops:
        return
    fleet.stops.add(action.node)
    fleet.disturb(action.node, "freeze", is_planned=False)
    fleet.processes[action.node].send_signal(signal.SIGSTOP)
    await asyncio.sleep(action.for_s)
    fleet.processes[action.node].send_signal(signal.SIGCONT)
    fleet.disturb(action.node, "wake", is_planned=False)
    fleet.stops.discard(action.node)


@execute.register
async def _(action: ReloadNode, fleet: SoakFleet) -> None:
    if action.node not in fleet.stops:
        fleet.processes[action.node].send_signal(signal.SIGHUP)


@execute.register
async def _(action: PublishManifest, fleet: SoakFleet) -> None:
    fleet.publish_manifest()


@execute.register
async def _(action: ReplaceTarget, fleet: SoakFleet) -> None:
    if await end_target(action.node, action.announces, fleet):
        await fleet.add_target(action.node)


@execute.register
async def _(action: RemoveVm, fleet: SoakFleet) -> None:
    if not await end_target(action.node, True, fleet):
        return
    # A node gets its signal after its target has ended.
    await stop_node(action.node, fleet)
    await fleet.add_target(action.node)


async def end_target(node: int, announces: bool, fleet: SoakFleet) -> bool:
    """Let a target leave and end; return False if it was leaving already."""
    target = fleet.targets[node]
    if not target.is_published or target.state != "ready":
        return False
    key = f"servers/{target.incarnation}"
    if announces:
        target.state = "draining"
        target.publish()
    else:
        target.is_published = False
        fleet.store.delete(key)
    fleet.record["departures"].append(Departure(target.incarnation, fleet.now()))
    await asyncio.sleep(SERVES_ON_S)
    target.is_published = False
    if announces:
        fleet.store.delete(key)
    target.port.close_listener()
    # It ends once its last request has ended.
    while any(connection.pending for connection in target.port.connections):
        await asyncio.sleep(0.05)
    target.port.abort_all()
    return True


@execute.register
async def _(action: CutWatches, fleet: SoakFleet) -> None:
    for connection in list(fleet.store.port.connections):
        connection.abort()


@execute.register
async def _(action: StoreOutage, fleet: SoakFleet) -> None:
    fleet.disturb(0, "store outage", is_planned=False)
    fleet.store.status = 503
    await asyncio.sleep(action.for_s)
    fleet.store.status = 200
    fleet.disturb(0, "store return", is_planned=False)


@execute.register
async def _(action: ResetLinks, fleet: SoakFleet) -> None:
    fleet.disturb(action.node, "links reset", is_planned=False)
    fleet.peer_proxies[action.node].reset()


@execute.register
async def _(action: SilenceLinks, fleet: SoakFleet) -> None:
    fleet.disturb(action.node, "links silent", is_planned=False)
    fleet.peer_proxies[action.node].silence()


@execute.register
async def _(action: HoldLinks, fleet: SoakFleet) -> None:
    direction = Direction.TO_SERVER if action.to_node else Direction.TO_CLIENT
    await hold(fleet.peer_proxies[action.node], direction, action.node, action.for_s, fleet)


@execute.register
async def _(action: HoldStore, fleet: SoakFleet) -> None:
    proxy = fleet.store_proxies[action.node]
    await hold(proxy, Direction.TO_CLIENT, action.node, action.for_s, fleet)


async def hold(
    proxy: LinkProxy, direction: Direction, node: int, for_s: float, fleet: SoakFleet
) -> None:
    """Hold the bytes of one direction for a time."""
    fleet.disturb(node, "link held", is_planned=False)
    proxy.set_held(direction, True)
    await asyncio.sleep(for_s)
    proxy.set_held(direction, False)
    fleet.disturb(node, "link released", is_planned=False)


@execute.register
async def _(action: BreakResponses, fleet: SoakFleet) -> None:
    fleet.disturb(action.node, "responses spoiled", is_planned=False)
    target = fleet.targets[action.node]
    target.spoils_until = fleet.now() + action.for_s
    await asyncio.sleep(action.for_s)
    fleet.disturb(action.node, "responses intact", is_planned=False)

"""Draws the plan of a soak run from its seed."""

from random import Random

from jacinthsail.testing.soak_model import (
    Action,
    ClientMix,
    CutWatches,
    FreezeNode,
    KillNode,
    PublishManifest,
    ReloadNode,
    ReplaceTarget,
    SoakPlan,
    StopNode,
    StoreOutage,
)

# Clients and the first reads of the store settle before the first action.
WARM_UP_S = 4.0

# Actions follow one another so closely that stops overlap; a stop takes up to 6 s.
MEAN_GAP_S = 1.5

MAX_FREEZE_S = 4.0
MAX_OUTAGE_S = 6.0


def draw_plan(seed: int, nodes: int, length_s: float, with_faults: bool) -> SoakPlan:
    """Return the plan of a seed; without faults, all actions are planned work."""
    random = Random(seed)
    clients = ClientMix(
        kept=random.randint(2, 4),
        leaving=random.randint(4, 12),
        pipelining=random.randint(0, 2),
        slow_body=random.randint(0, 2),
        readiness_ignoring=random.randint(0, 2),
    )
    actions: list[Action] = []
    at = WARM_UP_S
    while at < length_s:
        actions.append(draw_action(random, at, nodes, with_faults))
        at += random.expovariate(1.0 / MEAN_GAP_S)
    return SoakPlan(seed, nodes, clients, length_s, tuple(actions))


def draw_action(random: Random, at: float, nodes: int, with_faults: bool) -> Action:
    """Return one action at a time."""
    node = random.randint(1, nodes)
    planned: list[Action] = [
        StopNode(at, node),
        StopNode(at, node),
        ReloadNode(at, node),
        PublishManifest(at),
        ReplaceTarget(at, node, announces=random.random() < 0.5),
    ]
    faults: list[Action] = [
        KillNode(at, node),
        FreezeNode(at, node, random.uniform(0.5, MAX_FREEZE_S)),
        CutWatches(at),
        StoreOutage(at, random.uniform(0.5, MAX_OUTAGE_S)),
    ]
    return random.choice(planned + faults if with_faults else planned)

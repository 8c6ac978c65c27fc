"""Draws the plan of a soak run from its seed."""

from random import Random

from jacinthsail.testing.soak_model import (
    Action,
    BreakResponses,
    ClientMix,
    CutWatches,
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

WORK_MS = (10, 30, 80, 300, 900)

# With proxies, some requests still run at the end of the grace period.
LONG_WORK_MS = (*WORK_MS, *WORK_MS, 2200, 3600)

# One way, about as long as between two regions.
LINK_DELAY_S = 0.01

MEAN_LINK_GAP_S = 3.0

MAX_WITHDRAWAL_GAP_S = 5.0

# Shorter than the time for which a disturbance excuses a node.
MAX_HOLD_S = 2.5
MAX_BREAK_S = 2.5
MEAN_HOSTILE_GAP_S = 0.7


def draw_plan(
    seed: int,
    nodes: int,
    length_s: float,
    with_faults: bool,
    with_proxies: bool = False,
    with_accounts: bool = False,
    with_hostile_targets: bool = False,
) -> SoakPlan:
    """Return the plan of a seed; without faults, all actions are planned work.

    The actions of a seed do not depend on ``with_proxies``, ``with_accounts`` or
    ``with_hostile_targets``, which add further ones.
    """
    plan = _draw_base_plan(seed, nodes, length_s, with_faults)
    if with_proxies:
        plan = _add_proxies(plan, with_faults)
    if with_accounts:
        plan = _add_accounts(plan)
    return _add_hostile_targets(plan) if with_hostile_targets else plan


def _add_hostile_targets(plan: SoakPlan) -> SoakPlan:
    """Let targets spoil responses in all ways, mostly several of them at the same time."""
    random = Random(f"hostile targets {plan.seed}")
    actions = list(plan.actions)
    at = WARM_UP_S
    while at < plan.length_s:
        node = random.randint(1, plan.nodes)
        actions.append(BreakResponses(at, node, random.uniform(1.0, MAX_BREAK_S)))
        at += random.expovariate(1.0 / MEAN_HOSTILE_GAP_S)
    ordered = sorted(actions, key=lambda action: action.at)
    return plan._replace(actions=tuple(ordered), has_hostile_targets=True)


def _add_accounts(plan: SoakPlan) -> SoakPlan:
    """Withdraw keys at regular times, among the other actions."""
    random = Random(f"accounts {plan.seed}")
    actions = list(plan.actions)
    at = WARM_UP_S
    while at < plan.length_s:
        actions.append(PublishManifest(at))
        at += random.uniform(0.5, MAX_WITHDRAWAL_GAP_S)
    ordered = sorted(actions, key=lambda action: action.at)
    return plan._replace(actions=tuple(ordered), has_accounts=True)


def _add_proxies(plan: SoakPlan, with_faults: bool) -> SoakPlan:
    random = Random(f"proxies {plan.seed}")
    actions = list(plan.actions)
    at = WARM_UP_S
    while at < plan.length_s:
        actions.append(draw_link_action(random, at, plan.nodes, with_faults))
        at += random.expovariate(1.0 / MEAN_LINK_GAP_S)
    return plan._replace(
        clients=plan.clients._replace(work_ms=LONG_WORK_MS),
        actions=tuple(sorted(actions, key=lambda action: action.at)),
        has_proxies=True,
        link_delay_s=LINK_DELAY_S,
    )


def draw_link_action(random: Random, at: float, nodes: int, with_faults: bool) -> Action:
    """Return one of the actions that need proxies, at a time."""
    node = random.randint(1, nodes)
    if not with_faults:
        return RemoveVm(at, node)
    hold_s = random.uniform(0.5, MAX_HOLD_S)
    actions: list[Action] = [
        RemoveVm(at, node),
        ResetLinks(at, node),
        SilenceLinks(at, node),
        HoldLinks(at, node, hold_s, to_node=random.random() < 0.5),
        HoldStore(at, node, hold_s),
        BreakResponses(at, node, random.uniform(1.0, MAX_BREAK_S)),
    ]
    return random.choice(actions)


def _draw_base_plan(seed: int, nodes: int, length_s: float, with_faults: bool) -> SoakPlan:
    random = Random(seed)
    clients = ClientMix(
        kept=random.randint(2, 4),
        leaving=random.randint(4, 12),
        pipelining=random.randint(0, 2),
        slow_body=random.randint(0, 2),
        readiness_ignoring=random.randint(0, 2),
        work_ms=WORK_MS,
    )
    actions: list[Action] = []
    at = WARM_UP_S
    while at < length_s:
        actions.append(draw_action(random, at, nodes, with_faults))
        at += random.expovariate(1.0 / MEAN_GAP_S)
    return SoakPlan(seed, nodes, clients, length_s, tuple(actions), False, 0.0)


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

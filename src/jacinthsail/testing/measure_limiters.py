"""Prints figures of the concurrency limiters, measured in virtual time.

The first table compares fixed, AIMD and gradient limiters under the same load. The second shows in
how many runs the gradient limiter is still below the slots after a slowdown of a small target.
"""

import sys
from collections.abc import Iterator

from jacinthsail.internal.model.document import (
    AimdLimitPolicy,
    FixedLimitPolicy,
    GradientLimitPolicy,
    LimitPolicy,
)
from jacinthsail.testing.fake_target import FakeTarget, Phase, PhaseResult, service_policy_with

SEED = 20

SLOTS = 40

# Calls time out after this time, including the time in queues.
DEADLINE_S = 1.0

POLICIES: dict[str, LimitPolicy] = {
    "fixed": FixedLimitPolicy(SLOTS),
    "aimd": AimdLimitPolicy(SLOTS // 4, 1, SLOTS),
    "gradient": GradientLimitPolicy(SLOTS // 4, 1, SLOTS),
}

# The target has fewer slots in the second phase and a fivefold service time in the fifth.
PHASES = (
    Phase("cold start", 4.0, SLOTS, 0.05, 3200.0),
    Phase("4 of 40 slots", 12.0, 4, 0.05, 320.0),
    Phase("slots back", 2.0, SLOTS, 0.05, 3200.0),
    Phase("2 s later", 2.0, SLOTS, 0.05, 3200.0),
    Phase("five times slower", 10.0, SLOTS, 0.25, 640.0),
    Phase("fast again", 4.0, SLOTS, 0.05, 3200.0),
    Phase("half load", 2.0, SLOTS, 0.05, 400.0),
)

# Slots and service time of the targets of the second table.
FEW_SLOTS = ((2, 0.25), (3, 0.25), (4, 0.04))
FEW_SLOTS_SEEDS = 100
FEW_SLOTS_DEADLINE_S = 2.0


def after_slowdown(slots: int, service_s: float, seed: int) -> tuple[PhaseResult, PhaseResult]:
    """Return the results of the first second after a fivefold slowdown of 3 s and the next 2 s."""
    policy = service_policy_with(GradientLimitPolicy(1, 1, slots), 4 * slots)
    target = FakeTarget(policy, seed)
    capacity = slots / service_s
    phases = (
        Phase("before", 4.0, slots, service_s, 0.6 * capacity),
        Phase("slow", 3.0, slots, 5 * service_s, 1.2 * capacity),
        Phase("first second", 1.0, slots, service_s, 0.9 * capacity),
        Phase("later", 2.0, slots, service_s, 0.9 * capacity),
    )
    results = [target.simulate(phase, FEW_SLOTS_DEADLINE_S) for phase in phases]
    return results[2], results[3]


def few_slots_lines() -> Iterator[str]:
    """Return a Markdown table of the runs in which the limit is still below the slots."""
    yield "| slots | service time | runs | low after 1 s | low after 3 s |"
    yield "| --- | --- | --- | --- | --- |"
    for slots, service_s in FEW_SLOTS:
        runs = [after_slowdown(slots, service_s, seed) for seed in range(FEW_SLOTS_SEEDS)]
        low_first = sum(1 for first, _ in runs if first.last_limit < slots)
        low_later = sum(1 for _, later in runs if later.last_limit < slots)
        yield f"| {slots} | {service_s * 1000:.0f} ms | {len(runs)} | {low_first} | {low_later} |"


def compare(seed: int = SEED) -> dict[str, dict[str, PhaseResult]]:
    """Return the results of each limiter by phase."""
    results = {}
    for kind, policy in POLICIES.items():
        target = FakeTarget(service_policy_with(policy), seed)
        results[kind] = {phase.name: target.simulate(phase, DEADLINE_S) for phase in PHASES}
    return results


def lines(results: dict[str, dict[str, PhaseResult]]) -> Iterator[str]:
    """Return the figures as lines of a Markdown table."""
    yield "| limiter | phase | useful | wasted | mean latency | lowest limit | last limit |"
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for kind, phases in results.items():
        for result in phases.values():
            yield (
                f"| {kind} | {result.name} | {result.goodput_share:.1%} | {result.wasted_share:.1%}"
                f" | {result.mean_latency_s * 1000:.0f} ms | {result.lowest_limit}"
                f" | {result.last_limit} |"
            )


if __name__ == "__main__":
    sys.stdout.write("\n".join([*lines(compare()), "", *few_slots_lines()]) + "\n")

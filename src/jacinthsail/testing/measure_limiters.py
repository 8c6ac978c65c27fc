"""Prints the figures of fixed, AIMD and gradient limiters on the same load in virtual time."""

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

# Calls time out at the target after this time, whatever they waited for.
DEADLINE_S = 1.0

POLICIES: dict[str, LimitPolicy] = {
    "fixed": FixedLimitPolicy(SLOTS),
    "aimd": AimdLimitPolicy(SLOTS // 4, 1, SLOTS),
    "gradient": GradientLimitPolicy(SLOTS // 4, 1, SLOTS),
}

# The second phase loses slots, the fifth is five times slower with all slots available.
PHASES = (
    Phase("cold start", 4.0, SLOTS, 0.05, 3200.0),
    Phase("4 of 40 slots", 12.0, 4, 0.05, 320.0),
    Phase("slots back", 2.0, SLOTS, 0.05, 3200.0),
    Phase("2 s later", 2.0, SLOTS, 0.05, 3200.0),
    Phase("five times slower", 10.0, SLOTS, 0.25, 640.0),
    Phase("fast again", 4.0, SLOTS, 0.05, 3200.0),
    Phase("half load", 2.0, SLOTS, 0.05, 400.0),
)


def compare(seed: int = SEED) -> dict[str, dict[str, PhaseResult]]:
    """Return the results of each kind of limiter, phase by phase."""
    results = {}
    for kind, policy in POLICIES.items():
        target = FakeTarget(service_policy_with(policy), seed)
        results[kind] = {phase.name: target.play(phase, DEADLINE_S) for phase in PHASES}
    return results


def lines(results: dict[str, dict[str, PhaseResult]]) -> Iterator[str]:
    """Return the figures as lines of a Markdown table."""
    yield "| limiter | phase | useful | wasted | mean latency | lowest limit | last limit |"
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for kind, phases in results.items():
        for result in phases.values():
            yield (
                f"| {kind} | {result.name} | {result.useful_share:.1%} | {result.wasted_share:.1%}"
                f" | {result.mean_latency_s * 1000:.0f} ms | {result.lowest_limit}"
                f" | {result.last_limit} |"
            )


if __name__ == "__main__":
    sys.stdout.write("\n".join(lines(compare())) + "\n")

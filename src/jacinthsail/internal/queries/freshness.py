"""Derives how old a node's knowledge of the published items can be at most.

The load it answers: readers that are frozen, links that hold messages up, suspended VMs and a store
that is away, while a key may be withdrawn at any moment.
"""

from jacinthsail.internal.model.freshness import FreshnessState

PROBE_INTERVAL_S = 0.5

# Part of the bound that is left for two clocks that do not run at exactly the same rate.
REVOCATION_MARGIN_S = 0.05

# A probe that is not answered after this time is lost or would prove nothing of use.
PROBE_TIMEOUT_S = 2.0

# Largest age that a reply can state; older knowledge proves nothing.
MAX_STATED_AGE_S = 3600.0


def new_freshness(revocation_s: float | None) -> FreshnessState:
    """Return the state of a node that knows nothing yet."""
    return FreshnessState(
        known_as_of=float("-inf"), revocation_s=revocation_s, probes={}, next_sequence=1
    )


def knowledge_age_s(state: FreshnessState, boot_now: float) -> float:
    """Return the largest possible age of this node's knowledge of the published items."""
    return boot_now - state["known_as_of"]


def proves_keys(state: FreshnessState, boot_now: float) -> bool:
    """Return whether no key that must be refused by now can be in force here.

    A request that arrives now was sent earlier, so it was sent within ``revocation_s`` of any
    withdrawal that is unknown here.
    """
    if state["revocation_s"] is None:
        return True
    return knowledge_age_s(state, boot_now) < state["revocation_s"] - REVOCATION_MARGIN_S


def is_probe_due(state: FreshnessState, host: str, boot_now: float) -> bool:
    """Return whether a source should be probed now."""
    probe = state["probes"].get(host)
    if probe is None:
        return True
    interval_s = PROBE_INTERVAL_S if probe.is_answered else PROBE_TIMEOUT_S
    return boot_now - probe.sent_at >= interval_s


def proven_as_of(state: FreshnessState, host: str, sequence: int, age_s: float) -> float | None:
    """Return the time up to which the reply of a source proves its knowledge, or None.

    The source had this age at some time after the probe was sent, so the result does not depend on
    how long the probe or the reply was on its way.

        >>> state = new_freshness(5.0)
        >>> state["probes"]["10.0.0.2"] = SentProbe(1, 100.0, False)
        >>> proven_as_of(state, "10.0.0.2", 1, 0.5)
        99.5
    """
    probe = state["probes"].get(host)
    if probe is None or probe.sequence != sequence or not 0.0 <= age_s <= MAX_STATED_AGE_S:
        return None
    return probe.sent_at - age_s

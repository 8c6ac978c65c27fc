"""Changes to what a node can prove about the age of its knowledge."""

from jacinthsail.internal.model.freshness import FreshnessState, SentProbe


def record_probe(state: FreshnessState, host: str, boot_now: float) -> None:
    """Record that the probe with the next sequence number is sent to a source."""
    state["probes"][host] = SentProbe(state["next_sequence"], boot_now, False)
    state["next_sequence"] += 1


def record_probe_reply(state: FreshnessState, host: str) -> None:
    """Record that the last probe of a source was answered, so that the next one may follow."""
    probe = state["probes"].get(host)
    if probe is not None:
        state["probes"][host] = probe._replace(is_answered=True)


def forget_probes(state: FreshnessState, hosts: frozenset[str]) -> None:
    """Drop the probes of the nodes that this one no longer follows."""
    for host in [host for host in state["probes"] if host not in hosts]:
        del state["probes"][host]


def record_knowledge(state: FreshnessState, known_as_of: float) -> None:
    """Record that all writes acknowledged before a time are known; it never goes back."""
    state["known_as_of"] = max(state["known_as_of"], known_as_of)


def set_revocation(state: FreshnessState, revocation_s: float | None) -> None:
    """Set the time within which a withdrawn key must be refused."""
    state["revocation_s"] = revocation_s

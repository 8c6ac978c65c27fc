"""How old a node's knowledge of the published items can be at most."""

from typing import NamedTuple, TypedDict


class FreshnessState(TypedDict):
    """What a node can prove about the age of its knowledge; times are readings of the boot clock.

    All writes that the store acknowledged before ``known_as_of`` are known here. A withdrawn key
    must be refused ``revocation_s`` after its withdrawal; None means that no such bound is set.
    ``probes`` holds the time of the last probe that was sent to each source, by its host, and its
    sequence number.
    """

    known_as_of: float
    revocation_s: float | None
    probes: dict[str, "SentProbe"]
    next_sequence: int


class SentProbe(NamedTuple):
    """The last probe that was sent to a source."""

    sequence: int
    sent_at: float
    is_answered: bool

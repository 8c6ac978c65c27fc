"""Admission of new requests by the room that the services behind the local target have."""

from typing import TypedDict


class ChainAdmission(TypedDict):
    """The share of new requests that is admitted, and the counts of the current interval.

    ``calls`` counts the nested calls that ended, ``shed_calls`` those that a service further on had
    no room for, and ``shares`` sums the shares at which their requests were admitted.
    ``arrivals`` counts the new requests by rank. ``rank_shares`` is the admitted share of each
    rank, from the arrivals of the interval before, and ``credits`` the running sums that decide
    which requests of a rank are admitted.
    ``growth_steps`` counts how often the share has grown since the last shortage.
    """

    share: float
    calls: int
    shed_calls: int
    shares: float
    arrivals: dict[int, int]
    rank_shares: dict[int, float]
    credits: dict[int, float]
    growth_steps: int
    interval_began_at: float

"""Changes to the admission of new requests by the room behind the local target."""

from jacinthsail.internal.model.chain_admission import ChainAdmission
from jacinthsail.internal.queries.chain_admission import (
    is_interval_over,
    is_short,
    next_share,
    share_of_rank,
    shares_by_rank,
)


def record_new_request(state: ChainAdmission, rank: int, is_admitted: bool, now: float) -> None:
    """Count a new request, and set the share anew when the interval is over."""
    share = share_of_rank(state, rank)
    if share < 1.0:
        credit = state["credits"].get(rank, 0.0) + share
        # Requests that are refused for other reasons must not save up credit.
        state["credits"][rank] = credit - 1.0 if is_admitted else min(1.0, credit)
    state["arrivals"][rank] = state["arrivals"].get(rank, 0) + 1
    if is_interval_over(state, now):
        _begin_interval(state, now)


def record_call_result(
    state: ChainAdmission, admitted_share: float, is_shed: bool, now: float
) -> None:
    """Count a nested call that ended, with the share at which its request was admitted."""
    state["calls"] += 1
    state["shed_calls"] += is_shed
    state["shares"] += admitted_share
    if is_interval_over(state, now):
        _begin_interval(state, now)


def _begin_interval(state: ChainAdmission, now: float) -> None:
    share = next_share(state)
    if is_short(state):
        state["growth_steps"] = 0
    elif share > state["share"]:
        state["growth_steps"] += 1
    state["share"] = share
    state["rank_shares"] = shares_by_rank(state["arrivals"], state["share"])
    if state["share"] >= 1.0:
        state["credits"].clear()
    state["arrivals"] = {}
    state["calls"] = 0
    state["shed_calls"] = 0
    state["shares"] = 0.0
    state["interval_began_at"] = now

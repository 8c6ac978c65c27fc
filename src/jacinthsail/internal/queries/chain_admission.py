"""Decides which new requests are admitted while a service behind the local target lacks room.

The load it answers: each request makes several calls to a service that must refuse some of them, so
that nearly all requests fail although the service is busy.
"""

from jacinthsail.internal.model.chain_admission import ChainAdmission

# The share is set anew after this time, if enough calls have ended.
INTERVAL_S = 0.25
MIN_CALLS = 8

# Without calls for this long, nothing is known about the services behind the target.
FORGET_AFTER_S = 1.0

# A few calls are refused while single nodes restart.
TOLERATED_SHED_SHARE = 0.05

# Some requests are always admitted, so that their calls show when there is room again.
MIN_SHARE = 0.05

# The share grows by this factor in the first step after a shortage, by its square in the second,
# and so on. At the limit the steps stay small, and a recovery takes few.
GROWTH = 1.15
MAX_GROWTH_STEPS = 4

RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 2.0


def new_chain_admission() -> ChainAdmission:
    """Return the state of a node that admits everything."""
    return ChainAdmission(
        share=1.0,
        calls=0,
        shed_calls=0,
        shares=0.0,
        arrivals={},
        rank_shares={},
        credits={},
        growth_steps=0,
        interval_began_at=float("-inf"),
    )


def is_interval_over(state: ChainAdmission, now: float) -> bool:
    """Return whether the share may be set anew."""
    elapsed_s = now - state["interval_began_at"]
    if elapsed_s < INTERVAL_S:
        return False
    return state["calls"] >= MIN_CALLS or elapsed_s >= FORGET_AFTER_S


def next_share(state: ChainAdmission) -> float:
    """Return the share of new requests to admit, given the calls of the interval.

    The calls were made for requests that were admitted earlier, at another share. What the services
    have room for follows from that share, so a late result is not applied twice.

        >>> state = new_chain_admission() | {"calls": 100, "shed_calls": 50, "shares": 80.0}
        >>> next_share(state)
        0.4
    """
    if not state["calls"]:
        return 1.0
    share_of_calls = state["shares"] / state["calls"]
    if is_short(state):
        shed_share = state["shed_calls"] / state["calls"]
        if state["calls"] < MIN_CALLS:
            return state["share"]
        return max(MIN_SHARE, share_of_calls * (1.0 - shed_share))
    growth = GROWTH ** min(MAX_GROWTH_STEPS, state["growth_steps"] + 1)
    return max(state["share"], min(1.0, growth * share_of_calls))


def is_short(state: ChainAdmission) -> bool:
    """Return whether more calls of the interval than usual found no room."""
    return state["shed_calls"] > TOLERATED_SHED_SHARE * state["calls"]


def shares_by_rank(arrivals: dict[int, int], share: float) -> dict[int, float]:
    """Return the admitted share of each rank; a lower rank number is served first.

    >>> shares_by_rank({1: 10, 3: 30}, 0.5)
    {1: 1.0, 3: 0.3333333333333333}
    """
    left = share * sum(arrivals.values())
    shares = {}
    for rank in sorted(arrivals):
        shares[rank] = max(MIN_SHARE, min(1.0, left / arrivals[rank]))
        left = max(0.0, left - arrivals[rank])
    return shares


def share_of_rank(state: ChainAdmission, rank: int) -> float:
    """Return the share of the requests of a rank that is admitted now."""
    if state["share"] >= 1.0:
        return 1.0
    return state["rank_shares"].get(rank, state["share"])


def admits_chain(state: ChainAdmission, rank: int) -> bool:
    """Return whether the next new request of a rank is admitted."""
    share = share_of_rank(state, rank)
    return share >= 1.0 or state["credits"].get(rank, 0.0) + share >= 1.0


def retry_after_s(state: ChainAdmission) -> float:
    """Return when a refused request may come back; sooner if most requests are admitted."""
    return min(MAX_RETRY_AFTER_S, RETRY_AFTER_S / max(MIN_SHARE, state["share"]))

"""Decides about the caps of accounts: the home of an account, its grants, and the use of tokens.

The load it answers: an account that sends many times its rate, at one node or at all of them, while
homes are killed, cut off or replaced. What runs must stay within the cap over all nodes together,
and requests below the cap should not be refused.
"""

import math
from collections import deque

import xxhash

from jacinthsail.internal.model.accounts import AccountCap
from jacinthsail.internal.model.caps import (
    AskHome,
    CapDecision,
    CapHome,
    Grant,
    GrantStatus,
    RefuseOverCap,
    RefuseUnknownCap,
    TokenBucket,
    TokenStock,
    UseFallback,
    UseToken,
)
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.fleet_settings import CapSettings
from jacinthsail.internal.queries.membership import rendezvous_score

# Tokens end this long after they were asked for, so that they do not pile up at idle nodes.
TOKEN_LIFETIME_S = 0.5

# The home replies within a round trip, which takes about 25 ms between regions.
HOME_TIMEOUT_S = 0.3

# A home that did not reply in time is not asked for this long.
HOME_RETRY_S = 0.5

# A home grants only while its knowledge of the targets is at most this old. Another node that
# becomes the home without a message from it grants nothing until it must have stopped.
MAX_GRANT_KNOWLEDGE_AGE_S = 3.0
HANDOVER_S = 3.5

# A process that has just started reads the complete list of targets within this time.
START_HANDOVER_S = 1.0

# Sets of hosts are remembered for this long, in which most buckets fill.
FORMER_MEMBERS_S = 60.0

# More than the home needs of them are only granted from the upper part of the bucket.
SPARE_LEVEL_SHARE = 0.75

# Requests that a node expects are asked for ahead for this time.
SPARE_HORIZON_S = 0.4
DEMAND_TIME_CONSTANT_S = 2.0

# Parts of the permitted overage that homes grant, and that nodes use without the home. The rest
# covers the tokens that are on their way while the home changes.
GRANTED_SHARE = 0.8
FALLBACK_SHARE = 0.15

# Refused tokens are forgotten with this time constant.
REFUSED_TIME_CONSTANT_S = 1.0

# A node does not ask again for this long after a refusal. The Retry-After time of callers follows
# the backlog and is longer; tokens would stay unused if no node asked until then.
ASK_INTERVAL_S = 0.2

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
RETRY_AFTER_UNKNOWN_CAP_S = 0.4


def new_cap_home(own_host: str, started_at: float) -> CapHome:
    """Return the state of a node that knows no other hosts yet."""
    return CapHome(own_host=own_host, started_at=started_at, hosts=(), former=deque(), buckets={})


def new_stock(now: float) -> TokenStock:
    """Return the stock of an account that has not called at this node yet."""
    return TokenStock(
        tokens=0,
        expires_at=now,
        asked=0,
        asked_at=float("-inf"),
        refused_until=float("-inf"),
        token_expected_at=float("-inf"),
        unused=0,
        demand_per_s=0.0,
        demand_at=now,
        fallbacks=deque(),
    )


def possible_homes(fleet: FleetState) -> tuple[str, ...]:
    """Return the hosts whose nodes can be homes: those of targets that are not leaving."""
    hosts = {entry.host for entry in fleet["targets"].values() if not entry.is_draining}
    return tuple(sorted(hosts))


def home_of(account: str, hosts: tuple[str, ...]) -> str | None:
    """Return the home of an account, which is the same at all nodes that know the same hosts."""
    if not hosts:
        return None
    return max(hosts, key=lambda host: (rendezvous_score(account, host), host))


def ready_at(home: CapHome, account: str) -> float | None:
    """Return when this node may begin to grant tokens of an account, or None if it is no home."""
    if home_of(account, home["hosts"]) != home["own_host"]:
        return None
    ready = home["started_at"] + START_HANDOVER_S
    for former in home["former"]:
        if home_of(account, former.hosts) != home["own_host"]:
            ready = max(ready, former.until + HANDOVER_S)
    return ready


def effective_cap(cap: AccountCap, settings: CapSettings) -> AccountCap:
    """Return the cap that homes grant, which uses most of what may run beyond the stated one.

    A refusal below the bound costs a caller its request and protects nobody.
    """
    factor = 1.0 + GRANTED_SHARE * settings.overage
    return AccountCap(cap.rate_per_s * factor, cap.burst * factor + GRANTED_SHARE * settings.slack)


def bucket_capacity(cap: AccountCap) -> float:
    """Return how many tokens a bucket holds; one request must always fit."""
    return max(1.0, cap.burst)


def filled_bucket(cap: AccountCap, since: float, now: float) -> TokenBucket:
    """Return a bucket that was empty at a time and has filled since."""
    level = min(bucket_capacity(cap), cap.rate_per_s * max(0.0, now - since))
    return TokenBucket(level=level, updated_at=now, refused=0.0)


def level_now(bucket: TokenBucket, cap: AccountCap, now: float) -> float:
    """Return the tokens in a bucket."""
    filled = bucket["level"] + cap.rate_per_s * max(0.0, now - bucket["updated_at"])
    return min(bucket_capacity(cap), filled)


def refused_now(bucket: TokenBucket, now: float) -> float:
    """Return the number of tokens that were asked for in vain, of late."""
    elapsed_s = max(0.0, now - bucket["updated_at"])
    return bucket["refused"] * math.exp(-elapsed_s / REFUSED_TIME_CONSTANT_S)


def decide_grant(
    bucket: TokenBucket, cap: AccountCap, wanted: int, spare: int, now: float
) -> Grant:
    """Return how many tokens a node gets that needs ``wanted`` now and ``spare`` soon."""
    level = level_now(bucket, cap, now)
    granted = min(wanted, int(level))
    if granted < wanted:
        missing = wanted - granted + refused_now(bucket, now) - (level - granted)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, missing / cap.rate_per_s))
        return Grant(granted, retry_after_s, GrantStatus.OVER_CAP)
    above = level - granted - SPARE_LEVEL_SHARE * bucket_capacity(cap)
    return Grant(granted + max(0, min(spare, int(above))), 0.0, GrantStatus.GRANTED)


def may_grant(is_proof_needed: bool, knowledge_age_s: float) -> bool:
    """Return whether a home knows recently enough that no other node has become the home."""
    return not is_proof_needed or knowledge_age_s <= MAX_GRANT_KNOWLEDGE_AGE_S


def decide_token(
    stock: TokenStock, is_home_silent: bool, fallback_limit: int, window_s: float, now: float
) -> CapDecision:
    """Return how a request of an account with a cap proceeds at the node of its caller."""
    if stock["tokens"] > 0 and now < stock["expires_at"]:
        return UseToken()
    if now < stock["refused_until"]:
        return RefuseOverCap(max(MIN_RETRY_AFTER_S, stock["token_expected_at"] - now))
    if is_home_silent:
        return decide_fallback(stock, fallback_limit, window_s, now)
    return AskHome()


def decide_fallback(
    stock: TokenStock, fallback_limit: int, window_s: float, now: float
) -> CapDecision:
    """Return whether a request may run without a token, because the home cannot be asked."""
    used = sum(1 for used_at in stock["fallbacks"] if now - used_at < window_s)
    if used < fallback_limit:
        return UseFallback()
    return RefuseUnknownCap(RETRY_AFTER_UNKNOWN_CAP_S)


def fallback_limit(
    account: str, cap: AccountCap, settings: CapSettings, home: CapHome, now: float
) -> int:
    """Return how many requests of an account this node may run in a window without tokens.

    All nodes together use a part of the overage. Where a node's part is less than one request, some
    nodes get one, chosen by a hash.
    """
    nodes = len(home["hosts"])
    for former in home["former"]:
        if now - former.until < settings.window_s:
            nodes = max(nodes, len(former.hosts))
    allowed = cap.rate_per_s * settings.window_s + cap.burst
    overage = FALLBACK_SHARE * (allowed * settings.overage + settings.slack)
    position = xxhash.xxh32_intdigest(f"{account}\n{home['own_host']}".encode()) / 2**32
    return int(min(overage / max(1, nodes) + position, 2.0**31))


def demand_now(stock: TokenStock, now: float) -> float:
    """Return the requests per second of an account at this node, of late."""
    elapsed_s = max(0.0, now - stock["demand_at"])
    return stock["demand_per_s"] * math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)


def spare_tokens(stock: TokenStock, now: float) -> int:
    """Return how many tokens to ask for ahead of the requests that need them."""
    return int(demand_now(stock, now) * SPARE_HORIZON_S)

"""Changes to the buckets of accounts and to the tokens at the nodes that serve their requests."""

from jacinthsail.internal.model.accounts import AccountCap
from jacinthsail.internal.model.caps import CapHome, FormerMembers, Grant, GrantStatus, TokenStock
from jacinthsail.internal.queries.caps import (
    ASK_INTERVAL_S,
    DEMAND_TIME_CONSTANT_S,
    FORMER_MEMBERS_S,
    TOKEN_LIFETIME_S,
    bucket_capacity,
    demand_now,
    filled_bucket,
    level_now,
    refused_now,
)


def set_members(home: CapHome, hosts: tuple[str, ...], now: float) -> None:
    """Set the hosts among which homes are chosen, and remember those of before."""
    if hosts == home["hosts"]:
        return
    if home["hosts"]:
        home["former"].append(FormerMembers(home["hosts"], now))
    home["hosts"] = hosts
    while home["former"] and now - home["former"][0].until > FORMER_MEMBERS_S:
        home["former"].popleft()


def open_bucket(home: CapHome, account: str, cap: AccountCap, since: float, now: float) -> None:
    """Begin to count the requests of an account, with a bucket that was empty at a time."""
    home["buckets"][account] = filled_bucket(cap, since, now)


def record_grant(
    home: CapHome, account: str, cap: AccountCap, wanted: int, grant: Grant, now: float
) -> None:
    """Take granted tokens out of the bucket, and count those that were refused."""
    bucket = home["buckets"][account]
    level = level_now(bucket, cap, now)
    bucket["refused"] = refused_now(bucket, now) + max(0, wanted - grant.granted)
    bucket["level"] = level - grant.granted
    bucket["updated_at"] = now


def record_returned(
    home: CapHome, account: str, cap: AccountCap, returned: int, now: float
) -> None:
    """Put tokens back whose requests did not run; a bucket never holds more than its burst."""
    bucket = home["buckets"][account]
    bucket["refused"] = refused_now(bucket, now)
    bucket["level"] = min(bucket_capacity(cap), level_now(bucket, cap, now) + max(0, returned))
    bucket["updated_at"] = now


def close_bucket(home: CapHome, account: str) -> None:
    """Stop to count the requests of an account."""
    home["buckets"].pop(account, None)


def record_demand(stock: TokenStock, now: float) -> None:
    """Count a request of the account at this node."""
    stock["demand_per_s"] = demand_now(stock, now) + 1.0 / DEMAND_TIME_CONSTANT_S
    stock["demand_at"] = now


def spend_token(stock: TokenStock) -> None:
    """Use a token for a request."""
    stock["tokens"] -= 1


def expire_tokens(stock: TokenStock, now: float) -> None:
    """Set tokens aside that may no longer be used, so that the home gets them back."""
    if stock["tokens"] and now >= stock["expires_at"]:
        stock["unused"] += stock["tokens"]
        stock["tokens"] = 0


def record_unused(stock: TokenStock) -> None:
    """Record that a request with a token did not run."""
    stock["unused"] += 1


def record_ask(stock: TokenStock, wanted: int, now: float) -> None:
    """Record that the home is asked for tokens, and that it gets the unused ones back."""
    stock["asked"] = wanted
    stock["asked_at"] = now
    stock["unused"] = 0


def record_reply(stock: TokenStock, grant: Grant, now: float) -> None:
    """Add granted tokens to the stock; they end by the time at which they were asked for."""
    stock["asked"] = 0
    if grant.granted:
        stock["tokens"] += grant.granted
        stock["expires_at"] = stock["asked_at"] + TOKEN_LIFETIME_S
    if grant.status is GrantStatus.OVER_CAP:
        stock["refused_until"] = now + min(grant.retry_after_s, ASK_INTERVAL_S)
        stock["token_expected_at"] = now + grant.retry_after_s


def record_no_reply(stock: TokenStock) -> None:
    """Record that the home did not reply in time."""
    stock["asked"] = 0


def record_fallback(stock: TokenStock, window_s: float, now: float) -> None:
    """Record that a request runs without a token."""
    while stock["fallbacks"] and now - stock["fallbacks"][0] >= window_s:
        stock["fallbacks"].popleft()
    stock["fallbacks"].append(now)

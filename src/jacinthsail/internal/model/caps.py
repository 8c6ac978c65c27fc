"""The caps on accounts: who counts the requests of an account, and how nodes ask for tokens."""

from collections import deque
from enum import StrEnum
from typing import NamedTuple, TypedDict


class GrantStatus(StrEnum):
    """Why a node got the number of tokens that it got."""

    GRANTED = "granted"
    OVER_CAP = "over-cap"
    NOT_HOME = "not-home"
    NOT_READY = "not-ready"


class TokenBucket(TypedDict):
    """The tokens of an account at its home node; times are readings of the boot clock.

    ``refused`` is the decaying number of tokens that were asked for in vain.
    """

    level: float
    updated_at: float
    refused: float


class FormerMembers(NamedTuple):
    """The hosts among which homes were chosen before, until a time."""

    hosts: tuple[str, ...]
    until: float


class CapHome(TypedDict):
    """What a node knows about the homes of accounts, and the buckets of those that it is home to.

    ``hosts`` are the hosts that can be a home, and ``former`` the sets of hosts that were replaced
    recently, the oldest first.
    """

    own_host: str
    started_at: float
    hosts: tuple[str, ...]
    former: deque[FormerMembers]
    buckets: dict[str, TokenBucket]


class Grant(NamedTuple):
    """The decision of a home about tokens that a node asks for.

    ``retry_after_s`` is when a token for a further request can be expected.
    """

    granted: int
    retry_after_s: float
    status: GrantStatus


class TokenStock(TypedDict):
    """The tokens of an account at a node that serves its requests; times are of the boot clock.

    ``asked`` counts the tokens that were asked for without a reply yet. The home is not asked again
    until ``refused_until`` after it has refused, and expects a token at ``token_expected_at``.
    ``unused`` counts the tokens to give back to the home. ``fallbacks`` are the times at which
    requests ran without a token, because the home did not respond.
    """

    tokens: int
    expires_at: float
    asked: int
    asked_at: float
    refused_until: float
    token_expected_at: float
    unused: int
    demand_per_s: float
    demand_at: float
    fallbacks: deque[float]


class UseToken(NamedTuple):
    """The request may run with a token that is already here."""


class AskHome(NamedTuple):
    """The request waits for a token from the home of the account."""


class UseFallback(NamedTuple):
    """The home cannot be asked; the request may run within this node's part of the overage."""


class RefuseOverCap(NamedTuple):
    """The account is at its cap; the request is refused and may come back after this time."""

    retry_after_s: float


class RefuseUnknownCap(NamedTuple):
    """It is not known whether the account is at its cap; the request is refused."""

    retry_after_s: float


CapDecision = UseToken | AskHome | UseFallback | RefuseOverCap | RefuseUnknownCap

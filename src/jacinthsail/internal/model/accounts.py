"""Client accounts: who may call, with which priority and up to which rate."""

from collections.abc import Mapping
from typing import NamedTuple


class AccountCap(NamedTuple):
    """The requests that an account may make on all nodes together.

    The account has a token bucket that fills at ``rate_per_s`` and holds up to ``burst`` tokens.
    """

    rate_per_s: float
    burst: float


class Account(NamedTuple):
    """A client account; without a ``priority`` of its own, that of the route applies."""

    name: str
    priority: int | None
    cap: AccountCap | None


class AccountIndex(NamedTuple):
    """The accounts of a manifest by the keys that identify them, and by name."""

    by_key: Mapping[str, Account]
    by_name: Mapping[str, Account]


class KeyCheck(NamedTuple):
    """What a node knows when it checks the key of a request.

    ``is_proven`` is true if no withdrawal of a key that must have taken effect can be unknown here.
    ``is_recent`` is true if a key that is unknown here is probably unknown to the operators too.
    """

    is_proven: bool
    is_recent: bool

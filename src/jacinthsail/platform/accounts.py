"""Decodes the client accounts of the manifest; the platform calls them tenants.

An invalid account or key is left out, so that its callers are refused, and the rest of the manifest
holds. The descriptions of faults name no key.
"""

from collections.abc import Iterable
from typing import Any

from jacinthsail.internal.model.accounts import Account, AccountCap, AccountIndex
from jacinthsail.platform.values import (
    DECODE_ERRORS,
    bounded_integer,
    finite_number,
    is_token,
    token,
)

MAX_PRIORITY = 1000


def decode_accounts(listed: object, faults: list[str]) -> AccountIndex | None:
    """Return the accounts, or None if the manifest lists none; append the faults found."""
    if listed is None:
        return None
    if not isinstance(listed, list):
        faults.append("the list of accounts is not a list; every key is refused")
        return AccountIndex({}, {})
    by_name: dict[str, Account] = {}
    owners: dict[str, str] = {}
    shared: set[str] = set()
    for position, table in enumerate(listed):
        try:
            account, keys = _account(table)
        except DECODE_ERRORS as error:
            faults.append(f"account {position} is left out: {type(error).__name__}")
            continue
        if account.name in by_name:
            faults.append(f"account {position} is left out: its name is listed twice")
            continue
        by_name[account.name] = account
        for key in _valid_keys(keys, account.name, faults):
            if owners.setdefault(key, account.name) != account.name:
                shared.add(key)
    if shared:
        faults.append(f"{len(shared)} keys belong to more than one account and are refused")
    by_key = {key: by_name[name] for key, name in owners.items() if key not in shared}
    return AccountIndex(by_key, by_name)


def _valid_keys(keys: Iterable[object], name: str, faults: list[str]) -> list[str]:
    valid = [key for key in keys if is_token(key)]
    invalid = len(list(keys)) - len(valid)
    if invalid:
        faults.append(f"account {name}: {invalid} invalid keys are left out")
    return [str(key) for key in valid]


def _account(table: Any) -> tuple[Account, list[object]]:
    keys = table.get("apiKeys", [])
    if not isinstance(keys, list):
        raise TypeError("apiKeys is not a list")
    # The name is sent as a header of each request to a target.
    return Account(token(table["name"]), _priority(table.get("priority")), _cap(table)), keys


def _priority(value: object) -> int | None:
    try:
        return None if value is None else bounded_integer(value, 0, MAX_PRIORITY)
    except DECODE_ERRORS:
        return None


def _cap(table: Any) -> AccountCap | None:
    rate_per_s = _number_or_zero(table.get("ratePerS"))
    burst = _number_or_zero(table.get("burst"))
    # A rate of 0 stands for an account without a cap.
    return AccountCap(rate_per_s, burst) if rate_per_s else None


def _number_or_zero(value: object) -> float:
    return 0.0 if value is None else finite_number(value)

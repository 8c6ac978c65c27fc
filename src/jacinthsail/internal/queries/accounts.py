"""Decides whether the account of a request may call, and with which priority.

The load it answers: callers that nobody controls, some with keys that were withdrawn.
"""

from jacinthsail.internal.model.accounts import Account, KeyCheck
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.manifest import Manifest, RoutePolicy
from jacinthsail.internal.model.request_state import (
    AcceptRequest,
    EntryDecision,
    RequestInfo,
    RespondLocally,
)
from jacinthsail.internal.model.statuses import STATUS_NOT_RUN, STATUS_UNAUTHORIZED

# A follower of a store reader gets its knowledge about once a second.
RETRY_WITHOUT_PROOF_S = 1.0

# A key that is unknown here may be new if the store was last heard of longer ago than this.
MAX_RECENT_AGE_S = 3.0


def is_store_recent(fleet: FleetState, now: float) -> bool:
    """Return whether the store served this node, or one that it follows, a moment ago."""
    return now - fleet["store_served_at"] <= MAX_RECENT_AGE_S


def identify_account(
    decision: EntryDecision,
    manifest: Manifest | None,
    request_info: RequestInfo,
    is_nested: bool,
    check: KeyCheck,
) -> EntryDecision:
    """Return the decision about a request with its account, or its refusal.

    Nested calls carry no key: the request for which the target makes them was checked.
    """
    if isinstance(decision, RespondLocally) or manifest is None or manifest.accounts is None:
        return decision
    if is_nested or decision.route.is_public:
        return decision
    if not request_info.account_key and request_info.parent_id:
        # The target may have made this call for a request that this node knew before its restart.
        return RespondLocally(STATUS_NOT_RUN, Reason.ACCOUNT_KEY_MISSING, RETRY_WITHOUT_PROOF_S)
    if not check.is_proven:
        return RespondLocally(STATUS_NOT_RUN, Reason.KEYS_NOT_PROVEN, RETRY_WITHOUT_PROOF_S)
    account = manifest.accounts.by_key.get(request_info.account_key)
    if account is not None:
        return decision._replace(account=account)
    if not request_info.account_key:
        return RespondLocally(STATUS_UNAUTHORIZED, Reason.ACCOUNT_KEY_MISSING, 0.0)
    if not check.is_recent:
        return RespondLocally(STATUS_NOT_RUN, Reason.KEYS_NOT_PROVEN, RETRY_WITHOUT_PROOF_S)
    return RespondLocally(STATUS_UNAUTHORIZED, Reason.ACCOUNT_KEY_UNKNOWN, 0.0)


def effective_priority(route: RoutePolicy, account: Account | None) -> int:
    """Return the priority of a request: that of its account, or else that of its route."""
    if account is None or account.priority is None:
        return route.priority
    return account.priority


def is_key_in_force(manifest: Manifest | None, accepted: AcceptRequest, account_key: str) -> bool:
    """Return whether the key with which a request was accepted still identifies its account."""
    if accepted.account is None:
        return True
    if manifest is None or manifest.accounts is None:
        return False
    account = manifest.accounts.by_key.get(account_key)
    return account is not None and account.name == accepted.account.name

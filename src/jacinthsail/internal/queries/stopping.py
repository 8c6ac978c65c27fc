"""Decides about requests that arrive while this node stops."""

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.request_state import EntryDecision, RespondLocally
from jacinthsail.internal.model.statuses import STATUS_NOT_RUN
from jacinthsail.internal.queries.manifest_routes import MIN_REMAINING_S
from jacinthsail.internal.queries.target_queue import RETRY_AFTER_UNREACHABLE_S


def decide_entry_while_stopping(
    decision: EntryDecision, is_nested: bool, ends_at: float, now: float
) -> EntryDecision:
    """Return the decision about a request that arrives after the callers were sent elsewhere.

    The process ends soon after ``ends_at`` and would cut the request if it were still in progress.
    A new request can be served by another node. A nested call belongs to a request that the local
    target still runs, and fails it if it is refused, so it gets the time that is left.
    """
    if isinstance(decision, RespondLocally):
        return decision
    if not is_nested or ends_at - now < MIN_REMAINING_S:
        return RespondLocally(STATUS_NOT_RUN, Reason.DRAINING, RETRY_AFTER_UNREACHABLE_S)
    return decision._replace(deadline=min(decision.deadline, ends_at))

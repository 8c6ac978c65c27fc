"""Changes to retry budgets and to the allowances of requests."""

from jacinthsail.internal.model.calls import CallContext, Reason
from jacinthsail.internal.model.retries import RetryAllowance, RetryState
from jacinthsail.internal.model.routing import RetryDecision
from jacinthsail.internal.queries.retries import (
    MAX_TOKENS,
    TOKENS_PER_SUCCESS,
    budget_key,
    refilled_budget,
)


def open_allowance(retries: RetryState, request_id: str, amount: int) -> None:
    """Hold the retries that a call arrived with while the call is in progress."""
    allowance = retries["allowances"].get(request_id, RetryAllowance(0, 0))
    retries["allowances"][request_id] = allowance._replace(
        retries=allowance.retries + amount, holders=allowance.holders + 1
    )


def close_allowance(retries: RetryState, request_id: str) -> None:
    """End the hold of a call, which takes the remaining retries of the request with it."""
    allowance = retries["allowances"].get(request_id, RetryAllowance(0, 0))
    if allowance.holders <= 1:
        retries["allowances"].pop(request_id, None)
        return
    retries["allowances"][request_id] = allowance._replace(retries=0, holders=allowance.holders - 1)


def record_nested_call(retries: RetryState, request_id: str) -> None:
    """Record that the local target has made a nested call for a request that it serves."""
    allowance = retries["allowances"].get(request_id)
    if allowance is not None:
        retries["allowances"][request_id] = allowance._replace(has_nested=True)


def return_allowance(retries: RetryState, request_id: str, amount: int) -> None:
    """Return the retries that a call did not use; without a holder they are dropped."""
    allowance = retries["allowances"].get(request_id)
    if allowance is not None:
        retries["allowances"][request_id] = allowance._replace(retries=allowance.retries + amount)


def take_allowance(retries: RetryState, request_id: str) -> None:
    """Remove the whole allowance of a request, to pass it on with an outgoing call."""
    allowance = retries["allowances"].get(request_id)
    if allowance is not None:
        retries["allowances"][request_id] = allowance._replace(retries=0)


def end_retries(retries: RetryState, request_id: str, decision: RetryDecision) -> None:
    """Apply a decision not to retry.

    If this layer stopped because its retries were spent, an upper layer that retried the call would
    multiply the load that the budget bounds, so the allowance is cleared.
    """
    if decision.reason is Reason.RETRIES_SPENT:
        take_allowance(retries, request_id)


def record_success(retries: RetryState, context: CallContext, now: float) -> None:
    """Add the retry tokens that a successful call earns to its class."""
    budget = refilled_budget(retries, context, now)
    tokens = min(MAX_TOKENS, budget.tokens + TOKENS_PER_SUCCESS)
    retries["budgets"][budget_key(context)] = budget._replace(tokens=tokens)


def spend_retry(retries: RetryState, context: CallContext, now: float) -> None:
    """Use one retry of a request and one token of its class."""
    budget = refilled_budget(retries, context, now)
    retries["budgets"][budget_key(context)] = budget._replace(tokens=max(0.0, budget.tokens - 1))
    allowance = retries["allowances"].get(context.request_id)
    if allowance is not None:
        remaining = max(0, allowance.retries - 1)
        retries["allowances"][context.request_id] = allowance._replace(retries=remaining)

"""Changes to retry budgets and to the allowances of requests."""

from jacinthsail.internal.model.calls import CallHead, Reason
from jacinthsail.internal.model.retries import Allowance, RetryState
from jacinthsail.internal.model.routing import RetryDecision
from jacinthsail.internal.queries.retries import (
    MAX_TOKENS,
    TOKENS_PER_SUCCESS,
    budget_key,
    budget_of,
)


def open_allowance(retries: RetryState, request_id: str, amount: int) -> None:
    """Hold the retries that a call brought for as long as the call is in progress."""
    held = retries["allowances"].get(request_id, Allowance(0, 0))
    retries["allowances"][request_id] = held._replace(
        retries=held.retries + amount, holders=held.holders + 1
    )


def close_allowance(retries: RetryState, request_id: str) -> None:
    """End the hold of a call, which takes what is left of the request's retries with it."""
    held = retries["allowances"].get(request_id, Allowance(0, 0))
    if held.holders <= 1:
        retries["allowances"].pop(request_id, None)
        return
    retries["allowances"][request_id] = held._replace(retries=0, holders=held.holders - 1)


def record_nested_call(retries: RetryState, request_id: str) -> None:
    """Remember that the own target has made a call for a request that it serves."""
    held = retries["allowances"].get(request_id)
    if held is not None:
        retries["allowances"][request_id] = held._replace(has_nested=True)


def return_allowance(retries: RetryState, request_id: str, amount: int) -> None:
    """Put back what a call did not use; after the last holder has left it is dropped."""
    held = retries["allowances"].get(request_id)
    if held is not None:
        retries["allowances"][request_id] = held._replace(retries=held.retries + amount)


def take_allowance(retries: RetryState, request_id: str) -> None:
    """Remove the whole allowance of a request, to hand it to a call on its way out."""
    held = retries["allowances"].get(request_id)
    if held is not None:
        retries["allowances"][request_id] = held._replace(retries=0)


def end_retries(retries: RetryState, request_id: str, decision: RetryDecision) -> None:
    """Apply a decision to give up.

    Where this layer had to stop for want of retries, an upper layer that repeated the call would
    multiply the load that the budget is there to bound, so nothing is left to it.
    """
    if decision.reason is Reason.RETRIES_SPENT:
        take_allowance(retries, request_id)


def record_success(retries: RetryState, head: CallHead, now: float) -> None:
    """Earn a share of a retry for the class of a successful call."""
    budget = budget_of(retries, head, now)
    tokens = min(MAX_TOKENS, budget.tokens + TOKENS_PER_SUCCESS)
    retries["budgets"][budget_key(head)] = budget._replace(tokens=tokens)


def spend_retry(retries: RetryState, head: CallHead, now: float) -> None:
    """Use one retry of a request and one token of its class."""
    budget = budget_of(retries, head, now)
    retries["budgets"][budget_key(head)] = budget._replace(tokens=max(0.0, budget.tokens - 1))
    held = retries["allowances"].get(head.request_id)
    if held is not None:
        remaining = max(0, held.retries - 1)
        retries["allowances"][head.request_id] = held._replace(retries=remaining)

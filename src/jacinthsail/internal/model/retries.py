"""Budgets that bound retries."""

from typing import TypedDict


class RetryState(TypedDict):
    """Token budget per class and the allowance of each request that is being served.

    ``allowances`` maps a request id to the retries that its calls from this VM may still use. An
    allowance is moved between hops and never copied, so the sum over a call chain never grows.
    """

    tokens: dict[str, float]
    allowances: dict[str, int]

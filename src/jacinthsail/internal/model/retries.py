"""Budgets that bound retries."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import CallHead
from jacinthsail.internal.model.document import ClassPolicy
from jacinthsail.internal.model.settings import Mechanism


class RetryBudget(NamedTuple):
    """Tokens for the retries of one class, as counted at one time in monotonic seconds."""

    tokens: float
    counted_at: float


class Allowance(NamedTuple):
    """Retries that the calls of a request may still use from this VM.

    ``holders`` counts the calls in progress that brought retries with them. Without a holder there
    is nobody to return an allowance to, so it is dropped. ``has_nested`` tells that the own target
    has made calls for the request, so it has run some of it.
    """

    retries: int
    holders: int
    has_nested: bool = False


class Attempt(NamedTuple):
    """One attempt of a call under the policy it began with; the first has the number 1."""

    head: CallHead
    policy: ClassPolicy
    number: int


class RetryState(TypedDict):
    """Token budget per class and the allowance of each request that is being served.

    ``allowances`` is keyed by request id. An allowance is moved between hops and never copied, so
    the sum over a call chain never grows.
    """

    disabled: frozenset[Mechanism]
    budgets: dict[str, RetryBudget]
    allowances: dict[str, Allowance]

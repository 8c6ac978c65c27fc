"""Budgets that bound retries."""

from typing import NamedTuple, TypedDict

from jacinthsail.internal.model.calls import CallContext
from jacinthsail.internal.model.document import ClassPolicy
from jacinthsail.internal.model.settings import Mechanism


class RetryBudget(NamedTuple):
    """Tokens for the retries of one class at ``counted_at``, in monotonic seconds."""

    tokens: float
    counted_at: float


class RetryAllowance(NamedTuple):
    """Retries that the calls of a request may still use from this VM.

    ``holders`` counts the calls in progress that arrived with retries. An allowance without a
    holder has nowhere to be returned to, so it is dropped. ``has_nested`` is true if the local
    target has made nested calls for the request, which proves that it was partly executed.
    """

    retries: int
    holders: int
    has_nested: bool = False


class Attempt(NamedTuple):
    """One attempt of a call under the policy with which the call began; numbers start at 1."""

    context: CallContext
    policy: ClassPolicy
    number: int


class RetryState(TypedDict):
    """Token budget of each class and allowance of each request in progress.

    ``allowances`` is keyed by request id. An allowance is moved between hops and never copied, so
    the sum over a call chain never grows.
    """

    disabled: frozenset[Mechanism]
    budgets: dict[str, RetryBudget]
    allowances: dict[str, RetryAllowance]

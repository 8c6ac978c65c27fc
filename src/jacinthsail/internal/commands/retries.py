"""Changes to retry budgets."""

from jacinthsail.internal.model.retries import RetryState


def grant_allowance(retries: RetryState, request_id: str, amount: int) -> None:
    """Add to the retries that the calls of a request may use from this VM."""
    retries["allowances"][request_id] = retries["allowances"].get(request_id, 0) + amount


def take_allowance(retries: RetryState, request_id: str) -> None:
    """Remove the whole allowance of a request, to hand it to a call on its way out."""
    retries["allowances"].pop(request_id, None)


def spend_retry(retries: RetryState, request_id: str, call_class: str) -> None:
    """Use one retry of a request."""
    retries["allowances"][request_id] = retries["allowances"].get(request_id, 0) - 1

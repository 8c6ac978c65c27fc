"""Changes to the state of a request at the node that received it from its caller."""

from jacinthsail.internal.model.request_state import ForwardedResponse, RequestState
from jacinthsail.internal.model.retry_budget import RetryKind


def record_send(request_state: RequestState, incarnation: str) -> None:
    """Record the target to which the request is sent."""
    request_state["current_target"] = incarnation


def record_failed_response(request_state: RequestState, target_response: ForwardedResponse) -> None:
    """Keep the response of a failed attempt, in case no other target can be attempted."""
    request_state["failed_response"] = target_response


def record_retry_kind(request_state: RequestState, retry_kind: RetryKind) -> None:
    """Record the kind of retry as which the next attempt counts."""
    request_state["retry_kind"] = retry_kind


def record_node_refusal(request_state: RequestState) -> None:
    """Exclude a target whose node refused the request."""
    request_state["excluded_targets"].add(request_state["current_target"])
    request_state["node_refusals"] += 1
    request_state["current_target"] = ""


def record_failure(request_state: RequestState, is_indeterminate: bool) -> None:
    """Exclude a target that failed the request."""
    request_state["attempted_targets"].add(request_state["current_target"])
    request_state["excluded_targets"].add(request_state["current_target"])
    request_state["may_have_executed"] = request_state["may_have_executed"] or is_indeterminate
    request_state["current_target"] = ""


def record_target_refusal(request_state: RequestState) -> None:
    """Count a refusal by the target itself, which may be chosen again."""
    request_state["attempted_targets"].add(request_state["current_target"])
    request_state["target_refusals"] += 1
    request_state["current_target"] = ""

"""Builds the state of a request that has arrived and was not sent to any target yet."""

from jacinthsail.internal.model.manifest import RoutePolicy
from jacinthsail.internal.model.request_state import RequestInfo, RequestState
from jacinthsail.internal.model.retry_budget import RetryKind


def new_request_state(
    request_info: RequestInfo,
    route: RoutePolicy,
    service: str,
    rank: int,
    arrived_at: float,
    deadline: float,
    parent_id: str = "",
    retry_kind: RetryKind = RetryKind.NONE,
) -> RequestState:
    """Return the state of a request that arrived at a time and has to end by another."""
    return RequestState(
        request_info=request_info,
        route=route,
        service=service,
        arrived_at=arrived_at,
        deadline=deadline,
        excluded_targets=set(),
        rank=rank,
        parent_id=parent_id,
        attempted_targets=set(),
        target_refusals=0,
        node_refusals=0,
        current_target="",
        may_have_executed=False,
        retry_kind=retry_kind,
        failed_response=None,
    )

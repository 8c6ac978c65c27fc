"""Factories for targets, routes and requests, for tests of the platform front end."""

from jacinthsail.internal.commands.fleet import install_manifest, put_target
from jacinthsail.internal.commands.retry_budget import set_budget
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.fleet import NodeLocation, TargetEntry
from jacinthsail.internal.model.manifest import (
    Branch,
    ClientLimits,
    Manifest,
    RoutePolicy,
    ServiceSettings,
)
from jacinthsail.internal.model.request_state import ForwardedRequest, RequestInfo
from jacinthsail.internal.model.retry_budget import RetryKind
from jacinthsail.internal.queries.fleet_view import new_fleet
from jacinthsail.internal.queries.new_requests import new_request_state
from jacinthsail.internal.queries.retry_budget import new_retry_budget
from jacinthsail.internal.queries.target_queue import new_target_queue

LOCATION = NodeLocation("node-1", "10.0.0.1", "manila", "luzon", "drafts", 8000)
LIMITS = ClientLimits(16384, 1 << 20, 3.0, 15.0)


def route(
    name="lookup",
    prefix="/a/",
    services=("seals",),
    execution=Execution.REPEATABLE,
    timeout_s=2.0,
    target_latency_s=0.5,
    priority=1,
    max_attempts=2,
    weights=None,
):
    shares = weights or [1.0] * len(services)
    branches = tuple(Branch(*pair) for pair in zip(services, shares, strict=True))
    return RoutePolicy(
        name,
        "h.example",
        prefix,
        branches,
        execution,
        timeout_s,
        target_latency_s,
        priority,
        max_attempts,
    )


def manifest(version, *routes):
    services = {"seals": ServiceSettings("seals", "/healthz", 172)}
    return Manifest(version, routes, services, LIMITS)


def target(
    incarnation,
    host="10.0.0.9",
    failure_domain="manila",
    region="luzon",
    service="seals",
    slots=10,
    is_draining=False,
    port=8000,
):
    return TargetEntry(
        incarnation, service, host, port, failure_domain, region, slots, is_draining, 0.0
    )


def fleet(*targets, routes=()):
    state = new_fleet(LOCATION)
    install_manifest(state, manifest(1, *routes))
    for entry in targets:
        put_target(state, entry)
    return state


def request_info(path="/a/x", remaining_time_s=None, request_id="r-1"):
    return RequestInfo(request_id, "", "GET", path.encode(), "h.example", path, remaining_time_s)


def request_state(policy=None, now=0.0, service="seals"):
    policy = policy or route()
    return new_request_state(request_info(), policy, service, 1, now, now + policy.timeout_s)


def forwarded(
    rank=1,
    max_queue_wait_s=1.0,
    request_id="r-1",
    repeatable=True,
    remaining_s=2.0,
    retry_kind=RetryKind.NONE,
):
    return ForwardedRequest(
        request_id=request_id,
        method="GET",
        url=b"/a/x",
        service="seals",
        incarnation="i-1",
        repeatable=repeatable,
        retry_kind=retry_kind,
        rank=rank,
        remaining_s=remaining_s,
        max_queue_wait_s=max_queue_wait_s,
        latency_goal_s=0.5,
        head_lines=b"Host: h.example\r\n",
        body=b"",
    )


def target_queue(slots=2, mean_duration_s=0.1):
    state = new_target_queue(slots)
    for work_queue in state["work_queues"].values():
        work_queue["mean_duration_s"] = mean_duration_s
    return state


def retry_budget(ratio=0.2, window_s=10.0, extra=5.0):
    state = new_retry_budget()
    set_budget(state, ratio, window_s, extra)
    return state

"""Finds the route of a request and the service that handles it."""

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.manifest import Manifest, RouteIndex, RoutePolicy
from jacinthsail.internal.model.request_state import (
    AcceptRequest,
    EntryDecision,
    RequestInfo,
    RespondLocally,
)
from jacinthsail.internal.model.statuses import STATUS_NOT_RUN

# The fractional part of the golden ratio: its multiples modulo 1 are evenly distributed for any
# number of requests.
GOLDEN_FRACTION = 0.6180339887498949

# A node reads the manifest within a few hundred milliseconds of its start.
RETRY_WITHOUT_MANIFEST_S = 0.5

# With less remaining time, the caller would have timed out before a target could respond.
MIN_REMAINING_S = 0.005

STATUS_NOT_FOUND = 404


def index_routes(manifest: Manifest) -> RouteIndex:
    """Return an index of the routes by host and prefix."""
    return {(route.host, route.prefix): route for route in manifest.routes}


def match_route(routes: RouteIndex, host: str, path: str) -> RoutePolicy | None:
    """Return the route with the longest matching prefix, or None.

    Prefixes begin and end with a slash, so only the parts of the path up to a slash can match:

        >>> match_route({}, "drafts.example", "/a/b") is None
        True
    """
    end = path.rfind("/") + 1
    while end > 0:
        route = routes.get((host, path[:end]))
        if route is not None:
            return route
        end = path.rfind("/", 0, end - 1) + 1
    return None


def decide_entry(fleet: FleetState, request_info: RequestInfo, now: float) -> EntryDecision:
    """Return the route and service of a request, or the response that this node sends itself."""
    if fleet["manifest"] is None:
        return RespondLocally(STATUS_NOT_RUN, Reason.NOT_READY, RETRY_WITHOUT_MANIFEST_S)
    route = match_route(fleet["routes"], request_info.host, request_info.path)
    if route is None:
        return RespondLocally(STATUS_NOT_FOUND, Reason.UNKNOWN_CLASS, 0.0)
    remaining_time_s = route.timeout_s
    if request_info.remaining_time_s is not None:
        remaining_time_s = min(remaining_time_s, request_info.remaining_time_s)
    if remaining_time_s < MIN_REMAINING_S:
        return RespondLocally(STATUS_NOT_RUN, Reason.DEADLINE_EXPIRED, 0.0)
    return AcceptRequest(route, split_service(fleet, route), now + remaining_time_s)


def split_service(fleet: FleetState, route: RoutePolicy) -> str:
    """Return the service for the route's next request, in proportion to the branch weights."""
    if len(route.branches) == 1:
        return route.branches[0].service
    position = fleet["split_positions"].get(route.name, 0)
    total = sum(branch.weight for branch in route.branches)
    point = (position * GOLDEN_FRACTION % 1.0) * total
    for branch in route.branches:
        point -= branch.weight
        if point < 0:
            return branch.service
    return route.branches[-1].service

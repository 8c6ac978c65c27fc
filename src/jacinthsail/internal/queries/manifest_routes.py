"""Finds the route and the service of a request."""

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.manifest import Manifest, RouteIndex, RoutePolicy
from jacinthsail.internal.model.request_state import (
    AnswerHere,
    Begin,
    EntryDecision,
    RequestFacts,
)
from jacinthsail.internal.model.statuses import STATUS_NOT_RUN

# Multiples of this fraction spread evenly over [0, 1), however many of them are taken.
GOLDEN_FRACTION = 0.6180339887498949

# A node that has just started reads the manifest within some hundred milliseconds.
RETRY_WITHOUT_MANIFEST_S = 0.5

# A caller that had less time left would be gone before a target could answer.
MIN_TIME_LEFT_S = 0.005

STATUS_NOT_FOUND = 404


def index_of_routes(manifest: Manifest) -> RouteIndex:
    """Return the routes by host and prefix."""
    return {(route.host, route.prefix): route for route in manifest.routes}


def route_of(routes: RouteIndex, host: str, path: str) -> RoutePolicy | None:
    """Return the route with the longest prefix that begins the path.

    Prefixes begin and end with a slash, so only the parts of the path up to a slash can match:

        >>> route_of({}, "drafts.example", "/a/b") is None
        True
    """
    end = path.rfind("/") + 1
    while end > 0:
        route = routes.get((host, path[:end]))
        if route is not None:
            return route
        end = path.rfind("/", 0, end - 1) + 1
    return None


def decide_entry(fleet: FleetState, facts: RequestFacts, now: float) -> EntryDecision:
    """Return the route and service of a request, or the answer that it gets here."""
    if fleet["manifest"] is None:
        return AnswerHere(STATUS_NOT_RUN, Reason.NOT_READY, RETRY_WITHOUT_MANIFEST_S)
    route = route_of(fleet["routes"], facts.host, facts.path)
    if route is None:
        return AnswerHere(STATUS_NOT_FOUND, Reason.UNKNOWN_CLASS, 0.0)
    time_left_s = route.timeout_s
    if facts.time_left_s is not None:
        time_left_s = min(time_left_s, facts.time_left_s)
    if time_left_s < MIN_TIME_LEFT_S:
        return AnswerHere(STATUS_NOT_RUN, Reason.DEADLINE_EXPIRED, 0.0)
    return Begin(route, split_service(fleet, route), now + time_left_s)


def split_service(fleet: FleetState, route: RoutePolicy) -> str:
    """Return the service that takes the route's next request, in proportion to the weights."""
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

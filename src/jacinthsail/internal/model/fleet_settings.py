"""Settings of a node that serves HTTP requests by host and path."""

from typing import NamedTuple

from jacinthsail.internal.model.fleet import NodePlace
from jacinthsail.internal.model.settings import Endpoint


class BudgetTerms(NamedTuple):
    """How many repeats all nodes together may send in a window, for each service."""

    ratio: float
    window_s: float
    extra: float


class FleetSettings(NamedTuple):
    """Everything such a node must be told before it starts.

    ``callers`` is where callers and the target on this VM send requests, ``peers`` where other
    nodes connect; every node uses the same port for its peers. ``grace_s`` is the time between the
    request to stop and the end of the process.
    """

    place: NodePlace
    callers: Endpoint
    peers: Endpoint
    readiness: Endpoint
    target: Endpoint
    store: Endpoint
    metrics: Endpoint
    budget: BudgetTerms
    grace_s: float
    log_buffer_lines: int

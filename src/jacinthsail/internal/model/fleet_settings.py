"""Settings of a node that serves HTTP requests by host and path."""

from typing import NamedTuple

from jacinthsail.internal.model.fleet import NodeLocation
from jacinthsail.internal.model.held_memory import MemoryLimits
from jacinthsail.internal.model.settings import Endpoint


class RetryBudgetSettings(NamedTuple):
    """Bounds on the retries of a service that all nodes together may send in a window.

    They may send ``ratio`` times the number of first attempts, plus ``extra``.
    """

    ratio: float
    window_s: float
    extra: float


class CapSettings(NamedTuple):
    """Bounds on the requests of an account with a cap, over all nodes.

    In each span of ``window_s``, ``overage`` times the requests that the cap allows may run in
    addition, and ``slack`` requests more.
    """

    window_s: float
    overage: float
    slack: float


class FleetSettings(NamedTuple):
    """The startup settings of a node that serves HTTP requests by host and path.

    Callers and the target on this VM send requests to ``callers``; other nodes connect to
    ``peers``, whose port is the same on every node. ``grace_s`` is the time between the stop
    signal and the end of the process, and ``heartbeat_s`` the interval at which targets renew their
    entries in the store. A withdrawn key must be refused at every node after ``revocation_s``; None
    means that nodes refuse it once they know. ``caps`` says by how much caps may be exceeded.
    ``memory`` takes effect at the start of the process. ``paces_target`` says whether a target that
    has just started or recovered is given requests by how it answers.
    """

    location: NodeLocation
    callers: Endpoint
    peers: Endpoint
    readiness: Endpoint
    target: Endpoint
    store: Endpoint
    metrics: Endpoint
    budget: RetryBudgetSettings
    grace_s: float
    heartbeat_s: float
    log_buffer_lines: int
    revocation_s: float | None = None
    caps: CapSettings = CapSettings(5.0, 0.0, 0.0)
    memory: MemoryLimits = MemoryLimits(200 * 1024 * 1024, 3900)
    paces_target: bool = False

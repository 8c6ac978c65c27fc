"""Data of the target stand-in."""

from typing import TypedDict


class Behaviour(TypedDict):
    """How a target behaves; ``POST /control`` changes single fields while it runs.

    Calls over ``slots`` queue inside the target and slow it down; calls over ``connections`` are
    reset. ``half_every`` and ``shed_every`` apply to each n-th call, and to none when 0. The health
    endpoint reports the state of ``health_lag_s`` ago, unless ``health_lie`` replaces it. The load
    endpoint reports ``load_lie``, unless it is negative. With ``stops_expired`` and
    ``stops_abandoned`` a queued call is refused if its deadline has passed or its caller has
    disconnected.
    """

    slots: int
    connections: int
    service_time_ms: float
    slow_factor: float
    cold_start_s: float
    cold_factor: float
    draining: bool
    health_lag_s: float
    health_lie: str
    load_lie: int
    stops_expired: bool
    stops_abandoned: bool
    shed_every: int
    half_every: int
    silent: bool
    passes_context: bool


class Execution(TypedDict):
    """One execution, even if its caller has disconnected; ``ended_at`` is 0 until it ends."""

    target: str
    service: str
    call_class: str
    request_id: str
    key: str
    started_at: float
    ended_at: float


def default_behaviour(service_time_ms: float) -> Behaviour:
    """Return the behaviour of a target without faults."""
    return {
        "slots": 80,
        "connections": 560,
        "service_time_ms": service_time_ms,
        "slow_factor": 1.0,
        "cold_start_s": 0.0,
        "cold_factor": 5.0,
        "draining": False,
        "health_lag_s": 0.0,
        "health_lie": "",
        "load_lie": -1,
        "stops_expired": False,
        "stops_abandoned": False,
        "shed_every": 0,
        "half_every": 0,
        "silent": False,
        "passes_context": True,
    }

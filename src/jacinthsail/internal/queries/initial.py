"""The state of a node that has just started and knows nothing."""

from collections import OrderedDict

from sortedcontainers import SortedKeyList

from jacinthsail.internal.model.admission import AdmissionState, FixedLimit
from jacinthsail.internal.model.settings import Mechanism, NodeSettings
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.admission import arrival_order, queue_order


def initial_state(settings: NodeSettings, incarnation: str, now: float, now_ms: int) -> NodeState:
    """Return the state of a node at its start."""
    return NodeState(
        settings=settings,
        clock={"started_at": now, "started_at_ms": now_ms, "last_seen": now, "pauses": 0},
        store={
            "items": {},
            "sections": {},
            "vm_lists": {},
            "newest_seen": {},
            "rejected": {},
            "as_of_ms": 0,
            "changed_at": now,
        },
        admission=initial_admission(now, settings.disabled),
        retries={"disabled": settings.disabled, "budgets": {}, "allowances": {}},
        ledger={
            "incarnation": incarnation,
            "entries": OrderedDict(),
            "capacity": settings.ledger_entries,
            "low_water_ms": 0,
            "low_water_sequence": 0,
            "next_sequence": 1,
        },
        peers={},
        leaving={"stopping": False, "draining_answers": 0},
    )


def initial_admission(now: float, disabled: frozenset[Mechanism]) -> AdmissionState:
    """Return an admission state that refuses everything until a section sets its sizes."""
    order = arrival_order if Mechanism.IMPORTANCE in disabled else queue_order
    return {
        "disabled": disabled,
        "queue": SortedKeyList(key=order),
        "queue_length": 0,
        "in_flight": {},
        "limit_policy": None,
        "limiter": FixedLimit(0),
        "threshold": 0,
        "window_start": now,
        "window_min_wait_s": 0.0,
        "mean_latency_s": 0.0,
        "next_ticket": 1,
        "draining": False,
    }

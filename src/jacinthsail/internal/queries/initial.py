"""The state of a node that has just started and knows nothing."""

from collections import OrderedDict

from sortedcontainers import SortedKeyList

from jacinthsail.internal.model.admission import AdmissionState, FixedLimit
from jacinthsail.internal.model.settings import NodeSettings
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.admission import queue_order

# A quarter of the 128 MB that a node may use.
LEDGER_BYTES = 32 * 1024 * 1024


def initial_state(settings: NodeSettings, incarnation: str, now: float, now_ms: int) -> NodeState:
    """Return the state of a node at its start."""
    return NodeState(
        settings=settings,
        clock={
            "started_at": now,
            "started_at_ms": now_ms,
            "last_seen": now,
            "last_seen_ms": now_ms,
            "pauses": 0,
        },
        store={
            "items": {},
            "sections": {},
            "vm_lists": {},
            "newest_seen": {},
            "rejected": {},
            "as_of_ms": 0,
            "changed_at": now,
            "placement": {
                "confirmed_ms": 0,
                "last_confirmed_ms": 0,
                "floor_ms": 0,
                "departed": {},
            },
        },
        admission=initial_admission(now),
        retries={"tokens": {}, "allowances": {}},
        ledger={
            "incarnation": incarnation,
            "entries": OrderedDict(),
            "capacity": settings.ledger_entries,
            "capacity_bytes": LEDGER_BYTES,
            "answer_bytes": 0,
            "low_water_ms": 0,
            "low_water_sequence": 0,
            "next_sequence": 1,
        },
        peers={},
    )


def initial_admission(now: float) -> AdmissionState:
    """Return an admission state that refuses everything until a section sets its sizes."""
    return {
        "queue": SortedKeyList(key=queue_order),
        "queue_length": 0,
        "in_flight": {},
        "limiter": FixedLimit(0),
        "threshold": 0,
        "window_start": now,
        "window_min_wait_s": 0.0,
        "mean_latency_s": 0.0,
        "next_ticket": 1,
        "draining": False,
    }

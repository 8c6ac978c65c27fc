"""The initial state of a node, before it has read any item."""

from collections import OrderedDict

from sortedcontainers import SortedKeyList

from jacinthsail.internal.model.admission import AdmissionState, FixedLimit
from jacinthsail.internal.model.membership import Distance
from jacinthsail.internal.model.replication import StoreState
from jacinthsail.internal.model.settings import Mechanism, NodeSettings
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.admission import arrival_order, queue_order
from jacinthsail.internal.queries.replication import EMPTY_DIGEST, PLATFORM_READ_BURST

# A quarter of the 128 MB that a node may use.
LEDGER_BYTES = 32 * 1024 * 1024


def initial_state(settings: NodeSettings, incarnation: str, now: float, now_ms: int) -> NodeState:
    """Return the state of a node at startup."""
    return NodeState(
        settings=settings,
        clock={
            "started_at": now,
            "started_at_ms": now_ms,
            "last_seen": now,
            "last_seen_ms": now_ms,
            "pauses": 0,
        },
        store=initial_store(now),
        platform={
            "revision": 0,
            "stale": False,
            "reads": 0,
            "failures": 0,
            "tokens": PLATFORM_READ_BURST,
            "tokens_at": now,
            "pauses_handled": 0,
        },
        gossip={
            "chosen": frozenset(),
            "next_attempt": {},
            "failures": {},
            "offered_at": {},
            "mismatch_since": {},
            "complete_offers_received": 0,
            "chosen_at": None,
            "startup_offers": {},
            "startup_completed": False,
        },
        control={
            distance: {"control_bytes_sent": 0, "control_bytes_received": 0}
            for distance in Distance
        },
        link_budget={
            "tokens": float(settings.cross_region_bytes_per_s),
            "updated_at": now,
        },
        admission=initial_admission(now, settings.disabled),
        retries={"disabled": settings.disabled, "budgets": {}, "allowances": {}},
        ledger={
            "incarnation": incarnation,
            "entries": OrderedDict(),
            "capacity": settings.ledger_entries,
            "capacity_bytes": LEDGER_BYTES,
            "total_response_bytes": 0,
            "low_water_ms": 0,
            "low_water_sequence": 0,
            "next_sequence": 1,
        },
        peers={},
        drain={"stopping": False, "draining_responses": 0},
    )


def initial_store(now: float) -> StoreState:
    """Return an empty store."""
    return {
        "items": {},
        "sections": {},
        "vm_lists": {},
        "newest_seen": {},
        "rejected": {},
        "as_of_ms": 0,
        "confirmed_at": now,
        "changed_at": now,
        "revision": 0,
        "digest": EMPTY_DIGEST,
        "services": {},
        "defining_sections": {},
        "vm_entries": {},
        "service_vms": {},
        "membership_changes": 0,
        "placement": {
            "confirmed_ms": 0,
            "last_confirmed_ms": 0,
            "floor_ms": 0,
            "removed": {},
        },
    }


def initial_admission(now: float, disabled: frozenset[Mechanism]) -> AdmissionState:
    """Return an admission state that refuses all calls until a section sets its limits."""
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
        "nested_limits": {},
        "nested_refused": set(),
        "next_ticket": 1,
        "draining": False,
    }

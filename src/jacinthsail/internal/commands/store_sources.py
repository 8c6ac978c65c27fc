"""Changes to a node's view of the nodes that it learns published items from."""

from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.store import StoreReadState
from jacinthsail.internal.model.store_sources import SourceState, StoreSources
from jacinthsail.internal.queries.fleet_view import suspicion_s
from jacinthsail.internal.queries.store_sources import (
    decide_role,
    has_working_source,
    reader_order,
)


def update_order(state: StoreSources, fleet: FleetState) -> None:
    """Order the hosts of the failure domain anew after the published targets changed."""
    state["order"] = reader_order(fleet)


def add_source(state: StoreSources, host: str, now: float) -> None:
    """Start to follow a node."""
    state["sources"][host] = SourceState(
        followed_at=now, received_at=float("-inf"), is_current=False
    )


def remove_source(state: StoreSources, host: str) -> None:
    """Stop following a node."""
    state["sources"].pop(host, None)


def record_report(state: StoreSources, host: str, is_current: bool, now: float) -> None:
    """Record a message of a source, which says whether its last read of the store succeeded."""
    source = state["sources"].get(host)
    if source is None:
        return
    source["received_at"] = now
    source["is_current"] = is_current
    state["failures"].pop(host, None)
    state["suspected_until"].pop(host, None)
    if is_current:
        state["working_at"] = now


def record_source_lost(state: StoreSources, host: str, now: float) -> None:
    """Suspect a source that closed its connection, went silent or could not be reached."""
    if state["sources"].pop(host, None) is None:
        return
    state["failures"][host] = state["failures"].get(host, 0) + 1
    state["suspected_until"][host] = now + suspicion_s(state["failures"][host])


def set_followers(state: StoreSources, followers: int) -> None:
    """Set the number of nodes that follow this one."""
    state["followers"] = followers


def update_role(
    state: StoreSources,
    reading: StoreReadState,
    own_host: str,
    fallback_jitter: float,
    now: float,
) -> None:
    """Decide anew whether this node reads the store itself."""
    if has_working_source(state, now):
        state["working_at"] = now
    state["role"] = decide_role(state, reading, own_host, fallback_jitter, now)

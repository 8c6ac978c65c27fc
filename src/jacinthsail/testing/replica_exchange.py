"""Exchanges copies between two stores in memory, using the decisions of the nodes."""

from collections.abc import Sequence

from jacinthsail.internal.commands.replication import accept_item, confirm_versions
from jacinthsail.internal.model.messages import ItemRequest, VersionOffer
from jacinthsail.internal.model.replication import Item, StoreState
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.replication import (
    decide_counter_offer,
    decide_item,
    decide_item_request,
    known_versions,
    requested_copies,
)

NONE_DISABLED: frozenset[Mechanism] = frozenset()


def receive_copy(
    store: StoreState, copy: Item, now: float = 0.0, disabled: frozenset[Mechanism] = NONE_DISABLED
) -> None:
    """Decide whether a store accepts a copy, and apply the decision."""
    accept_item(store, decide_item(store, copy, disabled), now)


def send_copies(source: StoreState, names: Sequence[str], receiver: StoreState) -> None:
    """Send the copies that a receiver requested."""
    for copy in requested_copies(source, ItemRequest(tuple(names))):
        receive_copy(receiver, copy)


def exchange_copies(first: StoreState, second: StoreState) -> None:
    """Exchange copies as on a new connection: the first store offers all versions that it holds."""
    offer = VersionOffer(known_versions(first), complete=True)
    send_copies(first, decide_item_request(second, offer).names, second)
    counter_offer = decide_counter_offer(second, offer)
    send_copies(second, decide_item_request(first, counter_offer).names, first)


def share_heartbeats(first: StoreState, second: StoreState, now: float = 0.0) -> None:
    """Apply the heartbeat of each store to the other; different digests change nothing."""
    if first["digest"] != second["digest"]:
        return
    newest = max(first["as_of_ms"], second["as_of_ms"])
    confirm_versions(first, newest, now)
    confirm_versions(second, newest, now)

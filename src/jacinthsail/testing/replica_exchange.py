"""Exchanges copies between two stores in memory, with the decisions that nodes take."""

from collections.abc import Sequence

from jacinthsail.internal.commands.replication import accept_item, confirm_versions
from jacinthsail.internal.model.messages import Ask, Offer
from jacinthsail.internal.model.replication import Item, StoreState
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.replication import (
    copies_of,
    decide_ask,
    decide_counter_offer,
    decide_item,
    versions_held,
)

NONE_DISABLED: frozenset[Mechanism] = frozenset()


def take(
    store: StoreState, copy: Item, now: float = 0.0, disabled: frozenset[Mechanism] = NONE_DISABLED
) -> None:
    """Let a store decide on a copy and apply the decision."""
    accept_item(store, decide_item(store, copy, disabled), now)


def give(source: StoreState, names: Sequence[str], receiver: StoreState) -> None:
    """Send the copies that a receiver asked for."""
    for copy in copies_of(source, Ask(tuple(names))):
        take(receiver, copy)


def exchange(first: StoreState, second: StoreState) -> None:
    """Let the first store offer everything it holds to the second, as on a new connection."""
    offer = Offer(versions_held(first), complete=True)
    give(first, decide_ask(second, offer).names, second)
    counter_offer = decide_counter_offer(second, offer)
    give(second, decide_ask(first, counter_offer).names, first)


def adopt(first: StoreState, second: StoreState, now: float = 0.0) -> None:
    """Let each store hear the other's heartbeat."""
    if first["digest"] != second["digest"]:
        return
    newest = max(first["as_of_ms"], second["as_of_ms"])
    confirm_versions(first, newest, now)
    confirm_versions(second, newest, now)

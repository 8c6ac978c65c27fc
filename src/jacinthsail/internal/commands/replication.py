"""Changes to the copies of published items."""

from functools import singledispatch

from jacinthsail.internal.commands.placement import record_departures
from jacinthsail.internal.model.replication import (
    NewSection,
    NewVmList,
    Rejected,
    RejectedVersion,
    StoreState,
    Superseded,
)


def accept_item(store: StoreState, decision: object, now: float) -> None:
    """Put into force what was decided about a copy of an item."""
    _accept(decision, store, now)


@singledispatch
def _accept(decision: object, store: StoreState, now: float) -> None:
    raise NotImplementedError(f"no rule for {type(decision).__name__}; register one")


@_accept.register
def _(decision: NewSection, store: StoreState, now: float) -> None:
    item = decision.item
    store["items"][item.name] = item
    store["sections"][item.name] = decision.section
    store["newest_seen"][item.name] = item.version
    store["rejected"].pop(item.name, None)
    store["changed_at"] = now


@_accept.register
def _(decision: NewVmList, store: StoreState, now: float) -> None:
    item = decision.item
    record_departures(store, item.name, decision.vm_list)
    store["items"][item.name] = item
    store["vm_lists"][item.name] = decision.vm_list
    store["newest_seen"][item.name] = item.version
    store["rejected"].pop(item.name, None)
    store["changed_at"] = now


@_accept.register
def _(decision: Rejected, store: StoreState, now: float) -> None:
    item = decision.item
    store["newest_seen"][item.name] = item.version
    store["rejected"][item.name] = RejectedVersion(item.version, decision.errors)


@_accept.register
def _(decision: Superseded, store: StoreState, now: float) -> None:
    return

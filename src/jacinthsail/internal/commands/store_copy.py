"""Changes to a node's copy of the published items."""

from collections.abc import Iterable
from functools import singledispatch

from jacinthsail.internal.model.store import (
    PublishedItem,
    StoreCopy,
    StoreDelta,
    StoreDifference,
    StoreSnapshot,
)
from jacinthsail.internal.queries.store_copy import surplus_removals


def record_items(copy: StoreCopy, items: Iterable[PublishedItem]) -> None:
    """Replace the copies of items that changed."""
    for item in items:
        if item.body is None:
            copy["items"].pop(item.key, None)
            copy["removals"][item.key] = item.revision
            continue
        copy["removals"].pop(item.key, None)
        copy["items"][item.key] = item
    for key in surplus_removals(copy):
        copy["complete_since"] = max(copy["complete_since"], copy["removals"].pop(key))


def distrust_copy(copy: StoreCopy) -> None:
    """Let the next snapshot replace every item, because its revisions no longer apply."""
    for key, item in copy["items"].items():
        copy["items"][key] = item._replace(revision=0)
    copy["removals"].clear()
    copy["complete_since"] = 0
    copy["era"] = 0
    copy["revision"] = 0


@singledispatch
def record_copied(update: object, copy: StoreCopy) -> None:
    """Record the revision up to which the copy is complete after an update."""
    raise NotImplementedError(f"no rule for {type(update).__name__}; register one")


@record_copied.register
def _(update: StoreSnapshot | StoreDifference, copy: StoreCopy) -> None:
    # Items that were added and removed since the previous copy are not known here.
    copy["complete_since"] = update.revision
    copy["era"] = update.era
    copy["revision"] = update.revision


@record_copied.register
def _(update: StoreDelta, copy: StoreCopy) -> None:
    copy["revision"] = update.revision

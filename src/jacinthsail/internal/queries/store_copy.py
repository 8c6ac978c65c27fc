"""Decides which published items replace the copies on this node, and what other nodes lack."""

from functools import singledispatch

from jacinthsail.internal.model.store import (
    PublishedItem,
    StoreCopy,
    StoreDelta,
    StoreDifference,
    StoreResponse,
    StoreSnapshot,
    StoreUpdate,
)

# Removals that are kept for nodes that lag behind; a node that lacks older ones gets a snapshot.
MAX_REMOVALS = 2_000

# The store's revision grows by a few thousand an hour. A peer that claims a much larger one is
# faulty, and accepting it would hide all later changes.
MAX_REVISION_STEP = 1_000_000

# The same for eras, which rise only when the store has lost writes.
MAX_ERA_STEP = 100


def new_store_copy() -> StoreCopy:
    """Return the copy of a node that has read nothing yet."""
    return StoreCopy(items={}, removals={}, complete_since=0, era=0, revision=0)


def is_newer(copy: StoreCopy, update: StoreUpdate) -> bool:
    """Return whether an update takes the copy to a later revision, or into a later era."""
    return (update.era, update.revision) > (copy["era"], copy["revision"])


def went_back(copy: StoreCopy, response: StoreResponse) -> bool:
    """Return whether the store has gone back to an older state since the copy was made.

    Its revisions are given out again, so changes cannot be applied to the copy.
    """
    return isinstance(response, StoreDelta) and response.era != copy["era"]


@singledispatch
def follows(update: object, copy: StoreCopy) -> bool:
    """Return whether an update leaves no gap after the revision of the copy."""
    raise NotImplementedError(f"no rule for {type(update).__name__}; register one")


@follows.register
def _(update: StoreSnapshot, copy: StoreCopy) -> bool:
    return True


@follows.register
def _(update: StoreDelta, copy: StoreCopy) -> bool:
    return update.era == copy["era"] and update.after <= copy["revision"]


@follows.register
def _(update: StoreDifference, copy: StoreCopy) -> bool:
    return update.era == copy["era"] and update.after == copy["revision"]


def is_plausible(copy: StoreCopy, update: StoreUpdate) -> bool:
    """Return whether a peer's update can stem from the store that this node has read."""
    if not copy["revision"]:
        return True
    if update.era != copy["era"]:
        return update.era - copy["era"] <= MAX_ERA_STEP
    newest = max((item.revision for item in update.items), default=0)
    return max(newest, update.revision) - copy["revision"] <= MAX_REVISION_STEP


def contradicts_copy(response: StoreResponse, known: tuple[int, int]) -> bool:
    """Return whether a snapshot of the store shows that the copy came from a faulty node.

    Within an era, the store never goes back. A copy that became newer while the snapshot was read
    is no contradiction, so ``known`` is the era and revision of the copy when the read began.
    """
    return isinstance(response, StoreSnapshot) and (response.era, response.revision) < known


def known_revision(copy: StoreCopy, key: str) -> int:
    """Return the revision of the newest known change of an item, or 0 if there is none."""
    item = copy["items"].get(key)
    return copy["removals"].get(key, 0) if item is None else item.revision


@singledispatch
def items_to_apply(update: object, copy: StoreCopy) -> tuple[PublishedItem, ...]:
    """Return the changes in an update that are newer than the copies of the same items."""
    raise NotImplementedError(f"no rule for {type(update).__name__}; register one")


@items_to_apply.register
def _(update: StoreSnapshot, copy: StoreCopy) -> tuple[PublishedItem, ...]:
    listed = frozenset(item.key for item in update.items)
    removed = []
    for key, item in copy["items"].items():
        if key not in listed and item.revision <= update.revision:
            removed.append(PublishedItem(key, update.revision, None))
    return _newer_items(copy, update.items) + tuple(removed)


@items_to_apply.register
def _(update: StoreDelta | StoreDifference, copy: StoreCopy) -> tuple[PublishedItem, ...]:
    return _newer_items(copy, update.items)


def _newer_items(copy: StoreCopy, items: tuple[PublishedItem, ...]) -> tuple[PublishedItem, ...]:
    return tuple(item for item in items if item.revision > known_revision(copy, item.key))


def no_changes(copy: StoreCopy) -> StoreDelta:
    """Return an update that only states how far the copy is complete."""
    return StoreDelta((), copy["revision"], copy["revision"], copy["era"])


def changes_since(copy: StoreCopy, era: int, revision: int) -> StoreUpdate:
    """Return what a node lacks that knows all changes up to a revision of an era."""
    if era != copy["era"] or revision < copy["complete_since"]:
        return StoreSnapshot(tuple(copy["items"].values()), copy["revision"], copy["era"])
    changed = [item for item in copy["items"].values() if item.revision > revision]
    for key, removed_at in copy["removals"].items():
        if removed_at > revision:
            changed.append(PublishedItem(key, removed_at, None))
    return StoreDelta(tuple(changed), revision, copy["revision"], copy["era"])


def surplus_removals(copy: StoreCopy) -> tuple[str, ...]:
    """Return the keys of the oldest removals beyond the number that is kept."""
    surplus = len(copy["removals"]) - MAX_REMOVALS
    if surplus <= 0:
        return ()
    return tuple(sorted(copy["removals"], key=copy["removals"].__getitem__)[:surplus])

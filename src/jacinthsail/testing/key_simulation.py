"""A small model of a platform, nodes and callers that drives the key decisions directly.

Events are tuples of a name and small integers. Every node decides with the project's own queries
and commands; the world only delivers lists late, restarts processes and counts executions.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from functools import singledispatch
from typing import Any, NamedTuple
from uuid import UUID

from jacinthsail.internal.commands.idempotency import (
    record_interrupted,
    record_issued,
    record_outcome,
    record_running,
    record_waiting,
)
from jacinthsail.internal.commands.pauses import observe_clock
from jacinthsail.internal.commands.placement import record_confirmation
from jacinthsail.internal.commands.replication import accept_item
from jacinthsail.internal.model.calls import Answered, NotRun, Outcome, Reason, Unknown
from jacinthsail.internal.model.clock import Paused
from jacinthsail.internal.model.idempotency import (
    PLACEMENT_RULES,
    IdempotencyKey,
    LedgerState,
    PlacementRules,
    RefuseKey,
    ReplayAnswer,
    RunKey,
    TimedKey,
)
from jacinthsail.internal.model.membership import VmEntry, VmList, VmStatus
from jacinthsail.internal.model.replication import Item, NewVmList
from jacinthsail.internal.model.settings import NodeSettings
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.idempotency import decide_key, next_issued_key
from jacinthsail.internal.queries.initial import initial_state
from jacinthsail.testing.node_settings import node_settings

SERVICE = "billing"
LIST_NAME = "vms/manila"
VMS = ("vm-0", "vm-1", "vm-2")
START_MS = 1_000_000
LEDGER_ENTRIES = 3

ENDINGS = (
    Answered(200, "text/plain", b"done", 0),
    NotRun(Reason.QUEUE_FULL, 0),
    Unknown(Reason.CONNECTION_LOST, 0),
    None,
)

# Clocks of nodes differ by at most the allowed 2 s from each other.
CLOCK_OFFSETS_MS = (0, 1_000, -1_000)

Event = tuple[Any, ...]


class PublishedList(NamedTuple):
    """One version of the VM list, and when the platform published it."""

    published_ms: int
    version: int
    entries: dict[str, VmEntry]


class KeyWorld:
    """The platform's history of lists, the nodes, the keys and what ran."""

    def __init__(self, rules: PlacementRules = PLACEMENT_RULES) -> None:
        self.rules = rules
        self.now_ms = START_MS
        # Every VM was listed long before the first event.
        entries = {vm: entry_of(vm, START_MS - 100_000) for vm in VMS}
        self.history = [PublishedList(START_MS - 100_000, 1, entries)]
        self.nodes: dict[str, NodeState] = {}
        self.seen_ms: Counter[str] = Counter()
        self.executions: Counter[IdempotencyKey] = Counter()
        self.keys: list[IdempotencyKey] = []
        self.process_count = 0
        for vm in VMS:
            self.restart(vm)

    def restart(self, vm: str) -> None:
        """Replace the process of a VM by one that knows nothing."""
        self.process_count += 1
        offset = CLOCK_OFFSETS_MS[VMS.index(vm)]
        incarnation = f"process{self.process_count}"
        state = initial_state(settings_of(vm), incarnation, 0.0, self.now_ms + offset)
        self.nodes[vm] = state
        self.seen_ms[vm] = 0

    def publish(self, change: Callable[[dict[str, VmEntry]], object]) -> None:
        """Publish the newest list with a change made to its entries."""
        _, version, entries = self.history[-1]
        entries = dict(entries)
        change(entries)
        self.history.append(PublishedList(self.now_ms, version + 1, entries))

    def deliver(self, vm: str, lag_ms: int) -> None:
        """Bring a node up to what the platform held some time ago, unless it knows more."""
        as_of_ms = max(self.now_ms - lag_ms, self.history[0][0])
        if as_of_ms < self.seen_ms[vm]:
            return
        self.seen_ms[vm] = as_of_ms
        newest = [known for known in self.history if known[0] <= as_of_ms][-1]
        _, version, entries = newest
        store = self.nodes[vm]["store"]
        if version > store["newest_seen"].get(LIST_NAME, 0):
            vm_list = VmList("manila", version, as_of_ms, tuple(entries.values()))
            item = Item(LIST_NAME, version, "digest", b"")
            accept_item(store, NewVmList(item, vm_list), 0.0)
        record_confirmation(store, as_of_ms)

    def call(self, vm: str, key: IdempotencyKey, ending: Outcome | None) -> None:
        """Bring a key to one node, whatever node should have got it."""
        state = self.nodes[vm]
        now_ms = self.now_ms + CLOCK_OFFSETS_MS[VMS.index(vm)]
        decision = decide_key(key, state, SERVICE, "fingerprint", now_ms, self.rules)
        follow(decision, self, state["ledger"], key, ending)

    def told_not_run(self, key: IdempotencyKey) -> None:
        """Check what a caller is told."""
        assert self.executions[key] == 0, f"not-run was told of {key}, which ran"

    def apply(self, event: Event) -> None:
        """Apply one event."""
        name, *arguments = event
        getattr(self, "on_" + name.replace("-", "_"))(*arguments)

    def on_advance(self, delay_ms: int) -> None:
        """Let time pass."""
        self.now_ms += delay_ms

    def on_list(self, index: int) -> None:
        """Publish a VM that is not in the list."""
        vm = VMS[index]
        entry = entry_of(vm, self.now_ms)
        if vm not in self.history[-1][2]:
            # A VM that returns after its removal runs a new process.
            self.restart(vm)
            self.publish(lambda entries: entries.update({vm: entry}))

    def on_leave(self, index: int) -> None:
        """Publish a VM as leaving."""
        entry = self.history[-1][2].get(VMS[index])
        if entry is None or entry.status is VmStatus.LEAVING:
            return
        leaving = entry._replace(status=VmStatus.LEAVING, leaving_at_ms=self.now_ms)
        self.publish(lambda entries: entries.update({entry.vm: leaving}))

    def on_remove(self, index: int) -> None:
        """Publish a list without a VM."""
        if VMS[index] in self.history[-1][2]:
            self.publish(lambda entries: entries.pop(VMS[index]))

    def on_deliver(self, index: int, lag_ms: int) -> None:
        """Bring one node up to date."""
        self.deliver(VMS[index], lag_ms)

    def on_deliver_all(self, lag_ms: int) -> None:
        """Bring every node up to date."""
        for vm in VMS:
            self.deliver(vm, lag_ms)

    def on_restart(self, index: int) -> None:
        """Restart the process of a VM."""
        self.restart(VMS[index])

    def on_pause(self, index: int) -> None:
        """Let a node find that it stood still."""
        observe_clock(self.nodes[VMS[index]], Paused(3.0), 0.0, self.now_ms)

    def on_new_key(self, offset_ms: int) -> None:
        """Let a caller make a key."""
        born_at_ms = self.now_ms + offset_ms
        value = (born_at_ms << 80) | (7 << 76) | (2 << 62) | len(self.keys)
        self.keys.append(TimedKey(str(UUID(int=value)), born_at_ms))

    def on_issue_key(self, issuer: int, home: int) -> None:
        """Let a node issue a key for a home."""
        ledger = self.nodes[VMS[issuer]]["ledger"]
        incarnation = self.nodes[VMS[home]]["ledger"]["incarnation"]
        key = next_issued_key(ledger, VMS[home], incarnation, self.now_ms)
        record_issued(ledger, key)
        self.keys.append(key)

    def on_call(self, index: int, key_index: int, ending: int) -> None:
        """Bring one of the last keys to one node."""
        if key_index < len(self.keys):
            self.call(VMS[index], self.keys[-1 - key_index], ENDINGS[ending])

    def on_call_everywhere(self, key_index: int, ending: int) -> None:
        """Bring one of the last keys to every node."""
        for index in range(len(VMS)):
            self.on_call(index, key_index, ending)

    def on_interrupt(self, index: int) -> None:
        """Interrupt every call of a node."""
        ledger = self.nodes[VMS[index]]["ledger"]
        for key in list(ledger["entries"]):
            record_interrupted(ledger, key)


@singledispatch
def follow(
    decision: object,
    world: KeyWorld,
    ledger: LedgerState,
    key: IdempotencyKey,
    ending: Outcome | None,
) -> None:
    """Do what a home decided; KeyUnknown promises nothing."""


@follow.register
def _(
    decision: RunKey,
    world: KeyWorld,
    ledger: LedgerState,
    key: IdempotencyKey,
    ending: Outcome | None,
) -> None:
    record_waiting(ledger, key, "fingerprint")
    finish(ending, world, ledger, key)


@follow.register
def _(
    decision: RefuseKey,
    world: KeyWorld,
    ledger: LedgerState,
    key: IdempotencyKey,
    ending: Outcome | None,
) -> None:
    world.told_not_run(key)


@follow.register
def _(
    decision: ReplayAnswer,
    world: KeyWorld,
    ledger: LedgerState,
    key: IdempotencyKey,
    ending: Outcome | None,
) -> None:
    assert world.executions[key] == 1, f"an answer was given for {key}, which did not run"


@singledispatch
def finish(ending: Any, world: KeyWorld, ledger: LedgerState, key: IdempotencyKey) -> None:
    """Run a key at the target of its home; without an ending it stays running."""
    record_running(ledger, key)
    world.executions[key] += 1
    assert world.executions[key] <= 1, f"{key} ran more than once"
    if ending is not None:
        record_outcome(ledger, key, ending)


@finish.register
def _(ending: NotRun, world: KeyWorld, ledger: LedgerState, key: IdempotencyKey) -> None:
    record_outcome(ledger, key, ending)
    world.told_not_run(key)


def entry_of(vm: str, listed_at_ms: int) -> VmEntry:
    """Return a live entry of a VM."""
    return VmEntry(
        vm, "127.0.0.1", 1, 2, "manila", "luzon", SERVICE, VmStatus.LIVE, listed_at_ms, None
    )


def settings_of(vm: str) -> NodeSettings:
    """Return the settings of a VM's node."""
    return node_settings(
        vm=vm,
        failure_domain="manila",
        region="luzon",
        service=SERVICE,
        ledger_entries=LEDGER_ENTRIES,
    )


def run_events(events: Sequence[Event], rules: PlacementRules = PLACEMENT_RULES) -> KeyWorld:
    """Run events in a new world and return it; a broken promise raises AssertionError."""
    world = KeyWorld(rules)
    for event in events:
        world.apply(event)
    return world

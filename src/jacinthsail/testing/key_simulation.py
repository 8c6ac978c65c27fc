"""Simulates a platform, nodes and callers in memory, and applies the key decisions to them.

Events are tuples of a name and small integers. Every node decides with the queries and commands of
the real node; the simulation only delays lists, restarts processes and counts executions.
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
    record_queued,
    record_running,
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
    ReplayResponse,
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

# None stands for a call that does not finish.
TARGET_OUTCOMES = (
    Answered(200, "text/plain", b"done", 0),
    NotRun(Reason.QUEUE_FULL, 0),
    Unknown(Reason.CONNECTION_LOST, 0),
    None,
)

# The clocks of two nodes differ by at most 2 s, the allowed difference.
CLOCK_OFFSETS_MS = (0, 1_000, -1_000)

Event = tuple[Any, ...]


class PublishedList(NamedTuple):
    """One version of the VM list, and when the platform published it."""

    published_ms: int
    version: int
    entries: dict[str, VmEntry]


class KeySimulation:
    """The published VM lists, the state of each node, the keys and the executions."""

    def __init__(self, rules: PlacementRules = PLACEMENT_RULES) -> None:
        self.rules = rules
        self.now_ms = START_MS
        # Every VM was listed well before the first event.
        entries = {vm: live_entry(vm, START_MS - 100_000) for vm in VMS}
        self.history = [PublishedList(START_MS - 100_000, 1, entries)]
        self.nodes: dict[str, NodeState] = {}
        self.confirmed_ms: Counter[str] = Counter()
        self.executions: Counter[IdempotencyKey] = Counter()
        self.keys: list[IdempotencyKey] = []
        self.process_count = 0
        for vm in VMS:
            self.restart(vm)

    def restart(self, vm: str) -> None:
        """Replace the process of a VM with one that has an empty state."""
        self.process_count += 1
        offset = CLOCK_OFFSETS_MS[VMS.index(vm)]
        incarnation = f"process{self.process_count}"
        state = initial_state(simulation_settings(vm), incarnation, 0.0, self.now_ms + offset)
        self.nodes[vm] = state
        self.confirmed_ms[vm] = 0

    def publish(self, change: Callable[[dict[str, VmEntry]], object]) -> None:
        """Publish a new version of the newest list, with its entries changed by ``change``."""
        _, version, entries = self.history[-1]
        entries = dict(entries)
        change(entries)
        self.history.append(PublishedList(self.now_ms, version + 1, entries))

    def deliver(self, vm: str, lag_ms: int) -> None:
        """Deliver the list of ``lag_ms`` ago to a node, unless it has confirmed a newer time."""
        as_of_ms = max(self.now_ms - lag_ms, self.history[0][0])
        if as_of_ms < self.confirmed_ms[vm]:
            return
        self.confirmed_ms[vm] = as_of_ms
        newest = [listed for listed in self.history if listed[0] <= as_of_ms][-1]
        _, version, entries = newest
        store = self.nodes[vm]["store"]
        if version > store["newest_seen"].get(LIST_NAME, 0):
            vm_list = VmList("manila", version, as_of_ms, tuple(entries.values()))
            item = Item(LIST_NAME, version, "digest", b"")
            accept_item(store, NewVmList(item, vm_list), 0.0)
        record_confirmation(store, as_of_ms)

    def call(self, vm: str, key: IdempotencyKey, outcome: Outcome | None) -> None:
        """Send a call with a key to one node, whether or not it is the owner of the key."""
        state = self.nodes[vm]
        now_ms = self.now_ms + CLOCK_OFFSETS_MS[VMS.index(vm)]
        decision = decide_key(key, state, SERVICE, "fingerprint", now_ms, self.rules)
        apply_decision(decision, self, state["ledger"], key, outcome)

    def assert_not_executed(self, key: IdempotencyKey) -> None:
        """Check that a key for which not-run is returned was not executed."""
        assert self.executions[key] == 0, f"not-run was returned for {key}, which was executed"

    def apply(self, event: Event) -> None:
        """Apply one event."""
        name, *arguments = event
        getattr(self, "on_" + name.replace("-", "_"))(*arguments)

    def on_advance(self, delay_ms: int) -> None:
        """Advance the clock."""
        self.now_ms += delay_ms

    def on_list(self, index: int) -> None:
        """Publish a VM that is not in the list as live."""
        vm = VMS[index]
        entry = live_entry(vm, self.now_ms)
        if vm not in self.history[-1][2]:
            # A VM that is listed again after its removal runs a new process.
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
        """Deliver to one node the list that the platform held ``lag_ms`` ago."""
        self.deliver(VMS[index], lag_ms)

    def on_deliver_all(self, lag_ms: int) -> None:
        """Deliver to every node the list that the platform held ``lag_ms`` ago."""
        for vm in VMS:
            self.deliver(vm, lag_ms)

    def on_restart(self, index: int) -> None:
        """Restart the process of a VM."""
        self.restart(VMS[index])

    def on_pause(self, index: int) -> None:
        """Let a node detect that its process was paused."""
        observe_clock(self.nodes[VMS[index]], Paused(3.0), 0.0, self.now_ms)

    def on_new_key(self, offset_ms: int) -> None:
        """Create a timed key, as a caller does."""
        created_at_ms = self.now_ms + offset_ms
        value = (created_at_ms << 80) | (7 << 76) | (2 << 62) | len(self.keys)
        self.keys.append(TimedKey(str(UUID(int=value)), created_at_ms))

    def on_issue_key(self, issuer: int, owner: int) -> None:
        """Let a node issue a key whose owner is a given VM."""
        ledger = self.nodes[VMS[issuer]]["ledger"]
        incarnation = self.nodes[VMS[owner]]["ledger"]["incarnation"]
        key = next_issued_key(ledger, VMS[owner], incarnation, self.now_ms)
        record_issued(ledger, key)
        self.keys.append(key)

    def on_call(self, index: int, key_index: int, outcome_index: int) -> None:
        """Send a call with one of the newest keys to one node."""
        if key_index < len(self.keys):
            self.call(VMS[index], self.keys[-1 - key_index], TARGET_OUTCOMES[outcome_index])

    def on_call_everywhere(self, key_index: int, outcome_index: int) -> None:
        """Send a call with one of the newest keys to every node."""
        for index in range(len(VMS)):
            self.on_call(index, key_index, outcome_index)

    def on_interrupt(self, index: int) -> None:
        """Interrupt every call in the ledger of a node."""
        ledger = self.nodes[VMS[index]]["ledger"]
        for key in list(ledger["entries"]):
            record_interrupted(ledger, key)


@singledispatch
def apply_decision(
    decision: object,
    simulation: KeySimulation,
    ledger: LedgerState,
    key: IdempotencyKey,
    outcome: Outcome | None,
) -> None:
    """Apply what a node decided for a key; with KeyUnknown there is nothing to check."""


@apply_decision.register
def _(
    decision: RunKey,
    simulation: KeySimulation,
    ledger: LedgerState,
    key: IdempotencyKey,
    outcome: Outcome | None,
) -> None:
    record_queued(ledger, key, "fingerprint")
    execute_key(outcome, simulation, ledger, key)


@apply_decision.register
def _(
    decision: RefuseKey,
    simulation: KeySimulation,
    ledger: LedgerState,
    key: IdempotencyKey,
    outcome: Outcome | None,
) -> None:
    simulation.assert_not_executed(key)


@apply_decision.register
def _(
    decision: ReplayResponse,
    simulation: KeySimulation,
    ledger: LedgerState,
    key: IdempotencyKey,
    outcome: Outcome | None,
) -> None:
    assert (
        simulation.executions[key] == 1
    ), f"a response was replayed for {key}, which was not executed"


@singledispatch
def execute_key(
    outcome: Any, simulation: KeySimulation, ledger: LedgerState, key: IdempotencyKey
) -> None:
    """Execute the call of a key; without an outcome its ledger entry stays in the running state."""
    record_running(ledger, key)
    simulation.executions[key] += 1
    assert simulation.executions[key] <= 1, f"{key} ran more than once"
    if outcome is not None:
        record_outcome(ledger, key, outcome)


@execute_key.register
def _(outcome: NotRun, simulation: KeySimulation, ledger: LedgerState, key: IdempotencyKey) -> None:
    record_outcome(ledger, key, outcome)
    simulation.assert_not_executed(key)


def live_entry(vm: str, listed_at_ms: int) -> VmEntry:
    """Return the VM list entry of a live VM."""
    return VmEntry(
        vm, "127.0.0.1", 1, 2, "manila", "luzon", SERVICE, VmStatus.LIVE, listed_at_ms, None
    )


def simulation_settings(vm: str) -> NodeSettings:
    """Return the settings of the node of a VM."""
    return node_settings(
        vm=vm,
        failure_domain="manila",
        region="luzon",
        service=SERVICE,
        ledger_entries=LEDGER_ENTRIES,
    )


def run_events(events: Sequence[Event], rules: PlacementRules = PLACEMENT_RULES) -> KeySimulation:
    """Apply events to a new simulation and return it.

    AssertionError is raised when a key is executed twice or a reported outcome is false.
    """
    simulation = KeySimulation(rules)
    for event in events:
        simulation.apply(event)
    return simulation

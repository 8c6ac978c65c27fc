"""Measures the cost of single control steps of one node at the size the system is designed for.

    python -m jacinthsail.testing.measure_control

The process holds a document of 220 sections and 11 VM lists of 273 entries and opens no
connections.
"""

import json
import os
import statistics
import time
from collections.abc import Callable
from typing import NamedTuple

from absl import app
from returns.result import Success

from jacinthsail.internal.adapters.wire import LENGTH_PREFIX, decode_payload, encode_frame
from jacinthsail.internal.commands.idempotency import record_outcome, record_queued
from jacinthsail.internal.commands.replication import accept_item
from jacinthsail.internal.model.calls import Answered
from jacinthsail.internal.model.idempotency import IssuedKey
from jacinthsail.internal.model.messages import ItemCopy, ItemRequest, Message, VersionOffer
from jacinthsail.internal.model.replication import Item
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.documents import content_digest
from jacinthsail.internal.queries.initial import initial_state
from jacinthsail.internal.queries.membership import gossip_peers, is_watcher
from jacinthsail.internal.queries.replication import (
    current_heartbeat,
    decide_item,
    decide_item_request,
    item_offer,
    known_versions,
)
from jacinthsail.testing.measure_replication import (
    TARGET_DOMAINS,
    TARGET_SECTIONS,
    TARGET_VMS_PER_DOMAIN,
    full_section_text,
    resident_mb,
    vacant_entry,
)
from jacinthsail.testing.node_settings import node_settings

REPETITIONS = 50

# The default number of keys that a node stores, with responses that fill their limit of 32 MB.
LEDGER_KEYS = 50_000
LEDGER_RESPONSE_BYTES = 640


class StepCost(NamedTuple):
    """CPU time of one step in microseconds, over its repetitions."""

    step: str
    median_us: float
    max_us: float


def vm_list_text(domain: str, region: str, last_number: int) -> str:
    """Return a VM list in which only the last entry depends on the argument."""
    entries = []
    for number in [*range(TARGET_VMS_PER_DOMAIN - 1), last_number]:
        entry = vacant_entry(domain, region, number, 0)
        del entry["leaving_at_ms"]
        entries.append(entry | {"status": "live"})
    return json.dumps({"failure_domain": domain, "vms": entries})


def item_of(name: str, version: int, text: str) -> Item:
    """Return a published item."""
    body = text.encode()
    return Item(name, version, content_digest(body), body, 1)


def full_state() -> NodeState:
    """Return the state of a node with the document and the VM lists of the target size."""
    domain, region = TARGET_DOMAINS[0]
    settings = node_settings(
        vm=f"{domain}-vacant-0",
        failure_domain=domain,
        region=region,
        service="service-0",
        ledger_entries=LEDGER_KEYS,
    )
    state = initial_state(settings, "incarnation", 0.0, 0)
    for number in range(TARGET_SECTIONS):
        install(state, item_of(f"section/{number}", 1, full_section_text(number, 80)))
    for domain, region in TARGET_DOMAINS:
        text = vm_list_text(domain, region, TARGET_VMS_PER_DOMAIN)
        install(state, item_of(f"vms/{domain}", 1, text))
    return state


def install(state: NodeState, item: Item) -> None:
    """Decide on one copy of an item and apply it."""
    accept_item(state["store"], decide_item(state["store"], item), 0.0)


def step_cost(step: str, run: Callable[[int], object]) -> StepCost:
    """Return the cost of a step; ``run`` gets the number of the repetition."""
    times_us = []
    for number in range(REPETITIONS):
        started_at = time.process_time_ns()
        run(number)
        times_us.append((time.process_time_ns() - started_at) / 1000)
    return StepCost(step, statistics.median(times_us), max(times_us))


def step_costs(state: NodeState) -> list[StepCost]:
    """Return the costs of the steps for changes and heartbeats."""
    store = state["store"]
    domain, region = TARGET_DOMAINS[0]
    sections = []
    lists = []
    for number in range(REPETITIONS):
        sections.append(item_of("section/7", 2 + number, full_section_text(7, 81 + number)))
        text = vm_list_text(domain, region, 1000 + number)
        lists.append(item_of(f"vms/{domain}", 2 + number, text))
    heartbeat = encode_frame(current_heartbeat(state))
    copy = encode_frame(ItemCopy(sections[0]))
    offer = VersionOffer(known_versions(store), complete=True)
    return [
        step_cost("install a changed section", lambda number: install(state, sections[number])),
        step_cost("install a changed VM list", lambda number: install(state, lists[number])),
        step_cost("choose gossip peers", lambda _: gossip_peers(store, state["settings"])),
        step_cost("decide whether to watch", lambda _: is_watcher(store, state["settings"])),
        step_cost("make and encode a heartbeat", lambda _: encode_frame(current_heartbeat(state))),
        step_cost("decode a heartbeat", lambda _: decode_frame(heartbeat)),
        step_cost("encode a section copy", lambda _: encode_frame(ItemCopy(sections[0]))),
        step_cost("decode a section copy", lambda _: decode_frame(copy)),
        step_cost("encode a complete offer", lambda _: encode_frame(offer)),
        step_cost("compare a complete offer", lambda _: decide_item_request(store, offer)),
    ]


def decode_frame(frame: bytes) -> Message:
    """Return the message of a frame."""
    match decode_payload(frame[LENGTH_PREFIX.size :], "measurement"):
        case Success(result):
            message: Message = result
            return message
    raise AssertionError("a frame made here can be decoded")


def frame_sizes(state: NodeState) -> dict[str, int]:
    """Return the sizes of the frames that control sends, in bytes."""
    store = state["store"]
    section = store["items"]["section/7"]
    vm_list = store["items"][f"vms/{TARGET_DOMAINS[0][0]}"]
    messages: dict[str, Message] = {
        "heartbeat": current_heartbeat(state),
        "offer of one item": item_offer(section),
        "request for one item": ItemRequest((section.name,)),
        "section copy": ItemCopy(section),
        "VM list copy": ItemCopy(vm_list),
        "complete offer": VersionOffer(known_versions(store), complete=True),
        "empty reply to an offer": VersionOffer((), complete=False, is_reply=True),
    }
    return {name: len(encode_frame(message)) for name, message in messages.items()}


def fill_ledger(state: NodeState) -> None:
    """Record a response for the default number of keys that a node stores."""
    ledger = state["ledger"]
    for number in range(LEDGER_KEYS):
        key = IssuedKey("vm-1", f"{number:032x}", f"{number:032x}", number)
        record_queued(ledger, key, f"{number:032x}")
        record_outcome(ledger, key, Answered(200, "text/plain", bytes(LEDGER_RESPONSE_BYTES), 0))


def run(_argv: list[str]) -> None:
    """Measure and print the tables of costs and frame sizes, and the memory of the ledger."""
    state = full_state()
    print("| step | CPU time, us (median / max) |")
    print("| --- | --- |")
    for cost in step_costs(state):
        print(f"| {cost.step} | {cost.median_us:.0f} / {cost.max_us:.0f} |")
    print("| frame | bytes |")
    print("| --- | --- |")
    for name, size in frame_sizes(state).items():
        print(f"| {name} | {size} |")
    items = state["store"]["items"].values()
    print(f"bodies: {sum(len(item.body) for item in items)} bytes in {len(items)} items")
    before_mb = resident_mb(os.getpid())
    fill_ledger(state)
    entries = len(state["ledger"]["entries"])
    print(
        f"ledger: {resident_mb(os.getpid()) - before_mb:.1f} MB for {entries} keys with responses"
    )


def main() -> None:
    """Run the measurement."""
    app.run(run)


if __name__ == "__main__":
    main()

"""Measures single steps of one node on the users' platform at several sizes of the fleet.

    python -m jacinthsail.testing.measure_fleet

The process opens no connections. Each size has as many published targets, spread over 11 failure
domains and 20 services.
"""

import json
import statistics
import time
from collections.abc import Callable
from random import Random

from absl import app

from jacinthsail.internal.adapters.wire import LENGTH_PREFIX, decode_payload, encode_frame
from jacinthsail.internal.commands.fleet import install_manifest
from jacinthsail.internal.commands.store_copy import record_copied, record_items
from jacinthsail.internal.commands.store_reading import apply_changes
from jacinthsail.internal.model.caps import GrantStatus
from jacinthsail.internal.model.document import Execution
from jacinthsail.internal.model.fleet import FleetState, NodeLocation
from jacinthsail.internal.model.manifest import Branch, ClientLimits, Manifest, RoutePolicy
from jacinthsail.internal.model.messages import FreshnessReply, StoreReport, TokenGrant
from jacinthsail.internal.model.request_state import RequestInfo, RequestState
from jacinthsail.internal.model.settings import Endpoint
from jacinthsail.internal.model.store import PublishedItem, StoreCopy, StoreDelta, StoreSnapshot
from jacinthsail.internal.queries.caps import home_of, possible_homes
from jacinthsail.internal.queries.fleet_view import new_fleet
from jacinthsail.internal.queries.new_requests import new_request_state
from jacinthsail.internal.queries.store_copy import items_to_apply, new_store_copy
from jacinthsail.internal.queries.store_sources import reader_order
from jacinthsail.internal.queries.target_choice import choose_target, failure_rate_elsewhere
from jacinthsail.platform.store import PlatformStore

SIZES = (100, 200, 800, 3000)
DOMAINS = 11
SERVICES = 20
REPETITIONS = 30
CALLS = 200

LOCATION = NodeLocation("node", "10.0.0.1", "domain-0", "region-0", "service-0", 8000)
ROUTE = RoutePolicy(
    "route", "h.example", "/a/", (Branch("service-1", 1.0),), Execution.REPEATABLE, 2.0, 0.5, 1, 2
)
LIMITS = ClientLimits(16384, 1 << 20, 3.0, 15.0)


def published_items(count: int) -> tuple[PublishedItem, ...]:
    """Return the entries of a number of targets, as the store publishes them."""
    items = []
    for number in range(count):
        entry = {
            "service": f"service-{number // DOMAINS % SERVICES}",
            "address": f"10.{number // 62500}.{number // 250 % 250}.{number % 250 + 2}:8000",
            "zone": f"domain-{number % DOMAINS}",
            "version": "v1",
            "concurrency": 30,
            "state": "ready",
            "warmupLeft": "0ms",
            "sequence": 1,
        }
        items.append(PublishedItem(f"servers/i-{number}", number + 1, json.dumps(entry).encode()))
    return tuple(items)


def regions() -> dict[str, str]:
    """Return the region of each failure domain."""
    return {f"domain-{number}": f"region-{number % 3}" for number in range(DOMAINS)}


def read_list(store: PlatformStore, snapshot: StoreSnapshot) -> tuple[StoreCopy, FleetState]:
    """Return the copy and the fleet after a node has read a list of targets."""
    copy = new_store_copy()
    fleet = new_fleet(LOCATION)
    install_manifest(fleet, Manifest(1, (ROUTE,), {}, LIMITS))
    items = items_to_apply(snapshot, copy)
    changes = [store.decode(item) for item in items]
    record_items(copy, items)
    record_copied(snapshot, copy)
    apply_changes(changes, fleet, 0.0)
    return copy, fleet


def request_state() -> RequestState:
    """Return the state of a request that has just arrived."""
    info = RequestInfo("r-1", "", "GET", b"/a/x", "h.example", "/a/x", None)
    return new_request_state(info, ROUTE, "service-1", 3, 0.0, 2.0)


def median_us(run: Callable[[], object], calls: int = 1) -> float:
    """Return the median processor time of one call in microseconds."""
    times_us = []
    for _ in range(REPETITIONS):
        started_at = time.process_time_ns()
        for _ in range(calls):
            run()
        times_us.append((time.process_time_ns() - started_at) / 1000 / calls)
    return statistics.median(times_us)


def step_costs(count: int) -> dict[str, float]:
    """Return the costs of the steps at one size, in microseconds."""
    store = PlatformStore(Endpoint("127.0.0.1", 1), regions())
    snapshot = StoreSnapshot(published_items(count), count)
    copy, fleet = read_list(store, snapshot)
    changed = snapshot.items[count // 2]._replace(revision=count + 1)
    update = StoreDelta((changed,), count, count + 1)
    report = StoreReport(update, True, None)
    frame = encode_frame(report)[LENGTH_PREFIX.size :]
    random = Random(1)
    state = request_state()

    hosts = possible_homes(fleet)
    probe = FreshnessReply(1, 0, count, 0.5)
    probe_frame = encode_frame(probe)[LENGTH_PREFIX.size :]
    grant = TokenGrant("account-1", 1, 0.0, GrantStatus.GRANTED)
    grant_frame = encode_frame(grant)[LENGTH_PREFIX.size :]

    def apply_change() -> None:
        items = items_to_apply(update, copy)
        apply_changes([store.decode(item) for item in items], fleet, 0.0)

    return {
        "read the list": median_us(lambda: read_list(store, snapshot)),
        "apply one changed entry": median_us(apply_change, CALLS),
        "order the possible readers": median_us(lambda: reader_order(fleet)),
        "encode a report of one entry": median_us(lambda: encode_frame(report), CALLS),
        "decode a report of one entry": median_us(lambda: decode_payload(frame, "peer"), CALLS),
        "choose a target": median_us(
            lambda: choose_target(fleet, LOCATION, state, 0.0, random), CALLS
        ),
        "list the possible homes of accounts": median_us(lambda: possible_homes(fleet)),
        "find the home of an account": median_us(lambda: home_of("account-1", hosts)),
        "encode a proof of freshness": median_us(lambda: encode_frame(probe), CALLS),
        "decode a proof of freshness": median_us(
            lambda: decode_payload(probe_frame, "peer"), CALLS
        ),
        "encode a grant of tokens": median_us(lambda: encode_frame(grant), CALLS),
        "decode a grant of tokens": median_us(lambda: decode_payload(grant_frame, "peer"), CALLS),
        "compare failure rates": median_us(
            lambda: failure_rate_elsewhere(fleet, state, 0.0), CALLS
        ),
    }


def run(_argv: list[str]) -> None:
    """Measure and print a table with one column for each size."""
    costs = [step_costs(count) for count in SIZES]
    print("| step, CPU time in us | " + " | ".join(str(size) for size in SIZES) + " |")
    print("| --- " * (len(SIZES) + 1) + "|")
    for step in costs[0]:
        print(f"| {step} | " + " | ".join(f"{cost[step]:.1f}" for cost in costs) + " |")


def main() -> None:
    """Run the measurement."""
    app.run(run)


if __name__ == "__main__":
    main()

"""Counters and latency histograms of requests, cheap to update and rendered on demand."""

import collections
from bisect import bisect_left
from typing import NamedTuple

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.held_memory import HeldMemory
from jacinthsail.internal.model.peers import TrafficState
from jacinthsail.internal.model.store import StoreReadState
from jacinthsail.internal.model.store_sources import StoreRole, StoreSources
from jacinthsail.internal.model.target_queue import TargetQueue
from jacinthsail.internal.model.work import WorkKind
from jacinthsail.internal.queries.fleet_view import manifest_version

# Upper bounds of the latency buckets; they range from a fast lookup to the longest timeout.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class AccountFigures(NamedTuple):
    """What a node knows about accounts; ``listed`` is None if callers have none.

    ``buckets`` is the number of accounts that the node is home to. ``outcomes`` counts the requests
    that were refused or ran without a token, by account and reason.
    """

    listed: int | None
    buckets: int
    knowledge_age_s: float
    era: int
    outcomes: collections.Counter[tuple[str, str]]


class RequestMetrics:
    """Counts the requests of a node and their latencies."""

    def __init__(self) -> None:
        self.outcomes: collections.Counter[tuple[str, int, Reason]] = collections.Counter()
        self.latencies: dict[str, list[int]] = {}
        self.latency_sums: collections.Counter[str] = collections.Counter()

    def count(self, route: str, status: int, reason: Reason, latency_s: float) -> None:
        """Count a request by its final response; status 0 means that the caller disconnected."""
        self.outcomes[route, status, reason] += 1
        buckets = self.latencies.get(route)
        if buckets is None:
            buckets = self.latencies[route] = [0] * (len(LATENCY_BUCKETS_S) + 1)
        buckets[bisect_left(LATENCY_BUCKETS_S, latency_s)] += 1
        self.latency_sums[route] += latency_s  # type: ignore[assignment]

    def page(
        self,
        fleet: FleetState,
        queue: TargetQueue,
        reading: StoreReadState,
        sources: StoreSources,
        traffic: TrafficState,
        accounts: AccountFigures,
        memory: dict[str, HeldMemory],
    ) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its headers."""
        registry = Registry()
        if accounts.listed is not None:
            _render_accounts(registry, accounts)
        requests = Counter(
            "jacinthsail_requests", "Requests by route, status and reason", registry=registry
        )
        for (route, status, reason), count in self.outcomes.items():
            requests.set({"route": route, "status": str(status), "reason": reason.value}, count)
        self._render_latencies(registry)
        _render_memory(registry, memory)
        gauges = {
            "in_flight": ("Requests in flight at the local target", queue["in_flight"]),
            "queued": ("Requests queued for the local target", len(queue["waiting_by_ticket"])),
            "limit": ("Concurrency limit of the local target", queue["slots"]),
            "new_limit": (
                "Concurrency limit of the local target for new requests",
                queue["work_queues"][WorkKind.NEW]["limit"],
            ),
            "new_shed_share": (
                "Share of new requests that failed because a nested call was shed",
                queue["work_queues"][WorkKind.NEW]["shed_share"],
            ),
            "targets": ("Published targets", len(fleet["targets"])),
            "store_reads": ("Reads of the platform's store that got a response", reading["reads"]),
            "store_reader": (
                "1 if this node reads the store",
                int(sources["role"] is not StoreRole.FOLLOWER),
            ),
            "store_sources": ("Nodes that this node follows", len(sources["sources"])),
            "store_followers": ("Nodes that follow this one", sources["followers"]),
            "control_bytes_sent": (
                "Bytes of control messages sent to other nodes",
                traffic["control_bytes_sent"],
            ),
            "control_bytes_received": (
                "Bytes of control messages received from other nodes",
                traffic["control_bytes_received"],
            ),
            "manifest_version": ("Version of the manifest in force", manifest_version(fleet)),
            "store_era": ("How often the store has gone back to an older state", accounts.era),
        }
        for name, (doc, value) in gauges.items():
            Gauge(f"jacinthsail_{name}", doc, registry=registry).set({}, value)
        return render(registry, ["text/plain"])

    def _render_latencies(self, registry: Registry) -> None:
        buckets = Counter(
            "jacinthsail_request_seconds_bucket",
            "Requests by route and latency bucket",
            registry=registry,
        )
        sums = Counter(
            "jacinthsail_request_seconds_sum",
            "Total latency in seconds, by route",
            registry=registry,
        )
        counts = Counter(
            "jacinthsail_request_seconds_count", "Requests by route", registry=registry
        )
        for route, numbers in self.latencies.items():
            total = 0
            for bound, number in zip((*LATENCY_BUCKETS_S, "+Inf"), numbers, strict=True):
                total += number
                buckets.set({"route": route, "le": str(bound)}, total)
            sums.set({"route": route}, self.latency_sums[route])
            counts.set({"route": route}, total)


def _render_memory(registry: Registry, memory: dict[str, HeldMemory]) -> None:
    held = Gauge("jacinthsail_held_bytes", "Bytes held, by kind of client", registry=registry)
    evicted = Counter(
        "jacinthsail_evicted", "Connections closed to hold no more memory", registry=registry
    )
    for kind, one in memory.items():
        held.set({"kind": kind}, one["held"])
        evicted.set({"kind": kind}, one["evicted"])


def _render_accounts(registry: Registry, accounts: AccountFigures) -> None:
    gauges = {
        "accounts": ("Accounts in the manifest in force", float(accounts.listed or 0)),
        "cap_buckets": ("Accounts whose requests this node counts", float(accounts.buckets)),
        "knowledge_age_s": (
            "Largest possible age of what this node knows of the store, in seconds",
            accounts.knowledge_age_s,
        ),
    }
    for name, (doc, value) in gauges.items():
        Gauge(f"jacinthsail_{name}", doc, registry=registry).set({}, value)
    outcomes = Counter(
        "jacinthsail_account_requests",
        "Requests that were refused for their account or ran without a token",
        registry=registry,
    )
    for (account, outcome), count in accounts.outcomes.items():
        outcomes.set({"account": account, "outcome": outcome}, count)

"""Counters and latency histograms of requests, kept cheap and rendered on demand."""

import collections
from bisect import bisect_left

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.store import ReadingState
from jacinthsail.internal.model.target_queue import BacklogState, WorkKind
from jacinthsail.internal.queries.fleet_view import manifest_version

# Upper bounds of the latency buckets, in seconds; they span a fast lookup and the longest time-out.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class RequestMetrics:
    """What a node counts of its requests."""

    def __init__(self) -> None:
        self.outcomes: collections.Counter[tuple[str, int, Reason]] = collections.Counter()
        self.latencies: dict[str, list[int]] = {}
        self.latency_sums: collections.Counter[str] = collections.Counter()

    def count(self, route: str, status: int, reason: Reason, took_s: float) -> None:
        """Count one request with its final answer; status 0 means that the caller went away."""
        self.outcomes[route, status, reason] += 1
        buckets = self.latencies.get(route)
        if buckets is None:
            buckets = self.latencies[route] = [0] * (len(LATENCY_BUCKETS_S) + 1)
        buckets[bisect_left(LATENCY_BUCKETS_S, took_s)] += 1
        self.latency_sums[route] += took_s  # type: ignore[assignment]

    def page(
        self, fleet: FleetState, backlog: BacklogState, reading: ReadingState
    ) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its headers."""
        registry = Registry()
        requests = Counter(
            "jacinthsail_requests", "Requests by route, status and reason", registry=registry
        )
        for (route, status, reason), count in self.outcomes.items():
            requests.set({"route": route, "status": str(status), "reason": reason.value}, count)
        self._render_latencies(registry)
        gauges = {
            "in_flight": ("Requests at the own target", backlog["in_flight"]),
            "queued": ("Requests that wait for the own target", len(backlog["tickets"])),
            "limit": ("Requests that may be at the own target", backlog["slots"]),
            "new_limit": (
                "New requests that may be at the own target",
                backlog["lanes"][WorkKind.NEW]["limit"],
            ),
            "new_shed_share": (
                "Share of new requests that failed for want of room further on",
                backlog["lanes"][WorkKind.NEW]["shed_share"],
            ),
            "targets": ("Targets that are published", len(fleet["targets"])),
            "store_reads": ("Answered reads of the platform's store", reading["reads"]),
            "manifest_version": ("Version of the manifest in force", manifest_version(fleet)),
        }
        for name, (doc, value) in gauges.items():
            Gauge(f"jacinthsail_{name}", doc, registry=registry).set({}, value)
        return render(registry, ["text/plain"])

    def _render_latencies(self, registry: Registry) -> None:
        buckets = Counter(
            "jacinthsail_request_seconds_bucket", "Requests by route and time", registry=registry
        )
        sums = Counter("jacinthsail_request_seconds_sum", "Seconds by route", registry=registry)
        counts = Counter("jacinthsail_request_seconds_count", "Requests", registry=registry)
        for route, numbers in self.latencies.items():
            total = 0
            for bound, number in zip((*LATENCY_BUCKETS_S, "+Inf"), numbers, strict=True):
                total += number
                buckets.set({"route": route, "le": str(bound)}, total)
            sums.set({"route": route}, self.latency_sums[route])
            counts.set({"route": route}, total)

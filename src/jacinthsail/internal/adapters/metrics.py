"""Prometheus metrics of one node."""

import collections

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from jacinthsail.internal.adapters.headers import outcome_name, outcome_reason
from jacinthsail.internal.model.calls import CallContext, Outcome
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.limits import current_limit


class NodeMetrics:
    """Counters and gauges in a separate registry, so that two nodes can share a process."""

    def __init__(self) -> None:
        self.registry = Registry()
        # The library serializes the labels on each increment, which is too slow for every call.
        self.counts: collections.Counter[tuple[str, str, str, str]] = collections.Counter()
        self.calls = Counter(
            "jacinthsail_calls",
            "Calls received by this node, by service, class, outcome and reason",
            registry=self.registry,
        )
        self.in_flight = self._gauge("in_flight", "Calls in flight at the local target")
        self.queued = self._gauge("queued", "Calls queued for the local target")
        self.limit = self._gauge("limit", "Concurrency limit of the local target")
        self.threshold = self._gauge("threshold", "Lowest rank that is admitted to the queue")
        self.peers = self._gauge("peers", "Peers known to this node")
        self.platform_reads = self._gauge(
            "platform_reads", "Reads from the platform since the start"
        )
        self.control_bytes = self._gauge(
            "control_bytes", "Bytes of control messages between nodes since the start"
        )

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"jacinthsail_{name}", doc, registry=self.registry)

    def count_call(self, context: CallContext, outcome: Outcome) -> None:
        """Count a call received by this node, by its outcome."""
        name = outcome_name(outcome)
        self.counts[context.service, context.call_class, name, outcome_reason(outcome)] += 1

    def update(self, state: NodeState) -> None:
        """Set the gauges from the state of the node."""
        for (service, call_class, name, reason), count in self.counts.items():
            labels = {"service": service, "class": call_class, "outcome": name, "reason": reason}
            self.calls.set(labels, count)
        admission = state["admission"]
        self.in_flight.set({}, len(admission["in_flight"]))
        self.queued.set({}, len(admission["queue"]))
        self.limit.set({}, current_limit(admission["limiter"]))
        self.threshold.set({}, admission["threshold"])
        self.peers.set({}, len(state["peers"]))
        self.platform_reads.set({}, state["platform"]["reads"])
        for distance, traffic in state["control"].items():
            sent = {"distance": distance.value, "direction": "sent"}
            received = {"distance": distance.value, "direction": "received"}
            self.control_bytes.set(sent, traffic["control_bytes_sent"])
            self.control_bytes.set(received, traffic["control_bytes_received"])

    def page(self, accepted: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page in a format that the client accepts, and its headers."""
        content, response_headers = render(self.registry, accepted)
        return content, response_headers

"""Simulates one target with a fixed number of slots behind one limiter, in virtual time."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from jacinthsail.internal.commands.admission import apply_service_policy
from jacinthsail.internal.model.admission import LatencySample, QueuedCall
from jacinthsail.internal.model.calls import CallContext
from jacinthsail.internal.model.document import LimitPolicy, ServicePolicy
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.limits import current_limit
from jacinthsail.internal.queries.rank import RANKS_PER_IMPORTANCE, request_rank
from jacinthsail.testing.admission_events import arrive, finish, new_run

ARRIVAL = "arrival"
DONE = "done"


# Time, sequence number, kind, and for the end of a call: the call and its send time.
Event = tuple[float, int, str, QueuedCall | None, float]


class Phase(NamedTuple):
    """Capacity of the target and load on it for a period."""

    name: str
    duration_s: float
    slots: int
    service_s: float
    calls_per_s: float


class PhaseResult(NamedTuple):
    """Results of one phase; shares are relative to the capacity.

    The capacity is the number of calls that the slots could have served, or the number of calls
    offered if that is lower.

    ``arrivals``, ``answered`` and ``unserved`` are counted by importance; an unserved call was
    rejected, dropped or late. Calls in progress at the end of the phase are in neither of the two.
    """

    name: str
    goodput_share: float
    wasted_share: float
    mean_latency_s: float
    lowest_limit: int
    last_limit: int
    highest_threshold: int
    last_threshold: int
    arrivals: Counter[int]
    answered: Counter[int]
    unserved: Counter[int]


class FakeTarget:
    """Serves calls in order of arrival with a fixed number of slots and an unbounded queue."""

    def __init__(
        self,
        policy: ServicePolicy,
        seed: int,
        importances: tuple[int, ...] = (3,),
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self.random = Random(seed)
        self.run = new_run(disabled=disabled)
        self.importances = importances
        apply_service_policy(self.run["admission"], policy, 0.0)
        self.events: list[Event] = []
        self.order = count()
        self.busy = 0
        self.waiting: list[tuple[QueuedCall, float]] = []
        self.started_count = 0
        self.now = 0.0

    def schedule(
        self, at: float, kind: str, queued: QueuedCall | None = None, sent_at: float = 0.0
    ) -> None:
        """Add an event."""
        heappush(self.events, (at, next(self.order), kind, queued, sent_at))

    def simulate(self, phase: Phase, deadline_s: float) -> PhaseResult:
        """Simulate one phase and return its result."""
        ends = self.now + phase.duration_s
        self.schedule(self.now, ARRIVAL)
        useful, wasted = 0, 0
        latencies: list[float] = []
        limits: list[int] = []
        thresholds: list[int] = []
        arrivals: Counter[int] = Counter()
        answered: Counter[int] = Counter()
        unserved: Counter[int] = Counter()
        refused_before = len(self.run["refused"])
        while self.events and self.events[0][0] < ends:
            self.now, _, kind, queued, sent_at = heappop(self.events)
            if kind == ARRIVAL or queued is None:
                importance = self.random.choice(self.importances)
                arrivals[importance] += 1
                context = self.context(importance, deadline_s)
                arrive(self.run, context, self.now)
                self.schedule(self.now + self.random.expovariate(phase.calls_per_s), ARRIVAL)
            else:
                in_time = self.now < queued.context.deadline
                useful += in_time
                wasted += not in_time
                answered[queued.context.rank // RANKS_PER_IMPORTANCE] += in_time
                unserved[queued.context.rank // RANKS_PER_IMPORTANCE] += not in_time
                latencies.append(self.now - sent_at)
                self.finish(queued, in_time, sent_at)
            self.enqueue_started()
            self.fill_slots(phase)
            limits.append(current_limit(self.run["admission"]["limiter"]))
            thresholds.append(self.run["admission"]["threshold"])
        for refused in self.run["refused"][refused_before:]:
            unserved[refused.context.rank // RANKS_PER_IMPORTANCE] += 1
        self.events = sorted(event for event in self.events if event[2] == DONE)
        self.now = ends
        capacity = phase.duration_s * min(phase.calls_per_s, phase.slots / phase.service_s)
        mean_s = sum(latencies) / max(1, len(latencies))
        return PhaseResult(
            name=phase.name,
            goodput_share=useful / capacity,
            wasted_share=wasted / capacity,
            mean_latency_s=mean_s,
            lowest_limit=min(limits),
            last_limit=limits[-1],
            highest_threshold=max(thresholds),
            last_threshold=thresholds[-1],
            arrivals=arrivals,
            answered=answered,
            unserved=unserved,
        )

    def context(self, importance: int, deadline_s: float) -> CallContext:
        """Return the context of a call that arrives at the current time."""
        request_id = f"r{next(self.order)}"
        rank = request_rank(importance, request_id)
        deadline = self.now + deadline_s
        return CallContext(request_id, "drafts", "view", "member-1", rank, 0, deadline, 2)

    def finish(self, queued: QueuedCall, in_time: bool, sent_at: float) -> None:
        """Report the end of a call to the admission state."""
        self.busy -= 1
        in_flight = len(self.run["admission"]["in_flight"])
        late = not in_time
        sample = LatencySample(self.now - sent_at, in_flight, overloaded=late, timed_out=late)
        finish(self.run, queued, sample, self.now)

    def enqueue_started(self) -> None:
        """Queue the calls that admission has sent to the target since the previous event."""
        started = self.run["started"]
        for queued in started[self.started_count :]:
            self.waiting.append((queued, self.now))
        self.started_count = len(started)

    def fill_slots(self, phase: Phase) -> None:
        """Start waiting calls in free slots."""
        while self.waiting and self.busy < phase.slots:
            queued, sent_at = self.waiting.pop(0)
            self.busy += 1
            service_s = phase.service_s * self.random.uniform(0.5, 1.5)
            self.schedule(self.now + service_s, DONE, queued, sent_at)


def service_policy_with(limit: LimitPolicy, queue_length: int = 320) -> ServicePolicy:
    """Return a service policy with a limit policy."""
    return ServicePolicy("drafts", 80, 560, queue_length, limit, {})

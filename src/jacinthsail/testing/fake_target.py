"""One fake target with a fixed number of slots, behind one limiter, in virtual time."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from jacinthsail.internal.commands.admission import apply_service_policy
from jacinthsail.internal.model.admission import QueuedCall, Sample
from jacinthsail.internal.model.calls import CallHead
from jacinthsail.internal.model.document import LimitPolicy, ServicePolicy
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.limits import limit_of
from jacinthsail.internal.queries.rank import RANKS_PER_IMPORTANCE, rank_of
from jacinthsail.testing.admission_events import arrive, finish, new_run

ARRIVAL = "arrival"
DONE = "done"


# Time, order, kind, and for the end of a call the call and when it was sent.
Event = tuple[float, int, str, QueuedCall | None, float]


class Phase(NamedTuple):
    """How the target behaves and how much is asked of it for a while."""

    name: str
    duration_s: float
    slots: int
    service_s: float
    calls_per_s: float


class PhaseResult(NamedTuple):
    """What one phase brought; shares are of the calls that the slots could have answered.

    ``asked``, ``answered`` and ``lost`` are by importance; a lost call was refused or was late.
    Calls still in progress at the end of the phase are neither answered nor lost.
    """

    name: str
    useful_share: float
    wasted_share: float
    mean_latency_s: float
    lowest_limit: int
    last_limit: int
    highest_threshold: int
    last_threshold: int
    asked: Counter[int]
    answered: Counter[int]
    lost: Counter[int]


class FakeTarget:
    """Serves calls in order of arrival with a fixed number of slots and an endless queue."""

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
        self.backlog: list[tuple[QueuedCall, float]] = []
        self.seen_starts = 0
        self.now = 0.0

    def schedule(
        self, at: float, kind: str, queued: QueuedCall | None = None, sent_at: float = 0.0
    ) -> None:
        """Add an event."""
        heappush(self.events, (at, next(self.order), kind, queued, sent_at))

    def play(self, phase: Phase, deadline_s: float) -> PhaseResult:
        """Run one phase and return its result."""
        ends = self.now + phase.duration_s
        self.schedule(self.now, ARRIVAL)
        useful, wasted = 0, 0
        latencies: list[float] = []
        limits: list[int] = []
        thresholds: list[int] = []
        asked: Counter[int] = Counter()
        answered: Counter[int] = Counter()
        lost: Counter[int] = Counter()
        refused_before = len(self.run["refused"])
        while self.events and self.events[0][0] < ends:
            self.now, _, kind, queued, sent_at = heappop(self.events)
            if kind == ARRIVAL or queued is None:
                importance = self.random.choice(self.importances)
                asked[importance] += 1
                head = self.head(importance, deadline_s)
                arrive(self.run, head, self.now)
                self.schedule(self.now + self.random.expovariate(phase.calls_per_s), ARRIVAL)
            else:
                in_time = self.now < queued.head.deadline
                useful += in_time
                wasted += not in_time
                answered[queued.head.rank // RANKS_PER_IMPORTANCE] += in_time
                lost[queued.head.rank // RANKS_PER_IMPORTANCE] += not in_time
                latencies.append(self.now - sent_at)
                self.finish(queued, in_time, sent_at)
            self.take_started()
            self.fill_slots(phase)
            limits.append(limit_of(self.run["admission"]["limiter"]))
            thresholds.append(self.run["admission"]["threshold"])
        for refused in self.run["refused"][refused_before:]:
            lost[refused.head.rank // RANKS_PER_IMPORTANCE] += 1
        self.events = sorted(event for event in self.events if event[2] == DONE)
        self.now = ends
        capacity = phase.duration_s * min(phase.calls_per_s, phase.slots / phase.service_s)
        mean_s = sum(latencies) / max(1, len(latencies))
        return PhaseResult(
            name=phase.name,
            useful_share=useful / capacity,
            wasted_share=wasted / capacity,
            mean_latency_s=mean_s,
            lowest_limit=min(limits),
            last_limit=limits[-1],
            highest_threshold=max(thresholds),
            last_threshold=thresholds[-1],
            asked=asked,
            answered=answered,
            lost=lost,
        )

    def head(self, importance: int, deadline_s: float) -> CallHead:
        """Return the head of a call that arrives now."""
        request_id = f"r{next(self.order)}"
        rank = rank_of(importance, request_id)
        deadline = self.now + deadline_s
        return CallHead(request_id, "drafts", "view", "member-1", rank, 0, deadline, 2)

    def finish(self, queued: QueuedCall, in_time: bool, sent_at: float) -> None:
        """Tell the admission state of a call that has ended."""
        self.busy -= 1
        in_flight = len(self.run["admission"]["in_flight"])
        late = not in_time
        sample = Sample(self.now - sent_at, in_flight, overloaded=late, timed_out=late)
        finish(self.run, queued, sample, self.now)

    def take_started(self) -> None:
        """Let the calls that admission has started wait for a slot."""
        started = self.run["started"]
        for queued in started[self.seen_starts :]:
            self.backlog.append((queued, self.now))
        self.seen_starts = len(started)

    def fill_slots(self, phase: Phase) -> None:
        """Start calls in free slots."""
        while self.backlog and self.busy < phase.slots:
            queued, sent_at = self.backlog.pop(0)
            self.busy += 1
            service_s = phase.service_s * self.random.uniform(0.5, 1.5)
            self.schedule(self.now + service_s, DONE, queued, sent_at)


def service_policy_with(limit: LimitPolicy, queue_length: int = 320) -> ServicePolicy:
    """Return a service policy with a limit policy."""
    return ServicePolicy("drafts", 80, 560, queue_length, limit, {})

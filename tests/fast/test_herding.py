"""Tests how many callers share the targets of one failure domain while their reports are stale."""

import heapq
import unittest
from random import Random

from jacinthsail.internal.commands.fleet import record_call_end, record_call_sent, record_load
from jacinthsail.internal.model.fleet import KindLoad, LoadReport
from jacinthsail.internal.queries.target_choice import WAIT_TOLERANCE_S, choose_target
from tests.common.fleets import LOCATION, fleet, request_state, route, target

CALLERS = 14
SLOTS = 12
# The targets of one service differ in speed.
DURATIONS_S = {"fast": 0.035, "slow-1": 0.08, "slow-2": 0.08, "slow-3": 0.08}
LOAD = 0.85
RUN_S = 20.0


class HerdingTest(unittest.TestCase):
    def simulate(self, random):
        """Return the waits of all calls in seconds.

        Calls arrive at random at the callers. Each target serves its calls in their order with its
        slots, and a caller learns the load only from replies to its own calls.
        """
        capacity = sum(SLOTS / duration_s for duration_s in DURATIONS_S.values())
        callers = [
            fleet(*(target(name, f"10.0.1.{n}") for n, name in enumerate(DURATIONS_S)))
            for _ in range(CALLERS)
        ]
        free_at = {name: [0.0] * SLOTS for name in DURATIONS_S}
        starts = {name: [] for name in DURATIONS_S}
        replies = []
        waits = []
        now = 0.0
        policy = route(target_latency_s=0.3)
        while now < RUN_S:
            now += random.expovariate(LOAD * capacity)
            while replies and replies[0][0] <= now:
                replied_at, _, caller, name = heapq.heappop(replies)
                state = callers[caller]
                record_call_end(state, name)
                duration_s = DURATIONS_S[name]
                busy = sum(1 for at in free_at[name] if at > replied_at)
                starts[name] = [start for start in starts[name] if start > replied_at]
                queued = len(starts[name])
                wait_s = 0.0 if busy < SLOTS else (queued + 1) * duration_s / SLOTS
                load = KindLoad(duration_s, wait_s)
                record_load(state, name, LoadReport(busy, queued, SLOTS, load, load), replied_at)
            caller = random.randrange(CALLERS)
            state = callers[caller]
            entry = choose_target(state, LOCATION, request_state(policy, now), now, random).entry
            record_call_sent(state, entry)
            slot_free_at = heapq.heappop(free_at[entry.incarnation])
            start = max(now, slot_free_at)
            starts[entry.incarnation].append(start)
            end = start + DURATIONS_S[entry.incarnation]
            heapq.heappush(free_at[entry.incarnation], end)
            heapq.heappush(replies, (end, len(waits), caller, entry.incarnation))
            waits.append(start - now)
        return waits

    def test_stale_reports_do_not_send_all_callers_to_the_same_target(self):
        """Half of the calls would queue at one target while others of the domain have free slots.

        With a seventh of the slots free, a call that chooses at random nearly always finds one.
        """
        for seed in range(3):
            with self.subTest(seed=seed):
                waits = sorted(self.simulate(Random(seed)))
                self.assertLess(waits[len(waits) // 2], WAIT_TOLERANCE_S)

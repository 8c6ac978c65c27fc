"""Hypothesis strategies for events of the idempotency key model."""

from hypothesis import strategies

from jacinthsail.testing.key_simulation import VMS

small = strategies.integers(0, 3)
vms = strategies.integers(0, len(VMS) - 1)
delays_ms = strategies.sampled_from((0, 500, 3_000, 8_000, 14_000, 16_000, 40_000))

EVENTS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("advance"), delays_ms),
        strategies.tuples(strategies.just("list"), vms),
        strategies.tuples(strategies.just("leave"), vms),
        strategies.tuples(strategies.just("remove"), vms),
        strategies.tuples(strategies.just("deliver"), vms, delays_ms),
        strategies.tuples(strategies.just("deliver-all"), delays_ms),
        strategies.tuples(strategies.just("restart"), vms),
        strategies.tuples(strategies.just("pause"), vms),
        strategies.tuples(strategies.just("new-key"), strategies.integers(-40_000, 5_000)),
        strategies.tuples(strategies.just("issue-key"), vms, vms),
        strategies.tuples(strategies.just("call"), vms, small, small),
        strategies.tuples(strategies.just("call-everywhere"), small, small),
        strategies.tuples(strategies.just("interrupt"), vms),
    ),
    max_size=60,
)

# One round advances the clock, changes the VM list or a process, brings some nodes up to date and
# calls every node with a new or an old key. Partitions that last for several rounds are frequent in
# rounds and rare in lists of single events.
changes = strategies.one_of(
    strategies.tuples(strategies.just("remove"), vms),
    strategies.tuples(strategies.just("leave"), vms),
    strategies.tuples(strategies.just("list"), vms),
    strategies.tuples(strategies.just("restart"), vms),
    strategies.tuples(strategies.just("new-key"), strategies.integers(-30_000, 2_000)),
)
rounds = strategies.tuples(
    strategies.sampled_from((500, 5_000, 14_000)),
    changes,
    strategies.sets(vms),
    strategies.sampled_from(((0,), (500,), (16_000,), (16_000, 3_000))),
    strategies.booleans(),
    small,
)


def events_of_rounds(drawn_rounds):
    """Return the events of some rounds as one list."""
    events = []
    for delay_ms, change, reached, lags_ms, with_new_key, ending in drawn_rounds:
        events += [("advance", delay_ms), change]
        for lag_ms in lags_ms:
            events += [("deliver", index, lag_ms) for index in sorted(reached)]
        if with_new_key:
            events.append(("new-key", 0))
        events.append(("call-everywhere", 0, ending))
    return events


ROUNDS = strategies.lists(rounds, min_size=4, max_size=12).map(events_of_rounds)

"""Tests the concurrency limiters."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.commands.admission import apply_service_policy
from jacinthsail.internal.model.admission import FixedLimit, LatencySample
from jacinthsail.internal.model.calls import Answered, NotRun, Reason, Unknown
from jacinthsail.internal.model.document import (
    AimdLimitPolicy,
    FixedLimitPolicy,
    GradientLimitPolicy,
)
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.initial import initial_admission
from jacinthsail.internal.queries.limits import (
    current_limit,
    limiter_sample,
    new_limiter,
    updated_limiter,
)
from jacinthsail.testing.fake_target import service_policy_with

POLICIES = (AimdLimitPolicy(20, 2, 80), GradientLimitPolicy(20, 2, 80))
REPEATABLE = settings(derandomize=True, print_blob=True, deadline=None, max_examples=100)

SAMPLES = st.lists(
    st.builds(
        LatencySample,
        latency_s=st.floats(0.0, 10.0),
        in_flight=st.integers(1, 500),
        overloaded=st.booleans(),
    ),
    min_size=60,
    max_size=400,
)


def after(limiter, samples, start=0.0, step_s=0.01):
    """Return the limiter after samples of calls that finish at regular intervals."""
    now = start
    for sample in samples:
        now += step_s
        limiter = updated_limiter(limiter, sample, now)
    return limiter


class LimitsTest(unittest.TestCase):
    @REPEATABLE
    @given(policy=st.sampled_from(POLICIES), samples=SAMPLES)
    def test_limit_stays_within_its_bounds(self, policy, samples):
        """A limit of 0 would never admit a call again; one above its slots would cause queueing."""
        limiter = new_limiter(policy, 0.0)
        for number, sample in enumerate(samples):
            limiter = updated_limiter(limiter, sample, number * 0.5)
            self.assertLessEqual(policy.minimum, current_limit(limiter))
            self.assertLessEqual(current_limit(limiter), policy.maximum)

    @REPEATABLE
    @given(
        policy=st.sampled_from(POLICIES),
        in_flight=st.integers(1, 15),
        latencies=st.lists(st.floats(0.001, 5.0), min_size=100, max_size=400),
    )
    def test_unused_limit_does_not_grow(self, policy, in_flight, latencies):
        """A limit that grows while idle would not limit the first burst."""
        samples = [LatencySample(latency, in_flight, False) for latency in latencies]
        limiter = after(new_limiter(policy, 0.0), samples)
        self.assertLessEqual(current_limit(limiter), policy.initial)

    def test_used_limit_ramps_up_from_its_initial_value(self):
        """A limit that never grows would leave a cold target's slots unused."""
        for policy in POLICIES:
            limiter = new_limiter(policy, 0.0)
            with self.subTest(policy=policy):
                self.assertEqual(current_limit(limiter), policy.initial)
                for number in range(10_000):
                    sample = LatencySample(0.05, current_limit(limiter), False)
                    limiter = updated_limiter(limiter, sample, number * 0.002)
                    if current_limit(limiter) == policy.maximum:
                        break
                self.assertEqual(current_limit(limiter), policy.maximum)

    def test_refusals_by_the_target_lower_the_limit(self):
        """A target that refuses calls must not be sent as many again."""
        for policy in POLICIES:
            with self.subTest(policy=policy):
                samples = [LatencySample(0.001, 20, overloaded=True)] * 200
                limiter = after(new_limiter(policy, 0.0), samples)
                self.assertEqual(current_limit(limiter), policy.minimum)

    def test_one_failed_call_does_not_lower_the_limit(self):
        """A single lost connection is not a sign of overload."""
        for policy in POLICIES:
            with self.subTest(policy=policy):
                samples = [LatencySample(0.05, 20, False)] * 39 + [LatencySample(0.05, 20, True)]
                limiter = after(new_limiter(policy, 0.0), samples)
                self.assertGreaterEqual(current_limit(limiter), policy.initial)

    def test_call_with_too_little_time_does_not_lower_the_limit(self):
        """Otherwise deep calls with a few ms of remaining time would block a healthy target."""
        for policy in POLICIES:
            with self.subTest(policy=policy):
                samples = [LatencySample(0.05, 20, False)] * 40
                samples += [LatencySample(0.005, 20, overloaded=True, timed_out=True)] * 400
                limiter = after(new_limiter(policy, 0.0), samples)
                self.assertGreaterEqual(current_limit(limiter), policy.initial)

    def test_calls_that_time_out_late_lower_the_limit(self):
        """A target that no longer responds in time must not be sent as many calls again."""
        for policy in POLICIES:
            with self.subTest(policy=policy):
                samples = [LatencySample(0.05, 20, False)] * 40
                samples += [LatencySample(0.5, 20, overloaded=True, timed_out=True)] * 400
                limiter = after(new_limiter(policy, 0.0), samples)
                self.assertEqual(current_limit(limiter), policy.minimum)

    def test_cancelled_call_gives_no_sample(self):
        """The time until a caller cancelled is not a sample of the target's latency."""
        self.assertIsNone(limiter_sample(None, 0.001, 3))

    def test_overload_is_derived_from_the_outcome(self):
        """Refusals and timeouts indicate overload; other responses, even errors, do not."""
        cases = (
            (Answered(200, "", b"", 0), False),
            (Answered(500, "", b"", 0), False),
            (Answered(429, "", b"", 0), True),
            (Answered(503, "", b"", 0), True),
            (NotRun(Reason.TARGET_REFUSED, 0), True),
            (Unknown(Reason.DEADLINE_EXPIRED, 0), True),
        )
        for outcome, overloaded in cases:
            with self.subTest(outcome=outcome):
                self.assertEqual(limiter_sample(outcome, 0.1, 1).overloaded, overloaded)


class PolicyTest(unittest.TestCase):
    def setUp(self):
        self.admission = initial_admission(0.0, frozenset())

    def test_same_policy_keeps_the_limiter(self):
        """Every published item would otherwise reset the limiter to its initial limit."""
        policy = service_policy_with(GradientLimitPolicy(20, 1, 80))
        apply_service_policy(self.admission, policy, 0.0)
        learned = self.admission["limiter"]._replace(limit=60.0)
        self.admission["limiter"] = learned
        apply_service_policy(self.admission, policy._replace(queue_length=7), 1.0)
        self.assertIs(self.admission["limiter"], learned)
        self.assertEqual(self.admission["queue_length"], 7)

    def test_changed_policy_replaces_the_limiter(self):
        """A team's edit of its limiter must take effect."""
        apply_service_policy(
            self.admission, service_policy_with(GradientLimitPolicy(20, 1, 80)), 0.0
        )
        apply_service_policy(self.admission, service_policy_with(FixedLimitPolicy(5)), 1.0)
        self.assertEqual(self.admission["limiter"], FixedLimit(5))

    def test_without_adaptive_limits_only_connections_bound_the_calls(self):
        """Control runs of adaptive-limit scenarios must not use an adaptive limiter."""
        admission = initial_admission(0.0, frozenset({Mechanism.ADAPTIVE_LIMIT}))
        apply_service_policy(admission, service_policy_with(GradientLimitPolicy(20, 1, 80)), 0.0)
        self.assertEqual(admission["limiter"], FixedLimit(560))

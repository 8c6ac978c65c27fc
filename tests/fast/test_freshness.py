import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthsail.internal.commands.freshness import (
    record_knowledge,
    record_probe,
    record_probe_reply,
)
from jacinthsail.internal.queries.freshness import (
    PROBE_TIMEOUT_S,
    is_probe_due,
    knowledge_age_s,
    new_freshness,
    proven_as_of,
    proves_keys,
)

REVOCATION_S = 5.0

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=300)

# Each step: what happens, and how long after the step before.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["read", "lose read", "probe", "reply", "deliver", "drop", "pause"]),
        st.floats(0.0, 4.0),
    ),
    max_size=60,
)


class FreshnessTest(unittest.TestCase):
    """Load: keys are withdrawn while readers freeze, links hold messages up and nodes pause."""

    def test_node_that_has_read_nothing_proves_nothing(self):
        """A node that has just started would admit a key that was withdrawn long ago."""
        self.assertFalse(proves_keys(new_freshness(REVOCATION_S), 1000.0))

    def test_proof_ends_before_the_bound(self):
        """A key that was withdrawn right after the last read would run after the bound."""
        state = new_freshness(REVOCATION_S)
        record_knowledge(state, 100.0)
        self.assertTrue(proves_keys(state, 104.9))
        self.assertFalse(proves_keys(state, 105.0))

    def test_without_a_bound_no_proof_is_needed(self):
        """A node that is cut off from the store must serve on where no bound is set."""
        self.assertTrue(proves_keys(new_freshness(None), 1000.0))

    def test_reply_that_was_held_up_proves_no_more_than_its_probe(self):
        """After a partition, a reply from its beginning would pass for fresh."""
        state = new_freshness(REVOCATION_S)
        record_probe(state, "10.0.0.2", 100.0)
        self.assertEqual(proven_as_of(state, "10.0.0.2", 1, 0.5), 99.5)
        for age_s in (-1.0, float("nan"), 1e9):
            self.assertIsNone(proven_as_of(state, "10.0.0.2", 1, age_s))
        self.assertIsNone(proven_as_of(state, "10.0.0.3", 1, 0.5))
        record_probe(state, "10.0.0.2", 130.0)
        self.assertIsNone(proven_as_of(state, "10.0.0.2", 1, 0.5))

    def test_probe_of_a_slow_source_is_not_replaced_at_once(self):
        """A source whose replies take longer than the interval would never prove anything."""
        state = new_freshness(REVOCATION_S)
        record_probe(state, "10.0.0.2", 100.0)
        self.assertFalse(is_probe_due(state, "10.0.0.2", 101.0))
        self.assertTrue(is_probe_due(state, "10.0.0.2", 100.0 + PROBE_TIMEOUT_S))
        record_probe_reply(state, "10.0.0.2")
        self.assertTrue(is_probe_due(state, "10.0.0.2", 101.0))

    @DETERMINISTIC
    @given(STEPS)
    def test_no_order_of_events_proves_knowledge_that_is_older(self, steps):
        """A withdrawn key would be admitted after the bound.

        The node knows what its reader knew when it replied. A withdrawal after the time at which
        the reader asked for its last read may be unknown to it.
        """
        reader = new_freshness(None)
        node = new_freshness(REVOCATION_S)
        now = 100.0
        # True time as of which the reader, and the node, know the store.
        reader_knows = node_knows = float("-inf")
        probes, replies = [], []
        for action, pause_s in steps:
            now += pause_s
            if action == "read":
                reader_knows = now
                record_knowledge(reader, now)
            elif action == "probe":
                if is_probe_due(node, "reader", now):
                    record_probe(node, "reader", now)
                    probes.append(node["next_sequence"] - 1)
            elif action == "reply" and probes:
                age_s = knowledge_age_s(reader, now)
                replies.append((probes.pop(0), age_s, reader_knows))
            elif action == "drop":
                del probes[:1], replies[:1]
            elif action == "deliver" and replies:
                sequence, age_s, known = replies.pop(0)
                record_probe_reply(node, "reader")
                node_knows = max(node_knows, known)
                as_of = proven_as_of(node, "reader", sequence, age_s)
                if as_of is not None:
                    record_knowledge(node, as_of)
            self.assertLessEqual(node["known_as_of"], node_knows)
            if proves_keys(node, now):
                self.assertLess(now - node_knows, REVOCATION_S)

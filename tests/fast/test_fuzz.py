import asyncio
import logging
import unittest
from random import Random
from unittest import mock

from jacinthsail.testing import fuzz
from jacinthsail.testing.fuzz import mutate, run_fuzz


class FuzzTest(unittest.TestCase):
    """Load: odd bytes at every port and from every source that a node reads."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_no_input_raises(self):
        """One odd message would end the process, or close a connection with other requests."""
        self.assertEqual(asyncio.run(run_fuzz(7, 14_000)), [])

    def test_finding_names_the_input(self):
        """A fuzzer that hides its findings would pass for ever."""

        def fail(data, random):
            raise KeyError("odd")

        with mock.patch.object(fuzz, "_CASES", ((fail, (b"x",)),)):
            (finding,) = asyncio.run(run_fuzz(1, 1))
        self.assertIn("KeyError", finding.detail)

    def test_mutations_are_repeated_by_their_seed(self):
        """A finding could not be reproduced."""
        self.assertEqual(mutate(b"abc" * 9, Random(3)), mutate(b"abc" * 9, Random(3)))

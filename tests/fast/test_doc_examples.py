"""Guards the examples in doc comments."""

import doctest
import unittest

import jacinthsail
from jacinthsail import errors
from jacinthsail.internal.queries import rank


class DocExamplesTest(unittest.TestCase):
    def test_examples_run_as_written(self):
        """An outdated example would show readers behaviour that the code no longer has."""
        for module in (jacinthsail, errors, rank):
            with self.subTest(module=module.__name__):
                self.assertEqual(doctest.testmod(module).failed, 0)

"""Tests the errors reported to operators for invalid settings and sections."""

import unittest

from jacinthsail.errors import describe
from jacinthsail.internal.queries.checks import check_text
from tests.common.configuration import DEPLOYMENTS, SAMPLES, sample_section, sample_settings

# Text to replace, its replacement, and a part of the expected message.
BROKEN_SETTINGS = (
    ('vm = "billing-1"\n', "", "node.vm is missing; add it"),
    ("port = 9101", 'port = "9101"', "callers.port is '9101'; write a whole number instead"),
    ("port = 9101", "port = 70000", "callers.port is 70000; choose a value of 65535 or less"),
    ("port = 9102", "port = 9101", "127.0.0.1:9101 is used by callers too; choose a port"),
    ("[limits]", "[limit]", "limit is not a known key; remove it or correct its spelling"),
    (
        '[operators]\nhost = "127.0.0.1"',
        '[operators]\nhost = "example.org"',
        "operators.host is 'example.org'; write an IP address",
    ),
    ('vm = "billing-1"', 'vm = "billing 1"', "use letters, digits, dots"),
)
BROKEN_SECTIONS = (
    ('owner = "billing-team"', 'owner = "billing-team', "not valid TOML"),
    ("slots = 80", "slots = 600", "lower slots or raise connections"),
    ('"at-most-once"', '"exactly-once"', "choose one of repeatable, at-most-once"),
    ("deadline_ms = 6000", "deadline_ms = 0", "deadline_ms is 0; choose a value of 1 or more"),
    ("importance = 5", "importance = 9", "choose a value of 7 or less"),
    ("max_retries = 2", "max_tries = 2", "max_tries is not a known key"),
    ("slots = 80", "slots = 80.5", "services.billing.slots is 80.5; write a whole number"),
    ('owner = "billing-team"', 'owner = ""', "owner: it is empty; give it a value"),
    ("importance = 5\n", "", "services.billing.classes.claim.importance is missing"),
)


class ChecksTest(unittest.TestCase):
    def assert_rejected(self, text, change, expected):
        before, after = change
        self.assertIn(before, text)
        check = check_text("a.toml", text.replace(before, after, 1))
        messages = [describe(error) for error in check.errors]
        self.assertEqual(len(messages), 1, messages)
        self.assertIn("a.toml: ", messages[0])
        self.assertIn(expected, messages[0])

    def test_broken_settings_are_rejected_with_a_remedy(self):
        """A node that starts with misread settings would listen on or call the wrong address."""
        for before, after, expected in BROKEN_SETTINGS:
            with self.subTest(expected=expected):
                self.assert_rejected(sample_settings(), (before, after), expected)

    def test_broken_sections_are_rejected_with_a_remedy(self):
        """A misread section would shed or retry the wrong calls."""
        for before, after, expected in BROKEN_SECTIONS:
            with self.subTest(expected=expected):
                self.assert_rejected(sample_section(), (before, after), expected)

    def test_every_error_in_a_file_is_reported(self):
        """Operators should not need one run per error to repair a file."""
        text = sample_section().replace("slots = 80", "slots = 0").replace("importance = 5", "")
        self.assertEqual(len(check_text("a.toml", text).errors), 2)

    def test_samples_are_valid(self):
        """Operators start from the shipped samples."""
        for deployment in DEPLOYMENTS:
            for path in sorted((SAMPLES / deployment).glob("*.toml")):
                with self.subTest(path=path.name):
                    self.assertEqual(check_text(path.name, path.read_text()).errors, ())

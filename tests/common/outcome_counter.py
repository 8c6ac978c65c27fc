"""A nose2 plugin that collects the outcome of every test."""

import nose2.events


class OutcomeCounter(nose2.events.Plugin):
    """Collects the outcome of every test; a failed subtest fails its test."""

    alwaysOn = True
    configSection = "outcome-counter"
    passed: set[str] = set()
    failed: set[str] = set()
    skipped: set[str] = set()

    def testOutcome(self, event):
        """Record the outcome of one test."""
        if event.outcome == "subtest":
            if event.exc_info is not None:
                self.failed.add(event.test.test_case.id())
            return
        test_id = event.test.id().partition("\n")[0]
        if event.outcome == "passed" and event.expected:
            self.passed.add(test_id)
            return
        if event.outcome == "skipped":
            self.skipped.add(test_id)
            return
        self.failed.add(test_id)

"""Checks at-most-once execution of calls through real processes."""

import urllib.request

from jacinthsail.testing.mesh import HOST
from tests.common.meshes import MeshTestCase


class KeysTest(MeshTestCase):
    def issue(self, vm):
        """Return a key for the billing service that the node of a VM issued."""
        url = f"http://{HOST}:{self.mesh.ports[vm].callers}/v1/keys/billing"
        request = urllib.request.Request(url, data=b"", method="POST")
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.headers["Idempotency-Key"]

    def executions(self):
        """Return how often the billing target executed each key."""
        url = f"http://{HOST}:{self.mesh.ports['billing-1'].target}/executions"
        with urllib.request.urlopen(url, timeout=10) as response:
            return response.read().decode()

    def test_retry_with_the_same_key_executes_once(self):
        """A claim that is retried through another node must not be billed twice."""
        key = self.issue("drafts-1")
        headers = {"Idempotency-Key": key}
        first = self.mesh.call("drafts-1", "billing", "claim", b"page 1", headers)
        second = self.mesh.call("billing-1", "billing", "claim", b"page 1", headers)
        self.assertEqual((first.outcome, second.outcome), ("answered", "answered"))
        self.assertEqual(first.body, second.body)
        self.assertIn(f'"{key}": 1', self.executions())

    def test_call_without_a_key_is_executed(self):
        """The entry node must issue a key when the caller sends none."""
        reply = self.mesh.call("drafts-1", "billing", "claim", b"page 2")
        self.assertEqual(reply.outcome, "answered")

    def test_malformed_key_is_not_run(self):
        """A malformed key names no owner, so its call must be refused as not-run."""
        headers = {"Idempotency-Key": "not-a-key"}
        reply = self.mesh.call("drafts-1", "billing", "claim", b"page 3", headers)
        self.assertEqual((reply.outcome, reply.reason), ("not-run", "key-malformed"))

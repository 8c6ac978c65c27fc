"""Checks the path of a call through real processes."""

from tests.common.meshes import MeshTestCase


class PathTest(MeshTestCase):
    def test_local_target(self):
        """A call to the service of the entry node must reach its local target unchanged."""
        reply = self.mesh.call("drafts-1", "drafts", "view", b"page 1")
        self.assertEqual((reply.status, reply.outcome), (200, "answered"))
        self.assertIn("drafts-1 ran drafts/view for 'page 1'", reply.body)

    def test_relay_to_a_peer(self):
        """A call to another service must reach a target of that service through its node."""
        reply = self.mesh.call("billing-1", "drafts", "view", b"page 2")
        self.assertIn("drafts-1 ran drafts/view for 'page 2'", reply.body)

    def test_unknown_class_is_not_run(self):
        """A call of a class that no section defines must be refused, not sent to a target."""
        reply = self.mesh.call("drafts-1", "drafts", "nothing", b"")
        self.assertEqual((reply.status, reply.outcome), (404, "not-run"))

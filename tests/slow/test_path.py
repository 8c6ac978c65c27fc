"""Guards the path of a call through real processes."""

from tests.common.meshes import MeshTestCase


class PathTest(MeshTestCase):
    def test_own_target(self):
        """A call to the service of the entry node is answered by the target beside it."""
        reply = self.mesh.call("drafts-1", "drafts", "view", b"page 1")
        self.assertEqual((reply.status, reply.outcome), (200, "answered"))
        self.assertIn("drafts-1 ran drafts/view for 'page 1'", reply.body)

    def test_relay_to_a_peer(self):
        """A call to another service is answered through the node of that target."""
        reply = self.mesh.call("billing-1", "drafts", "view", b"page 2")
        self.assertIn("drafts-1 ran drafts/view for 'page 2'", reply.body)

    def test_unknown_class_is_not_run(self):
        """A call that no section describes must be refused, not guessed at."""
        reply = self.mesh.call("drafts-1", "drafts", "nothing", b"")
        self.assertEqual(reply.outcome, "not-run")

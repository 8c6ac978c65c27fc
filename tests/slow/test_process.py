"""Checks the threads, children and mappings of a node process, and that it stops on SIGTERM."""

import os
import signal
from pathlib import Path

from jacinthsail.testing.mesh import process_name
from tests.common.meshes import MeshTestCase

# An idle node stops in about half a second. It took 20 s when its tasks waited for one another, so
# the limit separates the two on a machine of any speed.
STOP_LIMIT_S = 10


class ProcessTest(MeshTestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        for number in range(20):
            cls.mesh.call("billing-1", "drafts", "view", str(number).encode())
            cls.mesh.call("drafts-1", "drafts", "view", str(number).encode())

    def nodes(self):
        return [(vm, self.mesh.processes[process_name(vm, "node")]) for vm in self.mesh.vms]

    def test_one_thread(self):
        """A resolver or executor thread would share state that only the event loop may access."""
        for vm, node in self.nodes():
            with self.subTest(vm=vm):
                self.assertEqual(len(os.listdir(f"/proc/{node.pid}/task")), 1)

    def test_no_child_process(self):
        """A node must start no other process."""
        for vm, node in self.nodes():
            with self.subTest(vm=vm):
                children = Path(f"/proc/{node.pid}/task/{node.pid}/children").read_text()
                self.assertEqual(children.split(), [])

    def test_no_io_uring_descriptor(self):
        """The platform forbids io_uring, which some event loops open on their own."""
        for vm, node in self.nodes():
            for descriptor in os.listdir(f"/proc/{node.pid}/fd"):
                link = os.readlink(f"/proc/{node.pid}/fd/{descriptor}")
                with self.subTest(vm=vm, link=link):
                    self.assertNotIn("io_uring", link)
                    self.assertNotIn("memfd", link)
                    self.assertFalse(link.startswith("/dev/shm"))

    def test_no_shared_writable_memory(self):
        """A node must not share writable memory; read-only maps of system files are allowed."""
        for vm, node in self.nodes():
            for line in Path(f"/proc/{node.pid}/maps").read_text().splitlines():
                permissions = line.split()[1]
                with self.subTest(vm=vm, line=line):
                    self.assertFalse(permissions[1] == "w" and permissions[3] == "s")
                    self.assertNotIn("io_uring", line)

    def test_stop_of_an_idle_node(self):
        """A node that waits for idle tasks when it stops delays every replacement of a VM."""
        node = self.mesh.processes[process_name("billing-1", "node")]
        self.mesh.processes[process_name("billing-1", "node")].send_signal(signal.SIGTERM)
        self.assertEqual(node.wait(STOP_LIMIT_S), 0)
        self.mesh.processes[process_name("billing-1", "target")].terminate()
        self.mesh.processes[process_name("billing-1", "target")].wait()
        self.mesh.start_vm("billing-1")
        self.mesh.wait_until_ready("billing-1")

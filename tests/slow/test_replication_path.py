"""Checks the replication of published items between real processes."""

import json
import signal
import time
import unittest
import urllib.request
from pathlib import Path

from jacinthsail.testing.mesh import PLATFORM, Mesh, MeshVm

SAMPLES = Path(__file__).resolve().parents[2] / "samples"
DRAFTS = (SAMPLES / "stenonet" / "drafts.toml").read_text()
NEW_VM = "drafts-3"

# Running nodes reconnect to a restarted VM within this time, and it would then be ready.
RECONNECT_LIMIT_S = 2.0
VMS = (
    MeshVm("drafts-1", "drafts", "manila", "luzon"),
    MeshVm("drafts-2", "drafts", "davao", "mindanao"),
    MeshVm(NEW_VM, "drafts", "manila", "luzon"),
)


class ReplicationPathTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(VMS, {"drafts": DRAFTS}).__enter__()
        self.addCleanup(self.mesh.__exit__, None, None, None)

    def set_platform(self, mode):
        body = json.dumps({"mode": mode}).encode()
        url = self.mesh.control_url("", PLATFORM)
        with urllib.request.urlopen(urllib.request.Request(url, data=body, method="POST")):
            pass

    def kill_node(self, vm):
        self.mesh.signal_process(vm, "node", signal.SIGKILL)
        while self.mesh.exit_code(vm, "node") is None:
            time.sleep(0.05)

    def restart_new_vm(self):
        self.kill_node(NEW_VM)
        self.mesh.start_process(NEW_VM, "node")

    def wait_for_status(self, vm, predicate, seconds=20.0):
        """Return the status page as soon as it satisfies the predicate."""
        latest = time.monotonic() + seconds
        while time.monotonic() < latest:
            status = self.mesh.status(vm)
            if status is not None and predicate(status):
                return status
            time.sleep(0.1)
        return self.fail(f"status of {vm} after {seconds} s: {self.mesh.status(vm)}")

    def test_new_vm_starts_from_a_seed_while_the_platform_is_down(self):
        """Without seeds, a VM that starts during a platform outage serves nothing until it ends."""
        port = self.mesh.ports["drafts-1"].relay
        seeds = f'[[seeds]]\nhost = "127.0.0.1"\nport = {port}\n'
        self.mesh.vm_settings = {NEW_VM: seeds}
        self.set_platform("down")
        self.restart_new_vm()
        status = self.wait_for_status(NEW_VM, lambda status: status["ready"])
        self.assertIn("section/drafts", status["sections"])
        self.assertEqual(self.mesh.call(NEW_VM, "drafts", "view", b"p").outcome, "answered")

    def test_new_vm_that_reaches_nothing_reports_not_ready(self):
        """The status must show an operator why a VM does not serve."""
        self.set_platform("down")
        # Running nodes would connect to the restarted VM and send it their copies.
        peers = ("drafts-1", "drafts-2")
        for vm in peers:
            self.kill_node(vm)
        self.restart_new_vm()
        status = self.wait_for_status(NEW_VM, lambda status: True)
        self.assertFalse(status["ready"])
        self.assertEqual(len(status["not_ready_because"]), 2)
        time.sleep(RECONNECT_LIMIT_S)
        status = self.wait_for_status(NEW_VM, lambda status: True)
        self.assertEqual(len(status["not_ready_because"]), 2)
        for vm in peers:
            self.mesh.start_process(vm, "node")
        self.set_platform("normal")
        self.wait_for_status(NEW_VM, lambda status: status["ready"])

    def test_new_vm_receives_the_last_good_version_from_peers(self):
        """The platform holds only the broken version, so only peers can supply the good one."""
        self.mesh.publish("section/drafts", b"owner = ")
        for vm in ("drafts-1", "drafts-2"):
            self.wait_for_status(vm, lambda status: status["sections"]["section/drafts"]["errors"])
        self.restart_new_vm()
        status = self.wait_for_status(NEW_VM, lambda status: status["ready"])
        section = status["sections"]["section/drafts"]
        self.assertEqual((section["version"], bool(section["errors"])), (1, True))
        self.assertEqual(self.mesh.call(NEW_VM, "drafts", "view", b"p").outcome, "answered")

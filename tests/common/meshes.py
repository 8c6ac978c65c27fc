"""A test case with a running mesh, for slow tests."""

import unittest

from jacinthsail.testing.mesh import Mesh, MeshVm
from tests.common.configuration import sample_section

SERVICES = ("drafts", "billing")
VMS = (
    MeshVm("drafts-1", "drafts", "manila", "luzon"),
    MeshVm("billing-1", "billing", "baguio", "luzon"),
)


class MeshTestCase(unittest.TestCase):
    """Starts one mesh for all tests of a class and stops it after the last one."""

    @classmethod
    def setUpClass(cls):
        sections = {name: sample_section(name) for name in SERVICES}
        cls.mesh = Mesh(VMS, sections).__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.mesh.__exit__(None, None, None)

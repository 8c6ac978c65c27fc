"""Tests the separation of commands, queries and I/O in the whole package."""

import ast
import unittest
from pathlib import Path

INTERNAL = Path(__file__).resolve().parents[2] / "src" / "jacinthsail" / "internal"
PACKAGE = INTERNAL.parent

# Decisions read no clock, do no I/O and depend on no encoding, so that any front end can use them.
FORBIDDEN_IN_DECISIONS = frozenset(
    {"asyncio", "time", "socket", "os", "aiohttp", "capnp", "mode", "logging", "datetime"}
)
FORBIDDEN_ANYWHERE = frozenset(
    {"threading", "concurrent", "multiprocessing", "dataclasses", "uvloop"}
)


def modules_in(folder):
    return sorted(folder.rglob("*.py"))


def imported_names(tree):
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


class ShapeTest(unittest.TestCase):
    def test_commands_return_nothing(self):
        """A command that returns a value hides a change of state behind a query."""
        for path in modules_in(INTERNAL / "commands"):
            for node in ast.parse(path.read_text()).body:
                if not isinstance(node, ast.FunctionDef):
                    continue
                with self.subTest(module=path.name, function=node.name):
                    self.assertIsNotNone(node.returns)
                    self.assertEqual(ast.unparse(node.returns), "None")

    def test_queries_import_no_commands(self):
        """A query that calls a command would change state."""
        for path in modules_in(INTERNAL / "queries"):
            for name in imported_names(ast.parse(path.read_text())):
                with self.subTest(module=path.name, imported=name):
                    self.assertNotIn("internal.commands", name)

    def test_decisions_do_no_input_or_output(self):
        """A decision that reads a clock or a socket cannot be reproduced in a test."""
        for folder in ("model", "queries", "commands"):
            for path in modules_in(INTERNAL / folder):
                roots = {name.split(".")[0] for name in imported_names(ast.parse(path.read_text()))}
                with self.subTest(module=f"{folder}/{path.name}"):
                    self.assertEqual(roots & FORBIDDEN_IN_DECISIONS, set())

    def test_one_loop_on_one_thread(self):
        """A thread or process pool would share state that has a single owner."""
        for path in modules_in(PACKAGE):
            roots = {name.split(".")[0] for name in imported_names(ast.parse(path.read_text()))}
            with self.subTest(module=path.name):
                self.assertEqual(roots & FORBIDDEN_ANYWHERE, set())

    def test_daemon_does_not_import_stand_ins(self):
        """Stand-ins start processes and write to the platform, which the daemon must not do."""
        for path in modules_in(INTERNAL):
            for name in imported_names(ast.parse(path.read_text())):
                with self.subTest(module=path.name, imported=name):
                    self.assertFalse(name.startswith("jacinthsail.testing"))

"""Tests the reports and exit statuses of the operators' tool."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from jacinthsail.cli import run
from jacinthsail.internal.queries.explain import NodeLog, decisions_about, explain_report
from jacinthsail.internal.queries.fleet_status import status_report
from tests.common.configuration import sample_section


def run_tool(*arguments):
    """Run the tool; return its exit status, standard output and standard error."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        status = run(list(arguments))
    return status, output.getvalue(), errors.getvalue()


def node_page(version, rejected=None):
    return {
        "vm": "a",
        "failure_domain": "manila",
        "service": "billing",
        "draining": False,
        "ready": True,
        "not_ready_because": [],
        "in_flight": 0,
        "limit": 20,
        "queued": 0,
        "sections": {
            "section/billing": {
                "version": version,
                "owner": "billing-team",
                "rejected_version": rejected,
                "errors": ["slots is 0"] if rejected else [],
            }
        },
    }


class ToolTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.section = Path(folder.name) / "billing.toml"
        self.section.write_text(sample_section())
        self.changed = Path(folder.name) / "changed.toml"
        self.changed.write_text(sample_section().replace("deadline_ms = 6000", "deadline_ms = 10"))

    def test_check_exit_status(self):
        """Scripts that publish sections rely on a failing status for an invalid section."""
        self.assertEqual(run_tool("check", str(self.section))[0], 0)
        self.section.write_text("owner = 1")
        self.assertEqual(run_tool("check", str(self.section))[0], 2)

    def test_missing_file_is_reported(self):
        """A mistyped path must not be reported as a valid file."""
        status, output, _ = run_tool("check", str(self.section) + "x")
        self.assertEqual(status, 2)
        self.assertIn("check the path", output)

    def test_diff_lists_only_changed_values(self):
        """Operators review the diff before they publish; other values would hide changes."""
        status, output, _ = run_tool("diff", str(self.section), str(self.changed))
        self.assertEqual(status, 0)
        self.assertEqual(
            output.splitlines(),
            ["services.billing.classes.claim.deadline_ms: 6000 -> 10", "1 values change"],
        )

    def test_json_output_is_json(self):
        """Other programs parse the output of --json."""
        _, output, _ = run_tool("diff", "--json", str(self.section), str(self.changed))
        self.assertEqual(json.loads(output)[0]["new"], "10")

    def test_usage_errors_show_usage(self):
        """An invalid command line must not look like a successful check."""
        for arguments in ((), ("nothing",), ("check",), ("check", "--nothing"), ("explain", "id")):
            with self.subTest(arguments=arguments):
                status, output, errors = run_tool(*arguments)
                self.assertEqual(status, 2)
                self.assertIn("jacinthsail", output + errors)

    def test_help_of_every_subcommand(self):
        """--help must not run the subcommand."""
        for name in ("check", "status", "explain", "diff"):
            with self.subTest(name=name):
                status, output, _ = run_tool(name, "--help")
                self.assertEqual(status, 0)
                self.assertIn(f"usage: jacinthsail {name}", output)

    def test_status_reports_outdated_nodes(self):
        """Operators must notice nodes that use an older version or have rejected one."""
        report = status_report({"n1": node_page(4), "n2": node_page(3, rejected=5), "n3": None})
        text = "\n".join(report.lines)
        self.assertEqual(report.exit_status, 1)
        self.assertIn("version 3 is behind 4", text)
        self.assertIn("version 5 rejected: slots is 0", text)
        self.assertIn("n3: no response", text)

    def test_explain_follows_the_calls_made_for_a_request(self):
        """The cause of a failed request is often a nested call several services downstream."""
        lines = []
        for time, name, parent, reason in (
            (1.0, "call-2", "call-1", "queue-full"),
            (1.1, "call-1", "request", "target-answered"),
            (1.2, "request", "", "target-answered"),
            (1.3, "other", "", "target-answered"),
        ):
            entry = {"time": time, "decision": "finished", "request_id": name, "reason": reason}
            lines.append(json.dumps({**entry, "status": 500, "parent": parent}))
        found = decisions_about("request", [NodeLog("a", tuple(lines))])
        self.assertEqual([one["request_id"] for one in found], ["call-2", "call-1", "request"])
        report = explain_report("request", found)
        self.assertIn("finished call-2, because queue-full (status 500", report.lines[1])

    def test_explain_accepts_a_truncated_log(self):
        """A log file may end with an incomplete line while the node is writing it."""
        line = json.dumps({"request_id": "r1", "time": 2.0, "decision": "route"})
        earlier = json.dumps({"request_id": "r1", "time": 1.0, "decision": "admission"})
        found = decisions_about("r1", [NodeLog("n", (line, earlier, line[:20]))])
        self.assertEqual([entry["decision"] for entry in found], ["admission", "route"])
        self.assertEqual(explain_report("r2", []).exit_status, 1)

"""Runs a small Stenonet mesh with stand-ins and sends a request of each class.

The mesh has two failure domains with one VM for each service, and the sample document. The
operators' tool explains each request.
"""

import json
import sys
import time
from pathlib import Path
from typing import NamedTuple

from absl import app, flags

from jacinthsail.internal.adapters.tool import build_report
from jacinthsail.internal.model.reports import ExplainRequest, Report, ShowStatus
from jacinthsail.testing.mesh import HOST, Mesh, MeshVm, Reply

_SAMPLES = flags.DEFINE_string(
    "samples", "samples/stenonet", "Folder with the sections of the sample document."
)

SERVICES = ("drafts", "filings", "billing", "seals")
DOMAINS = ("manila", "baguio")
REGION = "luzon"

# Nodes write log lines after the response, so that logging does not delay it.
LOG_DELAY_S = 0.3


class DemoRequest(NamedTuple):
    """One request of the demonstration, and the case that it shows.

    ``entry`` is the VM whose node receives the request.
    """

    description: str
    entry: str
    service: str
    call_class: str
    body: str


# A filing calls a claim for its pages, and the claim calls a seal: three nested calls on three VMs.
_CHAIN = json.dumps(
    {
        "id": "filing 12",
        "then": [
            {
                "service": "billing",
                "class": "claim",
                "then": [{"service": "seals", "class": "request"}],
            }
        ],
    }
)

REQUESTS = (
    DemoRequest("local target", "drafts-manila", "drafts", "view", "page 7"),
    DemoRequest("relayed to a peer", "seals-baguio", "drafts", "view", "page 8"),
    DemoRequest("a chain of three calls", "drafts-manila", "filings", "file", _CHAIN),
    DemoRequest("at most once", "filings-baguio", "billing", "claim", "12 pages"),
    DemoRequest("at most once, local target", "seals-manila", "seals", "request", "seal"),
    DemoRequest("relayed to a peer", "drafts-baguio", "filings", "list", "clerk 3"),
    DemoRequest("relayed to a peer", "drafts-manila", "billing", "statement", "November"),
    DemoRequest("relayed, at most once", "drafts-baguio", "seals", "request", "seal 4"),
    DemoRequest("class that no section defines", "drafts-manila", "drafts", "shred", "page 7"),
)


def run_demo(samples: Path) -> None:
    """Start the mesh, send the requests and print the explanation of each."""
    vms = []
    for domain in DOMAINS:
        for service in SERVICES:
            vms.append(MeshVm(f"{service}-{domain}", service, domain, REGION))
    sections = {name: (samples / f"{name}.toml").read_text() for name in SERVICES}
    print(f"starting {len(vms)} VMs, each with a target and a node, and the platform")
    with Mesh(vms, sections) as mesh:
        for number, request in enumerate(REQUESTS, start=1):
            _show_request(mesh, request, f"demo-{number}")
        _show_edit(mesh, samples)
        print("\nstopping; nodes finish the calls in flight first")


def _show_request(mesh: Mesh, request: DemoRequest, request_id: str) -> None:
    headers = {"Jacinthsail-Request-Id": request_id, "Jacinthsail-Caller": "member-1"}
    print(f"\n{request_id}: {request.description}")
    print(f"  {request.entry} receives POST /v1/services/{request.service}/{request.call_class}")
    reply = mesh.call(
        request.entry, request.service, request.call_class, request.body.encode(), headers
    )
    print(f"  {_reply_line(reply)}")
    time.sleep(LOG_DELAY_S)
    logs = tuple(str(mesh.log_path(vm)) for vm in mesh.vms)
    _print_report(build_report(ExplainRequest(request_id, logs)))


def _reply_line(reply: Reply) -> str:
    detail = reply.body or reply.reason
    return f"HTTP {reply.status}, {reply.outcome}: {detail}"


def _show_edit(mesh: Mesh, samples: Path) -> None:
    print("\nchanging one section: the deadline of drafts becomes 1500 ms instead of 2000 ms")
    text = (samples / "drafts.toml").read_text().replace("2000", "1500")
    version = mesh.publish("section/drafts", text.encode())
    mesh.wait_for_section("section/drafts", version)
    nodes = tuple(f"{HOST}:{ports.operators}" for ports in mesh.ports.values())
    _print_report(build_report(ShowStatus(nodes, timeout_s=5.0)))


def _print_report(report: Report) -> None:
    for line in report.lines:
        print(f"  {line}")
    sys.stdout.flush()


def run(_argv: list[str]) -> None:
    """Run the demonstration."""
    run_demo(Path(_SAMPLES.value))


if __name__ == "__main__":
    app.run(run)

"""LOST: a node is stopped as planned while the time limit of other clients' lookups ends.

Node 1 takes requests from clients for a service whose targets run beside nodes 2 and 3. Filings take
900 ms and have 5 s. Lookups take 1 s and have 800 ms, so their target answers 504 at the limit, when
the client leaves as well. Node 1 gets SIGTERM; clients send nothing new 2 s after it.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from deployment import TROUBLE, Client, Deployment, attempt_id, main, manifest, route  # noqa: E402

LOOKUP_MS, LOOKUP_LIMIT_MS, LOOKUPS_PER_S = 1000, 800, 70
FILING_MS, FILING_LIMIT_MS, FILINGS_PER_S = 900, 5000, 10
LATENESS_S = 0.004
GRACE_S = 6.0
PLACES = {1: ("drafts", "baguio"), 2: ("filings", "manila"), 3: ("filings", "manila")}
ROUTES = [
    route("filing", "filings", "non_idempotent", timeout="5000ms", priority=0),
    route("lookup", "filings", "idempotent", timeout="2500ms", priority=2),
]


async def lookup(deployment):
    """Send a lookup on a new connection and leave at the time limit."""
    attempt = attempt_id()
    try:
        reader, writer = await asyncio.open_connection(deployment.host(1), deployment.port + 1)
    except OSError:
        return
    head = (
        f"GET /lookup/{LOOKUP_MS}/ HTTP/1.1\r\nHost: mesh.example\r\n"
        f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {LOOKUP_LIMIT_MS}\r\n\r\n"
    )
    deployment.record.line(f"client at node 1 sends {attempt} (lookup, {LOOKUP_LIMIT_MS} ms)")
    try:
        writer.write(head.encode())
        # Timers of clients fire slightly late.
        limit_s = LOOKUP_LIMIT_MS / 1000 + random.uniform(0.0, LATENESS_S)
        answer = await asyncio.wait_for(reader.read(4096), limit_s)
        deployment.record.line(f"client gets {answer[9:12].decode()} for {attempt}")
    except (TimeoutError, OSError):
        deployment.record.line(f"client of {attempt} leaves at its time limit")
    writer.close()


async def case(folder):
    deployment = Deployment(folder, {"manila": "luzon", "baguio": "luzon"})
    record = deployment.record
    filings = {}
    stopping = asyncio.Event()

    async def filing():
        client, attempt = Client(deployment, 1), attempt_id()
        sent = record.now()
        answer = await client.send("POST", f"/filing/{FILING_MS}/", attempt, FILING_LIMIT_MS)
        filings[attempt] = (sent, record.now(), answer)
        client.close()

    async def repeat(send, per_s):
        tasks = set()
        while not stopping.is_set():
            tasks.add(asyncio.create_task(send()))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    try:
        deployment.store.put("op/config", manifest(12, ROUTES, ["drafts", "filings"]))
        for number, (service, zone) in PLACES.items():
            await deployment.add_target(number, service, zone)
            await deployment.start_node(number, service, zone)
        for number in PLACES:
            await deployment.wait_ready(number)
        await asyncio.sleep(3)
        senders = asyncio.gather(
            repeat(lambda: lookup(deployment), LOOKUPS_PER_S), repeat(filing, FILINGS_PER_S)
        )
        await asyncio.sleep(3)
        if TROUBLE:
            record.line("SIGTERM to node 1")
            deployment.nodes[1].send_signal(signal.SIGTERM)
        terminated = record.now()
        await asyncio.sleep(2)
        stopping.set()
        await senders
        await asyncio.sleep(1)
        # Filings that node 1 had read whole and passed on, whose run their target brought to its
        # end, and that ended without that answer between SIGTERM and 1 s after the grace period.
        runs = {attempt for target in deployment.targets.values() for _, attempt in target.runs}
        finished = {a for target in deployment.targets.values() for a in target.finished}
        lost = [
            attempt
            for attempt, (_, ended, answer) in filings.items()
            if attempt in runs
            and attempt in finished
            and terminated <= ended <= terminated + GRACE_S + 1.0
            and answer.status != 200
        ]
        for attempt in lost:
            sent, ended, answer = filings[attempt]
            record.line(
                f"LOST {attempt}: sent {sent:.3f}, ran to its end, client got {answer.status} "
                f"{answer.detail} at {ended:.3f}"
            )
        links = deployment.node_log(1).count("lost the connection")
        print(f"filings {len(filings)}, lost {len(lost)}; node 1 lost {links} connections to peers")
        return bool(lost)
    finally:
        await deployment.close()


main(case)

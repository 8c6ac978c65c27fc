"""CONFIG: a route moves while the two nodes that read the store for a region are cut off.

Twelve nodes in two zones of one region, with three targets of each of four services. The two that read
the store for the others are stopped for 4 s; to the others they look like machines that are cut off.
50 ms after the cut, the operator moves a route from one service to another. Clients at the nodes
without any disruption send requests on that route.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from deployment import TROUBLE, Client, Deployment, attempt_id, main, manifest, route  # noqa: E402

CUT_S, CHANGE_AFTER_S, WATCHED_S = 4.0, 0.05, 3.0
CONFIG_APPLY_S = 2.0
WORK_MS, INTERVAL_S = 20, 0.05
SERVICES = ("drafts", "filings", "billing", "seals")
ZONES = {number: "manila" if number <= 6 else "baguio" for number in range(1, 13)}


async def case(folder):
    deployment = Deployment(folder, {"manila": "luzon", "baguio": "luzon"})
    record, store = deployment.record, deployment.store
    stopping = asyncio.Event()
    sent_at = {}

    async def request_repeatedly(number):
        client = Client(deployment, number)
        while not stopping.is_set():
            attempt = attempt_id()
            sent_at[attempt] = record.now()
            await client.send("POST", f"/filing/{WORK_MS}/", attempt)
            await asyncio.sleep(INTERVAL_S)
        client.close()

    try:
        drafts = [route("draft", "drafts")]
        store.put("op/config", manifest(12, drafts, SERVICES))
        for number, zone in ZONES.items():
            service = SERVICES[number % 4]
            await deployment.add_target(number, service, zone)
            await deployment.start_node(number, service, zone)
        for number in ZONES:
            await deployment.wait_ready(number)
        await asyncio.sleep(12)
        readers = sorted(store.readers())
        record.line(f"nodes that read the store: {readers}")
        calm = [number for number in ZONES if number not in readers]
        # Two services whose targets run beside nodes that stay calm.
        cut_services = {deployment.targets[number].service for number in readers}
        old, new = [service for service in SERVICES if service not in cut_services][:2]
        filings = [*drafts, route("filing", old, "non_idempotent")]
        moved = [*drafts, route("filing", new, "non_idempotent")]
        store.put("op/config", manifest(13, filings, SERVICES))
        await asyncio.sleep(3)
        senders = [asyncio.create_task(request_repeatedly(number)) for number in calm]
        await asyncio.sleep(1)
        if TROUBLE:
            for number in readers:
                record.line(f"node {number} is cut off")
                deployment.nodes[number].send_signal(signal.SIGSTOP)
        cut_at = record.now()
        await asyncio.sleep(CHANGE_AFTER_S)
        store.put("op/config", manifest(15, moved, SERVICES))
        changed = record.now()
        record.line(
            f"manifest 0000000f moves the route from {old} to {new}; acknowledged by the store"
        )
        await asyncio.sleep(CUT_S - (record.now() - cut_at))
        if TROUBLE:
            for number in readers:
                deployment.nodes[number].send_signal(signal.SIGCONT)
                record.line(f"the cut of node {number} ends")
        await asyncio.sleep(WATCHED_S)
        stopping.set()
        await asyncio.gather(*senders)
        late = []
        for target in deployment.targets.values():
            if target.service != old:
                continue
            for _, attempt in target.runs:
                seconds = sent_at[attempt] - changed
                if seconds > CONFIG_APPLY_S:
                    late.append(seconds)
                    record.line(f"LATE {attempt}: sent {seconds:.3f} s after, run by {old}")
        print(f"run by the old service: {len(late)}, last sent {max(late, default=0):.2f} s after")
        return bool(late)
    finally:
        await deployment.close()


main(case)

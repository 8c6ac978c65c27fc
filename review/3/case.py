"""DRAIN: a target leaves shortly after the store has cut one waiting watch.

Eight nodes in two zones of one region. The store closes the connection of the watch that one reader has
waiting, once, and answers the next call. Then the entry of a target beside another node is removed;
the target serves on for some seconds. Clients at the other nodes send requests throughout.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from deployment import TROUBLE, Client, Deployment, attempt_id, main, manifest, route  # noqa: E402

REMOVED_AFTER_S, SERVES_ON_S = 0.4, 6.0
DRAIN_S = 2.0
WORK_MS, INTERVAL_S = 50, 0.05
ZONES = {number: "manila" if number <= 4 else "baguio" for number in range(1, 9)}


async def case(folder):
    deployment = Deployment(folder, {"manila": "luzon", "baguio": "luzon"})
    record, store = deployment.record, deployment.store
    stopping = asyncio.Event()

    async def file_repeatedly(number):
        client = Client(deployment, number)
        while not stopping.is_set():
            await client.send("POST", f"/filing/{WORK_MS}/", attempt_id())
            await asyncio.sleep(INTERVAL_S)
        client.close()

    try:
        filings = [route("filing", "filings", "non_idempotent")]
        store.put("op/config", manifest(12, filings, ["filings", "drafts"]))
        for number, zone in ZONES.items():
            service = "filings" if number % 2 else "drafts"
            await deployment.add_target(number, service, zone)
            await deployment.start_node(number, service, zone)
        for number in ZONES:
            await deployment.wait_ready(number)
        await asyncio.sleep(8)
        readers = store.readers()
        record.line(f"nodes that read the store: {sorted(readers)}")
        calm = [number for number in ZONES if number not in readers]
        leaving = next(
            deployment.targets[number]
            for number in calm
            if deployment.targets[number].service == "filings"
        )
        senders = [asyncio.create_task(file_repeatedly(number)) for number in calm]
        await asyncio.sleep(1)
        if TROUBLE:
            cut = min(readers)
            await store.cut_watch(cut)
            record.line(f"the waiting watch of node {cut} is cut")
        await asyncio.sleep(REMOVED_AFTER_S)
        # Another target's entry changes just before, so that readers pause before they read again.
        deployment.targets[min(readers)].publish()
        await asyncio.sleep(0.1)
        store.delete(f"servers/{leaving.incarnation}")
        removed = record.now()
        record.line(f"the entry of {leaving.incarnation} is removed; acknowledged by the store")
        await asyncio.sleep(SERVES_ON_S)
        stopping.set()
        await asyncio.gather(*senders)
        after = [at - removed for at, _ in leaving.runs if at > removed]
        late = [seconds for seconds in after if seconds > DRAIN_S]
        record.line(f"runs after the removal: {len(after)}, later than {DRAIN_S} s: {len(late)}")
        print(
            f"runs after the removal {len(after)}, late {len(late)}, last {max(after, default=0):.2f}"
        )
        return bool(late)
    finally:
        await deployment.close()


main(case)

"""TWICE: extra bytes behind one answer are read as the head of the answer to the next request."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from standins import Client, Node, Store, Upstream, main, manifest, route, wait_until_ready

ZONES = {"manila": "luzon", "baguio": "luzon"}
HOST = "filings.example"
SLOTS = 8
WORK_S = 0.12
BURSTS = 60
BURST_SIZE = 40
BURST_GAP_S = 0.25

# The garble disruption: half of the upstreams, for 5 s, 3 in 100 of their answers.
FAULTY = 2
FAULT_FROM_S = 5.0
FAULT_FOR_S = 5.0
EVERY = 33

# A rejection that breaks off within its head.
EXTRA = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: queue fu"


async def play(world, trouble):
    store = Store(world)
    await store.listen()
    upstreams = []
    for index in range(4):
        zone = ("manila", "baguio")[index % 2]
        upstream = Upstream(world, 11 + index, "filings", f"i-{index}", zone, SLOTS, WORK_S)
        await upstream.listen()
        upstreams.append(upstream)
        store.put(upstream.key, upstream.entry())
    filing = route("filing", HOST, "/file/", "filings", "non_idempotent")
    store.put("op/config", manifest(1, [filing], ["filings", "drafts"]))
    nodes = [
        Node(world, 11 + index, "filings", one.zone, ZONES, store)
        for index, one in enumerate(upstreams)
    ]
    fronts = [Node(world, 21, "drafts", "manila", ZONES, store)]
    for node in nodes + fronts:
        node.start()
    await wait_until_ready(nodes + fronts)
    await asyncio.sleep(1.0)
    clients = [Client(world, node, HOST) for node in fronts]
    started = world.record.now()
    counts = collections.Counter()

    def behave(upstream):
        def answer(request_id, headers, writer):
            counts[upstream.name] += 1
            since = world.record.now() - started
            is_time = FAULT_FROM_S <= since < FAULT_FROM_S + FAULT_FOR_S
            if trouble and is_time and counts[upstream.name] % EVERY == 0:
                world.record.add(f"{upstream.name} adds bytes behind its answer to {request_id}")
                return upstream.answer(request_id) + EXTRA
            return upstream.answer(request_id)

        return answer

    for upstream in upstreams[:FAULTY]:
        upstream.behave = behave(upstream)
    tasks = []
    for burst in range(BURSTS):
        for index in range(BURST_SIZE):
            client = clients[index % len(clients)]
            request_id = f"{burst:04x}{index:04x}"
            tasks.append(asyncio.create_task(client.request(request_id, f"/file/{burst}")))
        await asyncio.sleep(BURST_GAP_S)
    await asyncio.gather(*tasks)
    runs = collections.Counter()
    for upstream in upstreams:
        runs.update(upstream.runs)
    twice = sorted(request_id for request_id, count in runs.items() if count > 1)
    answers = collections.Counter(str(a) for client in clients for a in client.answers.values())
    refused = [
        request_id
        for client in clients
        for request_id, answer in client.answers.items()
        if answer in (429, 503, 408, 421) and runs[request_id]
    ]
    summary = (
        f"{len(tasks)} requests that may run once; answers {dict(answers)};"
        f" ran more than once: {len(twice)} {twice[:5]};"
        f" answered as not run though they ran: {len(refused)} {refused[:5]}"
    )
    return bool(twice or refused), summary


sys.exit(main(FOLDER, play))

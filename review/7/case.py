"""Fault: an answer without an end, in small chunks, takes the memory of a node."""

import asyncio
import collections
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from standins import Client, Node, Store, Upstream, main, manifest, route, wait_until_ready

ZONES = {"manila": "luzon", "baguio": "luzon"}
HOST = "drafts.example"
MEMORY_MB = 300
RESTART_S = 0.5
REQUESTS_PER_S = 20
FOR_S = 60.0

# The garble disruption: half of the upstreams, spells of 5 s, 2 in 100 of their answers.
FAULTY = 2
SPELLS = ((5.0, 10.0), (22.0, 27.0), (39.0, 44.0))
EVERY = 50

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECES = b"2\r\nab\r\n" * 8192


async def play(world, trouble):
    store = Store(world)
    await store.listen()
    upstreams = []
    nodes = []
    for index in range(4):
        zone = ("manila", "baguio")[index % 2]
        upstream = Upstream(world, 11 + index, "drafts", f"i-{index}", zone, 40, 0.05)
        await upstream.listen()
        upstreams.append(upstream)
        store.put(upstream.key, upstream.entry())
        nodes.append(Node(world, 11 + index, "drafts", zone, ZONES, store, MEMORY_MB))
    lookup = route("lookup", HOST, "/draft/", "drafts", "idempotent")
    store.put("op/config", manifest(1, [lookup], ["drafts"]))
    for node in nodes:
        node.start()
    await wait_until_ready(nodes)
    await asyncio.sleep(1.0)
    started = world.record.now()
    kills = collections.Counter()
    most = collections.Counter()
    ended = collections.Counter()
    floods = collections.Counter()
    counts = collections.Counter()

    def since():
        return world.record.now() - started

    def behave(upstream):
        async def flood(request_id, writer):
            floods[upstream.name] += 1
            world.record.add(f"{upstream.name} answers {request_id} with chunks without an end")
            writer.write(HEAD)
            sent = 0
            try:
                while not writer.transport.is_closing():
                    writer.write(PIECES)
                    sent += len(PIECES)
                    await writer.drain()
                    await asyncio.sleep(0)
            except OSError:
                pass
            world.record.add(f"{upstream.name}: closed by the node after {sent} bytes")

        def answer(request_id, headers, writer):
            counts[upstream.name] += 1
            is_time = any(begin <= since() < end for begin, end in SPELLS)
            if trouble and is_time and counts[upstream.name] % EVERY == 0:
                return flood(request_id, writer)
            return upstream.answer(request_id)

        return answer

    for upstream in upstreams[:FAULTY]:
        upstream.behave = behave(upstream)

    async def watch(node):
        """End a process that exceeds its memory, and start it again, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            used = node.memory_used_mb()
            most[node.number] = max(most[node.number], int(used))
            if node.is_running() and used <= node.memory_mb:
                continue
            if node.is_running():
                kills[node.number] += 1
                world.record.add(
                    f"node {node.number} uses {used:.0f} MB of {node.memory_mb}: killed"
                )
                node.signal(signal.SIGKILL)
                node.process.wait()
            else:
                ended[node.number] += 1
                world.record.add(f"node {node.number} ended by itself")
            await asyncio.sleep(RESTART_S)
            node.start()

    watchers = [asyncio.create_task(watch(node)) for node in nodes]
    clients = [Client(world, node, HOST) for node in nodes]
    tasks = []
    number = 0
    while since() < FOR_S:
        for client in clients:
            number += 1
            request_id = f"{number:08x}"
            tasks.append(
                asyncio.create_task(client.request(request_id, f"/draft/{number}", method="GET"))
            )
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    for watcher in watchers:
        watcher.cancel()
    answers = collections.Counter(str(a) for client in clients for a in client.answers.values())
    by_machine = {node.number: kills[node.number] + ended[node.number] for node in nodes}
    summary = (
        f"answers without an end: {dict(floods)}; memory at most, MB: {dict(most)} of {MEMORY_MB};"
        f" processes over their memory: {by_machine}; answers to clients: {dict(answers)}"
    )
    # A tenth of the machines, two at least, on which processes end three times.
    return sum(count >= 3 for count in by_machine.values()) >= 2, summary


sys.exit(main(FOLDER, play))

"""LOST: a node is stopped as planned while a client keeps requests in the pipeline.

Node 1 is the only node of its zone. A client at it sends an idempotent request every 150 ms on one
connection without waiting for answers; each takes 450 ms. Node 1 gets SIGTERM. The client goes on
until an answer says `Connection: close` or the connection ends.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from deployment import (  # noqa: E402
    TROUBLE,
    Deployment,
    attempt_id,
    main,
    manifest,
    read_message,
    route,
)

INTERVAL_S, WORK_MS, LIMIT_MS = 0.15, 450, 5000
BEFORE_S, AFTER_S = 3.0, 8.0
GRACE_S, EXCUSED_S = 6.0, 3.0
PLACES = {1: "baguio", 2: "manila", 3: "manila"}


async def case(folder):
    deployment = Deployment(folder, {"manila": "luzon", "baguio": "luzon"})
    record = deployment.record
    sent_at = {}
    outstanding = []
    state = {"closed": False, "ended": None}

    async def read_answers(reader):
        try:
            while True:
                first, headers, _ = await read_message(reader)
                attempt = outstanding.pop(0)
                option = headers.get("connection", "none")
                record.line(f"client gets {first.split(' ')[1]} for {attempt}, connection {option}")
                state["closed"] = state["closed"] or option == "close"
        except (OSError, asyncio.IncompleteReadError) as error:
            state["ended"] = record.now()
            record.line(f"the connection ends ({type(error).__name__}); unanswered: {outstanding}")

    try:
        lookups = [route("draft", "drafts")]
        deployment.store.put("op/config", manifest(12, lookups, ["drafts"]))
        for number, zone in PLACES.items():
            await deployment.add_target(number, "drafts", zone)
            await deployment.start_node(number, "drafts", zone)
        for number in PLACES:
            await deployment.wait_ready(number)
        await asyncio.sleep(3)
        reader, writer = await asyncio.open_connection(deployment.host(1), deployment.port + 1)
        answers = asyncio.create_task(read_answers(reader))
        started, terminated = record.now(), None
        while state["ended"] is None and not state["closed"]:
            if terminated is None and record.now() - started > BEFORE_S:
                terminated = record.now()
                if TROUBLE:
                    record.line("SIGTERM to node 1")
                    deployment.nodes[1].send_signal(signal.SIGTERM)
            if terminated is not None and record.now() - terminated > AFTER_S:
                break
            attempt = attempt_id()
            outstanding.append(attempt)
            sent_at[attempt] = record.now()
            record.line(f"client at node 1 sends {attempt}")
            writer.write(
                f"GET /draft/{WORK_MS}/ HTTP/1.1\r\nHost: mesh.example\r\n"
                f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {LIMIT_MS}\r\n\r\n".encode()
            )
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(2)
        answers.cancel()
        passed_on = {
            attempt for target in deployment.targets.values() for _, attempt in target.runs
        }
        lost = []
        for attempt in outstanding:
            if attempt not in passed_on or state["ended"] is None or terminated is None:
                continue
            after_s = sent_at[attempt] - terminated
            # A target that is still at work in the last sixth of the grace period excuses only
            # requests that were sent up to 3 s after SIGTERM.
            if after_s <= EXCUSED_S or state["ended"] > terminated + GRACE_S + 1.0:
                continue
            lost.append(attempt)
            record.line(f"LOST {attempt}: sent {after_s:.3f} s after SIGTERM, passed on, no answer")
        print(f"requests {len(sent_at)}, lost {len(lost)}")
        return bool(lost)
    finally:
        await deployment.close()


main(case)

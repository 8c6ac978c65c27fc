"""Guards the decision log against a slow or stalled reader."""

import asyncio
import json
import logging
import os
import unittest
from contextlib import suppress

from jacinthsail.internal.adapters.decision_log import (
    MAX_LINES_PER_WRITE,
    BufferedLineHandler,
    log_decision,
)
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.decisions import DecisionKind
from jacinthsail.internal.queries.decision_lines import decision_line
from tests.common.call_factories import call_context

CAPACITY = 100


class DecisionLogTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = BufferedLineHandler(self.writer, CAPACITY)
        self.handler.attach(asyncio.get_running_loop())

    def log(self, number, padding=""):
        text = f"line {number} {padding}"
        record = logging.LogRecord("test", logging.INFO, "", 0, text, None, None)
        self.handler.emit(record)

    async def fill_pipe(self):
        number = 0
        while not self.handler.partial_write:
            self.log(number, "x" * 5000)
            number += 1
            await asyncio.sleep(0.001)
            self.assertLess(number, 1000)
        return number

    async def test_unread_descriptor_keeps_memory_bounded(self):
        """A log that nobody reads would block the event loop or grow without bound."""
        number = await self.fill_pipe()
        for _ in range(10 * CAPACITY):
            self.log(number)
            number += 1
        await asyncio.sleep(0.2)
        self.assertLessEqual(len(self.handler.records), CAPACITY)
        self.assertGreaterEqual(self.handler.dropped, 9 * CAPACITY)
        self.assertLess(len(self.handler.partial_write), MAX_LINES_PER_WRITE * 6000)

    async def test_every_line_read_later_is_complete(self):
        """Dropping the rest of a partially written line would merge two lines into one."""
        number = await self.fill_pipe()
        for _ in range(10 * CAPACITY):
            self.log(number)
            number += 1
        read = b""
        async with asyncio.timeout(10):
            while self.handler.partial_write or self.handler.records:
                read += os.read(self.reader, 1 << 20)
                await asyncio.sleep(0.06)
        os.set_blocking(self.reader, False)
        with suppress(BlockingIOError):
            read += os.read(self.reader, 1 << 20)
        lines = [json.loads(line) for line in read.splitlines()]
        notices = [line for line in lines if "count" in line]
        self.assertEqual(len(notices), 1)
        self.assertEqual(len(lines) - 1 + notices[0]["count"], number)

    async def test_one_line_for_one_decision(self):
        """Decisions logged twice or in several lines could not be counted."""
        logger = logging.getLogger("jacinthsail.decisions")
        logger.addHandler(self.handler)
        self.addCleanup(logger.removeHandler, self.handler)
        level = logger.level
        logger.setLevel(logging.INFO)
        self.addCleanup(logger.setLevel, level)
        context = call_context()
        log_decision(decision_line(DecisionKind.ROUTE, context, "vm-2", Reason.RELAY, 5.0))
        async with asyncio.timeout(10):
            while self.handler.records:
                await asyncio.sleep(0.01)
        lines = os.read(self.reader, 65536).splitlines()
        self.assertEqual(len(lines), 1)
        line = json.loads(lines[0])
        self.assertEqual(line["request_id"], context.request_id)
        self.assertEqual((line["chosen"], line["reason"]), ("vm-2", "relay"))

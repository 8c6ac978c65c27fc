"""JSON log lines, one per routing or placement decision, that never block the loop.

Lines wait in a bounded buffer and are written to a non-blocking descriptor when it takes them. When
the buffer is full the oldest lines are dropped and their number is logged.
"""

import asyncio
import json
import logging
import os
from collections import deque

from jacinthsail.internal.model.decisions import DecisionLine

_LOG = logging.getLogger("jacinthsail.decisions")

# A pipe that nobody reads would otherwise be tried on every turn of the loop.
RETRY_WRITE_S = 0.05

# Formatting and writing a line between a call and its answer would add to the call's latency, and
# one write for several lines costs less than one for each.
GATHER_S = 0.01

# Lines that were taken for a write cannot be dropped any more, so a write takes only a few.
MAX_LINES_PER_WRITE = 50


def log_decision(line: DecisionLine) -> None:
    """Log one routing or placement decision."""
    if _LOG.isEnabledFor(logging.INFO):
        _LOG.info(line.decision, extra={"fields": line._asdict()})


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's fields, or its message, as one line."""
        fields = getattr(record, "fields", None)
        line = {"time": record.created, "level": record.levelname, "logger": record.name}
        if fields is None:
            line["message"] = record.getMessage()
        else:
            line.update(fields)
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line)


class BufferedLineHandler(logging.Handler):
    """Keeps a bounded number of lines and writes them when the descriptor is ready."""

    def __init__(self, descriptor: int, capacity: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.capacity = capacity
        self.records: deque[logging.LogRecord] = deque()
        self.half_written = b""
        self.dropped = 0
        self.loop: asyncio.AbstractEventLoop | None = None
        self.waiting = False
        self.setFormatter(JsonFormatter())

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write lines from this loop from now on."""
        os.set_blocking(self.descriptor, False)
        self.loop = loop
        self._schedule()

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one record."""
        if len(self.records) >= self.capacity:
            self.records.popleft()
            self.dropped += 1
        self.records.append(record)
        self._schedule()

    def _schedule(self) -> None:
        if self.loop is None or self.waiting or self.loop.is_closed():
            return
        self.waiting = True
        self.loop.call_later(GATHER_S, self.drain)

    def drain(self) -> None:
        """Write as many lines as the descriptor takes now."""
        self.waiting = False
        try:
            while self.half_written or self.records or self.dropped:
                self._write_one()
        except BlockingIOError:
            self._try_later()
        except OSError:
            # Nobody can ever read this descriptor again, so the lines have no use.
            self.records.clear()

    def _write_one(self) -> None:
        if not self.half_written:
            self.half_written = self._next_chunk()
        written = os.write(self.descriptor, self.half_written)
        self.half_written = self.half_written[written:]

    def _next_chunk(self) -> bytes:
        """Take lines off the buffer; they are counted as written even if the end comes later."""
        chunk = []
        if self.dropped:
            notice = {"level": "WARNING", "message": "log lines dropped", "count": self.dropped}
            chunk.append(json.dumps(notice).encode() + b"\n")
            self.dropped = 0
        while self.records and len(chunk) < MAX_LINES_PER_WRITE:
            chunk.append(self.format(self.records.popleft()).encode() + b"\n")
        return b"".join(chunk)

    def _try_later(self) -> None:
        if self.loop is not None and not self.loop.is_closed():
            self.waiting = True
            self.loop.call_later(RETRY_WRITE_S, self.drain)

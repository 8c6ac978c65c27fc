"""JSON log lines, one per routing or placement decision, that never block the loop.

Lines wait in a bounded buffer and are written to a non-blocking descriptor when it takes them. When
the buffer is full the oldest lines are dropped and their number is logged.
"""

import asyncio
import json
import logging
import os
from collections import deque

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.decisions import DecisionLine

_LOG = logging.getLogger("jacinthsail.decisions")

# A pipe that nobody reads would otherwise be tried on every turn of the loop.
RETRY_WRITE_S = 0.05

# Formatting and writing a line between a call and its answer would add to the call's latency, and
# one write for several lines costs less than one for each.
GATHER_S = 0.01

# Lines that were taken for a write cannot be dropped any more, so a write takes only a few.
MAX_LINES_PER_WRITE = 50

# Lines about requests in a second; the volume stays bounded however many requests there are.
ROUTINE_LINES_PER_S = 5.0
OTHER_LINES_PER_S = 40.0


def log_decision(line: DecisionLine) -> None:
    """Log one routing or placement decision.

    The record is made here because the logger would walk the stack to find the calling line, which
    is the same for every decision.
    """
    if not _LOG.isEnabledFor(logging.INFO):
        return
    record = logging.LogRecord(_LOG.name, logging.INFO, __file__, 0, line.decision, None, None)
    record.decision_line = line
    _LOG.handle(record)


class LineBudget:
    """Bounds the lines about routine requests, so that logs stay small under load.

    Lines about refusals, repeats and failures have a larger budget of their own.
    """

    def __init__(self, lines_per_s: float) -> None:
        self.lines_per_s = lines_per_s
        self.tokens = lines_per_s
        self.counted_at = 0.0
        self.left_out = 0

    def take(self, now: float) -> bool:
        """Tell whether one more line may be written at this time."""
        passed_s = max(0.0, now - self.counted_at)
        self.counted_at = now
        self.tokens = min(self.lines_per_s, self.tokens + passed_s * self.lines_per_s)
        if self.tokens < 1:
            self.left_out += 1
            return False
        self.tokens -= 1
        return True


_ROUTINE_LINES = LineBudget(ROUTINE_LINES_PER_S)
_OTHER_LINES = LineBudget(OTHER_LINES_PER_S)


def log_request(
    event: str,
    request_id: str,
    reason: Reason,
    now: float,
    *,
    is_routine: bool = False,
    **inputs: object,
) -> None:
    """Log one decision about a request with what decided it."""
    budget = _ROUTINE_LINES if is_routine else _OTHER_LINES
    if not budget.take(now) or not _LOG.isEnabledFor(logging.INFO):
        return
    line: dict[str, object] = {"decision": event, "request_id": request_id, "reason": reason}
    line.update(inputs)
    if budget.left_out:
        line["left_out"] = budget.left_out
        budget.left_out = 0
    record = logging.LogRecord(_LOG.name, logging.INFO, __file__, 0, event, None, None)
    record.request_line = line
    _LOG.handle(record)


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's fields, or its message, as one line."""
        decision: DecisionLine | None = getattr(record, "decision_line", None)
        line = {"time": record.created, "level": record.levelname, "logger": record.name}
        request_line: dict[str, object] | None = getattr(record, "request_line", None)
        if request_line is not None:
            line.update(request_line)
        elif decision is None:
            line["message"] = record.getMessage()
        else:
            line.update(decision._asdict())
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

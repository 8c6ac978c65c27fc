"""JSON log lines, one per routing or placement decision, written without blocking the loop.

Lines are kept in a bounded buffer and written to a non-blocking descriptor when it is ready. When
the buffer is full, the oldest lines are dropped and their number is logged.
"""

import asyncio
import json
import logging
import os
from collections import deque

from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.decisions import DecisionLine

_LOG = logging.getLogger("jacinthsail.decisions")

# A pipe that nobody reads would otherwise be retried on every iteration of the event loop.
WRITE_RETRY_DELAY_S = 0.05

# Formatting and writing a line before a call's response would add to the call's latency, and one
# write for several lines costs less than one write for each.
BATCH_DELAY_S = 0.01

# Lines taken for a write can no longer be dropped, so a write takes only a few.
MAX_LINES_PER_WRITE = 50

# Log lines about requests per second; they bound the log volume at any request rate.
ROUTINE_LINES_PER_S = 5.0
OTHER_LINES_PER_S = 40.0


def log_decision(line: DecisionLine) -> None:
    """Log one routing or placement decision.

    The record is created here because the logger would walk the stack to find the caller's line,
    which is the same for every decision.
    """
    if not _LOG.isEnabledFor(logging.INFO):
        return
    record = logging.LogRecord(_LOG.name, logging.INFO, __file__, 0, line.decision, None, None)
    record.decision_line = line
    _LOG.handle(record)


class LineRateLimiter:
    """Token bucket that limits log lines about requests, so that logs stay small under load.

    Routine requests have one limiter; refusals, retries and failures have another with a higher
    limit.
    """

    def __init__(self, lines_per_s: float) -> None:
        self.lines_per_s = lines_per_s
        self.tokens = lines_per_s
        self.refilled_at = 0.0
        self.omitted_lines = 0

    def try_acquire(self, now: float) -> bool:
        """Return whether another line may be written now, and take a token for it."""
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        self.tokens = min(self.lines_per_s, self.tokens + elapsed_s * self.lines_per_s)
        if self.tokens < 1:
            self.omitted_lines += 1
            return False
        self.tokens -= 1
        return True


_ROUTINE_LIMITER = LineRateLimiter(ROUTINE_LINES_PER_S)
_OTHER_LIMITER = LineRateLimiter(OTHER_LINES_PER_S)


def log_request(
    event: str,
    request_id: str,
    reason: Reason,
    now: float,
    *,
    is_routine: bool = False,
    **inputs: object,
) -> None:
    """Log one decision about a request with the inputs of the decision."""
    limiter = _ROUTINE_LIMITER if is_routine else _OTHER_LIMITER
    if not limiter.try_acquire(now) or not _LOG.isEnabledFor(logging.INFO):
        return
    line: dict[str, object] = {"decision": event, "request_id": request_id, "reason": reason}
    line.update(inputs)
    if limiter.omitted_lines:
        line["left_out"] = limiter.omitted_lines
        limiter.omitted_lines = 0
    record = logging.LogRecord(_LOG.name, logging.INFO, __file__, 0, event, None, None)
    record.request_line = line
    _LOG.handle(record)


class JsonFormatter(logging.Formatter):
    """Formats a log record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the fields of a decision, or the message of a record, as one JSON line."""
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
    """Buffers a bounded number of records and writes them when the descriptor is ready."""

    def __init__(self, descriptor: int, capacity: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.capacity = capacity
        self.records: deque[logging.LogRecord] = deque()
        self.partial_write = b""
        self.dropped = 0
        self.loop: asyncio.AbstractEventLoop | None = None
        self.write_scheduled = False
        self.setFormatter(JsonFormatter())

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start writing buffered lines from this event loop."""
        os.set_blocking(self.descriptor, False)
        self.loop = loop
        self._schedule()

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a record; drops the oldest one if the buffer is full."""
        if len(self.records) >= self.capacity:
            self.records.popleft()
            self.dropped += 1
        self.records.append(record)
        self._schedule()

    def _schedule(self) -> None:
        if self.loop is None or self.write_scheduled or self.loop.is_closed():
            return
        self.write_scheduled = True
        self.loop.call_later(BATCH_DELAY_S, self.drain)

    def drain(self) -> None:
        """Write as many lines as the descriptor accepts without blocking."""
        self.write_scheduled = False
        try:
            while self.partial_write or self.records or self.dropped:
                self._write_chunk()
        except BlockingIOError:
            self._schedule_retry()
        except OSError:
            # The reading end is closed for good, so the lines cannot be delivered.
            self.records.clear()

    def _write_chunk(self) -> None:
        if not self.partial_write:
            self.partial_write = self._next_chunk()
        written = os.write(self.descriptor, self.partial_write)
        self.partial_write = self.partial_write[written:]

    def _next_chunk(self) -> bytes:
        """Return the next lines as bytes; lines taken from the buffer can no longer be dropped."""
        chunk = []
        if self.dropped:
            notice = {"level": "WARNING", "message": "log lines dropped", "count": self.dropped}
            chunk.append(json.dumps(notice).encode() + b"\n")
            self.dropped = 0
        while self.records and len(chunk) < MAX_LINES_PER_WRITE:
            chunk.append(self.format(self.records.popleft()).encode() + b"\n")
        return b"".join(chunk)

    def _schedule_retry(self) -> None:
        if self.loop is not None and not self.loop.is_closed():
            self.write_scheduled = True
            self.loop.call_later(WRITE_RETRY_DELAY_S, self.drain)

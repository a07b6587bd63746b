"""Log output to a file descriptor that never blocks on a slow reader.

Lines about the process itself are written before lines about single requests, and only the latter
are limited per interval, so that a burst of requests does not hide what the process believed. Each
write consists of whole lines and is at most as long as a pipe accepts atomically.
"""

from __future__ import annotations

import logging
import os
import select
from collections import deque

import anyio

log = logging.getLogger(__name__)

MAX_BUFFERED_LINES = 5_000  # of each of the two sorts; about 1 MB of lines
MAX_REQUEST_LINES_PER_FLUSH = 500
FLUSH_INTERVAL_S = 0.25
REQUEST_FIELDS = (" job=", " path=")


class BufferedLogHandler(logging.Handler):
    """Buffers lines until the next flush; those over a limit are dropped and counted."""

    def __init__(self, *, descriptor: int) -> None:
        """Create a handler that writes to a file descriptor."""
        super().__init__()
        self.dropped_count = 0
        self.dropped_request_count = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._request_lines: deque[bytes] = deque()
        self._request_lines_since_flush = 0
        self._unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line."""
        if _is_request_line(record):
            self._emit_request_line(record)
        elif len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped_count += 1
        else:
            self._lines.append(self._encode(record))

    def _emit_request_line(self, record: logging.LogRecord) -> None:
        is_over_limit = self._request_lines_since_flush >= MAX_REQUEST_LINES_PER_FLUSH
        if is_over_limit or len(self._request_lines) >= MAX_BUFFERED_LINES:
            self.dropped_request_count += 1
            return
        self._request_lines_since_flush += 1
        self._request_lines.append(self._encode(record))

    def _encode(self, record: logging.LogRecord) -> bytes:
        return f"{self.format(record)}\n".encode(errors="replace")

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        self._request_lines_since_flush = 0
        while self._unwritten or self._lines or self._request_lines:
            if not self._unwritten:
                self._unwritten = self._next_piece()
            try:
                written = os.write(self._descriptor, self._unwritten[: select.PIPE_BUF])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the descriptor, so there is nowhere to log this error.
                self._lines.clear()
                self._request_lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _next_piece(self) -> bytes:
        """Remove and return the next lines, as many as one atomic write takes, at least one."""
        lines = self._lines or self._request_lines
        piece = [lines.popleft()]
        size_bytes = len(piece[0])
        while lines and size_bytes + len(lines[0]) <= select.PIPE_BUF:
            size_bytes += len(lines[0])
            piece.append(lines.popleft())
        return b"".join(piece)

    async def run(self) -> None:
        """Flush until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self._report_dropped()
            self.flush()

    def _report_dropped(self) -> None:
        """Log how many lines were dropped since the last report."""
        count, request_count = self.dropped_count, self.dropped_request_count
        self.dropped_count = self.dropped_request_count = 0
        if count or request_count:
            log.warning("log: lines dropped count=%d of_requests=%d", count, request_count)


def _is_request_line(record: logging.LogRecord) -> bool:
    """Return whether a line is about a single request."""
    return any(field in str(record.msg) for field in REQUEST_FIELDS)

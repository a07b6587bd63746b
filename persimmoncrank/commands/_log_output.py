"""Log output to a file descriptor that never blocks on a slow reader."""

from __future__ import annotations

import logging
import os
from collections import deque

import anyio

log = logging.getLogger(__name__)

MAX_BUFFERED_LINES = 5_000  # about 1 MB of lines
FLUSH_INTERVAL_S = 0.25
MAX_WRITE_BYTES = 65_536  # the usual size of a pipe


class BufferedLogHandler(logging.Handler):
    """Buffers up to ``MAX_BUFFERED_LINES`` lines; further lines are dropped and counted."""

    def __init__(self, *, descriptor: int) -> None:
        """Create a handler that writes to a file descriptor."""
        super().__init__()
        self.dropped_count = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped_count += 1
            return
        self._lines.append(f"{self.format(record)}\n".encode())

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._unwritten or self._lines:
            while self._lines and len(self._unwritten) < MAX_WRITE_BYTES:
                self._unwritten += self._lines.popleft()
            try:
                written = os.write(self._descriptor, self._unwritten[:MAX_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the descriptor, so there is nowhere to log this error.
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    async def run(self) -> None:
        """Flush until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            if self.dropped_count:
                count, self.dropped_count = self.dropped_count, 0
                log.warning("log: lines dropped count=%d", count)
            self.flush()

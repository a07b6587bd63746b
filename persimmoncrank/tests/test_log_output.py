"""Tests of log output that never blocks on its reader."""

from __future__ import annotations

import logging
import os

from persimmoncrank.commands import _log_output
from persimmoncrank.commands._log_output import BufferedLogHandler


def test_blocked_reader_drops_lines_without_blocking() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    handler = BufferedLogHandler(descriptor=writer)
    record = logging.LogRecord("x", logging.INFO, "p", 1, "a" * 200, None, None)
    for _ in range(_log_output.MAX_BUFFERED_LINES + 7):
        handler.emit(record)
    handler.flush()
    assert handler.dropped_count == 7
    assert len(os.read(reader, 1_000)) == 1_000
    os.close(reader)
    handler.flush()
    os.close(writer)

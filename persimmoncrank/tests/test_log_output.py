"""Tests of log output that never blocks on its reader."""

from __future__ import annotations

import logging
import os
import select
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.commands import _log_output
from persimmoncrank.commands._log_output import BufferedLogHandler

if TYPE_CHECKING:
    import pytest


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


def make_record(message: str, *args: object) -> logging.LogRecord:
    return logging.LogRecord("x", logging.INFO, "p", 1, message, args, None)


def test_lines_of_requests_hide_the_state_of_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    pieces: list[bytes] = []

    def write(_descriptor: int, data: bytes) -> int:
        pieces.append(data)
        return len(data)

    monkeypatch.setattr(_log_output.os, "write", write)
    handler = BufferedLogHandler(descriptor=-1)
    limit = _log_output.MAX_REQUEST_LINES_PER_FLUSH
    for number in range(limit + 30):
        handler.emit(make_record("entry: job admitted job=%d queue=%s", number, "q" * 200))
    handler.emit(make_record("config: store not reachable version=%d", 7))
    handler.flush()
    assert pieces[0] == b"config: store not reachable version=7\n"
    assert handler.dropped_request_count == 30
    assert b"".join(pieces).count(b"\n") == limit + 1
    assert all(piece.endswith(b"\n") and len(piece) <= select.PIPE_BUF for piece in pieces)


def test_dropped_lines_are_reported_with_their_number() -> None:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    handler = BufferedLogHandler(descriptor=writer)
    package_log = logging.getLogger("persimmoncrank")
    package_log.addHandler(handler)
    handler.dropped_request_count = 3

    async def main() -> None:
        with anyio.move_on_after(2 * _log_output.FLUSH_INTERVAL_S):
            await handler.run()

    try:
        anyio.run(main)
    finally:
        package_log.removeHandler(handler)
    assert b"log: lines dropped count=0 of_requests=3" in os.read(reader, 1_000)
    os.close(reader)
    os.close(writer)

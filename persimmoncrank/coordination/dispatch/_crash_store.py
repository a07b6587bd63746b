"""Crashes of workers in the platform's store, for entries that start when all others have stopped.

Running entries hear of crashes from the agents. The store is written once for each crash and
assigned entry, and read when an entry starts.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from typing import TYPE_CHECKING

import anyio
import msgspec
from result import Err, Ok

from persimmoncrank.protocol import (
    Transaction,
    WorkerCrash,
    Write,
    encode_message,
    try_decode_message,
)
from persimmoncrank.state import CRASH_RETENTION_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from anyio.streams.memory import MemoryObjectReceiveStream

    from persimmoncrank.protocol import Row, TableService

log = logging.getLogger(__name__)

CRASH_TABLE = "crashes"
RETRY_INTERVAL_S = 0.2
FIRST_READ_TIMEOUT_S = 0.1  # then an entry serves callers without the stored crashes
READ_RETRY_INTERVAL_S = 0.5
CLEANUP_INTERVAL_S = 10.0
MAX_DELETES = 50


class _StoredCrash(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A row's value; ``at_unix_s`` is the time of the crash by the clock of its writer."""

    crash: WorkerCrash
    at_unix_s: float


async def load_crashes(
    *,
    table: TableService,
    record: Callable[[WorkerCrash], object],
    unix_time: Callable[[], float],
    on_ready: Callable[[], None],
) -> None:
    """Read the stored crashes and record those that are recent, then call ``on_ready``.

    If the store does not answer at once, ``on_ready`` is called without them, and the read is
    repeated until it succeeds.
    """
    rows = await _read_rows(table, timeout_s=FIRST_READ_TIMEOUT_S)
    expired = _record_rows(rows or (), record, unix_time())
    on_ready()
    while rows is None:
        await anyio.sleep(READ_RETRY_INTERVAL_S)
        rows = await _read_rows(table, timeout_s=math.inf)
        expired = _record_rows(rows or (), record, unix_time())
    for first in range(0, len(expired), MAX_DELETES):
        await _delete(table, expired[first : first + MAX_DELETES])


async def _read_rows(table: TableService, *, timeout_s: float) -> tuple[Row, ...] | None:
    """Return the stored crashes, or None if the store does not answer in time."""
    cause = "no answer in time"
    with anyio.move_on_after(timeout_s):
        match await table.scan(f"{CRASH_TABLE}/", 0):
            case Ok(found):
                return found.rows
            case Err(error):
                cause = error.message
    log.warning("entry: crashes not read from the store cause=%s", cause)
    return None


def _record_rows(
    rows: tuple[Row, ...], record: Callable[[WorkerCrash], object], now_unix_s: float
) -> list[str]:
    """Record the recent crashes; return the keys of expired ones that their writers left behind."""
    expired: list[str] = []
    recent = 0
    for row in rows:
        stored = try_decode_message(row.value, _StoredCrash, name=row.key)
        if stored is None or not math.isfinite(stored.at_unix_s):
            continue
        age_s = max(now_unix_s - stored.at_unix_s, 0.0)
        if age_s > CRASH_RETENTION_S:
            expired.append(row.key)
        else:
            record(msgspec.structs.replace(stored.crash, age_s=age_s))
            recent += 1
    if rows:
        log.info("entry: crashes read from the store recent=%d expired=%d", recent, len(expired))
    return expired


async def store_crashes(
    *,
    table: TableService,
    crashes: MemoryObjectReceiveStream[WorkerCrash],
    unix_time: Callable[[], float],
) -> None:
    """Write each crash that arrives, and delete it after its retention."""
    written: deque[tuple[float, str]] = deque()

    async def clean_up() -> None:
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            expired_s = anyio.current_time() - CRASH_RETENTION_S
            while written and written[0][0] < expired_s:
                count = min(len(written), MAX_DELETES)
                keys = [written.popleft()[1] for _ in range(count) if written[0][0] < expired_s]
                await _delete(table, keys)

    async with anyio.create_task_group() as group:
        group.start_soon(clean_up)
        async for crash in crashes:
            key = await _write(table, crash, unix_time() - crash.age_s)
            written.append((anyio.current_time(), key))


async def _write(table: TableService, crash: WorkerCrash, at_unix_s: float) -> str:
    key = f"{CRASH_TABLE}/{crash.worker}.{crash.incarnation}"
    value = encode_message(_StoredCrash(crash=crash, at_unix_s=at_unix_s))
    write = Write(key=key, value=value, expected_version=None)
    while True:
        match await table.transact(Transaction(writes=(write,))):
            case Ok(_):
                return key
            case Err(error):
                log.info("entry: storing a crash failed key=%s cause=%s", key, error.message)
                await anyio.sleep(RETRY_INTERVAL_S)


async def _delete(table: TableService, keys: Iterable[str]) -> None:
    writes = tuple(Write(key=key, value=None, expected_version=None) for key in keys)
    if not writes:
        return
    answer = await table.transact(Transaction(writes=writes))
    if answer.is_err():
        cause = answer.unwrap_err().message
        log.info("entry: deleting stored crashes failed rows=%d cause=%s", len(writes), cause)

"""Cancelled jobs as rows of the platform's store, one row a job, many rows a transaction.

Load pattern: waves of cancels. Cancels that arrive while a transaction is under way, or within a
tenth of a second after it, share the next one, so that an entry makes at most ten calls a second.
"""

from __future__ import annotations

import logging
import math
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import anyio
import msgspec
from result import Err, Ok

from persimmoncrank.protocol import Transaction, Write, encode_message, try_decode_message
from persimmoncrank.state import CANCELLATION_RETENTION_S, MAX_CANCELLATIONS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from persimmoncrank.protocol import TableService

log = logging.getLogger(__name__)

CANCEL_TABLE = "cancels"
MAX_ROWS_PER_TRANSACTION = 100  # the store's limit
WRITE_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.2
CLEANUP_INTERVAL_S = 10.0
LEFT_BEHIND_AFTER_S = 2 * CANCELLATION_RETENTION_S  # the writer deletes its rows before that


class _StoredCancel(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A row's value; ``at_unix_s`` is the time of the cancel by the clock of its writer."""

    at_unix_s: float


class CancelRows:
    """Writes the cancels of one entry, and deletes them after their retention."""

    def __init__(
        self,
        *,
        table: TableService,
        unix_time: Callable[[], float],
        on_stored: Callable[[tuple[str, ...]], None],
    ) -> None:
        """Create a writer; ``on_stored`` receives the ids of jobs whose rows are written."""
        self._table = table
        self._unix_time = unix_time
        self._on_stored = on_stored
        self._unwritten: OrderedDict[str, float] = OrderedDict()
        self._written: deque[tuple[float, str]] = deque()
        self._added = anyio.Event()

    def add(self, job_id: str) -> None:
        """Write the cancel of a job with the next transaction."""
        self._unwritten.setdefault(job_id, self._unix_time())
        while len(self._unwritten) > MAX_CANCELLATIONS:
            self._unwritten.popitem(last=False)
        self._added.set()

    async def run(self) -> None:
        """Write and delete rows until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_cleanup)
            while True:
                await self._added.wait()
                self._added = anyio.Event()
                while self._unwritten:
                    await self._write_batch()

    async def _write_batch(self) -> None:
        batch = tuple(self._unwritten.items())[:MAX_ROWS_PER_TRANSACTION]
        writes = tuple(
            Write(
                key=_key(job_id),
                value=encode_message(_StoredCancel(at_unix_s=at_unix_s)),
                expected_version=None,
            )
            for job_id, at_unix_s in batch
        )
        match await self._table.transact(Transaction(writes=writes)):
            case Ok(_):
                job_ids = tuple(job_id for job_id, _ in batch)
                for job_id in job_ids:
                    self._unwritten.pop(job_id, None)
                    self._written.append((anyio.current_time(), job_id))
                self._on_stored(job_ids)
                await anyio.sleep(WRITE_INTERVAL_S)
            case Err(error):
                log.info("entry: cancels not stored jobs=%d cause=%s", len(batch), error.message)
                await anyio.sleep(RETRY_INTERVAL_S)

    async def _run_cleanup(self) -> None:
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            expired_s = anyio.current_time() - CANCELLATION_RETENTION_S
            expired: list[str] = []
            while self._written and self._written[0][0] < expired_s:
                expired.append(_key(self._written.popleft()[1]))
            await _delete(self._table, expired)


async def read_cancelled_jobs(
    *, table: TableService, unix_time: Callable[[], float]
) -> tuple[str, ...] | None:
    """Return the ids of the stored jobs, or None if the store does not answer.

    Rows that their writers have left behind are deleted.
    """
    match await table.scan(f"{CANCEL_TABLE}/", 0):
        case Err(error):
            log.debug("entry: cancels not read from the store cause=%s", error.message)
            return None
        case Ok(found):
            rows = found.rows
    recent: list[str] = []
    left_behind: list[str] = []
    for row in rows:
        stored = try_decode_message(row.value, _StoredCancel, name=row.key)
        if stored is None or not math.isfinite(stored.at_unix_s):
            continue
        is_left_behind = unix_time() - stored.at_unix_s > LEFT_BEHIND_AFTER_S
        (left_behind if is_left_behind else recent).append(row.key)
    if rows:
        log.info("entry: cancels read from the store jobs=%d", len(recent))
    await _delete(table, left_behind)
    return tuple(key.partition("/")[2] for key in recent)


async def _delete(table: TableService, keys: Iterable[str]) -> None:
    """Delete rows; those that cannot be deleted are left to the next entry that starts."""
    pending = list(keys)
    for first in range(0, len(pending), MAX_ROWS_PER_TRANSACTION):
        writes = tuple(
            Write(key=key, value=None, expected_version=None)
            for key in pending[first : first + MAX_ROWS_PER_TRANSACTION]
        )
        answer = await table.transact(Transaction(writes=writes))
        if answer.is_err():
            cause = answer.unwrap_err().message
            log.info("entry: deleting stored cancels failed rows=%d cause=%s", len(writes), cause)


def _key(job_id: str) -> str:
    return f"{CANCEL_TABLE}/{job_id}"

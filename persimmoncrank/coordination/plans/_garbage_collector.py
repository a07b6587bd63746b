"""Dropping rows of the store that no submission can need any more."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.coordination.configuration import APPLIED_ROWS_PREFIX
from persimmoncrank.coordination.membership import AGENT_ROWS_PREFIX
from persimmoncrank.coordination.plans._plans import PLAN_ROWS_PREFIX
from persimmoncrank.protocol import (
    AgentRow,
    AgentStatus,
    ConfigHead,
    Plan,
    Row,
    TableService,
    Transaction,
    Write,
    decode_message,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmoncrank.state import AgentViews

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 30.0
PLANS_CHECK_INTERVAL_S = 3_600.0
KEEP_PLANS_MS = 7 * 24 * 3_600 * 1_000
"""How long a plan and the proof that it took effect can be shown."""


class GarbageCollector:
    """Deletes the rows of agents absent longer than any submission id lives, and of old plans."""

    def __init__(
        self,
        *,
        table: TableService,
        views: AgentViews,
        keep_s: float,
        unix_ms: Callable[[], int],
    ) -> None:
        """Create a collector that has seen no absent agent yet."""
        self._table = table
        self._views = views
        self._keep_s = keep_s
        self._unix_ms = unix_ms
        self._absent_since_s: dict[str, float] = {}

    async def run(self, *, may_delete: Callable[[], bool]) -> None:
        """Check the rows at intervals until cancelled."""
        plans_checked_at_s = anyio.current_time()
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not may_delete():
                continue
            await self.check()
            if anyio.current_time() - plans_checked_at_s >= PLANS_CHECK_INTERVAL_S:
                plans_checked_at_s = anyio.current_time()
                await self.check_plans()

    async def check_plans(self) -> None:
        """Delete the rows of plans that were proposed or written long ago."""
        oldest_unix_ms = self._unix_ms() - KEEP_PLANS_MS
        for prefix, written_at in _WRITTEN_AT.items():
            scanned = await self._table.scan(prefix, 0)
            for row in scanned.map(lambda found: found.rows).unwrap_or(()):
                if written_at(row) < oldest_unix_ms:
                    await self._delete(row)

    async def check(self) -> None:
        """Look for absent agents once; delete the rows of those absent long enough."""
        scanned = await self._table.scan(AGENT_ROWS_PREFIX, 0)
        if scanned.is_err():
            return
        now_s = anyio.current_time()
        rows = {row.key: row for row in scanned.unwrap().rows if self._is_absent(row)}
        self._absent_since_s = {key: self._absent_since_s.get(key, now_s) for key in rows}
        for key, row in rows.items():
            if now_s - self._absent_since_s[key] >= self._keep_s:
                await self._delete(row)

    def _is_absent(self, row: Row) -> bool:
        incarnation = decode_message(row.value, AgentRow).info.incarnation
        view = self._views.get(incarnation)
        return view is None or view.status == AgentStatus.GONE

    async def _delete(self, row: Row) -> None:
        write = Write(key=row.key, value=None, expected_version=row.version)
        deleted = await self._table.transact(Transaction(writes=(write,)))
        log.info("gc: row dropped key=%s is_done=%s", row.key, deleted.is_ok())


def _plan_written_at(row: Row) -> int:
    return decode_message(row.value, Plan).proposed_at_unix_ms


def _applied_written_at(row: Row) -> int:
    return decode_message(row.value, ConfigHead).written_at_unix_ms


_WRITTEN_AT = {PLAN_ROWS_PREFIX: _plan_written_at, APPLIED_ROWS_PREFIX: _applied_written_at}

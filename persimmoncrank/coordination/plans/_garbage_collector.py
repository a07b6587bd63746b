"""Deletion of store rows that are no longer needed."""

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
    try_decode_message,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmoncrank.state import AgentViews

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 30.0
PLANS_CHECK_INTERVAL_S = 3_600.0
PLAN_RETENTION_MS = 7 * 24 * 3_600 * 1_000
"""How long a plan and the record that it was applied are retained."""


class GarbageCollector:
    """Deletes the rows of old plans and of agents that have been absent for ``retention_s``.

    ``retention_s`` should exceed the lifetime of a submission id: recovery needs the rows until
    then.
    """

    def __init__(
        self,
        *,
        table: TableService,
        views: AgentViews,
        retention_s: float,
        unix_ms: Callable[[], int],
    ) -> None:
        """Create a collector that has not recorded any agent as absent yet."""
        self._table = table
        self._views = views
        self._retention_s = retention_s
        self._unix_ms = unix_ms
        self._absent_since_s: dict[str, float] = {}

    async def run(self, *, may_delete: Callable[[], bool]) -> None:
        """Delete old rows at intervals until cancelled, whenever ``may_delete`` returns True."""
        plans_checked_at_s = anyio.current_time()
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not may_delete():
                continue
            await self.delete_absent_agents()
            if anyio.current_time() - plans_checked_at_s >= PLANS_CHECK_INTERVAL_S:
                plans_checked_at_s = anyio.current_time()
                await self.delete_old_plans()

    async def delete_old_plans(self) -> None:
        """Delete the rows of plans proposed or applied longer ago than the retention period."""
        cutoff_unix_ms = self._unix_ms() - PLAN_RETENTION_MS
        for prefix, timestamp_of in _TIMESTAMP_READERS.items():
            scanned = await self._table.scan(prefix, 0)
            for row in scanned.map(lambda found: found.rows).unwrap_or(()):
                timestamp_ms = timestamp_of(row)
                if timestamp_ms is not None and timestamp_ms < cutoff_unix_ms:
                    await self._delete(row)

    async def delete_absent_agents(self) -> None:
        """Record absent agents, and delete the rows of those absent for ``retention_s``."""
        scanned = await self._table.scan(AGENT_ROWS_PREFIX, 0)
        if scanned.is_err():
            return
        now_s = anyio.current_time()
        rows = {row.key: row for row in scanned.unwrap().rows if self._is_absent(row)}
        self._absent_since_s = {key: self._absent_since_s.get(key, now_s) for key in rows}
        for key, row in rows.items():
            if now_s - self._absent_since_s[key] >= self._retention_s:
                await self._delete(row)

    def _is_absent(self, row: Row) -> bool:
        agent_row = try_decode_message(row.value, AgentRow, name=row.key)
        if agent_row is None:
            return False
        view = self._views.get(agent_row.info.incarnation)
        return view is None or view.status == AgentStatus.GONE

    async def _delete(self, row: Row) -> None:
        write = Write(key=row.key, value=None, expected_version=row.version)
        deleted = await self._table.transact(Transaction(writes=(write,)))
        log.info("gc: row deleted key=%s is_done=%s", row.key, deleted.is_ok())


def _proposed_at_unix_ms(row: Row) -> int | None:
    plan = try_decode_message(row.value, Plan, name=row.key)
    return None if plan is None else plan.proposed_at_unix_ms


def _applied_at_unix_ms(row: Row) -> int | None:
    head = try_decode_message(row.value, ConfigHead, name=row.key)
    return None if head is None else head.written_at_unix_ms


_TIMESTAMP_READERS = {
    PLAN_ROWS_PREFIX: _proposed_at_unix_ms,
    APPLIED_ROWS_PREFIX: _applied_at_unix_ms,
}

"""Dropping rows of the store that no submission can need any more."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.coordination._entry_membership import AGENT_ROWS_PREFIX
from persimmoncrank.protocol import (
    AgentRow,
    AgentStatus,
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


class Janitor:
    """Deletes the rows of agents that were absent longer than any submission id lives."""

    def __init__(self, *, table: TableService, views: AgentViews, keep_s: float) -> None:
        """Create a janitor that has seen no absent agent yet."""
        self._table = table
        self._views = views
        self._keep_s = keep_s
        self._absent_since_s: dict[str, float] = {}

    async def run(self, *, may_delete: Callable[[], bool]) -> None:
        """Check the rows at intervals until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if may_delete():
                await self.check()

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
        log.info("membership: agent row dropped key=%s is_done=%s", row.key, deleted.is_ok())

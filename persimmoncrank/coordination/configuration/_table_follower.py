"""Replication of one table of the platform's store, across outages and truncated change history."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok

from persimmoncrank.protocol import StoreErrorKind

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from persimmoncrank.protocol import RowChanges, TableFeed

log = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 1.0  # limits the delay before an unresponsive connection is replaced
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4


class TableFollower:
    """Maintains a copy of a table.

    ``on_change`` receives all rows by key and the store's version.
    """

    def __init__(
        self,
        *,
        table: str,
        feed: TableFeed,
        on_change: Callable[[Mapping[str, bytes], int], None],
        watch_timeout_s: float = WATCH_TIMEOUT_S,
    ) -> None:
        """Create a follower that has not read the table yet."""
        self.version = -1
        self.is_reachable = False
        self._table = table
        self._feed = feed
        self._on_change = on_change
        self._watch_timeout_s = watch_timeout_s
        self._rows: dict[str, bytes] = {}
        self._retry_delay_s = INITIAL_RETRY_DELAY_S

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self.version < 0:
                answer = await self._feed.read(self._table)
            else:
                answer = await self._feed.watch(self._table, self.version, self._watch_timeout_s)
            match answer:
                case Ok(changes):
                    self._mark_reachable()
                    self._apply(changes)
                case Err(error):
                    if error.kind is StoreErrorKind.HISTORY_GONE:
                        log.info(
                            "config: change history not available, reading all rows table=%s",
                            self._table,
                        )
                        self.version = -1
                    else:
                        self._mark_unreachable(error.message)
                        await anyio.sleep(self._retry_delay_s)
                        self._retry_delay_s = min(2 * self._retry_delay_s, MAX_RETRY_DELAY_S)

    def _apply(self, changes: RowChanges) -> None:
        if self.version < 0:
            self._rows = {}
        is_changed = self.version < 0 or bool(changes.rows or changes.removed)
        self._rows.update({row.key: row.value for row in changes.rows})
        for key in changes.removed:
            self._rows.pop(key, None)
        self.version = max(self.version, changes.version)
        if is_changed:
            self._on_change(dict(self._rows), self.version)

    def _mark_reachable(self) -> None:
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        if not self.is_reachable:
            self.is_reachable = True
            log.info("config: store reachable table=%s version=%d", self._table, self.version)

    def _mark_unreachable(self, cause: str) -> None:
        if self.is_reachable:
            self.is_reachable = False
            log.warning(
                "config: store not reachable table=%s version=%d cause=%s",
                self._table,
                self.version,
                cause,
            )

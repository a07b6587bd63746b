"""Follows one table of the platform's store through outages and lost history."""

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

WATCH_S = 1.0  # a connection that went silent costs no more than this before it is replaced
FIRST_RETRY_S = 0.05
LONGEST_RETRY_S = 0.4


class TableFollower:
    """Holds a copy of a table; ``on_change`` gets all rows by key and the store's version."""

    def __init__(
        self,
        *,
        table: str,
        feed: TableFeed,
        on_change: Callable[[Mapping[str, bytes], int], None],
        watch_s: float = WATCH_S,
    ) -> None:
        """Create a follower that has read nothing."""
        self.version = -1
        self.is_reachable = False
        self._table = table
        self._feed = feed
        self._on_change = on_change
        self._watch_s = watch_s
        self._rows: dict[str, bytes] = {}
        self._retry_s = FIRST_RETRY_S

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self.version < 0:
                answer = await self._feed.read(self._table)
            else:
                answer = await self._feed.watch(self._table, self.version, self._watch_s)
            match answer:
                case Ok(changes):
                    self._note_reachable()
                    self._apply(changes)
                case Err(error):
                    if error.kind is StoreErrorKind.HISTORY_GONE:
                        log.info("config: history gone table=%s; read it whole", self._table)
                        self.version = -1
                    else:
                        self._note_unreachable(error.message)
                        await anyio.sleep(self._retry_s)
                        self._retry_s = min(2 * self._retry_s, LONGEST_RETRY_S)

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

    def _note_reachable(self) -> None:
        self._retry_s = FIRST_RETRY_S
        if not self.is_reachable:
            self.is_reachable = True
            log.info("config: store reachable table=%s version=%d", self._table, self.version)

    def _note_unreachable(self, cause: str) -> None:
        if self.is_reachable:
            self.is_reachable = False
            log.warning(
                "config: store not reachable table=%s version=%d cause=%s",
                self._table,
                self.version,
                cause,
            )

"""Replication of one table of the platform's store, across outages and truncated change history."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok

from persimmoncrank.protocol import StoreErrorKind

if TYPE_CHECKING:
    from persimmoncrank.protocol import RowChanges, StoreError, TableFeed
    from persimmoncrank.state import TableReplica

log = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 1.0  # limits the delay before an unresponsive connection is replaced
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4


class TableFollower:
    """Keeps a copy of a table up to date from the store."""

    def __init__(
        self,
        *,
        table: str,
        feed: TableFeed,
        replica: TableReplica,
        watch_timeout_s: float = WATCH_TIMEOUT_S,
    ) -> None:
        """Create a follower that has not read the table yet."""
        self.is_reachable = False
        self._table = table
        self._feed = feed
        self._replica = replica
        self._watch_timeout_s = watch_timeout_s
        self._must_read = True
        self._retry_delay_s = INITIAL_RETRY_DELAY_S

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self._must_read:
                answer = await self._feed.read(self._table)
            else:
                answer = await self._feed.watch(
                    self._table, self._replica.version, self._watch_timeout_s
                )
            match answer:
                case Ok(changes):
                    self._mark_reachable()
                    await self._apply(changes)
                case Err(error):
                    await self._handle_error(error)

    async def _apply(self, changes: RowChanges) -> None:
        if not self._must_read:
            self._replica.apply(changes)
        elif self._replica.replace(changes.rows, changes.version):
            self._must_read = False
        else:
            log.warning(
                "config: read is behind, repeating it table=%s read_version=%d version=%d",
                self._table,
                changes.version,
                self._replica.version,
            )
            await self._pause()
            return
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._replica.confirm(at_s=anyio.current_time())

    async def _handle_error(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.HISTORY_GONE and not self._must_read:
            log.info("config: change history not available, reading all rows table=%s", self._table)
            self._must_read = True
            return
        self._mark_unreachable(error.message)
        await self._pause()

    async def _pause(self) -> None:
        await anyio.sleep(self._retry_delay_s)
        self._retry_delay_s = min(2 * self._retry_delay_s, MAX_RETRY_DELAY_S)

    def _mark_reachable(self) -> None:
        if not self.is_reachable:
            self.is_reachable = True
            log.info(
                "config: store reachable table=%s version=%d", self._table, self._replica.version
            )

    def _mark_unreachable(self, cause: str) -> None:
        if self.is_reachable:
            self.is_reachable = False
            log.warning(
                "config: store not reachable table=%s version=%d cause=%s",
                self._table,
                self._replica.version,
                cause,
            )

"""Replication of one table of the platform's store, across outages and truncated change history.

Without an answer it is unknown whether the store is slow or the connection silent. So a call that
is not answered in time goes on, and is repeated over another connection; the first answer counts.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from persimmoncrank.protocol import RowChanges, StoreError, StoreErrorKind

if TYPE_CHECKING:
    from persimmoncrank.protocol import TableFeed
    from persimmoncrank.state import TableReplica

log = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 1.0  # limits the delay before an unresponsive connection is noticed
MIN_PATIENCE_S = 0.25
MAX_PATIENCE_S = 0.75
REPEAT_INTERVAL_S = 0.75
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class _Answer:
    """The result of a call that was sent at ``sent_at_s`` and waited for changes that long."""

    result: Result[RowChanges, StoreError]
    sent_at_s: float
    wait_s: float


class TableFollower:
    """Keeps a copy of a table up to date from the store.

    ``is_following`` is set while the store's last answer to a watch was as new as the copy. A full
    read alone does not show that: the store may be behind.
    """

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
        self.is_following = False
        self._table = table
        self._feed = feed
        self._replica = replica
        self._watch_timeout_s = watch_timeout_s
        self._must_read = True
        self._is_behind = False
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._patience_s = MIN_PATIENCE_S

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            answer = await self._first_answer()
            match answer.result:
                case Ok(changes):
                    self._mark_reachable()
                    self._update_patience(answer, changes)
                    await self._apply(changes, confirmed_at_s=_confirmed_at_s(answer, changes))
                case Err(error):
                    await self._handle_error(error)

    async def _first_answer(self) -> _Answer:
        """Send a call, repeat it while none is answered, and return the first answer."""
        answers: list[_Answer] = []
        is_answered = anyio.Event()
        wait_s = 0.0 if self._must_read else self._watch_timeout_s

        async def call(wait_s: float) -> None:
            answers.append(await self._call(wait_s))
            is_answered.set()

        async with anyio.create_task_group() as group:
            group.start_soon(call, wait_s)
            limit_s = wait_s + self._patience_s
            while not answers:
                with anyio.move_on_after(limit_s):
                    await is_answered.wait()
                if not answers:
                    self._mark_unreachable(f"no answer within {limit_s:.2f} s")
                    group.start_soon(call, 0.0)
                    limit_s = REPEAT_INTERVAL_S
            group.cancel_scope.cancel()
        return answers[0]

    async def _call(self, wait_s: float) -> _Answer:
        sent_at_s = anyio.current_time()
        if self._must_read:
            result = await self._feed.read(self._table)
        else:
            result = await self._feed.watch(self._table, self._replica.version, wait_s)
        return _Answer(result=result, sent_at_s=sent_at_s, wait_s=wait_s)

    def _update_patience(self, answer: _Answer, changes: RowChanges) -> None:
        """Wait twice as long as the store has taken for its last answer, within limits."""
        if changes.rows or changes.removed:
            return
        answer_s = anyio.current_time() - answer.sent_at_s - answer.wait_s
        self._patience_s = min(max(2 * answer_s, MIN_PATIENCE_S), MAX_PATIENCE_S)

    async def _apply(self, changes: RowChanges, *, confirmed_at_s: float) -> None:
        if changes.version < self._replica.version:
            self._mark_behind(changes.version)
            await self._pause()
            return
        if self._must_read:
            self._replica.replace(changes.rows, changes.version)
            self._must_read = False
        else:
            self._replica.apply(changes)
            self._is_behind = False
            self.is_following = True
            self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._replica.confirm(at_s=confirmed_at_s)

    async def _handle_error(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.HISTORY_GONE and not self._must_read:
            log.info("config: change history not available, reading all rows table=%s", self._table)
            self._must_read = True
            if not self.is_following:
                await self._pause()
            self.is_following = False
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

    def _mark_behind(self, answer_version: int) -> None:
        self.is_following = False
        if not self._is_behind:
            self._is_behind = True
            log.warning(
                "config: store is behind the copy table=%s answer_version=%d version=%d",
                self._table,
                answer_version,
                self._replica.version,
            )

    def _mark_unreachable(self, cause: str) -> None:
        self.is_following = False
        if self.is_reachable:
            self.is_reachable = False
            log.warning(
                "config: store not reachable table=%s version=%d cause=%s",
                self._table,
                self._replica.version,
                cause,
            )


def _confirmed_at_s(answer: _Answer, changes: RowChanges) -> float:
    """Return a time at which the store had certainly not gone beyond an answer.

    The store holds a call until there are changes, so an empty answer is as of the end of the wait.
    """
    is_empty = not (changes.rows or changes.removed)
    waited_s = answer.wait_s if is_empty else 0.0
    return min(answer.sent_at_s + waited_s, anyio.current_time())

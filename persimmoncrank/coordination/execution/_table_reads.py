"""Reads the operator's table for entries that the store does not answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from persimmoncrank.protocol import (
    RowChanges,
    StoreError,
    StoreErrorKind,
    TableCopy,
    TableCopyRequest,
)
from persimmoncrank.state import TableReplica

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmoncrank.coordination.execution._entry_session import EntrySession

log = logging.getLogger(__name__)

READ_TIMEOUT_S = 1.0


class TableReads:
    """Answers the requests of entries; those that arrive during a read share the next one."""

    def __init__(self, *, read: Callable[[], Awaitable[Result[RowChanges, StoreError]]]) -> None:
        """Create an object without requests; ``read`` returns all rows of the table."""
        self._read = read
        self._replica = TableReplica()
        self._waiting: dict[str, tuple[EntrySession, TableCopyRequest]] = {}
        self._requested = anyio.Event()

    def request(self, session: EntrySession, request: TableCopyRequest) -> None:
        """Answer a request after a read that begins from now on."""
        self._waiting[session.incarnation] = (session, request)
        self._requested.set()

    async def run(self) -> None:
        """Answer requests until cancelled; an entry repeats those that get no answer."""
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            waiting, self._waiting = self._waiting, {}
            match await self._read_in_time():
                case Ok(found) if self._replica.replace(found.rows, found.version):
                    for session, request in waiting.values():
                        session.queue_copy(self._copy_for(request))
                    log.info(
                        "config: table read for entries version=%d entries=%d",
                        found.version,
                        len(waiting),
                    )
                case Ok(found):
                    log.info("config: table read is behind version=%d", found.version)
                case Err(error):
                    log.info("config: table not read for entries cause=%s", error.message)

    async def _read_in_time(self) -> Result[RowChanges, StoreError]:
        with anyio.move_on_after(READ_TIMEOUT_S):
            return await self._read()
        message = f"no answer within {READ_TIMEOUT_S:g} s"
        return Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, message=message))

    def _copy_for(self, request: TableCopyRequest) -> TableCopy:
        return TableCopy(
            number=request.number,
            version=self._replica.version,
            rows=self._replica.rows_for(
                known_version=request.known_version, known_digest=request.known_digest
            ),
        )

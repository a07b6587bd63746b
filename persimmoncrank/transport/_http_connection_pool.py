"""A pool of keep-alive HTTP connections to a single server.

With a single server, any idle connection can be used without a search.

A call that gets no answer says something about all connections to the server, for example that a
firewall has lost its state for them. So an idle connection is used again only if it has answered
since the last failed call was sent.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.transport._http_connection import HttpConnection, HttpResponse

if TYPE_CHECKING:
    from collections.abc import Sequence

log = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True, eq=False)
class _Connection:
    """A connection, and when it last delivered an answer."""

    http: HttpConnection
    answered_at_s: float = 0.0


class HttpConnectionPool:
    """A pool of up to ``max_connections`` connections to one server, reused last in, first out."""

    def __init__(self, *, address: str, max_connections: int) -> None:
        """Create an empty pool; connections are opened on demand."""
        self._address = address
        self._idle: list[_Connection] = []
        self._discarded: list[_Connection] = []
        self._slots = anyio.Semaphore(max_connections)

    async def request(
        self, method: str, path: str, *, headers: Sequence[tuple[str, str]], content: bytes
    ) -> HttpResponse:
        """Send a request and return the complete response; cancellation closes the connection."""
        async with self._slots:
            connection = await self._acquire()
            sent_at_s = anyio.current_time()
            response: HttpResponse | None = None
            try:
                response = await connection.http.request(
                    method, path, headers=headers, content=content
                )
            finally:
                if response is None:
                    self._discard_idle(silent_since_s=sent_at_s)
            connection.answered_at_s = anyio.current_time()
            if connection.http.is_available:
                self._idle.append(connection)
            return response

    async def _acquire(self) -> _Connection:
        """Return an idle connection that the server has not closed, or a new one."""
        while self._discarded:
            await self._discarded.pop().http.aclose()
        while self._idle:
            connection = self._idle.pop()
            if not connection.http.has_expired():
                return connection
            await connection.http.aclose()
        return _Connection(http=HttpConnection(address=self._address))

    def _discard_idle(self, *, silent_since_s: float) -> None:
        """Stop using the idle connections that have not answered since a time."""
        idle, self._idle = self._idle, []
        for connection in idle:
            is_proven = connection.answered_at_s > silent_since_s
            (self._idle if is_proven else self._discarded).append(connection)

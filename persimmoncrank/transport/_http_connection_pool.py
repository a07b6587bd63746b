"""A pool of keep-alive HTTP connections to a single server.

httpcore's connection pool scans all its connections on each request, which costs more than the
request itself. With a single server, any idle connection can be used without a scan.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
import httpcore

if TYPE_CHECKING:
    from collections.abc import Sequence

log = logging.getLogger(__name__)


class HttpConnectionPool:
    """A pool of up to ``max_connections`` connections to one server, reused last in, first out."""

    def __init__(self, *, address: str, max_connections: int) -> None:
        """Create an empty pool; connections are opened on demand."""
        self._url = f"http://{address}"
        self._origin = httpcore.URL(self._url).origin
        self._idle: list[httpcore.AsyncHTTPConnection] = []
        self._slots = anyio.Semaphore(max_connections)

    async def request(
        self, method: str, path: str, *, headers: Sequence[tuple[str, str]], content: bytes
    ) -> httpcore.Response:
        """Send a request and return the complete response; cancellation closes the connection."""
        async with self._slots:
            connection = await self._acquire()
            response = await connection.request(
                method, f"{self._url}{path}", headers=headers, content=content
            )
            if connection.is_available():
                self._idle.append(connection)
            return response

    async def _acquire(self) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection that the server has not closed, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        return httpcore.AsyncHTTPConnection(self._origin)

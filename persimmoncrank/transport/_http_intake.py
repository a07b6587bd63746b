"""Limits on what the HTTP servers of a process hold for clients, and who has to leave first.

Load pattern: crowds that open connections and leave them, send heads, trailers or bodies without
end, or send requests ahead and read no answers. What a connection may hold is limited by its
protocol; here the connections of all servers share one budget. Beyond it, those leave first that
have not sent a whole request, so that requests in work and ordinary callers are served.
"""

from __future__ import annotations

import enum
import logging
from collections import Counter
from dataclasses import dataclass
from typing import Protocol

import anyio

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
MAX_LOGGED_PER_CHECK = 10
READ_AHEAD_SHARE = 0.5  # of the budget of bytes


class CloseCause(enum.StrEnum):
    """Why a connection is closed by its server."""

    HEAD_TOO_LARGE = "the request head is too large"
    FRAMING_TOO_LARGE = "the framing of the body is too large"
    HEAD_TIMEOUT = "the request head did not arrive in time"
    BODY_TIMEOUT = "the request body did not arrive in time"
    ANSWER_UNREAD = "the answer was not read in time"
    IDLE = "no request arrived in time"
    TOO_MANY_CONNECTIONS = "too many connections"
    MEMORY = "too much unfinished data of all clients"
    LEFT = "the client has left"
    INVALID = "the request is not valid"


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpLimits:
    """Limits of the HTTP servers of one process.

    ``max_head_bytes`` limits a request line with its headers, and the framing between two parts of
    a chunked body or after the last one. ``max_read_ahead_bytes`` limits what is read of further
    requests while one is in work. ``max_connections`` and ``max_buffered_bytes`` apply to all
    connections together.
    """

    max_head_bytes: int = 65_536
    max_headers: int = 256
    max_read_ahead_bytes: int = 65_536
    max_connections: int = 2_000
    max_buffered_bytes: int = 32 * 1024 * 1024
    head_timeout_s: float = 15.0
    body_timeout_s: float = 30.0
    answer_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0


class Connection(Protocol):
    """What the intake asks of a connection."""

    buffered_bytes: int
    waiting_since_s: float

    @property
    def is_unfinished(self) -> bool:
        """Whether it has no request in work."""

    def find_overdue(self, *, now_s: float) -> CloseCause | None:
        """Return why the connection should be closed now, or None."""

    def refuse(self, cause: CloseCause) -> None:
        """Answer with the status for a cause if nothing was answered, and close."""


class HttpIntake:
    """The connections of all HTTP servers of a process, and the bytes that they hold."""

    def __init__(self, *, limits: HttpLimits) -> None:
        """Create an intake without connections."""
        self.limits = limits
        self.buffered_bytes = 0
        self.closed: Counter[str] = Counter()
        self._connections: set[Connection] = set()
        self._log_budget = MAX_LOGGED_PER_CHECK

    @property
    def is_read_ahead_full(self) -> bool:
        """Whether nothing more is to be read behind requests in work; the rest is for others."""
        return self.buffered_bytes >= READ_AHEAD_SHARE * self.limits.max_buffered_bytes

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def add(self, connection: Connection) -> None:
        """Add a connection; beyond the limit, the one that has waited longest is closed."""
        self._connections.add(connection)
        if len(self._connections) > self.limits.max_connections:
            unfinished = [each for each in self._connections if each.is_unfinished]
            oldest = min(unfinished, key=lambda each: each.waiting_since_s, default=connection)
            oldest.refuse(CloseCause.TOO_MANY_CONNECTIONS)

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self.update(connection, buffered_bytes=0)

    def update(self, connection: Connection, *, buffered_bytes: int) -> None:
        """Record what a connection holds; beyond the budget, the largest unfinished one leaves."""
        self.buffered_bytes += buffered_bytes - connection.buffered_bytes
        connection.buffered_bytes = buffered_bytes
        while self.buffered_bytes > self.limits.max_buffered_bytes:
            unfinished = [
                each for each in self._connections if each.is_unfinished and each.buffered_bytes
            ]
            if not unfinished:
                return
            largest = max(unfinished, key=lambda each: each.buffered_bytes)
            largest.refuse(CloseCause.MEMORY)
            self.remove(largest)

    def record(self, cause: CloseCause, client: str) -> None:
        """Count a closed connection, and log it unless too many were logged lately."""
        self.closed[cause.name.lower()] += 1
        if self._log_budget > 0:
            self._log_budget -= 1
            log.info(
                "http: connection closed client=%s cause=%s connections=%d buffered_bytes=%d",
                client,
                cause.value,
                len(self._connections),
                self.buffered_bytes,
            )

    async def run(self) -> None:
        """Close overdue connections until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self._log_budget = MAX_LOGGED_PER_CHECK
            now_s = anyio.current_time()
            for connection in list(self._connections):
                cause = connection.find_overdue(now_s=now_s)
                if cause is not None:
                    connection.refuse(cause)

"""Serving ASGI applications with uvicorn inside the process's own event loop."""

from __future__ import annotations

import contextlib
import functools
import logging
import socket
from typing import TYPE_CHECKING

import anyio
import uvicorn

from persimmoncrank.protocol import parse_address
from persimmoncrank.transport._bounded_http import bounded_http
from persimmoncrank.transport._http_intake import HttpIntake, HttpLimits

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

    from starlette.applications import Starlette

    App = Starlette | Callable[..., Awaitable[None]]

log = logging.getLogger(__name__)

STARTED_POLL_INTERVAL_S = 0.01
LISTEN_BACKLOG = 2_048
GRACEFUL_TIMEOUT_S = 5
KEEPALIVE_TIMEOUT_S = 75


class _UvicornServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

    def __init__(self, config: uvicorn.Config) -> None:
        """Create a server; ``serve`` starts it."""
        super().__init__(config)
        self._shutdown_requested = anyio.Event()

    async def main_loop(self) -> None:
        """Wait for the shutdown request.

        uvicorn's own loop wakes up 10 times a second, which costs as much as serving requests.
        """
        await self._shutdown_requested.wait()

    def request_shutdown(self) -> None:
        """Close the listener and idle connections, then stop when open requests have ended."""
        self.should_exit = True
        self._shutdown_requested.set()


def open_listener(address: str) -> socket.socket:
    """Return a listening socket for ``host:port``.

    The protocol is set to TCP explicitly because the event loop disables Nagle's algorithm only on
    such sockets. With Nagle's algorithm, a response sent in two writes waits 40 ms for a delayed
    acknowledgement.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(parse_address(address))
    listener.listen(LISTEN_BACKLOG)
    return listener


class HttpServer:
    """A running HTTP server."""

    def __init__(self, *, address: str, server: uvicorn.Server) -> None:
        """Wrap a uvicorn server that listens at ``host:port``."""
        self.address = address
        self._server = server

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._server.server_state.connections)


@contextlib.asynccontextmanager
async def serve_http(
    app: App,
    address: str,
    *,
    max_connections: int | None = None,
    intake: HttpIntake | None = None,
) -> AsyncIterator[HttpServer]:
    """Serve an application at ``host:port`` while the block is active.

    Servers of one process share an ``intake``, which the process runs; a server without one has the
    default limits for itself. ``max_connections`` refuses requests beyond that many connections.
    """
    own_intake = HttpIntake(limits=HttpLimits()) if intake is None else None
    listener = open_listener(address)
    config = uvicorn.Config(
        app,
        loop="none",
        http=functools.partial(bounded_http, intake or own_intake),  # type: ignore[arg-type]
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEPALIVE_TIMEOUT_S,
        limit_concurrency=max_connections,
        timeout_graceful_shutdown=GRACEFUL_TIMEOUT_S,
    )
    server = _UvicornServer(config)
    checks = anyio.CancelScope()
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, [listener])
        if own_intake is not None:
            group.start_soon(_run_intake, own_intake, checks)
        while not server.started:
            await anyio.sleep(STARTED_POLL_INTERVAL_S)
        try:
            yield HttpServer(address=address, server=server)
        finally:
            server.request_shutdown()
            checks.cancel()


async def _run_intake(intake: HttpIntake, scope: anyio.CancelScope) -> None:
    with scope:
        await intake.run()

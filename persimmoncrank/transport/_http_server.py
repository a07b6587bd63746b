"""Running a Starlette application by uvicorn inside the process's own loop."""

from __future__ import annotations

import contextlib
import logging
import socket
from typing import TYPE_CHECKING

import anyio
import uvicorn

from persimmoncrank.transport._addresses import parse_address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

    from starlette.applications import Starlette

    App = Starlette | Callable[..., Awaitable[None]]

log = logging.getLogger(__name__)

STARTED_POLL_INTERVAL_S = 0.01
LISTEN_BACKLOG = 2_048
GRACEFUL_TIMEOUT_S = 5
KEEPALIVE_S = 75


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to its process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture no signals."""
        yield

    def __init__(self, config: uvicorn.Config) -> None:
        """Create a server that has not started."""
        super().__init__(config)
        self._exit = anyio.Event()

    async def main_loop(self) -> None:
        """Wait for the end without uvicorn's ten ticks a second, which cost as much as serving."""
        await self._exit.wait()

    def exit(self) -> None:
        """Close the listener and the idle connections, and end once the others are done."""
        self.should_exit = True
        self._exit.set()


def open_listener(address: str) -> socket.socket:
    """Return a listening socket for ``host:port``.

    It names TCP as its protocol: the loop switches Nagle's algorithm off only on such sockets, and
    with it on, an answer of two writes waits for a delayed acknowledgement of 40 ms.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(parse_address(address))
    listener.listen(LISTEN_BACKLOG)
    return listener


class HttpServer:
    """A server that runs."""

    def __init__(self, *, address: str, server: uvicorn.Server) -> None:
        """Describe a uvicorn server at ``host:port``."""
        self.address = address
        self._server = server

    def count_connections(self) -> int:
        """Return how many connections are open."""
        return len(self._server.server_state.connections)


@contextlib.asynccontextmanager
async def serve_http(
    app: App, address: str, *, max_connections: int | None = None
) -> AsyncIterator[HttpServer]:
    """Serve an application at ``host:port``."""
    listener = open_listener(address)
    config = uvicorn.Config(
        app,
        loop="none",
        http="auto",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEPALIVE_S,
        limit_concurrency=max_connections,
        timeout_graceful_shutdown=GRACEFUL_TIMEOUT_S,
    )
    server = _Server(config)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, [listener])
        while not server.started:
            await anyio.sleep(STARTED_POLL_INTERVAL_S)
        try:
            yield HttpServer(address=address, server=server)
        finally:
            server.exit()

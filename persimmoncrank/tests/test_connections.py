"""Tests of kept-alive connections against a server on real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import httpcore
import pytest
from anyio.abc import SocketAttribute

from persimmoncrank.transport import Connections

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import SocketStream

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class Server:
    """Counts connections; ``answers`` is how many requests it answers on each."""

    def __init__(self, *, answers: int, delay_s: float) -> None:
        """Create a server that has seen nothing."""
        self.opened = 0
        self.closed = 0
        self._answers = answers
        self._delay_s = delay_s

    async def serve(self, stream: SocketStream) -> None:
        """Answer requests without bodies, then close the connection."""
        self.opened += 1
        async with stream:
            for _ in range(self._answers):
                data = b""
                while not data.endswith(b"\r\n\r\n"):
                    try:
                        data += await stream.receive()
                    except anyio.EndOfStream:
                        break
                if not data:
                    break
                await anyio.sleep(self._delay_s)
                await stream.send(ANSWER)
        self.closed += 1


async def send(connections: Connections) -> int:
    response = await connections.request("POST", "/x", headers=(), content=b"")
    return response.status


async def send_in_turn(connections: Connections) -> None:
    for _ in range(3):
        assert await send(connections) == 200
        await anyio.sleep(0.01)


async def send_together(connections: Connections) -> None:
    async with anyio.create_task_group() as group:
        for _ in range(6):
            group.start_soon(send, connections)


async def cancel_one(connections: Connections) -> None:
    with anyio.move_on_after(0.02):
        await send(connections)
    assert await send(connections) == 200


@pytest.mark.parametrize(
    ("send_requests", "answers", "delay_s", "opened"),
    [
        (send_in_turn, 9, 0.0, 1),
        (send_in_turn, 1, 0.0, 3),
        (send_together, 9, 0.02, 2),
        (cancel_one, 9, 0.05, 2),
    ],
    ids=["used again", "closed by the server", "at most two", "cancelled"],
)
def test_connections(
    send_requests: Callable[[Connections], Awaitable[None]],
    answers: int,
    delay_s: float,
    opened: int,
) -> None:
    async def main() -> None:
        server = Server(answers=answers, delay_s=delay_s)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, server.serve)
            connections = Connections(address=f"127.0.0.1:{port}", max_connections=2)
            await send_requests(connections)
            assert server.opened == opened
            group.cancel_scope.cancel()

    anyio.run(main)


def test_no_server_is_a_connect_error() -> None:
    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        await listener.aclose()
        connections = Connections(address=f"127.0.0.1:{port}", max_connections=1)
        for _ in range(2):
            with pytest.raises(httpcore.ConnectError):
                await send(connections)

    anyio.run(main)

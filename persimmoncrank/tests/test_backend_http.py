"""Tests of the backend client against misbehaving servers on real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest
from anyio.abc import SocketAttribute
from result import Err, Ok

from persimmoncrank.tests.base import make_job
from persimmoncrank.transport import BackendClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import SocketStream
    from result import Result

    from persimmoncrank.coordination import BackendFailure

TASK = make_job("s", tasks=1).tasks[0]
OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n42"


async def read_request(stream: SocketStream) -> bytes:
    """Read one request with its body and return its head."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    while len(body) < len(TASK.payload):
        body += await stream.receive()
    return head


async def answer_once_then_close(stream: SocketStream) -> None:
    """Answer one request and close the connection without a ``Connection: close`` header."""
    await read_request(stream)
    await stream.send(OK_ANSWER)


async def read_request_then_close(stream: SocketStream) -> None:
    """Read a complete request and close the connection without a response."""
    await read_request(stream)


async def close_at_once(stream: SocketStream) -> None:
    """Close each connection as soon as it is opened."""
    await stream.aclose()


def answer_always(answer: bytes) -> Callable[[SocketStream], Awaitable[None]]:
    """Return a server that sends the same response to all requests."""

    async def serve(stream: SocketStream) -> None:
        while True:
            await read_request(stream)
            await stream.send(answer)

    return serve


async def never_answer(stream: SocketStream) -> None:
    """Read a complete request and never answer it."""
    await read_request(stream)
    await anyio.sleep_forever()


def run_tasks(
    serve: Callable[[SocketStream], Awaitable[None]], count: int
) -> list[Result[bytes, BackendFailure]]:
    """Run ``count`` tasks sequentially against a server."""

    async def handle(stream: SocketStream) -> None:
        async with stream:
            try:
                await serve(stream)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    async def main() -> list[Result[bytes, BackendFailure]]:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        client = BackendClient(
            url=f"http://127.0.0.1:{port}",
            max_connections=4,
            task_timeout_s=0.5,
            max_result_bytes=100,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, handle)
            results = [await client.run_task("s", TASK) for _ in range(count)]
            group.cancel_scope.cancel()
        await client.close()
        return results

    return anyio.run(main)


def test_request_on_stale_connection_is_retried() -> None:
    assert run_tasks(answer_once_then_close, 5) == [Ok(b"42")] * 5


@pytest.mark.parametrize(
    ("serve", "may_have_run", "has_answered"),
    [
        (read_request_then_close, True, False),
        (never_answer, True, False),
        (answer_always(b"HTTP/1.1 500 no\r\nContent-Length: 4\r\n\r\ndown"), True, True),
        (answer_always(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nplain"), True, True),
        (answer_always(b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + b"1" * 101), True, True),
    ],
)
def test_failure_reports_whether_task_may_have_run(
    serve: Callable[[SocketStream], Awaitable[None]], may_have_run: bool, has_answered: bool
) -> None:
    match run_tasks(serve, 1)[0]:
        case Err(failure):
            assert failure.may_have_run is may_have_run
            assert failure.has_answered is has_answered
        case _:
            pytest.fail("the failed task was reported as successful")


def test_refused_connection_is_reported_as_not_run() -> None:
    async def main() -> None:
        client = BackendClient(
            url="http://127.0.0.1:9", max_connections=1, task_timeout_s=1, max_result_bytes=1
        )
        failure = (await client.run_task("s", TASK)).unwrap_err()
        assert not failure.may_have_run
        await client.close()

    anyio.run(main)

"""A small HTTP/1.1 server and client on asyncio."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

HEAD_END = b"\r\n\r\n"
REASONS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


@dataclass
class Request:
    """A request that has arrived whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    content: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.content)


@dataclass
class Response:
    """A status and a JSON body."""

    status: int
    body: Any = None


Handler = Callable[[Request], Awaitable[Response | None]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


class Server:
    """Serves requests until it is closed; without a response, it resets the connection."""

    def __init__(self, handler: Handler) -> None:
        """Create a server that passes requests to ``handler``."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str) -> None:
        """Listen at ``host:port``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                content = await reader.readexactly(int(headers.get("content-length", "0")))
                url = urlsplit(target)
                query = dict(parse_qsl(url.query))
                response = await self._handler(Request(method, url.path, query, headers, content))
                if response is None:
                    break
                body = b"" if response.body is None else json.dumps(response.body).encode()
                reason = REASONS.get(response.status, "Status")
                head = f"HTTP/1.1 {response.status} {reason}\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Response | None:
    """Send one request over a new connection; return None without a whole answer in time."""
    host, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in {"Host": address, **(headers or {})}.items()]
    lines += [f"Content-Length: {len(content)}", "Connection: close"]
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write("\r\n".join(lines).encode() + HEAD_END + content)
                await writer.drain()
                first, received = await _read_head(reader)
                data = await reader.readexactly(int(received.get("content-length", "0")))
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    decoded: Any = None
    with contextlib.suppress(ValueError):
        decoded = json.loads(data)
    return Response(int(first.split(" ")[1]), decoded)

"""A small HTTP/1.1 server and client for the stand-ins, on asyncio streams alone."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, unquote

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 421: "Misdirected"}


@dataclass(frozen=True)
class Request:
    """A whole request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body) if self.body else {}


@dataclass(frozen=True)
class Answer:
    """A status and a JSON body."""

    status: int
    body: Any = None


Handler = Callable[[Request], Awaitable[Answer | None]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _serve_connection(
    handler: Handler,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    is_silent: Callable[[], bool],
) -> None:
    try:
        while True:
            first, headers = await _read_head(reader)
            method, target, _ = first.split(" ", 2)
            path, _, query = target.partition("?")
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            request = Request(method, unquote(path), dict(parse_qsl(query)), headers, body)
            answer = None if is_silent() else await handler(request)
            if answer is None or is_silent():
                await reader.read()
                return
            content = b"" if answer.body is None else json.dumps(answer.body).encode()
            reason = REASONS.get(answer.status, "Status")
            writer.write(
                f"HTTP/1.1 {answer.status} {reason}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(content)}\r\n\r\n".encode()
                + content
            )
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        writer.close()


class Server:
    """A server at one address; ``stop`` ends its connections too, as if its process had ended."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        """Create a server that does not listen yet."""
        self._host, self._port, self._handler = host, port, handler
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.Task[None]] = set()
        self._silent: set[asyncio.Task[None]] = set()

    def silence(self) -> None:
        """Let all open connections go silent for good; new ones work."""
        self._silent |= self._open

    async def start(self) -> None:
        """Listen."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._open.add(task)
            try:
                await _serve_connection(self._handler, reader, writer, lambda: task in self._silent)
            except asyncio.CancelledError:
                writer.transport.abort()
            finally:
                self._open.discard(task)
                self._silent.discard(task)

        self._server = await asyncio.start_server(serve, self._host, self._port)

    async def stop(self) -> None:
        """Stop to listen and break all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._open):
            task.cancel()
        await asyncio.sleep(0)


async def call(
    method: str,
    address: tuple[str, int],
    path: str,
    *,
    body: Any = None,
    host: str = "",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request over a connection of its own; raise ConnectionError if it breaks.

    A call that is cancelled closes its connection.
    """
    content = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host or address[0]}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += ["Content-Type: application/json", f"Content-Length: {len(content)}"]
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError as error:
        raise ConnectionError(str(error)) from error
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + content)
        await writer.drain()
        first, found = await _read_head(reader)
        data = await reader.readexactly(int(found.get("content-length", "0")))
        return Answer(int(first.split(" ")[1]), json.loads(data) if data else None)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ConnectionError(str(error)) from error
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await asyncio.wait_for(writer.wait_closed(), 0.2)

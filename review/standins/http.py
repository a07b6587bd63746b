"""A small HTTP/1.1 server and client over asyncio streams, with JSON bodies."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLIENT_TIMEOUT_S = 5.0


@dataclass(frozen=True, kw_only=True)
class Request:
    """One request as received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass(frozen=True, kw_only=True)
class Response:
    """One response: a status and a JSON body, None for an empty one."""

    status: int
    body: Any = None


Handler = Callable[[Request], Awaitable[Response]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers and the body of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the connection ended within a message") from error
        return None
    first, *lines = head.decode("latin-1").removesuffix("\r\n\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def _encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def _parse_request(first: str, headers: dict[str, str], body: bytes) -> Request:
    method, target, _ = first.split(" ")
    parts = urlsplit(target)
    query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
    return Request(method=method, path=parts.path, query=query, headers=headers, body=body)


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve requests with keep-alive connections."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await _read_message(reader)) is not None:
                response = await handler(_parse_request(*message))
                content = b"" if response.body is None else json.dumps(response.body).encode()
                first = f"HTTP/1.1 {response.status} Status"
                writer.write(_encode(first, {"Content-Type": "application/json"}, content))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, host, port)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


@dataclass(kw_only=True)
class Call:
    """One request of a client on a connection of its own.

    ``status`` is 0 if there was no complete answer.
    """

    address: str
    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: Any = None
    status: int = 0
    answer: Any = None
    _writer: asyncio.StreamWriter | None = None

    async def send(self, *, timeout_s: float = CLIENT_TIMEOUT_S) -> int:
        """Send the request, wait for the answer and return its status."""
        with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
            await asyncio.wait_for(self._exchange(), timeout_s)
        if self._writer is not None:
            self._writer.close()
        return self.status

    async def _exchange(self) -> None:
        host, _, port = self.address.rpartition(":")
        reader, self._writer = await asyncio.open_connection(host, int(port))
        content = b"" if self.body is None else json.dumps(self.body).encode()
        headers = {"Content-Type": "application/json", **self.headers}
        self._writer.write(_encode(f"{self.method} {self.path} HTTP/1.1", headers, content))
        message = await _read_message(reader)
        if message is None:
            return
        first, _, body = message
        self.answer = json.loads(body) if body else None
        self.status = int(first.split(" ")[1])

    def reset(self) -> None:
        """Break the connection with a reset, as seen by the server."""
        if self._writer is not None:
            reset(self._writer)

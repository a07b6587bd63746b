"""A small HTTP/1.1 server and client for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit


@dataclass(frozen=True, kw_only=True)
class Request:
    """One request that a stand-in received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass(frozen=True, kw_only=True)
class Answer:
    """One response; without ``status`` there is none, and the connection is closed."""

    status: int | None = 200
    body: Any = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Answer]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers and the body of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


async def serve(handler: Handler, address: str) -> asyncio.Server:
    """Serve HTTP at ``host:port``."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await _read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ")
                parts = urlsplit(target)
                answer = await handler(
                    Request(
                        method=method,
                        path=parts.path,
                        query=dict(parse_qsl(parts.query, keep_blank_values=True)),
                        headers=headers,
                        body=body,
                    )
                )
                if answer.status is None:
                    return
                writer.write(_encode_answer(answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(handle, host, int(port))


def _encode_answer(answer: Answer) -> bytes:
    content = json.dumps(answer.body).encode()
    head = (
        f"HTTP/1.1 {answer.status} x\r\n"
        f"content-type: application/json\r\ncontent-length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


async def call(
    method: str,
    address: str,
    path: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, Any]:
    """Send one request over a new connection; return status and body, 0 without an answer."""
    host, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    lines = {"host": address, "content-length": str(len(content)), **(headers or {})}
    if body is not None:
        lines["content-type"] = "application/json"
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + b"\r\n" + content)
            message = await _read_message(reader)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, None
    first, _, received = message
    with contextlib.suppress(ValueError):
        return int(first.split(" ")[1]), json.loads(received)
    return int(first.split(" ")[1]), None

"""One HTTP/1.1 connection to a server, which carries one request at a time.

The response is parsed by httptools, as in the server. httpcore's own connection takes three times
the processor time for a small request: a parser in Python, and two writes for each request.
"""

from __future__ import annotations

import logging
import select
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httptools
from anyio.abc import SocketAttribute

from persimmoncrank.protocol import parse_address

if TYPE_CHECKING:
    from collections.abc import Sequence

    from anyio.abc import SocketStream

log = logging.getLogger(__name__)

READ_BYTES = 65_536
MIN_FINAL_STATUS = 200  # lower ones announce another response


class HttpError(Exception):
    """A request that got no complete response."""


class HttpConnectError(HttpError):
    """A connection that could not be opened, so that no request was sent.

    ``is_refused`` tells that nothing listens at the address.
    """

    def __init__(self, message: str, *, is_refused: bool) -> None:
        """Create an error."""
        super().__init__(message)
        self.is_refused = is_refused


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    content: bytes


@dataclass(kw_only=True, slots=True)
class _ResponseReader:
    """Receives the events of the parser for one response."""

    parts: list[bytes] = field(default_factory=list)
    has_length: bool = False
    has_head: bool = False
    is_complete: bool = False
    is_reusable: bool = False
    status: int = 0
    parser: httptools.HttpResponseParser | None = None

    def on_message_begin(self) -> None:
        """Do not use a connection again over which more was sent than the response."""
        if self.is_complete:
            self.is_reusable = False

    def on_header(self, name: bytes, _value: bytes) -> None:
        """Note whether the end of the body is marked."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.has_length = True

    def on_headers_complete(self) -> None:
        """Store the status."""
        assert self.parser is not None
        if self.is_complete:
            return
        self.status = self.parser.get_status_code()
        self.has_head = self.status >= MIN_FINAL_STATUS

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if not self.is_complete:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        """Finish the response unless it only announces another one."""
        assert self.parser is not None
        if self.has_head and not self.is_complete:
            self.is_complete = True
            self.is_reusable = self.parser.should_keep_alive()


class HttpConnection:
    """A connection that is opened by its first request."""

    def __init__(self, *, address: str) -> None:
        """Create a connection to ``host:port``."""
        self.is_available = False
        self._address = address
        self._stream: SocketStream | None = None

    async def request(
        self, method: str, path: str, *, headers: Sequence[tuple[str, str]], content: bytes
    ) -> HttpResponse:
        """Send a request and return the response; raise HttpError if there is none.

        The connection is closed unless it can carry another request afterwards.
        """
        self.is_available = False
        stream = self._stream or await self._open()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._address}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if content or method == "POST":
            lines.append(f"Content-Length: {len(content)}")
        head = "\r\n".join((*lines, "\r\n")).encode("latin-1")
        reader = _ResponseReader()
        try:
            await stream.send(head + content)
            await self._receive(stream, reader)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise HttpError(f"the connection broke: {error!r}") from error
        except httptools.HttpParserError as error:
            raise HttpError(f"the response is not valid: {error}") from error
        finally:
            if not reader.is_reusable:
                self._stream = None
                await anyio.aclose_forcefully(stream)
        self.is_available = reader.is_reusable
        return HttpResponse(status=reader.status, content=b"".join(reader.parts))

    async def _open(self) -> SocketStream:
        host, port = parse_address(self._address)
        try:
            self._stream = await anyio.connect_tcp(host, port)
        except OSError as error:
            is_refused = _is_refused(error)
            raise HttpConnectError(f"connecting failed: {error}", is_refused=is_refused) from error
        return self._stream

    async def _receive(self, stream: SocketStream, reader: _ResponseReader) -> None:
        reader.parser = parser = httptools.HttpResponseParser(reader)
        while not reader.is_complete:
            try:
                data = await stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                if reader.has_head and not reader.has_length:
                    return
                raise HttpError("the connection was closed before the response ended") from None
            parser.feed_data(data)

    def has_expired(self) -> bool:
        """Return whether the server has closed the idle connection, or sent what nobody awaits."""
        if self._stream is None:
            return True
        poll = select.poll()
        poll.register(self._stream.extra(SocketAttribute.raw_socket), select.POLLIN)
        return bool(poll.poll(0))

    async def aclose(self) -> None:
        """Close the connection."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)


def _is_refused(error: BaseException | None) -> bool:
    """Return whether the error comes from a refused connection, since nothing listens there."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False

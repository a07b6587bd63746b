"""uvicorn's HTTP protocol with a bounded reader in front of its parser.

The parser collects a head, header lines or trailers until they end, and all requests of one piece
of data at once. So it gets the data in small slices, and none while a request is in work: what has
arrived of later requests waits as bytes, up to a limit, beyond which the socket is not read.
"""

from __future__ import annotations

import asyncio
import logging
import select
from typing import TYPE_CHECKING, Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from persimmoncrank.transport._http_intake import CloseCause

if TYPE_CHECKING:
    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

    from persimmoncrank.transport._http_intake import HttpIntake

log = logging.getLogger(__name__)

READ_BYTES = 4_096  # at most, from a socket at a time
SLICE_BYTES = 512  # at most 28 requests of the shortest kind
BODY_SLICE_BYTES = 16_384
MAX_CHARGED_BODY_BYTES = 4 * 1024 * 1024  # the largest body that an application keeps
BODY_COPIES = 2  # an application joins the parts of a body
WRITE_BUFFER_BYTES = 16_384  # beyond that, a client that reads no answers gets no further ones
REQUEST_BYTES = 3_000  # of memory, for a request that waits

_STATUS_LINES = {
    CloseCause.HEAD_TOO_LARGE: "431 Request Header Fields Too Large",
    CloseCause.FRAMING_TOO_LARGE: "413 Content Too Large",
    CloseCause.HEAD_TIMEOUT: "408 Request Timeout",
    CloseCause.BODY_TIMEOUT: "408 Request Timeout",
    CloseCause.TOO_MANY_CONNECTIONS: "503 Service Unavailable",
    CloseCause.MEMORY: "503 Service Unavailable",
    CloseCause.INVALID: "400 Bad Request",
}


class _GatedFlow(FlowControl):
    """Flow control that does not read the socket while the protocol holds enough."""

    def __init__(self, transport: asyncio.Transport, protocol: BoundedHttpProtocol) -> None:
        """Create flow control for a protocol."""
        super().__init__(transport)
        self._protocol = protocol

    def resume_reading(self) -> None:
        """Read the socket again unless too much has been read ahead."""
        if not self._protocol.must_not_read:
            super().resume_reading()


class BoundedHttpProtocol(HttpToolsProtocol):
    """One connection of an HTTP server that holds a limited number of bytes."""

    def __init__(self, *, intake: HttpIntake, **options: Any) -> None:
        """Create a connection whose bytes count in ``intake``."""
        super().__init__(**options)
        self._intake = intake
        self._limits = intake.limits
        self.buffered_bytes = 0
        self.waiting_since_s = self.loop.time()
        self._held = bytearray()
        self._overhead_bytes = 0
        self._body_bytes = 0
        self._has_begun = False
        self._has_head = False
        self._is_invalid = False
        self._in_work = 0  # whole requests without a complete answer
        self._answering: RequestResponseCycle | None = None
        self._read_at_s = self._write_paused_at_s = self.waiting_since_s
        self._is_closed = False

    # What the intake asks.

    @property
    def must_not_read(self) -> bool:
        """Whether as much has been read behind a request in work as may be."""
        if len(self._held) >= self._limits.max_read_ahead_bytes:
            return True
        return self._is_in_work() and self._intake.is_read_ahead_full

    @property
    def is_unfinished(self) -> bool:
        """Whether the connection has no request in work."""
        return not self._is_in_work()

    def find_overdue(self, *, now_s: float) -> CloseCause | None:
        """Return why the connection should be closed now, or None."""
        limits = self._limits
        if self.flow.write_paused:
            is_late = now_s - self._write_paused_at_s > limits.answer_timeout_s
            return CloseCause.ANSWER_UNREAD if is_late else None
        if self._is_in_work():
            return CloseCause.LEFT if self.flow.read_paused and self._has_peer_left() else None
        if not self._has_begun:
            is_late = now_s - self.waiting_since_s > limits.idle_timeout_s
            return CloseCause.IDLE if is_late else None
        if not self._has_head:
            is_late = now_s - self.waiting_since_s > limits.head_timeout_s
            return CloseCause.HEAD_TIMEOUT if is_late else None
        is_late = now_s - self._read_at_s > limits.body_timeout_s
        return CloseCause.BODY_TIMEOUT if is_late else None

    def refuse(self, cause: CloseCause) -> None:
        """Answer with the status for a cause if nothing was answered, and close the connection.

        The request has not run: an application begins only with a whole one.
        """
        if self._is_closed:
            return
        self._is_closed = True
        client = self.client[0] if self.client else "unknown"
        self._intake.record(cause, client)
        status = _STATUS_LINES.get(cause)
        cycle = self.cycle
        has_answered = cycle is not None and not cycle.response_complete and cycle.response_started
        if cycle is not None:
            cycle.disconnected = not cycle.response_complete
            cycle.message_event.set()
        self._release()
        if status is None or has_answered or self.flow.write_paused:
            self.transport.abort()
            return
        retry = "retry-after: 1\r\n" if status.startswith("503") else ""
        answer = f"HTTP/1.1 {status}\r\n{retry}content-length: 0\r\nconnection: close\r\n\r\n"
        self.transport.write(answer.encode())
        self.transport.close()

    # The transport.

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Count the connection."""
        super().connection_made(transport)
        self.flow = _GatedFlow(transport, self)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._intake.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds.

        The connection, its parser and its request refer to each other, so that their data would
        stay until the next full garbage collection.
        """
        self._is_closed = True
        self._intake.remove(self)
        super().connection_lost(exc)
        self._release()
        self.parser = None  # type: ignore[assignment]

    def _release(self) -> None:
        self._held.clear()
        self.headers = []
        if self.cycle is not None:
            self.cycle.body = bytearray()

    def pause_writing(self) -> None:
        """Note since when the client reads no answers."""
        self._write_paused_at_s = self.loop.time()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Go on with what was read ahead."""
        super().resume_writing()
        self._continue_soon()

    def data_received(self, data: bytes) -> None:
        """Parse data, or hold it while a request is in work."""
        if self._must_ignore():
            return
        self._unset_keepalive_if_required()
        self._read_at_s = self.loop.time()
        if self._held or self._is_in_work():
            self._hold(data)
        else:
            self._parse(data)
        self._charge()
        self._pause_reading_if_full()

    # Parsing.

    def _is_in_work(self) -> bool:
        """Return whether a whole request has arrived and is not answered, or further ones wait."""
        return self._in_work > 0 or bool(self.pipeline)

    def _must_ignore(self) -> bool:
        """Return whether no further request can be answered on the connection."""
        return self._is_closed or self._is_invalid or self.transport.is_closing()

    def _parse(self, data: bytes | bytearray) -> None:
        first = 0
        while first < len(data) and not self._must_ignore():
            if self._is_in_work() or self.flow.write_paused:
                self._hold(data[first:])
                return
            size = BODY_SLICE_BYTES if self._overhead_bytes == 0 and self._has_head else SLICE_BYTES
            piece = bytes(data[first : first + size])
            first += size
            self._overhead_bytes += len(piece)
            super().data_received(piece)
            self._check_overhead()

    def send_400_response(self, msg: str) -> None:
        """Refuse what is not a request once the requests before it are answered."""
        if self._is_in_work():
            self._ignore_rest()
        else:
            self.refuse(CloseCause.INVALID)

    def _ignore_rest(self) -> None:
        """Answer the requests in work, then refuse what came behind them."""
        self._is_invalid = True
        self._held.clear()

    def _check_overhead(self) -> None:
        """Close the connection if a head, the framing of a body or its trailers are too long."""
        has_many_headers = self.headers is not None and len(self.headers) > self._limits.max_headers
        if self._overhead_bytes <= self._limits.max_head_bytes and not has_many_headers:
            return
        if self._is_in_work():
            self._ignore_rest()
            return
        is_head = not self._has_head
        self.refuse(CloseCause.HEAD_TOO_LARGE if is_head else CloseCause.FRAMING_TOO_LARGE)

    def _hold(self, data: bytes | bytearray) -> None:
        self._held += data
        self._pause_reading_if_full()

    def _pause_reading_if_full(self) -> None:
        if self.must_not_read:
            self.flow.pause_reading()

    def _continue_soon(self) -> None:
        if self._held and not self._is_closed:
            self.loop.call_soon(self._continue)

    def _continue(self) -> None:
        """Parse what was read ahead, up to the next whole request."""
        if self._must_ignore() or self._is_in_work() or self.flow.write_paused:
            return
        self._unset_keepalive_if_required()
        held, self._held = self._held, bytearray()
        self._parse(held)
        self._charge()
        if not self._is_closed:
            self.flow.resume_reading()

    def _charge(self) -> None:
        if self._is_closed:
            return
        body_bytes = BODY_COPIES * min(self._body_bytes, MAX_CHARGED_BODY_BYTES)
        waiting_bytes = REQUEST_BYTES * len(self.pipeline)
        total = len(self._held) + self._overhead_bytes + body_bytes + waiting_bytes
        if total != self.buffered_bytes:
            self._intake.update(self, buffered_bytes=total)

    def _has_peer_left(self) -> bool:
        """Return whether the client has closed a connection whose socket is not read."""
        sock = self.transport.get_extra_info("socket")
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        self._has_begun, self._has_head = True, False
        self._body_bytes = 0
        self.waiting_since_s = self._read_at_s

    def on_headers_complete(self) -> None:
        """Start the application, which waits for the whole request."""
        super().on_headers_complete()
        self._has_head = True
        self._overhead_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        super().on_body(body)
        self._body_bytes += len(body)
        self._overhead_bytes = 0

    def on_message_complete(self) -> None:
        """Finish a request."""
        super().on_message_complete()
        if not self.cycle.response_complete:
            self._in_work += 1
        self._has_begun = self._has_head = False
        self._overhead_bytes = 0

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        """Note which request is answered next."""
        self._answering = cycle
        super()._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        """Go on with the next request."""
        self.waiting_since_s = self.loop.time()
        if self._answering is not None and not self._answering.more_body:
            self._in_work -= 1
        if not self.pipeline:
            self._body_bytes = 0
        super().on_response_complete()
        if self._is_invalid and not self._is_in_work():
            self.refuse(CloseCause.INVALID)
            return
        self._charge()
        if self._held:
            self._continue_soon()
        elif not self._is_closed:
            self.flow.resume_reading()


class LimitedReads(asyncio.BufferedProtocol):
    """Reads from a socket into a small buffer that all connections share.

    The event loop would otherwise read up to 256 kB at a time, for each connection.
    """

    _buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self, *, protocol: BoundedHttpProtocol) -> None:
        """Pass what is read to ``protocol``."""
        self._protocol = protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the transport on."""
        self._protocol.connection_made(transport)  # type: ignore[arg-type]

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the end of the connection on."""
        self._protocol.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        del sizehint
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass what was read on."""
        self._protocol.data_received(bytes(self._buffer[:nbytes]))

    def eof_received(self) -> None:
        """Pass the end of the client's data on."""
        self._protocol.eof_received()

    def pause_writing(self) -> None:
        """Tell the protocol that the client reads no answers."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Tell the protocol that the client reads again."""
        self._protocol.resume_writing()


def bounded_http(intake: HttpIntake, **options: Any) -> LimitedReads:
    """Return the protocol for a new connection whose bytes count in ``intake``."""
    return LimitedReads(protocol=BoundedHttpProtocol(intake=intake, **options))

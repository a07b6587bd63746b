"""Periodic control messages over UDP: a request and a reply of one datagram each.

The server collects datagrams for a short time and handles them as a batch, since at these rates a
wake-up costs more than a message. If a reply does not fit into a datagram, the server sends only a
flag, and the caller repeats its request over gRPC. After a lost reply, the client opens a new
socket, because a NAT or firewall between the two ends may have lost its state for the old one.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
import msgspec
from result import Err, Ok, Result

from persimmoncrank.protocol import (
    Heartbeat,
    PeerError,
    PeerErrorKind,
    SyncRequest,
    decode_message,
    encode_message,
    parse_address,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup

    from persimmoncrank.protocol import Handler

log = logging.getLogger(__name__)

T = TypeVar("T")

BATCH_DELAY_S = 0.08
MAX_DATAGRAM_BYTES = 1_400  # fits with its headers into the usual MTU of 1500 bytes
MAX_BATCH_DATAGRAMS = 1_000
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

_DATAGRAM_TYPES = (Heartbeat, SyncRequest)
_HEADER = struct.Struct("!IBB")
_FLAG_OK = 0
_FLAG_TOO_LARGE = 1


def is_datagram_type(message_type: type) -> bool:
    """Return whether messages of a type are sent as datagrams."""
    return message_type in _DATAGRAM_TYPES


@dataclass(frozen=True, kw_only=True, slots=True)
class MessageTooLarge:
    """Returned if the request or its reply does not fit into a datagram."""


def _new_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return sock


def _receive(sock: socket.socket) -> tuple[bytes, Any] | None:
    """Return the next datagram and its sender, or None if no datagram is waiting."""
    while True:
        try:
            return sock.recvfrom(MAX_DATAGRAM_BYTES + _HEADER.size)
        except BlockingIOError:
            return None
        except OSError:
            # ICMP error caused by an earlier datagram to a closed port; the socket stays usable.
            continue


def _send(sock: socket.socket, data: bytes, address: Any) -> None:
    """Send a datagram; one that cannot be sent now is dropped, like one lost on the network."""
    with contextlib.suppress(OSError):
        sock.sendto(data, address)


class DatagramServer:
    """Serves periodic control messages at one address."""

    def __init__(self, *, address: str, handlers: tuple[Handler, ...]) -> None:
        """Bind the address; ``run`` handles the requests."""
        self._handlers = {
            _DATAGRAM_TYPES.index(handler.request_type): handler
            for handler in handlers
            if is_datagram_type(handler.request_type)
        }
        self._socket = _new_socket()
        self._socket.bind(parse_address(address))

    async def run(self) -> None:
        """Serve until cancelled."""
        with self._socket:
            while True:
                await anyio.wait_readable(self._socket)
                await anyio.sleep(BATCH_DELAY_S)
                await self._serve_batch()

    async def _serve_batch(self) -> None:
        for _ in range(MAX_BATCH_DATAGRAMS):
            received = _receive(self._socket)
            if received is None:
                return
            data, sender = received
            with contextlib.suppress(msgspec.MsgspecError, struct.error):
                await self._serve_request(data, sender)

    async def _serve_request(self, data: bytes, sender: Any) -> None:
        request_id, type_index, _ = _HEADER.unpack_from(data)
        handler = self._handlers.get(type_index)
        if handler is None:
            return
        message: Any = decode_message(data[_HEADER.size :], handler.request_type)
        content = encode_message(await handler.handle(message))
        flag = _FLAG_OK
        if len(content) > MAX_DATAGRAM_BYTES:
            content, flag = b"", _FLAG_TOO_LARGE
        _send(self._socket, _HEADER.pack(request_id, type_index, flag) + content, sender)


@dataclass(kw_only=True, slots=True)
class _PendingRequest:
    """A request waiting for its reply."""

    reply: bytes | None = None
    flag: int = _FLAG_OK
    event: anyio.Event = field(default_factory=anyio.Event)


class DatagramClient:
    """Sends requests as datagrams and receives the replies."""

    def __init__(self) -> None:
        """Create a client; it can be used inside its ``running`` block."""
        self._socket: socket.socket | None = None
        self._pending: dict[int, _PendingRequest] = {}
        self._last_request_id = 0
        self._group: TaskGroup | None = None

    @contextlib.asynccontextmanager
    async def running(self, group: TaskGroup) -> AsyncIterator[None]:
        """Receive replies in a task group while the block is active."""
        self._group = group
        self._open()
        try:
            yield
        finally:
            self._close()

    def _open(self) -> None:
        self._socket = _new_socket()
        self._socket.bind(("", 0))
        if self._group is not None:
            self._group.start_soon(self._receive_replies, self._socket)

    def _close(self) -> None:
        if self._socket is not None:
            anyio.notify_closing(self._socket)
            self._socket.close()
            self._socket = None

    async def _receive_replies(self, sock: socket.socket) -> None:
        with contextlib.suppress(anyio.ClosedResourceError):
            while sock is self._socket:
                await anyio.wait_readable(sock)
                self._read_replies(sock)

    def _read_replies(self, sock: socket.socket) -> None:
        while sock is self._socket:
            received = _receive(sock)
            if received is None:
                return
            data = received[0]
            if len(data) < _HEADER.size:
                continue
            request_id, _, flag = _HEADER.unpack_from(data)
            request = self._pending.get(request_id)
            if request is not None:
                request.reply, request.flag = data[_HEADER.size :], flag
                request.event.set()

    async def call(
        self, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T | MessageTooLarge, PeerError]:
        """Send a message and return the reply, unless either is too large or the reply is lost."""
        content = encode_message(message)
        if len(content) > MAX_DATAGRAM_BYTES:
            return Ok(MessageTooLarge())
        request_socket = self._socket
        request = self._send_request(address, _DATAGRAM_TYPES.index(type(message)), content)
        request_id = self._last_request_id
        try:
            with anyio.move_on_after(timeout_s):
                await request.event.wait()
        finally:
            del self._pending[request_id]
        if request.reply is None:
            if request_socket is self._socket:
                self._close()
                self._open()
            message_text = f"no answer within {timeout_s:g} s"
            return Err(PeerError(kind=PeerErrorKind.TIMEOUT, message=message_text))
        if request.flag == _FLAG_TOO_LARGE:
            return Ok(MessageTooLarge())
        try:
            return Ok(decode_message(request.reply, reply_type))
        except msgspec.MsgspecError as error:
            return Err(
                PeerError(kind=PeerErrorKind.TIMEOUT, message=f"no readable answer: {error}")
            )

    def _send_request(self, address: str, type_index: int, content: bytes) -> _PendingRequest:
        self._last_request_id = (self._last_request_id + 1) % 2**32
        request = _PendingRequest()
        self._pending[self._last_request_id] = request
        if self._socket is not None:
            header = _HEADER.pack(self._last_request_id, type_index, _FLAG_OK)
            _send(self._socket, header + content, parse_address(address))
        return request

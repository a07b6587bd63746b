"""Steady control traffic over UDP: one question and one answer, each in one datagram.

The server lets datagrams gather for a moment and serves them together, since at these rates a
wake-up costs more than a message. An answer that does not fit a datagram is only announced, and the
caller repeats its question over gRPC. After a lost answer the client takes a new socket, because
something between the two ends may have lost track of the old one.
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
)
from persimmoncrank.transport._addresses import parse_address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup

    from persimmoncrank.protocol import Handler

log = logging.getLogger(__name__)

T = TypeVar("T")

GATHER_S = 0.08
MAX_DATAGRAM_BYTES = 1_400
MAX_DATAGRAMS_AT_ONCE = 1_000
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

_STEADY_TYPES = (Heartbeat, SyncRequest)
_HEADER = struct.Struct("!IBB")
_FLAG_FITS = 0
_FLAG_TOO_LARGE = 1


def is_steady(message_type: type) -> bool:
    """Tell whether messages of a type go as datagrams."""
    return message_type in _STEADY_TYPES


@dataclass(frozen=True, kw_only=True, slots=True)
class TooLarge:
    """Tells that the answer does not fit a datagram."""


def _new_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return sock


def _receive(sock: socket.socket) -> tuple[bytes, Any] | None:
    """Return the next datagram and its sender, or None if there is none."""
    while True:
        try:
            return sock.recvfrom(MAX_DATAGRAM_BYTES + _HEADER.size)
        except BlockingIOError:
            return None
        except OSError:
            # The error of an earlier datagram to a closed port; the socket goes on.
            continue


def _send(sock: socket.socket, data: bytes, address: Any) -> None:
    """Send a datagram; one that cannot be sent now is as good as lost."""
    with contextlib.suppress(OSError):
        sock.sendto(data, address)


class DatagramServer:
    """Serves steady messages at one address."""

    def __init__(self, *, address: str, handlers: tuple[Handler, ...]) -> None:
        """Bind the address; ``run`` serves."""
        self._handlers = {
            _STEADY_TYPES.index(handler.request_type): handler
            for handler in handlers
            if is_steady(handler.request_type)
        }
        self._socket = _new_socket()
        self._socket.bind(parse_address(address))

    async def run(self) -> None:
        """Serve until cancelled."""
        with self._socket:
            while True:
                await anyio.wait_readable(self._socket)
                await anyio.sleep(GATHER_S)
                await self._serve_gathered()

    async def _serve_gathered(self) -> None:
        for _ in range(MAX_DATAGRAMS_AT_ONCE):
            received = _receive(self._socket)
            if received is None:
                return
            data, sender = received
            with contextlib.suppress(msgspec.MsgspecError, struct.error):
                await self._serve(data, sender)

    async def _serve(self, data: bytes, sender: Any) -> None:
        number, type_index, _ = _HEADER.unpack_from(data)
        handler = self._handlers.get(type_index)
        if handler is None:
            return
        message: Any = decode_message(data[_HEADER.size :], handler.request_type)
        content = encode_message(await handler.handle(message))
        flag = _FLAG_FITS
        if len(content) > MAX_DATAGRAM_BYTES:
            content, flag = b"", _FLAG_TOO_LARGE
        _send(self._socket, _HEADER.pack(number, type_index, flag) + content, sender)


@dataclass(kw_only=True, slots=True)
class _Question:
    """A question that waits for its answer."""

    answer: bytes | None = None
    flag: int = _FLAG_FITS
    event: anyio.Event = field(default_factory=anyio.Event)


class DatagramClient:
    """Asks questions by datagrams."""

    def __init__(self) -> None:
        """Create a client; ``run`` receives its answers."""
        self._socket: socket.socket | None = None
        self._questions: dict[int, _Question] = {}
        self._number = 0
        self._group: TaskGroup | None = None

    @contextlib.asynccontextmanager
    async def running(self, group: TaskGroup) -> AsyncIterator[None]:
        """Receive answers in a task group while the block runs."""
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
            self._group.start_soon(self._receive_from, self._socket)

    def _close(self) -> None:
        if self._socket is not None:
            anyio.notify_closing(self._socket)
            self._socket.close()
            self._socket = None

    async def _receive_from(self, sock: socket.socket) -> None:
        with contextlib.suppress(anyio.ClosedResourceError):
            while sock is self._socket:
                await anyio.wait_readable(sock)
                self._take_answers(sock)

    def _take_answers(self, sock: socket.socket) -> None:
        while sock is self._socket:
            received = _receive(sock)
            if received is None:
                return
            data = received[0]
            if len(data) < _HEADER.size:
                continue
            number, _, flag = _HEADER.unpack_from(data)
            question = self._questions.get(number)
            if question is not None:
                question.answer, question.flag = data[_HEADER.size :], flag
                question.event.set()

    async def call(
        self, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T | TooLarge, PeerError]:
        """Send a message and return the reply, unless that is too large or lost."""
        content = encode_message(message)
        if len(content) > MAX_DATAGRAM_BYTES:
            return Ok(TooLarge())
        used = self._socket
        question = self._ask(address, _STEADY_TYPES.index(type(message)), content)
        number = self._number
        try:
            with anyio.move_on_after(timeout_s):
                await question.event.wait()
        finally:
            del self._questions[number]
        if question.answer is None:
            if used is self._socket:
                self._close()
                self._open()
            message_text = f"no answer within {timeout_s:g} s"
            return Err(PeerError(kind=PeerErrorKind.TIMEOUT, message=message_text))
        if question.flag == _FLAG_TOO_LARGE:
            return Ok(TooLarge())
        return Ok(decode_message(question.answer, reply_type))

    def _ask(self, address: str, type_index: int, content: bytes) -> _Question:
        self._number = (self._number + 1) % 2**32
        question = _Question()
        self._questions[self._number] = question
        if self._socket is not None:
            header = _HEADER.pack(self._number, type_index, _FLAG_FITS)
            _send(self._socket, header + content, parse_address(address))
        return question

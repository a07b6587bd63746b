"""Message streams between processes: length-prefixed MessagePack messages over TCP."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
from anyio.streams.buffered import BufferedByteReceiveStream

from persimmoncrank.protocol import (
    MessageStream,
    StreamClosedError,
    decode_message,
    encode_message,
    parse_address,
)
from persimmoncrank.transport._rpc_methods import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from anyio.abc import SocketStream

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
LENGTH_BYTES = 4
MAX_FIRST_MESSAGE_BYTES = 1024 * 1024  # before the peer has said who it is
_CLOSED_ERRORS = (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError, OSError)


def _message_stream(
    socket: SocketStream, message_type: type, *, max_first_bytes: int = MAX_MESSAGE_BYTES
) -> MessageStream:
    """Wrap a connection that receives messages of ``message_type``."""
    buffered = BufferedByteReceiveStream(socket)
    max_bytes = max_first_bytes

    async def send(message: Any) -> None:
        data = encode_message(message)
        try:
            await socket.send(len(data).to_bytes(LENGTH_BYTES) + data)
        except (*_CLOSED_ERRORS, anyio.ClosedResourceError) as error:
            raise StreamClosedError(type(error).__name__) from error

    async def receive() -> Any:
        nonlocal max_bytes
        try:
            length = int.from_bytes(await buffered.receive_exactly(LENGTH_BYTES))
            if length > max_bytes:
                raise StreamClosedError(
                    f"a message of {length} bytes exceeds the limit of {max_bytes} bytes"
                )
            message: Any = decode_message(await buffered.receive_exactly(length), message_type)
            max_bytes = MAX_MESSAGE_BYTES
            return message
        except msgspec.MsgspecError as error:
            raise StreamClosedError(f"cannot decode a message: {error}") from error
        except (*_CLOSED_ERRORS, anyio.ClosedResourceError) as error:
            raise StreamClosedError(type(error).__name__) from error

    return MessageStream(send=send, receive=receive)


@contextlib.asynccontextmanager
async def serve_streams(
    *, address: str, message_type: type, serve: Callable[[MessageStream], Awaitable[None]]
) -> AsyncIterator[None]:
    """Accept streams that receive ``message_type`` at ``host:port`` while the block is active."""

    async def handle(socket: SocketStream) -> None:
        try:
            async with socket:
                await serve(
                    _message_stream(socket, message_type, max_first_bytes=MAX_FIRST_MESSAGE_BYTES)
                )
        except StreamClosedError as error:
            log.info("rpc: stream closed cause=%s", error)
        except Exception:
            log.exception("rpc: stream failed, other streams continue")

    host, port = parse_address(address)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port, reuse_port=False)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, handle)
        yield
        group.cancel_scope.cancel()


def stream_dialer(
    message_type: type,
) -> Callable[[str], contextlib.AbstractAsyncContextManager[MessageStream]]:
    """Return a function that opens a stream that receives ``message_type`` from an address."""

    @contextlib.asynccontextmanager
    async def dial(address: str) -> AsyncIterator[MessageStream]:
        try:
            host, port = parse_address(address)
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                socket = await anyio.connect_tcp(host, port)
        except (OSError, ValueError) as error:
            raise StreamClosedError(f"not connected: {error}") from error
        async with socket:
            yield _message_stream(socket, message_type)

    return dial

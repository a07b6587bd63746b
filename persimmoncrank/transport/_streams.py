"""Message streams between processes over gRPC, with generic handlers and MessagePack."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING, Any

import grpc

from persimmoncrank.protocol import (
    MessageStream,
    StreamClosedError,
    decode_message,
    encode_message,
)
from persimmoncrank.transport._rpc_methods import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

log = logging.getLogger(__name__)

STREAM_METHOD = "/persimmoncrank.Streams/Work"

_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 500),
]


class _StreamHandler(grpc.GenericRpcHandler):
    """Finds the one stream method."""

    def __init__(self, method: grpc.RpcMethodHandler) -> None:
        self._method = method

    def service(self, handler_call_details: Any) -> grpc.RpcMethodHandler | None:
        """Return the handler of the called method."""
        return self._method if handler_call_details.method == STREAM_METHOD else None


def _decoder(message_type: type) -> Callable[[bytes], Any]:
    def decode(data: bytes) -> Any:
        return decode_message(data, message_type)

    return decode


def _message_stream(call: Any) -> MessageStream:
    """Wrap the reading and writing ends of a gRPC call."""

    async def send(message: Any) -> None:
        try:
            await call.write(message)
        except (grpc.RpcError, grpc.aio.UsageError) as error:
            raise StreamClosedError(_describe(error)) from error

    async def receive() -> Any:
        try:
            message = await call.read()
        except (grpc.RpcError, grpc.aio.UsageError) as error:
            raise StreamClosedError(_describe(error)) from error
        if message is grpc.aio.EOF:
            raise StreamClosedError("the other end closed the stream")
        return message

    return MessageStream(send=send, receive=receive)


def _describe(error: Exception) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return f"{error.code().name.lower()}: {error.details()}"
    return type(error).__name__


@contextlib.asynccontextmanager
async def serve_streams(
    *, address: str, message_type: type, serve: Callable[[MessageStream], Awaitable[None]]
) -> AsyncIterator[None]:
    """Serve streams of messages of ``message_type`` at ``host:port`` while the block runs."""

    async def handle(_requests: Any, context: Any) -> None:
        try:
            await serve(_message_stream(context))
        except StreamClosedError as error:
            log.info("rpc: stream closed peer=%s cause=%s", context.peer(), error)

    method = grpc.stream_stream_rpc_method_handler(
        handle,
        request_deserializer=_decoder(message_type),
        response_serializer=encode_message,
    )
    server = grpc.aio.server(options=_OPTIONS)
    server.add_generic_rpc_handlers((_StreamHandler(method),))
    server.add_insecure_port(address)
    await server.start()
    try:
        yield
    finally:
        await server.stop(grace=None)


def stream_dialer(
    message_type: type,
) -> Callable[[str], contextlib.AbstractAsyncContextManager[MessageStream]]:
    """Return a function that opens a stream of messages of ``message_type`` to an address.

    Each stream has a connection of its own, which is closed with it.
    """

    @contextlib.asynccontextmanager
    async def dial(address: str) -> AsyncIterator[MessageStream]:
        channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
        method = channel.stream_stream(
            STREAM_METHOD,
            request_serializer=encode_message,
            response_deserializer=_decoder(message_type),
        )
        call = method()
        try:
            yield _message_stream(call)
        finally:
            call.cancel()
            await channel.close()

    return dial

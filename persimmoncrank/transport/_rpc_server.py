"""The gRPC server of a process: generic handlers over MessagePack messages."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING, Any

import grpc

from persimmoncrank.protocol import Handler, decode_message, encode_message
from persimmoncrank.transport._rpc_methods import (
    MAX_MESSAGE_BYTES,
    is_streamed,
    method_path,
    stream_path,
)

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

log = logging.getLogger(__name__)

Serve = Callable[[Any, Any], Awaitable[Any]]

_SERVER_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
]


class _GenericHandler(grpc.GenericRpcHandler):
    """Finds the handler of a method by its path."""

    def __init__(self, handlers: tuple[Handler, ...]) -> None:
        self._methods: dict[str, grpc.RpcMethodHandler] = {}
        for handler in handlers:
            self._add(handler)

    def _add(self, handler: Handler) -> None:
        request_type = handler.request_type
        codecs = {
            "request_deserializer": lambda data: decode_message(data, request_type),
            "response_serializer": encode_message,
        }
        unary = grpc.unary_unary_rpc_method_handler(_serve_unary(handler), **codecs)
        self._methods[method_path(request_type)] = unary
        if is_streamed(request_type):
            stream = grpc.stream_stream_rpc_method_handler(_serve_stream(handler), **codecs)
            self._methods[stream_path(request_type)] = stream

    def service(self, handler_call_details: Any) -> grpc.RpcMethodHandler | None:
        """Return the handler of the called method."""
        return self._methods.get(handler_call_details.method)


def _serve_unary(handler: Handler) -> Serve:
    async def serve(message: Any, _context: Any) -> Any:
        return await handler.handle(message)

    return serve


def _serve_stream(handler: Handler) -> Callable[[Any, Any], AsyncIterator[Any]]:
    async def serve(messages: AsyncIterator[Any], _context: Any) -> AsyncIterator[Any]:
        async for message in messages:
            yield await handler.handle(message)

    return serve


class RpcServer:
    """A gRPC server that runs inside an ``async with`` block."""

    def __init__(self, *, address: str, handlers: tuple[Handler, ...]) -> None:
        """Create a server for an address of the form ``host:port``."""
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)
        self._server.add_generic_rpc_handlers((_GenericHandler(handlers),))
        self.port = self._server.add_insecure_port(address)

    async def __aenter__(self) -> RpcServer:
        """Start serving."""
        await self._server.start()
        return self

    async def __aexit__(self, *_exc_info: object) -> None:
        """Stop at once; callers of a stopped process have had their answers before."""
        await self._server.stop(grace=None)


def serve_rpc(
    *, address: str, handlers: tuple[Handler, ...]
) -> AbstractAsyncContextManager[RpcServer]:
    """Return a server context for the given handlers."""
    return RpcServer(address=address, handlers=handlers)

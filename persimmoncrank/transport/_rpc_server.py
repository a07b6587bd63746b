"""The servers for calls from other processes: gRPC, and UDP for periodic control messages.

The gRPC server uses generic handlers with MessagePack messages, so no generated code is needed.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import anyio
import grpc

from persimmoncrank.protocol import Handler, decode_message, encode_message
from persimmoncrank.transport._datagrams import DatagramServer
from persimmoncrank.transport._rpc_methods import MAX_MESSAGE_BYTES, method_path

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

log = logging.getLogger(__name__)

Behavior = Callable[[Any, Any], Awaitable[Any]]

_SERVER_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
]


class _GenericHandler(grpc.GenericRpcHandler):
    """Looks up the handler of a method by its path."""

    def __init__(self, handlers: tuple[Handler, ...]) -> None:
        self._methods = {method_path(h.request_type): _method_handler(h) for h in handlers}

    def service(self, handler_call_details: Any) -> grpc.RpcMethodHandler | None:
        """Return the handler of the called method."""
        return self._methods.get(handler_call_details.method)


def _method_handler(handler: Handler) -> grpc.RpcMethodHandler:
    return grpc.unary_unary_rpc_method_handler(
        _behavior(handler),
        request_deserializer=lambda data: decode_message(data, handler.request_type),
        response_serializer=encode_message,
    )


def _behavior(handler: Handler) -> Behavior:
    async def behavior(message: Any, _context: Any) -> Any:
        return await handler.handle(message)

    return behavior


@contextlib.asynccontextmanager
async def serve_rpc(*, address: str, handlers: tuple[Handler, ...]) -> AsyncIterator[None]:
    """Serve calls from other processes at ``host:port`` while the block is active.

    The server stops without a grace period: a process that shuts down has replied to its callers
    before the block ends.
    """
    server = grpc.aio.server(options=_SERVER_OPTIONS)
    server.add_generic_rpc_handlers((_GenericHandler(handlers),))
    server.add_insecure_port(address)
    datagrams = DatagramServer(address=address, handlers=handlers)
    await server.start()
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(datagrams.run)
            yield
            group.cancel_scope.cancel()
    finally:
        await server.stop(grace=None)

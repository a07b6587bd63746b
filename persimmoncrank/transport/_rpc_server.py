"""The servers of a process for other processes: gRPC, and UDP for steady traffic.

gRPC uses generic handlers over MessagePack messages, so no code is generated.
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

Serve = Callable[[Any, Any], Awaitable[Any]]

_SERVER_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
]


class _GenericHandler(grpc.GenericRpcHandler):
    """Finds the handler of a method by its path."""

    def __init__(self, handlers: tuple[Handler, ...]) -> None:
        self._methods = {method_path(h.request_type): _method_handler(h) for h in handlers}

    def service(self, handler_call_details: Any) -> grpc.RpcMethodHandler | None:
        """Return the handler of the called method."""
        return self._methods.get(handler_call_details.method)


def _method_handler(handler: Handler) -> grpc.RpcMethodHandler:
    return grpc.unary_unary_rpc_method_handler(
        _serve(handler),
        request_deserializer=lambda data: decode_message(data, handler.request_type),
        response_serializer=encode_message,
    )


def _serve(handler: Handler) -> Serve:
    async def serve(message: Any, _context: Any) -> Any:
        return await handler.handle(message)

    return serve


@contextlib.asynccontextmanager
async def serve_rpc(*, address: str, handlers: tuple[Handler, ...]) -> AsyncIterator[None]:
    """Serve messages of other processes at ``host:port`` while the block runs.

    It stops at once; callers of a process that leaves have had their answers before.
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

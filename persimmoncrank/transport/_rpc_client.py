"""The client for calls to other processes; each call has a timeout.

Periodic control messages are sent as datagrams, all others over gRPC. A call may time out because
its connection no longer delivers packets, so the channel of a failed call is discarded and the next
call opens a new connection. Other calls on the discarded channel get ``CLOSE_GRACE_S`` to finish.
"""

from __future__ import annotations

import contextlib
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
import grpc
from result import Err, Ok, Result

from persimmoncrank.protocol import PeerError, PeerErrorKind, decode_message, encode_message
from persimmoncrank.transport._datagrams import DatagramClient, MessageTooLarge, is_datagram_type
from persimmoncrank.transport._rpc_methods import MAX_MESSAGE_BYTES, method_path

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

log = logging.getLogger(__name__)

T = TypeVar("T")

CLOSE_GRACE_S = 5.0
MAX_CHANNELS = 4_000

_CHANNEL_OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
]


@dataclass(kw_only=True, slots=True)
class _PeerChannel:
    """A gRPC channel to one process, with the methods created on it."""

    channel: grpc.aio.Channel
    methods: dict[type, Any] = field(default_factory=dict)


def _deserializer(reply_type: type) -> Callable[[bytes], Any]:
    def decode(data: bytes) -> Any:
        return decode_message(data, reply_type)

    return decode


class RpcClient:
    """Calls other processes; use it inside its ``async with`` block."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._peers: dict[str, _PeerChannel] = {}
        self._datagrams = DatagramClient()
        self._stack = contextlib.AsyncExitStack()
        self._group: TaskGroup | None = None
        self.call_count = 0
        self.failure_count = 0

    async def __aenter__(self) -> RpcClient:
        """Start receiving replies."""
        self._group = await self._stack.enter_async_context(anyio.create_task_group())
        await self._stack.enter_async_context(self._datagrams.running(self._group))
        return self

    async def __aexit__(self, *exc_info: Any) -> None:
        """Close all connections."""
        if self._group is not None:
            self._group.cancel_scope.cancel()
        await self._stack.__aexit__(*exc_info)
        for peer in self._peers.values():
            await peer.channel.close()
        self._peers.clear()

    async def call(
        self, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T, PeerError]:
        """Send a message and return the reply, or the error of the call."""
        self.call_count += 1
        answer: Result[T, PeerError]
        if is_datagram_type(type(message)):
            answer = await self._call_datagram(address, message, reply_type, timeout_s)
        else:
            answer = await self._call_grpc(address, message, reply_type, timeout_s)
        if answer.is_err():
            self.failure_count += 1
        return answer

    async def _call_datagram(
        self, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T, PeerError]:
        answer = await self._datagrams.call(address, message, reply_type, timeout_s)
        match answer:
            case Err(error):
                return Err(error)
            case Ok(reply) if not isinstance(reply, MessageTooLarge):
                return Ok(reply)
            case _:
                return await self._call_grpc(address, message, reply_type, timeout_s)

    async def _call_grpc(
        self, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T, PeerError]:
        peer = self._peers.get(address) or self._open_channel(address)
        try:
            return Ok(
                await _unary_method(peer, type(message), reply_type)(message, timeout=timeout_s)
            )
        except grpc.aio.AioRpcError as error:
            is_timeout = error.code() == grpc.StatusCode.DEADLINE_EXCEEDED
            kind = PeerErrorKind.TIMEOUT if is_timeout else PeerErrorKind.UNREACHABLE
            text = error.details() or str(error.code())
        except grpc.aio.UsageError as error:
            kind, text = PeerErrorKind.UNREACHABLE, str(error)
        self._discard_channel(address, peer)
        return Err(PeerError(kind=kind, message=text))

    def _open_channel(self, address: str) -> _PeerChannel:
        if len(self._peers) >= MAX_CHANNELS:
            oldest = next(iter(self._peers))
            self._discard_channel(oldest, self._peers[oldest])
        peer = _PeerChannel(channel=grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS))
        self._peers[address] = peer
        return peer

    def _discard_channel(self, address: str, peer: _PeerChannel) -> None:
        """Remove a channel, so that the next call opens a new connection."""
        if self._peers.get(address) is not peer:
            return
        del self._peers[address]
        log.info("rpc: channel discarded address=%s", address)
        if self._group is not None:
            self._group.start_soon(peer.channel.close, CLOSE_GRACE_S)


def _unary_method(peer: _PeerChannel, message_type: type, reply_type: type) -> Any:
    """Return the method for a message type, creating it on the first call."""
    method = peer.methods.get(message_type)
    if method is None:
        method = peer.channel.unary_unary(
            method_path(message_type),
            request_serializer=encode_message,
            response_deserializer=_deserializer(reply_type),
        )
        peer.methods[message_type] = method
    return method

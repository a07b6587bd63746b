"""The client of a process for other processes, with a bound in time on each call.

Steady traffic goes by datagrams, everything else over gRPC. A call that times out may have met a
connection that went silent, so its channel is replaced and the next call opens a new connection.
The old channel is closed only after its other calls have ended.
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
from persimmoncrank.transport._datagrams import DatagramClient, TooLarge, is_steady
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
class _Peer:
    """One channel with its methods."""

    channel: grpc.aio.Channel
    methods: dict[type, Any] = field(default_factory=dict)


def _decoder(reply_type: type) -> Callable[[bytes], Any]:
    def decode(data: bytes) -> Any:
        return decode_message(data, reply_type)

    return decode


class RpcClient:
    """Calls other processes; use it inside its ``async with`` block."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._peers: dict[str, _Peer] = {}
        self._datagrams = DatagramClient()
        self._stack = contextlib.AsyncExitStack()
        self._group: TaskGroup | None = None
        self.calls_count = 0
        self.failures_count = 0

    async def __aenter__(self) -> RpcClient:
        """Get ready to call."""
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
        """Send a message and return the reply, or how the call failed."""
        self.calls_count += 1
        answer: Result[T, PeerError]
        if is_steady(type(message)):
            answer = await self._call_steady(address, message, reply_type, timeout_s)
        else:
            answer = await self._call_unary(address, message, reply_type, timeout_s)
        if answer.is_err():
            self.failures_count += 1
        return answer

    async def _call_steady(
        self, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T, PeerError]:
        answer = await self._datagrams.call(address, message, reply_type, timeout_s)
        match answer:
            case Err(error):
                return Err(error)
            case Ok(reply) if not isinstance(reply, TooLarge):
                return Ok(reply)
            case _:
                return await self._call_unary(address, message, reply_type, timeout_s)

    async def _call_unary(
        self, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T, PeerError]:
        peer = self._peers.get(address) or self._connect(address)
        try:
            return Ok(await _method(peer, type(message), reply_type)(message, timeout=timeout_s))
        except grpc.aio.AioRpcError as error:
            is_timeout = error.code() == grpc.StatusCode.DEADLINE_EXCEEDED
            kind = PeerErrorKind.TIMEOUT if is_timeout else PeerErrorKind.UNREACHABLE
            text = error.details() or str(error.code())
        except grpc.aio.UsageError as error:
            kind, text = PeerErrorKind.UNREACHABLE, str(error)
        self._replace(address, peer)
        return Err(PeerError(kind=kind, message=text))

    def _connect(self, address: str) -> _Peer:
        if len(self._peers) >= MAX_CHANNELS:
            oldest = next(iter(self._peers))
            self._replace(oldest, self._peers[oldest])
        peer = _Peer(channel=grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS))
        self._peers[address] = peer
        return peer

    def _replace(self, address: str, peer: _Peer) -> None:
        """Forget a channel, so that the next call opens a new connection."""
        if self._peers.get(address) is not peer:
            return
        del self._peers[address]
        log.info("rpc: connection replaced address=%s", address)
        if self._group is not None:
            self._group.start_soon(peer.channel.close, CLOSE_GRACE_S)


def _method(peer: _Peer, message_type: type, reply_type: type) -> Any:
    """Return a channel's method for a message type."""
    method = peer.methods.get(message_type)
    if method is None:
        method = peer.channel.unary_unary(
            method_path(message_type),
            request_serializer=encode_message,
            response_deserializer=_decoder(reply_type),
        )
        peer.methods[message_type] = method
    return method

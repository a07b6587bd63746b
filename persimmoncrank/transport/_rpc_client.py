"""The gRPC client of a process: calls with a bound in time over replaceable connections.

A call that times out may have met a connection that went silent, so its channel is replaced and the
next call opens a new connection. The old channel is closed only after its other calls have ended.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
import grpc
from result import Err, Ok, Result

from persimmoncrank.protocol import PeerError, PeerErrorKind, decode_message, encode_message
from persimmoncrank.transport._rpc_methods import (
    MAX_MESSAGE_BYTES,
    is_streamed,
    method_path,
    stream_path,
)

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


@dataclass(frozen=True, kw_only=True, slots=True)
class _Key:
    """Steady and other traffic to one address use connections of their own."""

    address: str
    is_streamed: bool


@dataclass(kw_only=True, slots=True)
class _Stream:
    """A long-lived stream that carries one question at a time."""

    call: Any
    lock: anyio.Lock = field(default_factory=anyio.Lock)


@dataclass(kw_only=True, slots=True)
class _Peer:
    """One channel with its methods and streams."""

    channel: grpc.aio.Channel
    methods: dict[type, Any] = field(default_factory=dict)
    streams: dict[type, _Stream] = field(default_factory=dict)


def _decoder(reply_type: type) -> Callable[[bytes], Any]:
    def decode(data: bytes) -> Any:
        return decode_message(data, reply_type)

    return decode


class RpcClient:
    """Calls other processes; use it inside its ``async with`` block."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._peers: dict[_Key, _Peer] = {}
        self._group: TaskGroup | None = None
        self.calls_count = 0
        self.failures_count = 0

    async def __aenter__(self) -> RpcClient:
        """Get ready to call."""
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        return self

    async def __aexit__(self, *exc_info: Any) -> None:
        """Close all connections."""
        if self._group is not None:
            self._group.cancel_scope.cancel()
            await self._group.__aexit__(*exc_info)
        for peer in self._peers.values():
            await peer.channel.close()
        self._peers.clear()

    async def call(
        self, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T, PeerError]:
        """Send a message and return the reply, or how the call failed."""
        key = _Key(address=address, is_streamed=is_streamed(type(message)))
        peer = self._peers.get(key) or self._connect(key)
        exchange = self._exchange if key.is_streamed else self._unary
        self.calls_count += 1
        try:
            return Ok(await exchange(peer, message, reply_type, timeout_s))
        except grpc.aio.AioRpcError as error:
            is_timeout = error.code() == grpc.StatusCode.DEADLINE_EXCEEDED
            kind = PeerErrorKind.TIMEOUT if is_timeout else PeerErrorKind.UNREACHABLE
            text = error.details() or str(error.code())
        except TimeoutError:
            kind, text = PeerErrorKind.TIMEOUT, f"no reply within {timeout_s:g} s"
        except (grpc.aio.UsageError, EOFError) as error:
            kind, text = PeerErrorKind.UNREACHABLE, str(error) or "the stream has ended"
        self.failures_count += 1
        self._replace(key, peer)
        return Err(PeerError(kind=kind, message=text))

    def _connect(self, key: _Key) -> _Peer:
        if len(self._peers) >= MAX_CHANNELS:
            oldest = next(iter(self._peers))
            self._replace(oldest, self._peers[oldest])
        peer = _Peer(channel=grpc.aio.insecure_channel(key.address, options=_CHANNEL_OPTIONS))
        self._peers[key] = peer
        return peer

    async def _unary(self, peer: _Peer, message: Any, reply_type: type[T], timeout_s: float) -> T:
        method = peer.methods.get(type(message))
        if method is None:
            method = peer.channel.unary_unary(
                method_path(type(message)),
                request_serializer=encode_message,
                response_deserializer=_decoder(reply_type),
            )
            peer.methods[type(message)] = method
        return await method(message, timeout=timeout_s)

    async def _exchange(
        self, peer: _Peer, message: Any, reply_type: type[T], timeout_s: float
    ) -> T:
        """Send one question on the stream and read its answer."""
        stream = peer.streams.get(type(message))
        if stream is None:
            method = peer.channel.stream_stream(
                stream_path(type(message)),
                request_serializer=encode_message,
                response_deserializer=_decoder(reply_type),
            )
            stream = _Stream(call=method())
            peer.streams[type(message)] = stream
        with anyio.fail_after(timeout_s):
            async with stream.lock:
                await stream.call.write(message)
                reply = await stream.call.read()
        if reply is grpc.aio.EOF:
            raise EOFError
        return reply

    def _replace(self, key: _Key, peer: _Peer) -> None:
        """Forget a channel, so that the next call opens a new connection."""
        if self._peers.get(key) is not peer:
            return
        del self._peers[key]
        log.info("rpc: connection replaced address=%s", key.address)
        if self._group is not None:
            self._group.start_soon(peer.channel.close, CLOSE_GRACE_S)

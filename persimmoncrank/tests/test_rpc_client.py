"""Tests of calls between processes over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import pytest
from anyio.abc import SocketAttribute

from persimmoncrank.protocol import (
    AgentEntry,
    AgentInfo,
    AgentLoad,
    AgentStatus,
    BatchReply,
    CancelBatch,
    CloseReply,
    CloseSubmissions,
    Handler,
    PeerErrorKind,
    SyncReply,
    SyncRequest,
    parse_address,
)
from persimmoncrank.standin import free_addresses
from persimmoncrank.transport import RpcClient, serve_rpc

if TYPE_CHECKING:
    from anyio.abc import SocketStream

CLOSE = CloseSubmissions(agent="a", submission_ids=("s",))
SYNC = SyncRequest(entry="e", version=1, accepted_version=1, since=0)


def agent_entry(number: int) -> AgentEntry:
    """Return an agent as listed in a sync reply."""
    info = AgentInfo(
        incarnation=f"agent-{number}",
        backend=f"backend-{number}",
        rpc_address="127.0.0.1:1",
        domain="monza",
        kinds=("walker-check-in",),
        slots=8,
        processors=1.0,
        memory_bytes=1,
    )
    return AgentEntry(info=info, status=AgentStatus.LIVE)


def sync_reply(agents: int) -> SyncReply:
    """Return a sync reply that lists ``agents`` agents."""
    return SyncReply(
        entry="e2",
        version=3,
        accepted_version=3,
        age_ms=5,
        position=1,
        is_full=True,
        agents=tuple(agent_entry(number) for number in range(agents)),
        agents_digest=0,
    )


async def answer_close(message: CloseSubmissions) -> CloseReply:
    """Handle a ``CloseSubmissions`` message."""
    return CloseReply(agent=message.agent, is_known=True)


@pytest.mark.parametrize("agents", [0, 2, 500])
def test_sync_replies_of_any_size_arrive(agents: int) -> None:
    async def answer(_message: SyncRequest) -> SyncReply:
        return sync_reply(agents)

    async def main() -> None:
        address = free_addresses(1)[0]
        handler = Handler(request_type=SyncRequest, handle=answer)
        async with serve_rpc(address=address, handlers=(handler,)), RpcClient() as client:
            reply = (await client.call(address, SYNC, SyncReply, 5.0)).unwrap()
            assert reply == sync_reply(agents)

    anyio.run(main)


@pytest.mark.parametrize("message", [CLOSE, SYNC])
def test_address_without_server_is_an_error(message: Any) -> None:
    async def main() -> None:
        async with RpcClient() as client:
            address = free_addresses(1)[0]
            assert (await client.call(address, message, CloseReply, 0.3)).is_err()

    anyio.run(main)


def test_timeout_does_not_affect_other_calls() -> None:
    async def answer_cancel(message: CancelBatch) -> BatchReply:
        await anyio.sleep(5.0)
        return BatchReply(agent=message.agent, is_known=True, load=AgentLoad())

    async def main() -> None:
        address = free_addresses(1)[0]
        handlers = (
            Handler(request_type=CancelBatch, handle=answer_cancel),
            Handler(request_type=CloseSubmissions, handle=answer_close),
        )
        cancel = CancelBatch(agent="a", submission_id="s", task_count=1, tasks=())
        async with serve_rpc(address=address, handlers=handlers), RpcClient() as client:
            late = await client.call(address, cancel, BatchReply, 0.2)
            assert late.unwrap_err().kind == PeerErrorKind.TIMEOUT
            assert (await client.call(address, CLOSE, CloseReply, 5.0)).is_ok()

    anyio.run(main)


class Relay:
    """Forwards TCP connections and can start to drop all data of those that are open."""

    def __init__(self, *, target: str) -> None:
        """Create a relay to a target address."""
        self._target = target
        self._blackholed = anyio.Event()

    def blackhole_open_connections(self) -> None:
        """Drop all further data of the connections that are open now, without closing them."""
        self._blackholed.set()
        self._blackholed = anyio.Event()

    async def handle(self, stream: SocketStream) -> None:
        """Forward one connection to the target."""
        blackholed = self._blackholed
        other = await anyio.connect_tcp(*parse_address(self._target))
        async with stream, other, anyio.create_task_group() as group:
            group.start_soon(self._forward, stream, other, blackholed)
            group.start_soon(self._forward, other, stream, blackholed)

    async def _forward(
        self, source: SocketStream, sink: SocketStream, blackholed: anyio.Event
    ) -> None:
        try:
            async for data in source:
                if blackholed.is_set():
                    continue
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


def test_blackholed_connection_is_replaced() -> None:
    async def main() -> None:
        address = free_addresses(1)[0]
        handler = Handler(request_type=CloseSubmissions, handle=answer_close)
        relay = Relay(target=address)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        relayed = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        async with (
            serve_rpc(address=address, handlers=(handler,)),
            RpcClient() as client,
            anyio.create_task_group() as group,
        ):
            group.start_soon(listener.serve, relay.handle)
            assert (await client.call(relayed, CLOSE, CloseReply, 5.0)).is_ok()
            relay.blackhole_open_connections()
            timed_out = await client.call(relayed, CLOSE, CloseReply, 0.5)
            assert timed_out.unwrap_err().kind == PeerErrorKind.TIMEOUT
            assert (await client.call(relayed, CLOSE, CloseReply, 5.0)).is_ok()
            group.cancel_scope.cancel()

    anyio.run(main)

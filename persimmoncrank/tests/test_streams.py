"""Tests of message streams over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import pytest

from persimmoncrank.protocol import (
    AgentFrame,
    EntryFrame,
    MessageStream,
    StreamClosedError,
    parse_address,
)
from persimmoncrank.standin import free_addresses
from persimmoncrank.transport import serve_streams, stream_dialer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


async def echo_challenges(stream: MessageStream) -> None:
    """Reply to each frame with its challenge; close on challenge 9, fail on challenge 8."""
    while True:
        frame: AgentFrame = await stream.receive()
        if frame.challenge == 9:
            return
        if frame.challenge == 8:
            raise ValueError("a field has an impossible value")
        await stream.send(EntryFrame(entry="e", challenge=frame.challenge))


def run_with_server(check: Callable[[str], Awaitable[Any]]) -> None:
    """Run a check against a stream server."""

    async def main() -> None:
        (address,) = free_addresses(1)
        async with serve_streams(address=address, message_type=AgentFrame, serve=echo_challenges):
            with anyio.fail_after(5):
                await check(address)

    anyio.run(main)


def test_messages_arrive_complete_and_in_order() -> None:
    async def check(address: str) -> None:
        async with stream_dialer(EntryFrame)(address) as stream:
            for challenge in (1, 2, 3):
                await stream.send(AgentFrame(challenge=challenge))
            answers = [(await stream.receive()).challenge for _ in range(3)]
            assert answers == [1, 2, 3]

    run_with_server(check)


def test_end_of_stream_raises_stream_closed_error() -> None:
    async def check(address: str) -> None:
        async with stream_dialer(EntryFrame)(address) as stream:
            await stream.send(AgentFrame(challenge=9))
            with pytest.raises(StreamClosedError):
                await stream.receive()

    run_with_server(check)


def test_address_without_server_raises_stream_closed_error() -> None:
    async def check(_address: str) -> None:
        (unused_address,) = free_addresses(1)
        with pytest.raises(StreamClosedError):
            async with stream_dialer(EntryFrame)(unused_address):
                pass

    run_with_server(check)


@pytest.mark.parametrize(
    "data",
    [(1 << 31).to_bytes(4), (3).to_bytes(4) + b"\xc1\xc1\xc1"],
    ids=["too long", "not a message"],
)
def test_invalid_bytes_close_only_their_stream(data: bytes) -> None:
    async def check(address: str) -> None:
        host, port = parse_address(address)
        async with await anyio.connect_tcp(host, port) as raw:
            await raw.send(data)
            with pytest.raises(anyio.EndOfStream):
                await raw.receive()
        async with stream_dialer(EntryFrame)(address) as stream:
            await stream.send(AgentFrame(challenge=4))
            assert (await stream.receive()).challenge == 4

    run_with_server(check)


def test_unexpected_error_closes_only_its_stream(caplog: pytest.LogCaptureFixture) -> None:
    async def check(address: str) -> None:
        async with stream_dialer(EntryFrame)(address) as stream:
            await stream.send(AgentFrame(challenge=8))
            with pytest.raises(StreamClosedError):
                await stream.receive()
        async with stream_dialer(EntryFrame)(address) as stream:
            await stream.send(AgentFrame(challenge=4))
            assert (await stream.receive()).challenge == 4

    run_with_server(check)
    assert "a field has an impossible value" in caplog.text

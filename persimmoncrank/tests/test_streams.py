"""Tests of message streams over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import pytest

from persimmoncrank.protocol import AgentFrame, EntryFrame, MessageStream, StreamClosedError
from persimmoncrank.standin import free_addresses
from persimmoncrank.transport import serve_streams, stream_dialer
from persimmoncrank.transport._addresses import parse_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


async def echo_challenges(stream: MessageStream) -> None:
    """Answer each frame with its challenge; end after challenge 9."""
    while True:
        frame: AgentFrame = await stream.receive()
        if frame.challenge == 9:
            return
        await stream.send(EntryFrame(entry="e", challenge=frame.challenge))


def play(scene: Callable[[str], Awaitable[Any]]) -> None:
    """Run a scene against a served address."""

    async def main() -> None:
        (address,) = free_addresses(1)
        async with serve_streams(address=address, message_type=AgentFrame, serve=echo_challenges):
            with anyio.fail_after(5):
                await scene(address)

    anyio.run(main)


def test_messages_arrive_whole_and_in_order() -> None:
    async def scene(address: str) -> None:
        async with stream_dialer(EntryFrame)(address) as stream:
            for challenge in (1, 2, 3):
                await stream.send(AgentFrame(challenge=challenge))
            answers = [(await stream.receive()).challenge for _ in range(3)]
            assert answers == [1, 2, 3]

    play(scene)


def test_the_end_of_a_stream_is_told() -> None:
    async def scene(address: str) -> None:
        async with stream_dialer(EntryFrame)(address) as stream:
            await stream.send(AgentFrame(challenge=9))
            with pytest.raises(StreamClosedError):
                await stream.receive()

    play(scene)


def test_an_address_where_nobody_listens_is_told() -> None:
    async def scene(_address: str) -> None:
        (free,) = free_addresses(1)
        with pytest.raises(StreamClosedError):
            async with stream_dialer(EntryFrame)(free):
                pass

    play(scene)


@pytest.mark.parametrize(
    "data",
    [(1 << 31).to_bytes(4), (3).to_bytes(4) + b"\xc1\xc1\xc1"],
    ids=["too long", "not a message"],
)
def test_bytes_that_are_no_message_close_that_stream_only(data: bytes) -> None:
    async def scene(address: str) -> None:
        host, port = parse_address(address)
        async with await anyio.connect_tcp(host, port) as raw:
            await raw.send(data)
            with pytest.raises(anyio.EndOfStream):
                await raw.receive()
        async with stream_dialer(EntryFrame)(address) as stream:
            await stream.send(AgentFrame(challenge=4))
            assert (await stream.receive()).challenge == 4

    play(scene)

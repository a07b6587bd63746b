"""Tests that addresses and stored messages which cannot be read affect nothing else."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import pytest
from result import Ok

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.coordination.dispatch import EntryDirectory, follow_directory
from persimmoncrank.coordination.plans import GarbageCollector
from persimmoncrank.protocol import (
    EntryAddress,
    EntryFrame,
    Row,
    Rows,
    StreamClosedError,
    TableService,
    decode_message,
    encode_message,
    is_address,
    parse_address,
    try_decode_message,
)
from persimmoncrank.settings import DispatchAgentSettings, parse_settings
from persimmoncrank.state import AgentViews
from persimmoncrank.transport import stream_dialer

if TYPE_CHECKING:
    from collections.abc import Callable

NESTED = b"\x91" * 100_000 + b"\xc0"
ODD_ADDRESSES = [
    "",
    "h",
    ":80",
    "h:",
    "h:0",
    "h:65536",
    "h:99999",
    "h:-1",
    "h:8o",
    "h:80\n",
    "h h:80",
    "\u0131:80",
    f"{'h' * 300}:80",
    f"h:{'9' * 4000}",
]


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda text: repr(text[:12]))
def test_odd_address_is_not_dialled(address: str) -> None:
    assert not is_address(address)
    with pytest.raises(ValueError, match="host:port"):
        parse_address(address)

    async def dial() -> None:
        async with stream_dialer(EntryFrame)(address):
            pass

    with pytest.raises(StreamClosedError):
        anyio.run(dial)


@pytest.mark.parametrize("host", ["..", "a" * 70, "-"])
def test_host_that_cannot_be_looked_up_closes_the_stream(host: str) -> None:
    async def dial() -> None:
        async with stream_dialer(EntryFrame)(f"{host}:80"):
            pass

    with pytest.raises(StreamClosedError):
        anyio.run(dial)


def test_odd_entries_of_the_directory_are_ignored() -> None:
    good = EntryAddress(incarnation="e-1", address="h:1", peer_address="h:2")
    values = [
        encode_message(good),
        b"\x94\xa1a\xa3h:1\xa0" + NESTED,
        *(encode_message(EntryAddress(incarnation="o", address=text)) for text in ODD_ADDRESSES),
    ]
    found: list[tuple[EntryAddress, ...]] = []
    directory = EntryDirectory(
        own=EntryAddress(incarnation="own", address="own:1"), on_change=found.append
    )

    async def scan(_prefix: str, _since: int) -> Any:
        return Ok(Rows(rows=tuple(Row(key="k", version=1, value=value) for value in values)))

    async def unused(*_args: Any) -> Any:
        raise NotImplementedError

    async def main() -> None:
        table = TableService(get=unused, transact=unused, scan=scan)
        with anyio.move_on_after(5.0):
            await follow_directory(table=table, on_entries=directory.set_stored)
        directory.add_requester(EntryAddress(incarnation="o", address="h:99999"))
        directory.set_named((EntryAddress(incarnation="o", address="h:3", peer_address="h"),))
        assert directory.peer_addresses(()) == ("h:2",)

    run_virtual(main)
    assert [entry.address for entry in found[-1]] == ["h:1", "own:1"]


def test_odd_row_does_not_end_the_garbage_collector() -> None:
    async def scan(_prefix: str, _since: int) -> Any:
        return Ok(Rows(rows=(Row(key="k", version=1, value=b"\xc1"),)))

    async def unused(*_args: Any) -> Any:
        raise AssertionError("a row that cannot be read was deleted")

    async def main() -> None:
        collector = GarbageCollector(
            table=TableService(get=unused, transact=unused, scan=scan),
            views=AgentViews(self_incarnation="e"),
            retention_s=0.0,
            unix_ms=lambda: 10**15,
        )
        await collector.delete_absent_agents()
        await collector.delete_old_plans()

    run_virtual(main)


@pytest.mark.parametrize(
    "read",
    [
        lambda: try_decode_message(b"\x94\xa1a\xa3h:1\xa0" + NESTED, EntryAddress, name="row"),
        lambda: try_decode_message(b"", EntryAddress, name="row"),
        lambda: try_decode_message(b"\x92\xa1\xff\xa1a", EntryAddress, name="row"),
    ],
    ids=["nested", "empty", "not UTF-8"],
)
def test_stored_message_that_cannot_be_read_is_none(read: Callable[[], Any]) -> None:
    assert read() is None


def test_deeply_nested_settings_and_messages_are_reported() -> None:
    text = f"seeds = {'[' * 50_000}{']' * 50_000}\n"
    assert parse_settings(text, DispatchAgentSettings).is_err()
    with pytest.raises(ValueError, match="nested"):
        decode_message(b"\x94\xa1a\xa3h:1\xa0" + NESTED, EntryAddress)

"""Tests of the platform clients against the stand-in platform over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest
from result import Ok

from persimmoncrank.protocol import StoreErrorKind, Transaction, Write
from persimmoncrank.standin import MemoryPlatform, free_addresses, platform_app
from persimmoncrank.transport import PlatformClient, serve_http

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def run_with_platform(main: Callable[[MemoryPlatform, PlatformClient], Awaitable[None]]) -> None:
    """Run a test with a stand-in platform and a client of it."""

    async def run() -> None:
        platform = MemoryPlatform()
        address = free_addresses(1)[0]
        async with serve_http(platform_app(platform), address):
            client = PlatformClient(url=f"http://{address}")
            await main(platform, client)
            await client.close()

    anyio.run(run)


def put(key: str, value: bytes | None, expected_version: int) -> Transaction:
    """Return a transaction with a single write."""
    return Transaction(writes=(Write(key=key, value=value, expected_version=expected_version),))


def test_rows_are_written_read_scanned_and_deleted() -> None:
    async def main(_platform: MemoryPlatform, client: PlatformClient) -> None:
        table = client.table()
        assert (await table.get("config/a b/é")) == Ok(None)
        version = (await table.transact(put("config/a b/é", b"1", 0))).unwrap().version
        row = (await table.get("config/a b/é")).unwrap()
        assert row is not None
        assert row.value == b"1"
        assert [r.key for r in (await table.scan("config/", 0)).unwrap().rows] == ["config/a b/é"]
        assert (await table.scan("config/", version)).unwrap().rows == ()
        assert (await table.transact(put("config/a b/é", None, version))).is_ok()
        assert (await table.get("config/a b/é")) == Ok(None)

    run_with_platform(main)


def test_conflict_on_one_row_rejects_whole_transaction() -> None:
    async def main(_platform: MemoryPlatform, client: PlatformClient) -> None:
        table = client.table()
        await table.transact(put("a", b"1", 0))
        both = Transaction(writes=(*put("b", b"2", 0).writes, *put("a", b"3", 0).writes))
        assert (await table.transact(both)).unwrap_err().kind == StoreErrorKind.CONFLICT
        assert (await table.get("b")) == Ok(None)

    run_with_platform(main)


@pytest.mark.parametrize("content", [b"", b"x" * 100_000])
def test_objects_are_stored_and_read(content: bytes) -> None:
    async def main(_platform: MemoryPlatform, client: PlatformClient) -> None:
        objects = client.objects()
        assert (await objects.get("answers/1")) == Ok(None)
        assert (await objects.put("answers/1", content)) == Ok(None)
        assert (await objects.get("answers/1")) == Ok(content)

    run_with_platform(main)


def test_outage_and_lost_answer_are_reported_as_unavailable() -> None:
    async def main(platform: MemoryPlatform, client: PlatformClient) -> None:
        table = client.table()
        platform.faults.lost_answers = 1
        lost = await table.transact(put("a", b"1", 0))
        assert lost.unwrap_err().kind == StoreErrorKind.UNAVAILABLE
        row = (await table.get("a")).unwrap()
        assert row is not None
        platform.faults.is_down = True
        assert (await table.get("a")).unwrap_err().kind == StoreErrorKind.UNAVAILABLE

    run_with_platform(main)

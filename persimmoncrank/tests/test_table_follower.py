"""Tests of the table follower and of the directory of entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import pytest
from result import Err, Ok

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.coordination.configuration import TableFollower
from persimmoncrank.coordination.dispatch import follow_directory, register_entry
from persimmoncrank.protocol import (
    Committed,
    EntryAddress,
    RemovedRow,
    Row,
    RowChanges,
    Rows,
    StoreError,
    StoreErrorKind,
    TableFeed,
    TableService,
    encode_message,
)
from persimmoncrank.state import TableReplica

if TYPE_CHECKING:
    from collections.abc import Mapping

UNAVAILABLE_ERROR = Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, message="down"))
HISTORY_GONE_ERROR = Err(StoreError(kind=StoreErrorKind.HISTORY_GONE, message="gone"))


def changes(version: int, *keys: str, removed: tuple[str, ...] = ()) -> Ok[RowChanges]:
    """Return a reply of the store with the changed rows up to a version."""
    rows = tuple(Row(key=key, version=version, value=b"v") for key in keys)
    gone = tuple(RemovedRow(key=key, version=version) for key in removed)
    return Ok(RowChanges(rows=rows, removed=gone, version=version))


CASES: dict[str, tuple[list[Any], list[Any], list[tuple[int, set[str]]]]] = {
    "changes": ([changes(3, "a")], [changes(5, "b", removed=("a",))], [(3, {"a"}), (5, {"b"})]),
    "version without changes is not reported": ([changes(3, "a")], [changes(4)], [(3, {"a"})]),
    "an outage": (
        [UNAVAILABLE_ERROR, UNAVAILABLE_ERROR, changes(3, "a")],
        [UNAVAILABLE_ERROR, changes(4, "b")],
        [(3, {"a"}), (4, {"a", "b"})],
    ),
    "lost history": (
        [changes(3, "a"), changes(9, "c")],
        [HISTORY_GONE_ERROR],
        [(3, {"a"}), (9, {"c"})],
    ),
    "a read that is behind after lost history": (
        [changes(9, "a"), changes(5, "b"), changes(9, "a"), changes(12, "c")],
        [HISTORY_GONE_ERROR, HISTORY_GONE_ERROR],
        [(9, {"a"}), (12, {"c"})],
    ),
}


@pytest.mark.parametrize(("reads", "watches", "expected"), CASES.values(), ids=CASES)
def test_table_follower_reports_changes(
    reads: list[Any], watches: list[Any], expected: list[tuple[int, set[str]]]
) -> None:
    reported: list[tuple[int, set[str]]] = []

    def record_change(rows: Mapping[str, bytes], version: int) -> None:
        reported.append((version, set(rows)))

    async def answer(answers: list[Any]) -> Any:
        await anyio.sleep(0.01)
        if not answers:
            await anyio.sleep_forever()
        return answers.pop(0)

    async def read(_table: str) -> Any:
        return await answer(reads)

    async def watch(_table: str, _after: int, _wait_s: float) -> Any:
        return await answer(watches)

    async def main() -> None:
        follower = TableFollower(
            table="t",
            feed=TableFeed(read=read, watch=watch),
            replica=TableReplica(on_change=record_change),
        )
        with anyio.move_on_after(5):
            await follower.run()

    run_virtual(main)
    assert reported == expected


def test_entry_registration_survives_outage_and_directory_skips_invalid_rows() -> None:
    entry = EntryAddress(incarnation="e-1", address="h:1")
    written: list[Any] = []
    found: list[tuple[EntryAddress, ...]] = []
    answers: list[Any] = [UNAVAILABLE_ERROR, Ok(Committed(version=1))]

    async def transact(transaction: Any) -> Any:
        written.append(transaction.writes[0])
        return answers.pop(0)

    async def scan(_prefix: str, _since: int) -> Any:
        rows = (written[-1].value, b"\xc1")
        return Ok(Rows(rows=tuple(Row(key="k", version=1, value=value) for value in rows)))

    async def get(_key: str) -> Any:
        return Ok(None)

    async def main() -> None:
        table = TableService(get=get, transact=transact, scan=scan)
        await register_entry(table=table, name="e", entry=entry)
        with anyio.move_on_after(1):
            await follow_directory(table=table, on_entries=found.append)

    run_virtual(main)
    assert [write.key for write in written] == ["entries/e"] * 2
    assert written[-1].value == encode_message(entry)
    assert found == [(entry,)]

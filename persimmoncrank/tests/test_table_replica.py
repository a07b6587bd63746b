"""Tests of the copy of a table that receives changes from several sources in any order."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from persimmoncrank.protocol import RemovedRow, Row, RowChanges
from persimmoncrank.state import TableReplica

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

KEYS = ("a", "b", "c")


class History:
    """A table that changes once in each version, and all of its states."""

    def __init__(self, *, rng: random.Random, length: int) -> None:
        """Create a history of random writes and removals."""
        self.states: list[dict[str, Row]] = [{}]
        for version in range(1, length + 1):
            state = dict(self.states[-1])
            key = rng.choice(KEYS)
            if key in state and rng.random() < 0.4:
                del state[key]
            else:
                state[key] = Row(key=key, version=version, value=str(version).encode())
            self.states.append(state)

    def changes(self, after: int, until: int) -> RowChanges:
        """Return what has changed between two versions."""
        old, new = self.states[after], self.states[until]
        touched = {
            version: key
            for version in range(after + 1, until + 1)
            for key in KEYS
            if self.states[version].get(key) != self.states[version - 1].get(key)
        }
        gone = {
            key: version
            for version, key in touched.items()
            if key in old or key in touched.values()
        }
        return RowChanges(
            rows=tuple(row for row in new.values() if row.version > after),
            removed=tuple(
                RemovedRow(key=key, version=version)
                for key, version in gone.items()
                if key not in new
            ),
            version=until,
        )


@pytest.mark.parametrize("seed", range(40))
def test_version_and_rows_never_go_back(seed: int) -> None:
    rng = random.Random(seed)
    history = History(rng=rng, length=30)
    seen: list[tuple[int, dict[str, bytes]]] = []

    def record(rows: Mapping[str, bytes], version: int) -> None:
        seen.append((version, dict(rows)))

    replica = TableReplica(on_change=record)
    replica.replace((), 0)
    for _ in range(60):
        newest = min(replica.version + rng.randrange(6), 30)
        if rng.random() < 0.3:
            version = rng.randrange(newest + 1)
            replica.replace(history.states[version].values(), version)
        else:
            after = rng.randrange(replica.version + 1)
            replica.apply(history.changes(after, max(newest, after)))
        expected = history.states[replica.version]
        assert replica.rows == expected
    assert [version for version, _ in seen] == sorted({version for version, _ in seen})


def removed_and_written_again() -> RowChanges:
    """Return what a watch from version 1 delivers in two parts, of which this is the first."""
    return RowChanges(rows=(), removed=(RemovedRow(key="a", version=12),), version=12)


def changed_between_two_pages() -> RowChanges:
    """Return an older state of a row that a read of several pages has seen in a newer one."""
    return RowChanges(rows=(Row(key="a", version=12, value=b"12"),), removed=(), version=12)


@pytest.mark.parametrize("make", [removed_and_written_again, changed_between_two_pages])
def test_row_read_on_a_later_page_is_not_replaced_by_an_older_change(
    make: Callable[[], RowChanges],
) -> None:
    replica = TableReplica()
    replica.replace([Row(key="a", version=15, value=b"15")], 10)
    replica.apply(make())
    assert replica.rows["a"].value == b"15"


def test_digests_are_equal_for_equal_rows_only() -> None:
    first, second = TableReplica(), TableReplica()
    rows = [Row(key="a", version=1, value=b"x"), Row(key="b", version=2, value=b"y")]
    first.replace(rows, 2)
    second.replace(reversed(rows), 9)
    assert first.digest == second.digest
    second.apply(RowChanges(rows=(), removed=(RemovedRow(key="b", version=10),), version=10))
    assert first.digest != second.digest

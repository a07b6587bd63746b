"""Tests of copies of the operator's table that entries get from agents."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import pytest
from result import Err, Ok

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.coordination.configuration import AgentCopies
from persimmoncrank.coordination.configuration._agent_copies import MAX_INTERVAL_S
from persimmoncrank.coordination.execution._entry_session import EntrySession
from persimmoncrank.coordination.execution._table_reads import TableReads
from persimmoncrank.protocol import (
    Row,
    RowChanges,
    StoreError,
    StoreErrorKind,
    TableCopy,
    TableCopyRequest,
)
from persimmoncrank.state import TableReplica

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

READ_S = 0.2


def row(version: int) -> Row:
    """Return the only row of the table."""
    return Row(key="op/config", version=version, value=str(version).encode())


@dataclass(kw_only=True)
class World:
    """An entry that does not follow the store, and the requests that it has made."""

    replica: TableReplica = field(default_factory=TableReplica)
    requests: list[tuple[float, TableCopyRequest]] = field(default_factory=list)
    is_following: bool = False

    def __post_init__(self) -> None:
        """Give the entry version 5."""
        self.replica.replace([row(5)], 5)
        self.copies = AgentCopies(
            replica=self.replica,
            is_following_store=lambda: self.is_following,
            ask=lambda request: self.requests.append((anyio.current_time(), request)),
        )


def run_world(scenario: Callable[[World], Awaitable[None]]) -> None:
    """Run a scenario in virtual time."""

    async def main() -> None:
        world = World()
        async with anyio.create_task_group() as group:
            group.start_soon(world.copies.run)
            await scenario(world)
            group.cancel_scope.cancel()

    run_virtual(main)


@pytest.mark.parametrize(
    ("number", "version", "expected"),
    [(1, 7, 7), (1, 5, 5), (1, 3, 5), (99, 7, 5)],
    ids=["newer", "the same", "older", "of no request"],
)
def test_entry_takes_over_only_newer_copies_that_it_has_asked_for(
    number: int, version: int, expected: int
) -> None:
    async def scenario(world: World) -> None:
        await anyio.sleep(1.0)
        rows = (row(version),) if version != 5 else None
        world.copies.apply(TableCopy(number=number, version=version, rows=rows))
        assert world.replica.version == expected
        is_valid = number == 1 and version >= 5
        asked_at_s = world.requests[0][0]
        assert (world.replica.confirmed_at_s == asked_at_s) is is_valid

    run_world(scenario)


def test_agents_are_asked_less_often_while_they_do_not_answer() -> None:
    async def scenario(world: World) -> None:
        await anyio.sleep(60.0)
        assert len(world.requests) <= 60.0 / MAX_INTERVAL_S + 2

    run_world(scenario)


@pytest.mark.parametrize("is_following", [True, False], ids=["the store", "another entry"])
def test_agents_are_not_asked_while_something_else_confirms_the_copy(*, is_following: bool) -> None:
    async def scenario(world: World) -> None:
        world.is_following = is_following
        for _ in range(40):
            world.replica.confirm(at_s=anyio.current_time())
            await anyio.sleep(0.5)
        assert world.requests == []

    run_world(scenario)


def test_requests_that_arrive_during_a_read_share_the_next_one() -> None:
    reads: list[float] = []

    async def read() -> Ok[RowChanges]:
        reads.append(anyio.current_time())
        await anyio.sleep(READ_S)
        return Ok(RowChanges(rows=(row(7),), removed=(), version=7))

    async def main() -> None:
        table_reads = TableReads(read=read)
        async with anyio.create_task_group() as group:
            group.start_soon(table_reads.run)
            sessions = [
                EntrySession(incarnation=f"e{number}", address="e:1", lease_s=0.6)
                for number in range(5)
            ]
            for session in sessions:
                request = TableCopyRequest(number=1, known_version=5, known_digest=0)
                table_reads.request(session, request)
                await anyio.sleep(READ_S / 10)
            await anyio.sleep(3 * READ_S)
            group.cancel_scope.cancel()
        assert len(reads) == 2
        for session in sessions:
            frame = session.next_frame(None, now_s=0.0, with_challenge=False)
            assert frame is not None
            assert frame.copy == TableCopy(number=1, version=7, rows=(row(7),))

    run_virtual(main)


def test_agent_that_does_not_reach_the_store_answers_nothing() -> None:
    async def read() -> Err[StoreError]:
        return Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, message="503"))

    async def main() -> None:
        table_reads = TableReads(read=read)
        session = EntrySession(incarnation="e", address="e:1", lease_s=0.6)
        async with anyio.create_task_group() as group:
            group.start_soon(table_reads.run)
            request = TableCopyRequest(number=1, known_version=-1, known_digest=0)
            table_reads.request(session, request)
            await anyio.sleep(1.0)
            group.cancel_scope.cancel()
        assert session.next_frame(None, now_s=0.0, with_challenge=False) is None

    run_virtual(main)

"""Tests in virtual time that each change of the configuration reaches all entries in time."""

from __future__ import annotations

import contextlib
import enum
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from anyio.abc import TaskGroup
from result import Err, Ok

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.coordination.configuration import (
    PeerPorts,
    TableFollower,
    follow_peers,
    serve_copy,
)
from persimmoncrank.coordination.configuration._table_follower import WATCH_TIMEOUT_S
from persimmoncrank.coordination.dispatch import EntryDirectory
from persimmoncrank.protocol import (
    EntryAddress,
    MessageStream,
    Row,
    RowChanges,
    StoreError,
    StoreErrorKind,
    StreamClosedError,
    TableFeed,
    parse_address,
)
from persimmoncrank.state import TableReplica

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping


IN_FORCE_WITHIN_S = 2.0
CONTACT_S = 3.0
CALL_S = 0.004
CALL_TIMEOUT_S = 8.0
VERY_SLOW_S = 3.0
HOP_S = 0.001


class Mode(enum.StrEnum):
    """How the store treats an entry."""

    OPEN = "open"
    BUSY = "busy"
    SILENT = "silent"
    SLOW = "slow"
    VERY_SLOW = "very slow"
    GONE = "history gone"
    BEHIND = "reads behind"
    PUT_BACK = "put back to an older state"


_VERSIONS_BEHIND = {Mode.BEHIND: 1, Mode.PUT_BACK: 1}
_ANSWER_S = {Mode.SLOW: 60 * CALL_S, Mode.VERY_SLOW: VERY_SLOW_S}


@dataclass(kw_only=True)
class Store:
    """A store with one row, whose value is its version."""

    version: int = 1
    modes: dict[int, Mode] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)

    def put(self) -> None:
        """Write the next version."""
        self.version += 1
        self.wake()

    def wake(self) -> None:
        """Let waiting calls look again."""
        self.changed.set()
        self.changed = anyio.Event()

    def set_modes(self, entries: range, mode: Mode) -> None:
        """Change how some entries are treated."""
        self.modes.update(dict.fromkeys(entries, mode))
        self.wake()

    def feed(self, entry: int) -> TableFeed:
        """Return the feed of an entry."""

        def mode() -> Mode:
            return self.modes.get(entry, Mode.OPEN)

        async def answer() -> Any:
            if mode() is Mode.SILENT:
                await anyio.sleep_forever()
            await anyio.sleep(_ANSWER_S.get(mode(), CALL_S))
            if mode() is Mode.BUSY:
                return _error(StoreErrorKind.UNAVAILABLE)
            return _rows(self.version - _VERSIONS_BEHIND.get(mode(), 0))

        async def read(_table: str) -> Any:
            with anyio.move_on_after(CALL_TIMEOUT_S):
                return await answer()
            return _error(StoreErrorKind.UNAVAILABLE)

        async def watch(_table: str, after: int, wait_s: float) -> Any:
            if mode() in (Mode.GONE, Mode.BEHIND):
                return _error(StoreErrorKind.HISTORY_GONE)
            with anyio.move_on_after(wait_s):
                while self.version - _VERSIONS_BEHIND.get(mode(), 0) <= after and (
                    mode() in (Mode.OPEN, Mode.PUT_BACK, *_ANSWER_S)
                ):
                    await self.changed.wait()
            found = await read(_table)
            is_newer = self.version - _VERSIONS_BEHIND.get(mode(), 0) > after
            return found if is_newer else _without_rows(found)

        return TableFeed(read=read, watch=watch)


def _error(kind: StoreErrorKind) -> Any:
    return Err(StoreError(kind=kind, message=kind.value))


def _rows(version: int) -> Any:
    row = Row(key="op/config", version=version, value=str(version).encode())
    return Ok(RowChanges(rows=(row,), removed=(), version=version))


def _without_rows(answer: Any) -> Any:
    return answer.map(lambda found: RowChanges(rows=(), removed=(), version=found.version))


@dataclass(kw_only=True)
class Entry:
    """An entry's part of the configuration, and the versions that were in force."""

    replica: TableReplica
    directory: EntryDirectory
    in_force: list[int] = field(default_factory=list)


@dataclass(kw_only=True)
class Entries:
    """Entries that are connected to each other and to a store."""

    group: TaskGroup
    rng: random.Random
    seeds: tuple[str, ...]
    store: Store = field(default_factory=Store)
    running: list[Entry] = field(default_factory=list)
    unreachable: set[str] = field(default_factory=set)
    request_count: int = 0
    hop_s: float = HOP_S

    def start(self) -> Entry:
        """Start the next entry."""
        number = len(self.running)
        own = EntryAddress(
            incarnation=f"e{number}", address=f"s{number}:1", peer_address=f"p{number}:1"
        )
        replica = TableReplica()
        entry = Entry(
            replica=replica, directory=EntryDirectory(own=own, on_change=lambda _entries: None)
        )

        def on_change(rows: Mapping[str, bytes], _version: int) -> None:
            entry.in_force.append(int(rows["op/config"]))

        replica.on_change = on_change
        self.running.append(entry)
        follower = TableFollower(table="op", feed=self.store.feed(number), replica=replica)

        async def follow() -> None:
            await follow_peers(
                entry=own,
                replica=replica,
                is_following_store=lambda: follower.is_following,
                ports=self.ports(entry),
                rng=random.Random(self.rng.random()),
            )

        self.group.start_soon(follower.run)
        self.group.start_soon(follow)
        return entry

    def ports(self, entry: Entry) -> PeerPorts:
        """Return the ports of an entry to its peers."""
        return PeerPorts(
            dial=self.dial,
            addresses=lambda: entry.directory.peer_addresses(self.seeds),
            entries=entry.directory.entries,
            on_reply=entry.directory.set_named,
            on_request=entry.directory.add_requester,
        )

    @contextlib.asynccontextmanager
    async def dial(self, address: str) -> AsyncIterator[MessageStream]:
        """Open a stream to an entry."""
        self.request_count += 1
        await anyio.sleep(self.hop_s)
        number = int(parse_address(address)[0].removeprefix("p"))
        if address in self.unreachable or number >= len(self.running):
            await anyio.sleep(self.rng.choice([0.0, 10.0]))
            raise StreamClosedError("not connected")
        there, back = (anyio.create_memory_object_stream[Any](1) for _ in range(2))
        entry = self.running[number]
        async with anyio.create_task_group() as group:

            async def send_back(reply: Any) -> None:
                await anyio.sleep(self.hop_s)
                await back[0].send(reply)

            stream = MessageStream(send=send_back, receive=there[1].receive)
            group.start_soon(self._serve, stream, entry)
            yield MessageStream(send=there[0].send, receive=back[1].receive)
            group.cancel_scope.cancel()

    async def _serve(self, stream: MessageStream, entry: Entry) -> None:
        await anyio.sleep(self.hop_s)
        await serve_copy(stream, replica=entry.replica, ports=self.ports(entry))

    async def wait_until_in_force(self, within_s: float) -> None:
        """Wait until the newest version is in force at all entries."""
        with anyio.fail_after(within_s):
            while any(entry.in_force[-1:] != [self.store.version] for entry in self.running):
                await anyio.sleep(0.005)


def run_entries(scenario: Any, *, count: int, seed: int) -> None:
    """Run a scenario with a number of entries in virtual time; check that none went back."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            seeds = tuple(f"p{number}:1" for number in range(3))
            entries = Entries(group=group, rng=random.Random(seed), seeds=seeds)
            for _ in range(count):
                entries.start()
            for entry in entries.running:
                entry.directory.set_stored(_addresses(count))
            await anyio.sleep(2.0)
            await scenario(entries)
            for entry in entries.running:
                assert entry.in_force == sorted(entry.in_force)
            group.cancel_scope.cancel()

    run_virtual(main, seed=seed)


def _addresses(count: int) -> tuple[EntryAddress, ...]:
    return tuple(
        EntryAddress(incarnation=f"e{number}", address=f"s{number}:1", peer_address=f"p{number}:1")
        for number in range(count)
    )


SHARES = [0.35, 0.8]


# The store turns a share of the entries away while the operator reaches it.
@pytest.mark.parametrize("count", [3, 40])
@pytest.mark.parametrize("share", SHARES)
@pytest.mark.parametrize(
    ("mode", "change_after_s"),
    [(Mode.BUSY, 0.1), (Mode.BUSY, 5.0), (Mode.SILENT, CONTACT_S), (Mode.SLOW, 0.1)],
)
@pytest.mark.parametrize("seed", range(3))
def test_change_reaches_entries_that_the_store_turns_away(
    count: int, share: float, mode: Mode, change_after_s: float, seed: int
) -> None:
    async def scenario(entries: Entries) -> None:
        entries.store.set_modes(range(int(count * share)), mode)
        await anyio.sleep(change_after_s)
        for _ in range(3):
            entries.store.put()
            await entries.wait_until_in_force(IN_FORCE_WITHIN_S)
            await anyio.sleep(entries.rng.random())

    run_entries(scenario, count=count, seed=seed)


@pytest.mark.parametrize("mode", [Mode.GONE, Mode.SLOW])
def test_change_is_in_force_in_time_at_a_store_with_another_disruption(mode: Mode) -> None:
    async def scenario(entries: Entries) -> None:
        entries.store.set_modes(range(3), mode)
        await anyio.sleep(0.1)
        entries.store.put()
        await entries.wait_until_in_force(IN_FORCE_WITHIN_S)

    run_entries(scenario, count=3, seed=1)


def test_store_that_takes_seconds_for_an_answer_is_not_followed() -> None:
    async def scenario(entries: Entries) -> None:
        entries.store.set_modes(range(3), Mode.VERY_SLOW)
        await anyio.sleep(10.0)
        for _ in range(3):
            entries.store.put()
            await entries.wait_until_in_force(2 * VERY_SLOW_S + WATCH_TIMEOUT_S)
        # The connection that has waited longest does not delay a store that is fast again.
        entries.store.set_modes(range(3), Mode.OPEN)
        await anyio.sleep(2 * VERY_SLOW_S)
        entries.store.put()
        await entries.wait_until_in_force(0.1)

    run_entries(scenario, count=3, seed=1)


# The end of a disruption is the earliest time from which the bound counts again.
@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.SILENT, Mode.BEHIND])
@pytest.mark.parametrize("seed", range(5))
def test_change_is_in_force_in_time_after_a_disruption_of_the_whole_store(
    mode: Mode, seed: int
) -> None:
    async def scenario(entries: Entries) -> None:
        entries.store.set_modes(range(3), mode)
        await anyio.sleep(2.0 + entries.rng.random() * 3)
        entries.store.put()
        entries.store.set_modes(range(3), Mode.OPEN)
        await entries.wait_until_in_force(CONTACT_S)

    run_entries(scenario, count=3, seed=seed)


def test_entries_keep_their_configuration_if_nobody_has_a_newer_one() -> None:
    async def scenario(entries: Entries) -> None:
        entries.store.set_modes(range(5), Mode.BUSY)
        entries.unreachable = {f"p{number}:1" for number in range(5)}
        await anyio.sleep(60.0)
        assert all(entry.in_force == [1] for entry in entries.running)

    run_entries(scenario, count=5, seed=1)


def test_entry_at_a_new_address_gets_a_copy_and_becomes_known() -> None:
    async def scenario(entries: Entries) -> None:
        entries.store.set_modes(range(3, 4), Mode.BUSY)
        entries.unreachable = {"p0:1"}
        entries.store.put()
        new = entries.start()
        await entries.wait_until_in_force(IN_FORCE_WITHIN_S)
        known = entries.running[1].directory.entries()
        assert "s3:1" in {entry.address for entry in known}
        assert new.replica.is_loaded

    run_entries(scenario, count=3, seed=1)


def test_restarted_entry_takes_a_read_that_is_behind_for_the_newest_state() -> None:
    async def scenario(entries: Entries) -> None:
        entries.store.put()
        await entries.wait_until_in_force(IN_FORCE_WITHIN_S)
        entries.store.set_modes(range(3, 4), Mode.BEHIND)
        entries.start()
        await entries.wait_until_in_force(IN_FORCE_WITHIN_S)

    run_entries(scenario, count=3, seed=1)


def test_store_that_was_put_back_to_an_older_state_confirms_a_newer_copy() -> None:
    async def scenario(entries: Entries) -> None:
        entries.store.put()
        await entries.wait_until_in_force(IN_FORCE_WITHIN_S)
        await anyio.sleep(1.0)
        entries.store.set_modes(range(3), Mode.PUT_BACK)
        await anyio.sleep(20.0)
        for entry in entries.running:
            assert entry.in_force == [1, 2]
            assert entry.replica.age_s(now_s=anyio.current_time()) > 18.0
        entries.store.put()
        entries.store.put()
        with anyio.fail_after(IN_FORCE_WITHIN_S):
            while any(entry.in_force[-1] < entries.store.version - 1 for entry in entries.running):
                await anyio.sleep(0.005)

    run_entries(scenario, count=3, seed=1)


@pytest.mark.parametrize("hop_s", [HOP_S, 0.1])
def test_entries_without_the_store_confirm_each_other_as_if_it_had_answered(hop_s: float) -> None:
    async def scenario(entries: Entries) -> None:
        entries.store.set_modes(range(5), Mode.BUSY)
        entries.hop_s = hop_s
        cut_off_at_s = anyio.current_time()
        await anyio.sleep(60.0)
        now_s = anyio.current_time()
        for entry in entries.running:
            assert entry.replica.age_s(now_s=now_s) >= now_s - cut_off_at_s

    run_entries(scenario, count=5, seed=1)


@pytest.mark.parametrize(("mode", "limit_per_s"), [(Mode.OPEN, 0.1), (Mode.BUSY, 8.0)])
def test_requests_to_peers_are_limited(mode: Mode, limit_per_s: float) -> None:
    async def scenario(entries: Entries) -> None:
        entries.store.set_modes(range(40), mode)
        before = entries.request_count
        await anyio.sleep(20.0)
        assert (entries.request_count - before) / 40 / 20.0 <= limit_per_s

    run_entries(scenario, count=40, seed=1)

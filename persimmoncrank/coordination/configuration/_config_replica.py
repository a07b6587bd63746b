"""An entry's copy of the configuration and the proof that it is the newest version.

The proof comes from one of three sources: the store's version row, a peer whose copy is current, or
a majority of the registered entries. ``state._freshness`` implements the state transitions and
explains why they are correct.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

import anyio
from result import Err, Ok, Result

from persimmoncrank.protocol import (
    ConfigHead,
    ConfigSnapshot,
    Row,
    StoreError,
    StoreErrorKind,
    SyncReply,
    TableService,
    try_decode_message,
)
from persimmoncrank.state import (
    NEVER_S,
    Freshness,
    PeerVersion,
    age_s,
    is_accepted,
    is_current,
    majority_proof,
    missing_acknowledgements,
    with_proof,
)

log = logging.getLogger(__name__)

MAX_SEEN_ENTRIES = 1_000
FRESHNESS_LIMIT_S = 2.0
"""A process starts no tasks once the proof that its configuration is current is this old."""

CLOCK_MARGIN = 1.1
"""Factor by which waits that depend on another process's clock are extended, for clock drift."""

STORE_POLL_INTERVAL_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigKeys:
    """The store keys of a region's configuration rows."""

    head: str
    snapshot: str


def config_keys(region: str) -> ConfigKeys:
    """Return the store keys of a region's configuration rows."""
    return ConfigKeys(head=f"config/{region}/head", snapshot=f"config/{region}/snapshot")


class ConfigReplica:
    """Holds the newest configuration received by an entry, and the proof that it is current."""

    def __init__(self, *, incarnation: str, region: str, table: TableService) -> None:
        """Create a replica that holds no version yet."""
        self._keys = config_keys(region)
        self._incarnation = incarnation
        self._table = table
        self._snapshot = ConfigSnapshot()
        self._freshness = Freshness()
        self._peer_versions: dict[str, PeerVersion] = {}
        self._accepted_version = 0
        self._seen_entries: dict[str, None] = {}
        self._removed_at_s: dict[str, float] = {}
        self._accepted_at_s = NEVER_S
        self._changed = anyio.Event()
        self._is_store_reachable = False
        self._poll_requested = anyio.Event()

    @property
    def incarnation(self) -> str:
        """The incarnation of this entry."""
        return self._incarnation

    @property
    def snapshot(self) -> ConfigSnapshot:
        """The newest configuration that this entry holds."""
        return self._snapshot

    @property
    def accepted_version(self) -> int:
        """The newest version that this entry has recorded as accepted."""
        return self._accepted_version

    @property
    def proved_at_s(self) -> float:
        """The time at which the held version was last proved to be the newest."""
        return self._freshness.proved_at_s

    @property
    def peer_versions(self) -> tuple[PeerVersion, ...]:
        """The newest version reported by each peer."""
        return tuple(self._peer_versions.values())

    def is_current(self) -> bool:
        """Return whether the proof is younger than ``FRESHNESS_LIMIT_S``."""
        return is_current(self._freshness, now_s=anyio.current_time(), limit_s=FRESHNESS_LIMIT_S)

    def age_ms(self) -> int | None:
        """Return the age of the proof, rounded up, or None if this entry is not current."""
        if not self.is_current():
            return None
        return int(age_s(self._freshness, now_s=anyio.current_time()) * 1000) + 1

    def is_registered(self, incarnation: str) -> bool:
        """Return whether an entry is registered in the held version."""
        return self._snapshot.entry(incarnation) is not None

    def missing_acknowledgements(self) -> tuple[str, ...]:
        """Return the entries that have yet to acknowledge the held version.

        Entries of elector groups that already have a majority are left out.
        """
        return missing_acknowledgements(
            snapshot=self._snapshot, self_incarnation=self._incarnation, peers=self.peer_versions
        )

    def is_fenced(self, incarnation: str) -> bool:
        """Return whether an unregistered entry can no longer cause any task to start.

        This is the case ``FRESHNESS_LIMIT_S`` (with a margin for clock drift) after a version
        without the entry was accepted, because every older proof of freshness has expired by then.
        If this entry never saw the other one registered, the time of the latest acceptance is used
        as the upper bound of its removal time.
        """
        if self.is_registered(incarnation) or self._accepted_version < self._snapshot.version:
            return False
        removed_at_s = self._removed_at_s.get(incarnation, self._accepted_at_s)
        if removed_at_s == NEVER_S:
            return False
        return anyio.current_time() - removed_at_s >= FRESHNESS_LIMIT_S * CLOCK_MARGIN

    async def wait_for_change(self) -> None:
        """Wait for the next update: a new version, proof of freshness or acceptance."""
        await self._changed.wait()

    async def wait_for_acceptance(self, version: int, timeout_s: float) -> bool:
        """Wait until a version is accepted; return False on timeout."""
        with anyio.move_on_after(timeout_s):
            while self._accepted_version < version:
                await self._changed.wait()
            return True
        return False

    async def run(self) -> None:
        """Poll the store's version row at intervals, and on request, until cancelled."""
        while True:
            self._poll_requested = anyio.Event()
            polled = await self.poll_store()
            self._is_store_reachable = polled.is_ok()
            with anyio.move_on_after(STORE_POLL_INTERVAL_S):
                await self._poll_requested.wait()

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last poll of the store succeeded."""
        return self._is_store_reachable

    def request_poll(self) -> None:
        """Request an early poll of the store, because a peer holds a newer version."""
        self._poll_requested.set()

    async def poll_store(self) -> Result[int, StoreError]:
        """Read the version row, and the snapshot if it is newer; return the stored version."""
        asked_at_s = anyio.current_time()
        head = await self._table.get(self._keys.head)
        match head:
            case Err(error):
                return Err(error)
            case Ok(None):
                return Ok(0)
            case Ok(Row() as row):
                stored_head = try_decode_message(row.value, ConfigHead, name=row.key)
                if stored_head is None:
                    return Err(_unreadable(row))
                version = stored_head.version
        if version > self._snapshot.version:
            return await self._read_snapshot()
        self._apply(None, version=version, proved_at_s=asked_at_s)
        return Ok(version)

    async def _read_snapshot(self) -> Result[int, StoreError]:
        asked_at_s = anyio.current_time()
        read = await self._table.get(self._keys.snapshot)
        if read.is_err():
            return Err(read.unwrap_err())
        row = read.unwrap()
        if row is None:
            message = "the store has a version row but no snapshot row"
            return Err(StoreError(kind=StoreErrorKind.CONFLICT, message=message))
        snapshot = try_decode_message(row.value, ConfigSnapshot, name=row.key)
        if snapshot is None:
            return Err(_unreadable(row))
        self._apply(snapshot, version=snapshot.version, proved_at_s=asked_at_s)
        return Ok(snapshot.version)

    def apply_written(self, snapshot: ConfigSnapshot, *, asked_at_s: float) -> None:
        """Apply a snapshot that this entry has written to the store."""
        self._apply(snapshot, version=snapshot.version, proved_at_s=asked_at_s)

    def apply_sync_reply(self, reply: SyncReply, *, asked_at_s: float) -> None:
        """Apply a peer's reply to a sync request that was sent at ``asked_at_s``."""
        known = self._peer_versions.get(reply.entry)
        if known is None or (reply.version, asked_at_s) > (known.version, known.asked_at_s):
            self._peer_versions[reply.entry] = PeerVersion(
                incarnation=reply.entry, version=reply.version, asked_at_s=asked_at_s
            )
        proved_at_s = NEVER_S
        if reply.age_ms is not None:
            proved_at_s = asked_at_s - reply.age_ms / 1000
        self._apply(reply.snapshot, version=reply.version, proved_at_s=proved_at_s)
        self.apply_acceptance(reply.accepted_version)

    def apply_acceptance(self, version: int) -> None:
        """Record that a peer reported a version as accepted; acceptance is never revoked."""
        if self._accepted_version < version == self._snapshot.version:
            self._mark_accepted()

    def _apply(self, snapshot: ConfigSnapshot | None, *, version: int, proved_at_s: float) -> None:
        held = self._snapshot
        if snapshot is not None and snapshot.version > held.version:
            self._snapshot = snapshot
            self._seen_entries.update(dict.fromkeys(e.incarnation for e in snapshot.entries))
            log.info(
                "config: adopted new version version=%d plan=%s",
                snapshot.version,
                snapshot.plan_id,
            )
        if version == self._snapshot.version:
            self._freshness = with_proof(self._freshness, version=version, proved_at_s=proved_at_s)
        self._apply_majority_proof()
        self._update_acceptance()
        self._prune_peer_versions()
        self._notify_waiters()

    def _apply_majority_proof(self) -> None:
        proved_at_s = majority_proof(
            snapshot=self._snapshot,
            self_incarnation=self._incarnation,
            peers=self._peer_versions.values(),
            now_s=anyio.current_time(),
        )
        self._freshness = with_proof(
            self._freshness, version=self._snapshot.version, proved_at_s=proved_at_s
        )

    def _update_acceptance(self) -> None:
        if self._accepted_version == self._snapshot.version:
            return
        accepted = is_accepted(
            snapshot=self._snapshot,
            self_incarnation=self._incarnation,
            peers=self._peer_versions.values(),
        )
        if accepted:
            self._mark_accepted()

    def _mark_accepted(self) -> None:
        self._accepted_version = self._snapshot.version
        self._accepted_at_s = anyio.current_time()
        self._record_removed_entries()
        log.info("config: version accepted version=%d", self._accepted_version)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        event, self._changed = self._changed, anyio.Event()
        event.set()

    def _record_removed_entries(self) -> None:
        for incarnation in self._seen_entries:
            if not self.is_registered(incarnation):
                self._removed_at_s.setdefault(incarnation, self._accepted_at_s)
        while len(self._seen_entries) > MAX_SEEN_ENTRIES:
            oldest = next(iter(self._seen_entries))
            del self._seen_entries[oldest]
            self._removed_at_s.pop(oldest, None)

    def _prune_peer_versions(self) -> None:
        """Remove the versions of peers that are neither registered nor in an elector group."""
        relevant = {entry.incarnation for entry in self._snapshot.entries}
        for group in self._snapshot.elector_groups:
            relevant.update(group)
        for incarnation in [p for p in self._peer_versions if p not in relevant]:
            del self._peer_versions[incarnation]


def _unreadable(row: Row) -> StoreError:
    message = f"the row {row.key!r} cannot be read"
    return StoreError(kind=StoreErrorKind.CONFLICT, message=message)

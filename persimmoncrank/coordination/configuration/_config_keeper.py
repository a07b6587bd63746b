"""An entry's configuration and the proof that it is the newest.

Currency has three sources: the store's version row, a peer that is current, and a majority of the
registered entries. ``state._currency`` holds the transitions and their argument.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

import anyio
import msgspec
from result import Err, Ok, Result

from persimmoncrank.protocol import (
    ConfigHead,
    ConfigSnapshot,
    Row,
    StoreError,
    StoreErrorKind,
    SyncReply,
    TableService,
    decode_message,
)
from persimmoncrank.state import (
    NEVER_S,
    Currency,
    PeerVersion,
    adopt,
    age_s,
    is_accepted,
    is_current,
    majority_proof,
    missing_acknowledgements,
)

log = logging.getLogger(__name__)

MAX_REMEMBERED_ENTRIES = 1_000
CURRENCY_LIMIT_S = 2.0
"""A process starts nothing once its proof is this old."""

CLOCK_MARGIN = 1.1
"""Factor on waits that rely on another process's clock, for clocks that run apart."""

STORE_POLL_INTERVAL_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigKeys:
    """The keys of a region's configuration rows."""

    head: str
    snapshot: str


def config_keys(region: str) -> ConfigKeys:
    """Return the keys of a region's configuration rows."""
    return ConfigKeys(head=f"config/{region}/head", snapshot=f"config/{region}/snapshot")


class ConfigKeeper:
    """The newest configuration that an entry knows, and its proof of currency."""

    def __init__(self, *, incarnation: str, region: str, table: TableService) -> None:
        """Create a keeper that knows no version yet."""
        self._keys = config_keys(region)
        self._incarnation = incarnation
        self._table = table
        self._snapshot = ConfigSnapshot()
        self._currency = Currency()
        self._peers: dict[str, PeerVersion] = {}
        self._accepted_version = 0
        self._seen_entries: dict[str, None] = {}
        self._absent_since_s: dict[str, float] = {}
        self._accepted_at_s = NEVER_S
        self._changed = anyio.Event()
        self._is_store_reachable = False
        self._poll_asked = anyio.Event()

    @property
    def incarnation(self) -> str:
        """The incarnation of this entry."""
        return self._incarnation

    @property
    def snapshot(self) -> ConfigSnapshot:
        """The newest configuration known here."""
        return self._snapshot

    @property
    def accepted_version(self) -> int:
        """The newest version that is known here to be accepted."""
        return self._accepted_version

    @property
    def proved_at_s(self) -> float:
        """The instant at which the held version was last proved to be the newest."""
        return self._currency.proved_at_s

    @property
    def peer_versions(self) -> tuple[PeerVersion, ...]:
        """The versions that the peers answered last."""
        return tuple(self._peers.values())

    def is_current(self) -> bool:
        """Tell whether the proof is younger than the limit at this instant."""
        return is_current(self._currency, now_s=anyio.current_time(), limit_s=CURRENCY_LIMIT_S)

    def age_ms(self) -> int | None:
        """Return the age of the proof, rounded up, or None if this entry is not current."""
        if not self.is_current():
            return None
        return int(age_s(self._currency, now_s=anyio.current_time()) * 1000) + 1

    def is_registered(self, incarnation: str) -> bool:
        """Tell whether an entry is registered in the held version."""
        return self._snapshot.entry(incarnation) is not None

    def missing_acknowledgements(self) -> tuple[str, ...]:
        """Return the entries that have not acknowledged the held version."""
        return missing_acknowledgements(
            snapshot=self._snapshot, self_incarnation=self._incarnation, peers=self.peer_versions
        )

    def is_gone(self, incarnation: str) -> bool:
        """Tell whether nothing can start any more under an entry that is not registered.

        That holds one currency limit after a version without the entry was accepted. For an entry
        that this one never saw registered, the newest acceptance bounds that instant.
        """
        if self.is_registered(incarnation) or self._accepted_version < self._snapshot.version:
            return False
        since_s = self._absent_since_s.get(incarnation, self._accepted_at_s)
        if since_s == NEVER_S:
            return False
        return anyio.current_time() - since_s >= CURRENCY_LIMIT_S * CLOCK_MARGIN

    async def wait_for_change(self) -> None:
        """Wait until something was learned, be it a version, a proof or an acceptance."""
        await self._changed.wait()

    async def wait_for_acceptance(self, version: int, timeout_s: float) -> bool:
        """Wait until a version is accepted; return False if that took too long."""
        with anyio.move_on_after(timeout_s):
            while self._accepted_version < version:
                await self._changed.wait()
            return True
        return False

    async def run(self) -> None:
        """Read the store's version row at intervals, or when asked to, until cancelled."""
        while True:
            self._poll_asked = anyio.Event()
            polled = await self.poll_store()
            self._is_store_reachable = polled.is_ok()
            with anyio.move_on_after(STORE_POLL_INTERVAL_S):
                await self._poll_asked.wait()

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store has answered the last time it was asked."""
        return self._is_store_reachable

    def ask_for_poll(self) -> None:
        """Read the store soon, because a peer holds a newer version."""
        self._poll_asked.set()

    async def poll_store(self) -> Result[int, StoreError]:
        """Read the version row, and the snapshot if it is newer; return the store's version."""
        asked_at_s = anyio.current_time()
        head = await self._table.get(self._keys.head)
        match head:
            case Err(error):
                return Err(error)
            case Ok(None):
                return Ok(0)
            case Ok(Row() as row):
                version = decode_message(row.value, ConfigHead).version
        if version > self._snapshot.version:
            return await self._read_snapshot()
        self._learn(None, version=version, proved_at_s=asked_at_s)
        return Ok(version)

    async def _read_snapshot(self) -> Result[int, StoreError]:
        asked_at_s = anyio.current_time()
        read = await self._table.get(self._keys.snapshot)
        match read:
            case Err(error):
                return Err(error)
            case Ok(None):
                return Err(StoreError(kind=StoreErrorKind.CONFLICT, message="no snapshot row"))
            case Ok(Row() as row):
                try:
                    snapshot = decode_message(row.value, ConfigSnapshot)
                except msgspec.MsgspecError as error:
                    return Err(StoreError(kind=StoreErrorKind.CONFLICT, message=str(error)))
        self._learn(snapshot, version=snapshot.version, proved_at_s=asked_at_s)
        return Ok(snapshot.version)

    def learn_written(self, snapshot: ConfigSnapshot, *, asked_at_s: float) -> None:
        """Take over a snapshot that this entry has written or read."""
        self._learn(snapshot, version=snapshot.version, proved_at_s=asked_at_s)

    def learn_from_peer(self, reply: SyncReply, *, asked_at_s: float) -> None:
        """Take over what a peer answered to a question sent at an instant."""
        known = self._peers.get(reply.entry)
        if known is None or (reply.version, asked_at_s) > (known.version, known.asked_at_s):
            self._peers[reply.entry] = PeerVersion(
                incarnation=reply.entry, version=reply.version, asked_at_s=asked_at_s
            )
        proved_at_s = NEVER_S
        if reply.age_ms is not None:
            proved_at_s = asked_at_s - reply.age_ms / 1000
        self._learn(reply.snapshot, version=reply.version, proved_at_s=proved_at_s)
        self.learn_acceptance(reply.accepted_version)

    def learn_acceptance(self, version: int) -> None:
        """Take over from a peer that a version is accepted; that never changes back."""
        if self._accepted_version < version == self._snapshot.version:
            self._mark_accepted()

    def _learn(self, snapshot: ConfigSnapshot | None, *, version: int, proved_at_s: float) -> None:
        held = self._snapshot
        if snapshot is not None and snapshot.version > held.version:
            self._snapshot = snapshot
            self._seen_entries.update(dict.fromkeys(e.incarnation for e in snapshot.entries))
            log.info("config: new version version=%d plan=%s", snapshot.version, snapshot.plan_id)
        if version == self._snapshot.version:
            self._currency = adopt(self._currency, version=version, proved_at_s=proved_at_s)
        self._prove_by_majority()
        self._note_acceptance()
        self._forget_peers()
        self._signal()

    def _prove_by_majority(self) -> None:
        proved_at_s = majority_proof(
            snapshot=self._snapshot,
            self_incarnation=self._incarnation,
            peers=self._peers.values(),
            now_s=anyio.current_time(),
        )
        self._currency = adopt(
            self._currency, version=self._snapshot.version, proved_at_s=proved_at_s
        )

    def _note_acceptance(self) -> None:
        if self._accepted_version == self._snapshot.version:
            return
        accepted = is_accepted(
            snapshot=self._snapshot,
            self_incarnation=self._incarnation,
            peers=self._peers.values(),
        )
        if accepted:
            self._mark_accepted()

    def _mark_accepted(self) -> None:
        self._accepted_version = self._snapshot.version
        self._accepted_at_s = anyio.current_time()
        self._note_absences()
        log.info("config: version accepted version=%d", self._accepted_version)
        self._signal()

    def _signal(self) -> None:
        event, self._changed = self._changed, anyio.Event()
        event.set()

    def _note_absences(self) -> None:
        for incarnation in self._seen_entries:
            if not self.is_registered(incarnation):
                self._absent_since_s.setdefault(incarnation, self._accepted_at_s)
        while len(self._seen_entries) > MAX_REMEMBERED_ENTRIES:
            oldest = next(iter(self._seen_entries))
            del self._seen_entries[oldest]
            self._absent_since_s.pop(oldest, None)

    def _forget_peers(self) -> None:
        """Drop the versions of entries that count for nothing any more."""
        counted = {entry.incarnation for entry in self._snapshot.entries}
        for group in self._snapshot.elector_groups:
            counted.update(group)
        for incarnation in [p for p in self._peers if p not in counted]:
            del self._peers[incarnation]

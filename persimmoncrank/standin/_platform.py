"""An in-memory stand-in for the platform's table service and object store, with faults."""

from __future__ import annotations

import logging
from dataclasses import dataclass

import anyio
from result import Err, Ok, Result

from persimmoncrank.protocol import (
    Committed,
    ObjectStore,
    Row,
    Rows,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
)

log = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True)
class PlatformFaults:
    """Simulated faults: an outage, a delay, or lost answers to writes that took effect."""

    is_down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0


class MemoryPlatform:
    """A table service and object store that keep their data in memory."""

    def __init__(self) -> None:
        """Create an empty platform without faults."""
        self.faults = PlatformFaults()
        self._rows: dict[str, Row] = {}
        self._objects: dict[str, bytes] = {}
        self._version = 0

    def table(self) -> TableService:
        """Return the port to the table service."""
        return TableService(get=self.get_row, transact=self.transact, scan=self.scan)

    def objects(self) -> ObjectStore:
        """Return the port to the object store."""
        return ObjectStore(put=self.put_object, get=self.get_object)

    async def _simulate_faults(self) -> bool:
        """Wait for the simulated delay and return whether the platform is available."""
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        return not self.faults.is_down

    def _is_answer_lost(self) -> bool:
        if self.faults.lost_answers <= 0:
            return False
        self.faults.lost_answers -= 1
        return True

    async def get_row(self, key: str) -> Result[Row | None, StoreError]:
        """Read one row."""
        if not await self._simulate_faults():
            return _unavailable()
        return Ok(self._rows.get(key))

    async def scan(self, prefix: str, since_version: int) -> Result[Rows, StoreError]:
        """Read the rows with a key prefix that were written after a version."""
        if not await self._simulate_faults():
            return _unavailable()
        found = [
            row
            for key, row in self._rows.items()
            if key.startswith(prefix) and row.version > since_version
        ]
        return Ok(Rows(rows=tuple(sorted(found, key=lambda row: row.version))))

    async def transact(self, transaction: Transaction) -> Result[Committed, StoreError]:
        """Write rows atomically if each has its expected version."""
        if not await self._simulate_faults():
            return _unavailable()
        for write in transaction.writes:
            row = self._rows.get(write.key)
            version = 0 if row is None else row.version
            if write.expected_version not in (None, version):
                message = f"{write.key} is at version {version}"
                return Err(StoreError(kind=StoreErrorKind.CONFLICT, message=message))
        self._apply(transaction)
        if self._is_answer_lost():
            return _unavailable()
        return Ok(Committed(version=self._version))

    def _apply(self, transaction: Transaction) -> None:
        self._version += 1
        for write in transaction.writes:
            if write.value is None:
                self._rows.pop(write.key, None)
            else:
                row = Row(key=write.key, version=self._version, value=write.value)
                self._rows[write.key] = row

    async def put_object(self, key: str, content: bytes) -> Result[None, StoreError]:
        """Store an object."""
        if not await self._simulate_faults():
            return _unavailable()
        self._objects[key] = content
        return _unavailable() if self._is_answer_lost() else Ok(None)

    async def get_object(self, key: str) -> Result[bytes | None, StoreError]:
        """Read an object."""
        if not await self._simulate_faults():
            return _unavailable()
        return Ok(self._objects.get(key))


def _unavailable() -> Result:
    error = StoreError(kind=StoreErrorKind.UNAVAILABLE, message="the platform does not answer")
    return Err(error)

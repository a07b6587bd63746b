"""A copy of one table of the platform's store, kept by every process that needs the table."""

from __future__ import annotations

import hashlib
import logging
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from persimmoncrank.protocol import Row, RowChanges

log = logging.getLogger(__name__)

NO_VERSION = -1
NEVER_S = -math.inf
DIGEST_BYTES = 8


class TableReplica:
    """The rows of a table as of one version of the store.

    Changes and whole copies arrive from several sources, in any order and repeatedly. The version
    never decreases, so a source that is behind changes nothing. ``confirmed_at_s`` is when the
    store last said that nothing newer exists, by the clock of the caller. ``on_change`` receives
    all values by key, and the version.
    """

    def __init__(
        self,
        *,
        on_change: Callable[[Mapping[str, bytes], int], None] = lambda _rows, _version: None,
    ) -> None:
        """Create an empty copy."""
        self.version = NO_VERSION
        self.confirmed_at_s = NEVER_S
        self.rows: dict[str, Row] = {}
        self.digest = _digest([])
        self.on_change = on_change

    @property
    def is_loaded(self) -> bool:
        """Whether the table has been read at least once."""
        return self.version != NO_VERSION

    def age_s(self, *, now_s: float) -> float:
        """Return the time since the store last confirmed this version."""
        return now_s - self.confirmed_at_s

    def confirm(self, *, at_s: float) -> None:
        """Record that the copy was the newest state of the store at a time."""
        self.confirmed_at_s = max(self.confirmed_at_s, at_s)

    def rows_for(self, *, known_version: int, known_digest: int) -> tuple[Row, ...] | None:
        """Return the rows for someone with another copy, or None if that is as new or equal."""
        if self.version <= known_version or self.digest == known_digest:
            return None
        return tuple(self.rows.values())

    def replace(self, rows: Iterable[Row], version: int) -> bool:
        """Take over a whole copy of the table; return False if it is older than this one.

        No row may be newer than ``version``.
        """
        if version < self.version:
            return False
        was_loaded = self.is_loaded
        self.rows = {row.key: row for row in rows}
        self._finish_update(version, is_first=not was_loaded)
        return True

    def apply(self, changes: RowChanges) -> None:
        """Apply changes; those that are not newer than this copy are already part of it."""
        for row in changes.rows:
            if row.version > max(self.version, self._version_of(row.key)):
                self.rows[row.key] = row
        for removed in changes.removed:
            if removed.version > max(self.version, self._version_of(removed.key)):
                self.rows.pop(removed.key, None)
        self._finish_update(max(self.version, changes.version), is_first=False)

    def _version_of(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row is not None else NO_VERSION

    def _finish_update(self, version: int, *, is_first: bool) -> None:
        self.version = version
        digest = _digest(self.rows.values())
        if is_first or digest != self.digest:
            self.digest = digest
            self.on_change({key: row.value for key, row in self.rows.items()}, version)


def _digest(rows: Iterable[Row]) -> int:
    """Return a number that is equal for equal sets of rows."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for key, version in sorted((row.key, row.version) for row in rows):
        digest.update(f"{key}\0{version}\0".encode())
    return int.from_bytes(digest.digest())

"""Conditional writes of configuration changes.

If the reply to a write is lost, the writer retries and reads a marker row to find the outcome.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

import anyio
from result import Err, Ok, Result

from persimmoncrank.coordination.configuration._config_replica import ConfigReplica, config_keys
from persimmoncrank.protocol import (
    ConfigHead,
    ConfigSnapshot,
    ErrorKind,
    ServiceError,
    StoreErrorKind,
    TableService,
    Transaction,
    Write,
    encode_message,
    refusal,
    store_refusal,
    try_decode_message,
)
from persimmoncrank.state import next_elector_groups

log = logging.getLogger(__name__)

ConfigChange = Callable[[ConfigSnapshot], Result[ConfigSnapshot, ServiceError]]
"""Computes the new configuration from the one in the store."""

MAX_WRITE_ATTEMPTS = 10
WRITE_RETRY_INTERVAL_S = 0.2
RETRY_AFTER_MS = 500


@dataclass(frozen=True, kw_only=True, slots=True)
class _StoredConfig:
    """The configuration in the store and the versions of its rows."""

    snapshot: ConfigSnapshot
    head_row_version: int
    snapshot_row_version: int


APPLIED_ROWS_PREFIX = "applied/"


def applied_key(plan_id: str) -> str:
    """Return the key of the row that proves that a plan's write took effect."""
    return f"{APPLIED_ROWS_PREFIX}{plan_id}"


class ConfigWriter:
    """Writes configuration changes on behalf of one entry."""

    def __init__(
        self,
        *,
        region: str,
        table: TableService,
        config_replica: ConfigReplica,
        unix_ms: Callable[[], int],
    ) -> None:
        """Create a writer for a region's configuration."""
        self._unix_ms = unix_ms
        self._keys = config_keys(region)
        self._table = table
        self._config_replica = config_replica

    async def write(
        self,
        change: ConfigChange,
        *,
        plan_id: str,
        base_version: int | None = None,
        is_forced: bool = False,
    ) -> Result[ConfigSnapshot, ServiceError]:
        """Apply a change to the configuration in the store.

        If ``base_version`` is given, the change is refused if operators have changed the
        configuration since that version. A forced change needs acknowledgements only from a
        majority of the entries that remain registered after it, because an earlier elector group
        has lost its majority. The error's ``not_run`` is true only if the change is known to have
        had no effect.
        """
        asked_at_s = anyio.current_time()
        base = await self._read_stored_config()
        if base.is_err():
            return Err(base.unwrap_err())
        changed = self._next_snapshot(base.unwrap(), change, plan_id, base_version, is_forced)
        if changed.is_err():
            return changed
        snapshot = changed.unwrap()
        written = await self._transact(base.unwrap(), snapshot)
        if written.is_err():
            return Err(written.unwrap_err())
        self._config_replica.apply_written(snapshot, asked_at_s=asked_at_s)
        log.info("config: wrote new version version=%d plan=%s", snapshot.version, plan_id)
        return Ok(snapshot)

    def _next_snapshot(
        self,
        base: _StoredConfig,
        change: ConfigChange,
        plan_id: str,
        base_version: int | None,
        is_forced: bool,
    ) -> Result[ConfigSnapshot, ServiceError]:
        old = base.snapshot
        if base_version is not None and old.operator_version != base_version:
            message = (
                f"the change is based on version {base_version},"
                f" but operators have since written version {old.operator_version}"
            )
            return Err(refusal(ErrorKind.CONFLICT, message))
        changed = change(old)
        if changed.is_err():
            return changed
        new = changed.unwrap()
        version = old.version + 1
        is_operator_change = replace(new, entries=old.entries) != old
        return Ok(
            replace(
                new,
                version=version,
                operator_version=version if is_operator_change else old.operator_version,
                plan_id=plan_id,
                elector_groups=next_elector_groups(
                    old,
                    new.entries,
                    is_accepted=self._config_replica.accepted_version >= old.version,
                    is_forced=is_forced,
                ),
            )
        )

    async def _read_stored_config(self) -> Result[_StoredConfig, ServiceError]:
        head = await self._table.get(self._keys.head)
        snapshot = await self._table.get(self._keys.snapshot)
        if head.is_err() or snapshot.is_err():
            return Err(store_refusal("the configuration could not be read from the store"))
        head_row, snapshot_row = head.unwrap(), snapshot.unwrap()
        if head_row is None or snapshot_row is None:
            empty = _StoredConfig(
                snapshot=ConfigSnapshot(), head_row_version=0, snapshot_row_version=0
            )
            return Ok(empty)
        stored = try_decode_message(snapshot_row.value, ConfigSnapshot, name=snapshot_row.key)
        if stored is None:
            return Err(store_refusal("the stored configuration cannot be read"))
        return Ok(
            _StoredConfig(
                snapshot=stored,
                head_row_version=head_row.version,
                snapshot_row_version=snapshot_row.version,
            )
        )

    def _transaction(self, base: _StoredConfig, snapshot: ConfigSnapshot) -> Transaction:
        written = ConfigHead(version=snapshot.version, written_at_unix_ms=self._unix_ms())
        head = encode_message(written)
        return Transaction(
            writes=(
                Write(key=self._keys.head, value=head, expected_version=base.head_row_version),
                Write(
                    key=self._keys.snapshot,
                    value=encode_message(snapshot),
                    expected_version=base.snapshot_row_version,
                ),
                Write(key=applied_key(snapshot.plan_id), value=head, expected_version=0),
            )
        )

    async def _transact(
        self, base: _StoredConfig, snapshot: ConfigSnapshot
    ) -> Result[None, ServiceError]:
        """Write the transaction, retrying until its outcome is known.

        A retry after a lost reply is safe: the expected row versions let the write succeed at most
        once, and the ``applied/`` row shows whether it was this write that took effect.
        """
        transaction = self._transaction(base, snapshot)
        for attempt in range(MAX_WRITE_ATTEMPTS):
            if attempt > 0:
                await anyio.sleep(WRITE_RETRY_INTERVAL_S)
            written = await self._table.transact(transaction)
            if written.is_ok():
                return Ok(None)
            if written.unwrap_err().kind == StoreErrorKind.UNAVAILABLE:
                continue
            applied = await self._table.get(applied_key(snapshot.plan_id))
            if applied.is_err():
                continue
            if applied.unwrap() is not None:
                return Ok(None)
            return Err(
                refusal(ErrorKind.CONFLICT, "another configuration change was written first")
            )
        return Err(
            ServiceError(
                kind=ErrorKind.STORE_UNAVAILABLE,
                message=f"could not determine whether plan {snapshot.plan_id} took effect",
                retry_after_ms=RETRY_AFTER_MS,
            )
        )

"""Registration and deregistration of an entry, and expulsion of unresponsive peers."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
from result import Ok, Result

from persimmoncrank.state import majority

if TYPE_CHECKING:
    import random

    from persimmoncrank.coordination.configuration import ConfigReplica, ConfigWriter
    from persimmoncrank.coordination.membership._entry_membership import EntryMembership
    from persimmoncrank.protocol import ConfigSnapshot, EntryInfo, ServiceError

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.3
ACCEPTANCE_WAIT_S = 3.0
EXPEL_AFTER_S = 10.0
EXPULSION_CHECK_INTERVAL_S = 1.0
CONTACT_TIMEOUT_S = 2.0


class Registration:
    """Registers and deregisters one entry, and expels its unresponsive peers."""

    def __init__(
        self,
        *,
        info: EntryInfo,
        config_replica: ConfigReplica,
        writer: ConfigWriter,
        membership: EntryMembership,
        rng: random.Random,
    ) -> None:
        """Create the registration of an entry that is not registered yet."""
        self._info = info
        self._config_replica = config_replica
        self._writer = writer
        self._membership = membership
        self._rng = rng

    def _plan_id(self, action: str, incarnation: str) -> str:
        return f"{action}-{incarnation}-{self._rng.getrandbits(32):08x}"

    async def _wait_before_retry(self) -> None:
        await anyio.sleep(RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    async def register(self) -> None:
        """Register this entry, replacing an earlier process at the same address.

        The entry may serve before a majority has acknowledged its registration: it serves only
        while its configuration is current, and an agent runs its tasks only if the agent's
        configuration contains the registration.
        """
        info = self._info

        def add(snapshot: ConfigSnapshot) -> Result[ConfigSnapshot, ServiceError]:
            others = (e for e in snapshot.entries if e.rpc_address != info.rpc_address)
            return Ok(replace(snapshot, entries=(*others, info)))

        while not self._config_replica.is_registered(info.incarnation):
            polled = await self._config_replica.poll_store()
            if polled.is_ok() and not self._config_replica.is_registered(info.incarnation):
                plan_id = self._plan_id("register", info.incarnation)
                written = await self._writer.write(add, plan_id=plan_id)
                if written.is_ok():
                    break
                log.info(
                    "membership: entry registration failed, retrying cause=%s",
                    written.unwrap_err().message,
                )
            await self._wait_before_retry()
        log.info("membership: entry registered entry=%s", info.incarnation)

    async def deregister(self) -> None:
        """Deregister this entry; return once that is accepted or the wait has timed out."""
        removed = await self._remove(self._info.incarnation, "deregister")
        if removed:
            version = self._config_replica.snapshot.version
            await self._membership.gather_acceptance(version, ACCEPTANCE_WAIT_S)
            await self._membership.sync_with_all()

    async def _remove(self, incarnation: str, action: str) -> bool:
        def remove(snapshot: ConfigSnapshot) -> Result[ConfigSnapshot, ServiceError]:
            kept = tuple(e for e in snapshot.entries if e.incarnation != incarnation)
            return Ok(replace(snapshot, entries=kept))

        with anyio.move_on_after(ACCEPTANCE_WAIT_S):
            while self._config_replica.is_registered(incarnation):
                plan_id = self._plan_id(action, incarnation)
                written = await self._writer.write(remove, plan_id=plan_id)
                if written.is_ok():
                    return True
                await self._wait_before_retry()
        return False

    async def expel_unresponsive_peers(self) -> None:
        """Expel unresponsive peers, as long as this entry is in contact with a majority.

        Without a majority, this entry itself may be the one that is isolated.
        """
        while True:
            await anyio.sleep(EXPULSION_CHECK_INTERVAL_S)
            unresponsive = self._unresponsive_peers()
            if unresponsive and self._has_majority_contact():
                log.warning("membership: expelling unresponsive entry entry=%s", unresponsive[0])
                await self._remove(unresponsive[0], "expel")

    def _unresponsive_peers(self) -> list[str]:
        return [
            entry.incarnation
            for entry in self._config_replica.snapshot.entries
            if self._membership.unresponsive_for_s(entry.incarnation) > EXPEL_AFTER_S
        ]

    def _has_majority_contact(self) -> bool:
        entries = self._config_replica.snapshot.entries
        responsive = [
            entry
            for entry in entries
            if self._membership.unresponsive_for_s(entry.incarnation) < CONTACT_TIMEOUT_S
        ]
        return self._config_replica.is_current() and len(responsive) >= majority(len(entries))

    async def wait_until_expelled(self) -> None:
        """Wait until this entry is no longer registered."""
        while self._config_replica.is_registered(self._info.incarnation):
            await self._config_replica.wait_for_change()

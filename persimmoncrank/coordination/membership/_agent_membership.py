"""Membership on the agent side: heartbeats to entries, and the check before each task start."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok

from persimmoncrank.coordination.configuration import FRESHNESS_LIMIT_S
from persimmoncrank.coordination.membership._entry_assignment import ENTRIES_PER_AGENT, rank_entries
from persimmoncrank.protocol import (
    AgentConfig,
    AgentInfo,
    AgentLoad,
    AgentStatus,
    Call,
    Heartbeat,
    HeartbeatReply,
    RefusalReason,
)
from persimmoncrank.state import Freshness, is_current, with_proof

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.2
FAILED_ENTRY_AVOIDANCE_S = 5.0


class AgentMembership:
    """Keeps an agent's configuration current by heartbeats to its assigned entries."""

    def __init__(
        self,
        *,
        info: AgentInfo,
        seeds: tuple[str, ...],
        call: Call,
        load: Callable[[], AgentLoad],
        on_refused: Callable[[RefusalReason], None],
    ) -> None:
        """Create a membership that has contacted no entry yet.

        ``on_refused`` is called with the reason when a new configuration no longer allows this
        agent to start tasks.
        """
        self._info = info
        self._seeds = seeds
        self._call = call
        self._load = load
        self._on_refused = on_refused
        self._config = AgentConfig()
        self._freshness = Freshness()
        self._is_registered = False
        self._status = AgentStatus.LIVE
        self._info_acknowledged_by: set[str] = set()
        self._avoided_until_s: dict[str, float] = {}
        self._next_fallback = 0

    @property
    def config(self) -> AgentConfig:
        """The newest configuration that this agent has received."""
        return self._config

    @property
    def freshness(self) -> Freshness:
        """The held version and the time at which it was last proved to be the newest."""
        return self._freshness

    def is_ready(self) -> bool:
        """Return whether this agent may start tasks now."""
        return self._is_registered and self.is_current() and self._withdrawal_reason() is None

    def is_current(self) -> bool:
        """Return whether the proof is younger than ``FRESHNESS_LIMIT_S``."""
        return is_current(self._freshness, now_s=anyio.current_time(), limit_s=FRESHNESS_LIMIT_S)

    def start_refusal(self, issuer: str) -> RefusalReason | None:
        """Return why a task issued by an entry may not start now, or None if it may."""
        if not self._is_registered or not self.is_current():
            return RefusalReason.NOT_CURRENT
        if all(entry.incarnation != issuer for entry in self._config.entries):
            return RefusalReason.ISSUER_GONE
        return self._withdrawal_reason()

    def _withdrawal_reason(self) -> RefusalReason | None:
        if self._info.domain in self._config.withdrawn_domains:
            return RefusalReason.DOMAIN_WITHDRAWN
        if self._info.backend in self._config.retired_backends:
            return RefusalReason.BACKEND_RETIRED
        return None

    def assigned_entry_addresses(self) -> list[str]:
        """Return the addresses of the assigned entries, skipping those that failed recently."""
        now_s = anyio.current_time()
        usable = [a for a in self.entry_addresses() if self._avoided_until_s.get(a, 0.0) <= now_s]
        return usable[:ENTRIES_PER_AGENT]

    def entry_addresses(self) -> list[str]:
        """Return the addresses of all registered entries, in this agent's order of preference."""
        ranked = rank_entries(self._info.incarnation, self._config.entries)
        return [entry.rpc_address for entry in ranked]

    async def run(self) -> None:
        """Send heartbeats until cancelled; the loops are staggered over the interval."""
        async with anyio.create_task_group() as group:
            for rank in range(ENTRIES_PER_AGENT):
                group.start_soon(self._heartbeat_loop, rank)

    async def announce_leaving(self) -> None:
        """Notify the assigned entries that this agent starts no more tasks."""
        self._status = AgentStatus.LEAVING
        async with anyio.create_task_group() as group:
            for address in self.assigned_entry_addresses():
                group.start_soon(self._send_heartbeat, address)

    async def _heartbeat_loop(self, rank: int) -> None:
        await anyio.sleep(rank * HEARTBEAT_INTERVAL_S / ENTRIES_PER_AGENT)
        while True:
            address = self._heartbeat_address(rank)
            is_answered = address is not None and await self._send_heartbeat(address)
            is_established = is_answered and self._is_registered
            await anyio.sleep(HEARTBEAT_INTERVAL_S if is_established else RETRY_INTERVAL_S)

    def _heartbeat_address(self, rank: int) -> str | None:
        """Return the assigned entry of a rank; if there is none at all, the next fallback address.

        The fallbacks are the seeds and all registered entries in turn. The seeds are needed again
        if every entry in the held configuration has been replaced.
        """
        assigned = self.assigned_entry_addresses()
        if rank < len(assigned):
            return assigned[rank]
        fallbacks = (*self._seeds, *self.entry_addresses())
        if assigned or not fallbacks:
            return None
        self._next_fallback += 1
        return fallbacks[self._next_fallback % len(fallbacks)]

    async def _send_heartbeat(self, address: str) -> bool:
        """Send one heartbeat; return whether a reply arrived."""
        asked_at_s = anyio.current_time()
        heartbeat = Heartbeat(
            incarnation=self._info.incarnation,
            status=self._status,
            version=self._config.version,
            is_registered=self._is_registered,
            load=self._load(),
            info=None if address in self._info_acknowledged_by else self._info,
        )
        answer = await self._call(address, heartbeat, HeartbeatReply, HEARTBEAT_TIMEOUT_S)
        match answer:
            case Ok(reply):
                self._handle_reply(address, reply, asked_at_s)
                return True
            case Err(error):
                self._handle_failure(address, error.message)
                return False

    def _handle_failure(self, address: str, cause: str) -> None:
        self._info_acknowledged_by.discard(address)
        self._avoided_until_s[address] = anyio.current_time() + FAILED_ENTRY_AVOIDANCE_S
        log.warning("membership: heartbeat failed address=%s cause=%s", address, cause)

    def _handle_reply(self, address: str, reply: HeartbeatReply, asked_at_s: float) -> None:
        self._avoided_until_s.pop(address, None)
        if reply.is_known:
            self._info_acknowledged_by.add(address)
        else:
            self._info_acknowledged_by.discard(address)
        if reply.is_registered and not self._is_registered:
            self._is_registered = True
            log.info("membership: registration confirmed entry=%s", reply.entry)
        self._apply_config(reply.config)
        if reply.version == self._config.version and reply.age_ms is not None:
            self._freshness = with_proof(
                self._freshness,
                version=reply.version,
                proved_at_s=asked_at_s - reply.age_ms / 1000,
            )

    def _apply_config(self, config: AgentConfig | None) -> None:
        if config is None or config.version <= self._config.version:
            return
        self._config = config
        self._freshness = Freshness(version=config.version)
        log.info("config: adopted new version version=%d", config.version)
        reason = self._withdrawal_reason()
        if reason is not None:
            self._on_refused(reason)

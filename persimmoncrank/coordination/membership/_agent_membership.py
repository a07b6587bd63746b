"""Membership at an agent: announcing its backend server, and the permit for each start."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok

from persimmoncrank.coordination.configuration import CURRENCY_LIMIT_S
from persimmoncrank.coordination.membership._homes import HOME_COUNT, rank_homes
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
from persimmoncrank.state import Currency, adopt, is_current

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.2
AVOID_FAILED_HOME_S = 5.0


class AgentMembership:
    """An agent's configuration, its proof of currency and its heartbeats to home entries."""

    def __init__(
        self,
        *,
        info: AgentInfo,
        seeds: tuple[str, ...],
        call: Call,
        load: Callable[[], AgentLoad],
        on_refused: Callable[[RefusalReason], None],
    ) -> None:
        """Create a membership; ``on_refused`` is called when starts become forbidden for good."""
        self._info = info
        self._seeds = seeds
        self._call = call
        self._load = load
        self._on_refused = on_refused
        self._config = AgentConfig()
        self._currency = Currency()
        self._is_registered = False
        self._status = AgentStatus.LIVE
        self._known_at: set[str] = set()
        self._avoided_until_s: dict[str, float] = {}
        self._next_other = 0

    @property
    def config(self) -> AgentConfig:
        """The newest configuration known here."""
        return self._config

    @property
    def currency(self) -> Currency:
        """The held version and its proof."""
        return self._currency

    def is_ready(self) -> bool:
        """Tell whether this agent may start tasks at this instant."""
        return self._is_registered and self.is_current() and self._domain_reason() is None

    def is_current(self) -> bool:
        """Tell whether the proof is younger than the limit at this instant."""
        return is_current(self._currency, now_s=anyio.current_time(), limit_s=CURRENCY_LIMIT_S)

    def start_permit(self, issuer: str) -> RefusalReason | None:
        """Tell why a task of an issuer may not start at this instant, or None if it may."""
        if not self._is_registered or not self.is_current():
            return RefusalReason.NOT_CURRENT
        if all(entry.incarnation != issuer for entry in self._config.entries):
            return RefusalReason.ISSUER_GONE
        return self._domain_reason()

    def _domain_reason(self) -> RefusalReason | None:
        if self._info.domain in self._config.withdrawn_domains:
            return RefusalReason.DOMAIN_WITHDRAWN
        if self._info.backend in self._config.retired_backends:
            return RefusalReason.BACKEND_RETIRED
        return None

    def homes(self) -> list[str]:
        """Return the addresses of this agent's home entries that are not avoided now."""
        now_s = anyio.current_time()
        usable = [a for a in self.entries() if self._avoided_until_s.get(a, 0.0) <= now_s]
        return usable[:HOME_COUNT]

    def entries(self) -> list[str]:
        """Return the addresses of all registered entries, in this agent's order of preference."""
        ranked = rank_homes(self._info.incarnation, self._config.entries)
        return [entry.rpc_address for entry in ranked]

    async def run(self) -> None:
        """Send heartbeats until cancelled; the loops are staggered over the interval."""
        async with anyio.create_task_group() as group:
            for rank in range(HOME_COUNT):
                group.start_soon(self._beat, rank)

    async def announce_leaving(self) -> None:
        """Tell the home entries that this agent starts nothing more."""
        self._status = AgentStatus.LEAVING
        async with anyio.create_task_group() as group:
            for address in self.homes():
                group.start_soon(self._exchange, address)

    async def _beat(self, rank: int) -> None:
        await anyio.sleep(rank * HEARTBEAT_INTERVAL_S / HOME_COUNT)
        while True:
            address = self._address(rank)
            is_answered = address is not None and await self._exchange(address)
            is_settled = is_answered and self._is_registered
            await anyio.sleep(HEARTBEAT_INTERVAL_S if is_settled else RETRY_INTERVAL_S)

    def _address(self, rank: int) -> str | None:
        """Return the home of a rank; without any, the seeds and entries in turn.

        The seeds matter again when all entries known here were replaced meanwhile.
        """
        homes = self.homes()
        if rank < len(homes):
            return homes[rank]
        others = (*self._seeds, *self.entries())
        if homes or not others:
            return None
        self._next_other += 1
        return others[self._next_other % len(others)]

    async def _exchange(self, address: str) -> bool:
        """Send one heartbeat; return whether it was answered."""
        asked_at_s = anyio.current_time()
        heartbeat = Heartbeat(
            incarnation=self._info.incarnation,
            status=self._status,
            version=self._config.version,
            is_registered=self._is_registered,
            load=self._load(),
            info=None if address in self._known_at else self._info,
        )
        answer = await self._call(address, heartbeat, HeartbeatReply, HEARTBEAT_TIMEOUT_S)
        match answer:
            case Ok(reply):
                self._take_reply(address, reply, asked_at_s)
                return True
            case Err(error):
                self._note_silence(address, error.message)
                return False

    def _note_silence(self, address: str, cause: str) -> None:
        self._known_at.discard(address)
        self._avoided_until_s[address] = anyio.current_time() + AVOID_FAILED_HOME_S
        log.warning("membership: home is silent address=%s cause=%s", address, cause)

    def _take_reply(self, address: str, reply: HeartbeatReply, asked_at_s: float) -> None:
        self._avoided_until_s.pop(address, None)
        if reply.is_known:
            self._known_at.add(address)
        else:
            self._known_at.discard(address)
        if reply.is_registered and not self._is_registered:
            self._is_registered = True
            log.info("membership: registered entry=%s", reply.entry)
        self._take_config(reply.config)
        if reply.version == self._config.version and reply.age_ms is not None:
            self._currency = adopt(
                self._currency,
                version=reply.version,
                proved_at_s=asked_at_s - reply.age_ms / 1000,
            )

    def _take_config(self, config: AgentConfig | None) -> None:
        if config is None or config.version <= self._config.version:
            return
        self._config = config
        self._currency = Currency(version=config.version)
        log.info("config: new version version=%d", config.version)
        reason = self._domain_reason()
        if reason is not None:
            self._on_refused(reason)

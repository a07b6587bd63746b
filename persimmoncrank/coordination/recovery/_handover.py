"""Handover of a leaving agent's start records to an entry, which then holds them."""

from __future__ import annotations

import logging

import anyio
from result import Ok

from persimmoncrank.coordination.execution import known_records
from persimmoncrank.coordination.membership import agent_row_key
from persimmoncrank.protocol import (
    AgentRow,
    Call,
    CloseReply,
    CloseSubmissions,
    HandedOverRecord,
    HandOver,
    HandOverReply,
    StoreErrorKind,
    TableService,
    Transaction,
    Write,
    encode_message,
    try_decode_message,
)
from persimmoncrank.state import StartRecords

log = logging.getLogger(__name__)

RECORDS_PER_MESSAGE = 500
HAND_OVER_TIMEOUT_S = 2.0
HAND_OVER_ATTEMPTS = 3


async def hand_over(*, agent: str, records: StartRecords, addresses: list[str], call: Call) -> bool:
    """Send all records of a leaving agent to the first entry that accepts them."""
    handed_over = records.hand_over(now_s=anyio.current_time())
    chunks = [
        handed_over[start : start + RECORDS_PER_MESSAGE]
        for start in range(0, max(len(handed_over), 1), RECORDS_PER_MESSAGE)
    ]
    for address in addresses:
        if await _hand_over_to(address, agent, chunks, call):
            log.info("agent: records handed over count=%d address=%s", len(handed_over), address)
            return True
    log.warning("agent: no entry accepted the records count=%d", len(handed_over))
    return False


async def _hand_over_to(
    address: str, agent: str, chunks: list[tuple[HandedOverRecord, ...]], call: Call
) -> bool:
    for number, chunk in enumerate(chunks):
        message = HandOver(agent=agent, is_last=number == len(chunks) - 1, records=chunk)
        if not await _send(address, message, call):
            return False
    return True


async def _send(address: str, message: HandOver, call: Call) -> bool:
    for _ in range(HAND_OVER_ATTEMPTS):
        answer = await call(address, message, HandOverReply, HAND_OVER_TIMEOUT_S)
        match answer:
            case Ok(reply) if reply.is_taken:
                return True
    return False


class HandedOverRecords:
    """The start records that an entry holds for agents that have left."""

    def __init__(
        self, *, incarnation: str, table: TableService, retention_s: float, max_result_bytes: int
    ) -> None:
        """Create a holder with no records."""
        self._incarnation = incarnation
        self._table = table
        self._retention_s = retention_s
        self._max_result_bytes = max_result_bytes
        self._by_agent: dict[str, StartRecords] = {}
        self._is_closing = False

    @property
    def agents(self) -> tuple[str, ...]:
        """The agents whose records this entry holds."""
        return tuple(self._by_agent)

    async def receive(self, message: HandOver) -> HandOverReply:
        """Accept records; after the last message, set this entry as holder in the agent's row."""
        if self._is_closing:
            return HandOverReply(is_taken=False)
        held = self._by_agent.setdefault(message.agent, self._new_records())
        held.add_handed_over(message.records, now_s=anyio.current_time())
        if not message.is_last:
            return HandOverReply(is_taken=True)
        is_recorded = await self._record_in_store(message.agent)
        log.info(
            "membership: agent departed agent=%s records=%d noted=%s",
            message.agent,
            len(held),
            is_recorded,
        )
        return HandOverReply(is_taken=is_recorded)

    def _new_records(self) -> StartRecords:
        return StartRecords(
            retention_s=self._retention_s,
            max_result_bytes=self._max_result_bytes,
            max_records=0,
        )

    async def _record_in_store(self, agent: str) -> bool:
        key = agent_row_key(agent)
        read = await self._table.get(key)
        row = read.unwrap_or(None)
        if row is None:
            return False
        agent_row = try_decode_message(row.value, AgentRow, name=key)
        if agent_row is None:
            return False
        if agent_row.records_at == self._incarnation:
            return True
        changed = AgentRow(info=agent_row.info, records_at=self._incarnation)
        write = Write(key=key, value=encode_message(changed), expected_version=row.version)
        written = await self._table.transact(Transaction(writes=(write,)))
        if written.is_err():
            is_conflict = written.unwrap_err().kind == StoreErrorKind.CONFLICT
            log.warning(
                "membership: departure could not be recorded in the store conflict=%s", is_conflict
            )
        return written.is_ok()

    async def close(self, message: CloseSubmissions) -> CloseReply:
        """Return the records of an agent that has left."""
        held = self._by_agent.get(message.agent)
        if held is None:
            return CloseReply(agent=message.agent, is_known=False)
        return CloseReply(
            agent=message.agent,
            is_known=True,
            records=known_records(held, message.submission_ids),
        )

    async def hand_over_all(self, addresses: list[str], call: Call) -> None:
        """Accept no more records, and hand over the held ones because this entry is stopping."""
        self._is_closing = True
        for agent, records in self._by_agent.items():
            await hand_over(agent=agent, records=records, addresses=addresses, call=call)

    def expire(self) -> None:
        """Remove the records whose retention period has ended."""
        now_s = anyio.current_time()
        for records in self._by_agent.values():
            records.expire(now_s=now_s)

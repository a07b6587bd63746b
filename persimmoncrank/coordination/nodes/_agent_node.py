"""An agent, assembled from its components; the transport and the backend are passed in."""

from __future__ import annotations

import logging
from dataclasses import dataclass

import anyio

from persimmoncrank.coordination.execution import CallBackend, TaskRunner
from persimmoncrank.coordination.membership import AgentMembership
from persimmoncrank.coordination.recovery import hand_over
from persimmoncrank.protocol import (
    AgentInfo,
    Call,
    CancelBatch,
    CloseSubmissions,
    Handler,
    RefusalReason,
    RunBatch,
)
from persimmoncrank.state import AgentCounters, StartRecords

log = logging.getLogger(__name__)

ANSWER_DELIVERY_WAIT_S = 1.2
"""How long a leaving agent keeps serving answers after its last task.

This lets every pending long poll return.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentLimits:
    """Limits on the queued tasks, start records and results that an agent holds."""

    max_queued: int = 2_000
    record_retention_s: float = 240.0
    max_result_bytes: int = 32 * 1024 * 1024
    max_records: int = 50_000


class AgentNode:
    """One incarnation of an agent."""

    def __init__(
        self,
        *,
        info: AgentInfo,
        seeds: tuple[str, ...],
        call: Call,
        call_backend: CallBackend,
        limits: AgentLimits,
    ) -> None:
        """Create the agent's components; ``run`` starts them."""
        self.info = info
        self._call = call
        self.counters = AgentCounters()
        self.records = StartRecords(
            retention_s=limits.record_retention_s,
            max_result_bytes=limits.max_result_bytes,
            max_records=limits.max_records,
        )
        self.runner = TaskRunner(
            incarnation=info.incarnation,
            slots=info.slots,
            max_queued=limits.max_queued,
            records=self.records,
            check_start=self._start_refusal,
            call_backend=call_backend,
            counters=self.counters,
        )
        self.membership = AgentMembership(
            info=info,
            seeds=seeds,
            call=call,
            load=lambda: self.runner.load,
            on_refused=self._refuse_queued,
        )
        self._is_stopping = False
        self._stop = anyio.Event()

    @property
    def handlers(self) -> tuple[Handler, ...]:
        """The handlers of the requests that this agent serves."""
        return (
            Handler(request_type=RunBatch, handle=self.runner.run_batch),
            Handler(request_type=CancelBatch, handle=self.runner.cancel),
            Handler(request_type=CloseSubmissions, handle=self.runner.close),
        )

    def _start_refusal(self, issuer: str) -> RefusalReason | None:
        return self.membership.start_refusal(issuer)

    def _refuse_queued(self, reason: RefusalReason) -> None:
        refused = self.runner.refuse_queued(reason)
        log.info("agent: refused queued tasks count=%d reason=%s", refused, reason)

    def is_ready(self) -> bool:
        """Return whether this agent may start tasks now."""
        return not self._is_stopping and self.membership.is_ready()

    async def run(self) -> None:
        """Run until stopped; then finish the running tasks and hand over the start records."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.membership.run)
            group.start_soon(self.runner.run)
            await self._stop.wait()
            await self._drain_and_hand_over()
            group.cancel_scope.cancel()

    def stop(self) -> None:
        """Request a graceful stop."""
        self._is_stopping = True
        self._stop.set()

    async def _drain_and_hand_over(self) -> None:
        self.runner.leave()
        await self.membership.announce_leaving()
        await self.runner.drain()
        await anyio.sleep(ANSWER_DELIVERY_WAIT_S)
        await hand_over(
            agent=self.info.incarnation,
            records=self.records,
            addresses=self.membership.entry_addresses(),
            call=self._call,
        )

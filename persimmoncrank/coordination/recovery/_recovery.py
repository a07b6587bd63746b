"""Recovery of submissions whose issuer is gone, from the start records of all agents.

Once the issuer was expelled and a currency limit has passed, nothing can start under it. Each agent
then reports its records of the submission, and closes it so that a late message starts nothing.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

import anyio
from result import Err, Ok, Result

from persimmoncrank.coordination.configuration import CLOCK_MARGIN, CURRENCY_LIMIT_S, ConfigKeeper
from persimmoncrank.coordination.membership import AGENT_ROWS_PREFIX
from persimmoncrank.protocol import (
    AgentRow,
    Call,
    CloseReply,
    CloseSubmissions,
    ErrorKind,
    JobAnswer,
    OutcomeState,
    ServiceError,
    SubmissionRecords,
    TableService,
    TaskResult,
    complete_answer,
    decode_message,
    failed_answer,
)

log = logging.getLogger(__name__)

ASK_TIMEOUT_S = 1.0
ASK_ATTEMPTS = 3
MAX_ASKED_AT_ONCE = 64
MAX_IDS_PER_SWEEP = 500
RUNNING_POLL_INTERVAL_S = 0.2
MAX_WAIT_FOR_RUNNING_S = 10.0
GONE_POLL_INTERVAL_S = 0.1
RETRY_AFTER_MS = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordHolder:
    """A process that holds start records: an agent, or an entry that took them over."""

    incarnation: str
    agent: str
    domain: str
    rpc_address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HolderReport:
    """What one holder says of one submission."""

    holder: RecordHolder
    records: SubmissionRecords


@dataclass(kw_only=True, slots=True)
class Sweep:
    """One question to all holders about some submissions of an issuer."""

    submission_ids: set[str] = field(default_factory=set)
    reports: dict[str, list[HolderReport]] = field(default_factory=dict)
    unaccounted: list[str] = field(default_factory=list)
    error: ServiceError | None = None
    done: anyio.Event = field(default_factory=anyio.Event)


class Recovery:
    """Answers for submissions whose issuer is not registered any more."""

    def __init__(self, *, keeper: ConfigKeeper, table: TableService, call: Call) -> None:
        """Create a recovery."""
        self._keeper = keeper
        self._table = table
        self._call = call
        self._forming: dict[str, Sweep] = {}
        self._sweeping: dict[str, anyio.Lock] = {}

    async def recover(self, submission_id: str, issuer: str) -> JobAnswer:
        """Return the answer of a submission whose issuer is gone."""
        if not await self._wait_until_gone(issuer):
            message = f"entry {issuer} is not known to be gone yet"
            return failed_answer(submission_id, _try_again(ErrorKind.ISSUER_UNREACHABLE, message))
        sweep = await self._join_sweep(submission_id, issuer)
        if sweep.error is not None:
            return failed_answer(submission_id, sweep.error)
        answer = conclude(submission_id, sweep.reports.get(submission_id, []), sweep.unaccounted)
        log.info(
            "recovery: submission closed submission=%s state=%s not_run=%s unaccounted=%d",
            submission_id,
            answer.state,
            answer.error is not None and answer.error.not_run,
            len(sweep.unaccounted),
        )
        return answer

    async def _wait_until_gone(self, issuer: str) -> bool:
        # The store is asked, since it knows every entry that could ever issue an id.
        if (await self._keeper.poll_store()).is_err():
            return False
        with anyio.move_on_after(2 * CURRENCY_LIMIT_S * CLOCK_MARGIN):
            while not self._keeper.is_gone(issuer):
                await anyio.sleep(GONE_POLL_INTERVAL_S)
            return True
        return False

    async def _join_sweep(self, submission_id: str, issuer: str) -> Sweep:
        """Join the sweep that forms for an issuer; one sweep at a time is under way."""
        sweep = self._forming.get(issuer)
        if sweep is not None and len(sweep.submission_ids) < MAX_IDS_PER_SWEEP:
            sweep.submission_ids.add(submission_id)
            await sweep.done.wait()
            return sweep
        sweep = Sweep(submission_ids={submission_id})
        self._forming[issuer] = sweep
        lock = self._sweeping.setdefault(issuer, anyio.Lock())
        try:
            async with lock:
                if self._forming.get(issuer) is sweep:
                    del self._forming[issuer]
                await self._run_sweep(sweep)
        finally:
            if sweep.error is None and not sweep.done.is_set():
                sweep.error = _try_again(ErrorKind.ISSUER_UNREACHABLE, "the recovery was cut off")
            sweep.done.set()
        if not lock.statistics().tasks_waiting and issuer not in self._forming:
            self._sweeping.pop(issuer, None)
        return sweep

    async def _run_sweep(self, sweep: Sweep) -> None:
        holders = await self._record_holders()
        match holders:
            case Err(error):
                sweep.error = error
                return
            case Ok(found):
                pass
        limiter = anyio.CapacityLimiter(MAX_ASKED_AT_ONCE)
        async with anyio.create_task_group() as group:
            for holder in found:
                group.start_soon(self._ask_limited, limiter, sweep, holder)
        sweep.done.set()

    async def _record_holders(self) -> Result[list[RecordHolder], ServiceError]:
        scanned = await self._table.scan(AGENT_ROWS_PREFIX, 0)
        if scanned.is_err():
            message = "the list of agents could not be read"
            return Err(_try_again(ErrorKind.STORE_UNAVAILABLE, message))
        rows = (decode_message(row.value, AgentRow) for row in scanned.unwrap().rows)
        return Ok([self._record_holder(row) for row in rows])

    def _record_holder(self, row: AgentRow) -> RecordHolder:
        info = row.info
        if row.records_at is None:
            return RecordHolder(
                incarnation=info.incarnation,
                agent=info.incarnation,
                domain=info.domain,
                rpc_address=info.rpc_address,
            )
        keeper = self._keeper.snapshot.entry(row.records_at)
        return RecordHolder(
            incarnation=row.records_at,
            agent=info.incarnation,
            domain=info.domain,
            rpc_address="" if keeper is None else keeper.rpc_address,
        )

    async def _ask_limited(
        self, limiter: anyio.CapacityLimiter, sweep: Sweep, holder: RecordHolder
    ) -> None:
        async with limiter:
            reply = await self._ask_until_settled(sweep, holder)
        if reply is None:
            sweep.unaccounted.append(holder.agent)
            log.warning("recovery: agent is unaccounted for agent=%s", holder.agent)
            return
        for records in reply.records:
            report = HolderReport(holder=holder, records=records)
            sweep.reports.setdefault(records.submission_id, []).append(report)

    async def _ask_until_settled(self, sweep: Sweep, holder: RecordHolder) -> CloseReply | None:
        give_up_at_s = anyio.current_time() + MAX_WAIT_FOR_RUNNING_S
        while True:
            reply = await self._ask(sweep, holder)
            if reply is None or not _has_running(reply):
                return reply
            if anyio.current_time() >= give_up_at_s:
                return reply
            await anyio.sleep(RUNNING_POLL_INTERVAL_S)

    async def _ask(self, sweep: Sweep, holder: RecordHolder) -> CloseReply | None:
        if not holder.rpc_address:
            return None
        message = CloseSubmissions(
            agent=holder.agent, submission_ids=tuple(sorted(sweep.submission_ids))
        )
        for _ in range(ASK_ATTEMPTS):
            answer = await self._call(holder.rpc_address, message, CloseReply, ASK_TIMEOUT_S)
            match answer:
                case Ok(reply):
                    return reply if reply.is_known else None
                case Err(_):
                    continue
        return None


def _has_running(reply: CloseReply) -> bool:
    return any(o.state == OutcomeState.STARTED for r in reply.records for o in r.outcomes)


def conclude(submission_id: str, reports: list[HolderReport], unaccounted: list[str]) -> JobAnswer:
    """Conclude from all holders' records how a submission ended."""
    results: dict[int, TaskResult] = {}
    task_count = 0
    started: set[int] = set()
    for report in reports:
        task_count = max(task_count, report.records.task_count)
        for outcome in report.records.outcomes:
            if outcome.state == OutcomeState.REFUSED:
                continue
            started.add(outcome.index)
            if outcome.state == OutcomeState.SUCCEEDED:
                results[outcome.index] = TaskResult(
                    index=outcome.index,
                    body=outcome.detail,
                    agent=report.holder.agent,
                    domain=report.holder.domain,
                    run_time_ms=outcome.run_time_ms,
                )
    if task_count > 0 and len(results) == task_count:
        return complete_answer(submission_id, tuple(results.values()))
    if not started and not unaccounted:
        error = ServiceError(
            kind=ErrorKind.ISSUER_GONE,
            message="its entry is gone and no task has started",
            not_run=True,
            retry_after_ms=0,
        )
        return failed_answer(submission_id, error)
    message = (
        f"its entry is gone; {len(started)} tasks have started, {len(results)} have succeeded,"
        f" {len(unaccounted)} agents are unaccounted for"
    )
    return failed_answer(
        submission_id, ServiceError(kind=ErrorKind.OUTCOME_UNKNOWN, message=message)
    )


def _try_again(kind: ErrorKind, message: str) -> ServiceError:
    return ServiceError(kind=kind, message=message, retry_after_ms=RETRY_AFTER_MS)

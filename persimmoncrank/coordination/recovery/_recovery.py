"""Recovery of submissions whose issuer is lost, from the start records of all agents.

After the issuer has been expelled and the freshness limit has passed, no task can start under it.
Each agent then reports its records of the submission and closes it, so that a delayed message
cannot start a task.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

import anyio
from result import Err, Ok, Result

from persimmoncrank.coordination.configuration import CLOCK_MARGIN, FRESHNESS_LIMIT_S, ConfigReplica
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
    failed_answer,
    try_decode_message,
)

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 1.0
REQUEST_ATTEMPTS = 3
MAX_CONCURRENT_REQUESTS = 64
MAX_IDS_PER_BATCH = 500
RUNNING_POLL_INTERVAL_S = 0.2
MAX_WAIT_FOR_RUNNING_S = 10.0
ISSUER_POLL_INTERVAL_S = 0.1
RETRY_AFTER_MS = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordHolder:
    """A process that holds an agent's start records: the agent, or an entry that received them."""

    incarnation: str
    agent: str
    domain: str
    rpc_address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HolderReport:
    """The records that one holder reported for one submission."""

    holder: RecordHolder
    records: SubmissionRecords


@dataclass(kw_only=True, slots=True)
class RecoveryBatch:
    """Submissions of one issuer that are recovered together, with one query to each holder.

    ``unaccounted`` lists the agents whose records could not be obtained.
    """

    submission_ids: set[str] = field(default_factory=set)
    reports: dict[str, list[HolderReport]] = field(default_factory=dict)
    unaccounted: list[str] = field(default_factory=list)
    error: ServiceError | None = None
    done: anyio.Event = field(default_factory=anyio.Event)


class Recovery:
    """Answers for submissions whose issuer is no longer registered."""

    def __init__(self, *, config_replica: ConfigReplica, table: TableService, call: Call) -> None:
        """Create a recovery that reads the list of agents from ``table``."""
        self._config_replica = config_replica
        self._table = table
        self._call = call
        self._open_batches: dict[str, RecoveryBatch] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def recover(self, submission_id: str, issuer: str) -> JobAnswer:
        """Return the answer for a submission whose issuer is no longer registered."""
        if not await self._wait_until_issuer_fenced(issuer):
            message = f"entry {issuer} is not confirmed as lost yet"
            return failed_answer(
                submission_id, _retryable_error(ErrorKind.ISSUER_UNREACHABLE, message)
            )
        batch = await self._join_batch(submission_id, issuer)
        if batch.error is not None:
            return failed_answer(submission_id, batch.error)
        answer = answer_from_records(
            submission_id, batch.reports.get(submission_id, []), batch.unaccounted
        )
        log.info(
            "recovery: submission closed submission=%s state=%s not_run=%s unaccounted=%d",
            submission_id,
            answer.state,
            answer.error is not None and answer.error.not_run,
            len(batch.unaccounted),
        )
        return answer

    async def _wait_until_issuer_fenced(self, issuer: str) -> bool:
        # Read the store first: an entry is registered there before it issues ids, and the local
        # copy may be out of date.
        if (await self._config_replica.poll_store()).is_err():
            return False
        with anyio.move_on_after(2 * FRESHNESS_LIMIT_S * CLOCK_MARGIN):
            while not self._config_replica.is_fenced(issuer):
                await anyio.sleep(ISSUER_POLL_INTERVAL_S)
            return True
        return False

    async def _join_batch(self, submission_id: str, issuer: str) -> RecoveryBatch:
        """Join the open batch of an issuer, or open one; one batch per issuer runs at a time."""
        batch = self._open_batches.get(issuer)
        if batch is not None and len(batch.submission_ids) < MAX_IDS_PER_BATCH:
            batch.submission_ids.add(submission_id)
            await batch.done.wait()
            return batch
        batch = RecoveryBatch(submission_ids={submission_id})
        self._open_batches[issuer] = batch
        lock = self._locks.setdefault(issuer, anyio.Lock())
        try:
            async with lock:
                if self._open_batches.get(issuer) is batch:
                    del self._open_batches[issuer]
                await self._run_batch(batch)
        finally:
            if batch.error is None and not batch.done.is_set():
                batch.error = _retryable_error(
                    ErrorKind.ISSUER_UNREACHABLE, "the recovery was cancelled"
                )
            batch.done.set()
        if not lock.statistics().tasks_waiting and issuer not in self._open_batches:
            self._locks.pop(issuer, None)
        return batch

    async def _run_batch(self, batch: RecoveryBatch) -> None:
        holders = await self._record_holders()
        match holders:
            case Err(error):
                batch.error = error
                return
            case Ok(found):
                pass
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)
        async with anyio.create_task_group() as group:
            for holder in found:
                group.start_soon(self._query_holder, limiter, batch, holder)
        batch.done.set()

    async def _record_holders(self) -> Result[list[RecordHolder], ServiceError]:
        scanned = await self._table.scan(AGENT_ROWS_PREFIX, 0)
        if scanned.is_err():
            message = "the list of agents could not be read"
            return Err(_retryable_error(ErrorKind.STORE_UNAVAILABLE, message))
        holders: list[RecordHolder] = []
        for row in scanned.unwrap().rows:
            agent_row = try_decode_message(row.value, AgentRow, name=row.key)
            if agent_row is None:
                # A row left out would make a submission look as if it had not run.
                message = f"the row {row.key!r} of the list of agents cannot be read"
                return Err(_retryable_error(ErrorKind.STORE_UNAVAILABLE, message))
            holders.append(self._record_holder(agent_row))
        return Ok(holders)

    def _record_holder(self, row: AgentRow) -> RecordHolder:
        info = row.info
        if row.records_at is None:
            return RecordHolder(
                incarnation=info.incarnation,
                agent=info.incarnation,
                domain=info.domain,
                rpc_address=info.rpc_address,
            )
        holder = self._config_replica.snapshot.entry(row.records_at)
        return RecordHolder(
            incarnation=row.records_at,
            agent=info.incarnation,
            domain=info.domain,
            rpc_address="" if holder is None else holder.rpc_address,
        )

    async def _query_holder(
        self, limiter: anyio.CapacityLimiter, batch: RecoveryBatch, holder: RecordHolder
    ) -> None:
        async with limiter:
            reply = await self._query_until_finished(batch, holder)
        if reply is None:
            batch.unaccounted.append(holder.agent)
            log.warning("recovery: records could not be obtained agent=%s", holder.agent)
            return
        for records in reply.records:
            report = HolderReport(holder=holder, records=records)
            batch.reports.setdefault(records.submission_id, []).append(report)

    async def _query_until_finished(
        self, batch: RecoveryBatch, holder: RecordHolder
    ) -> CloseReply | None:
        deadline_s = anyio.current_time() + MAX_WAIT_FOR_RUNNING_S
        while True:
            reply = await self._close_submissions(batch, holder)
            if reply is None or not _has_running_task(reply):
                return reply
            if anyio.current_time() >= deadline_s:
                return reply
            await anyio.sleep(RUNNING_POLL_INTERVAL_S)

    async def _close_submissions(
        self, batch: RecoveryBatch, holder: RecordHolder
    ) -> CloseReply | None:
        if not holder.rpc_address:
            return None
        message = CloseSubmissions(
            agent=holder.agent, submission_ids=tuple(sorted(batch.submission_ids))
        )
        for _ in range(REQUEST_ATTEMPTS):
            answer = await self._call(holder.rpc_address, message, CloseReply, REQUEST_TIMEOUT_S)
            match answer:
                case Ok(reply):
                    return reply if reply.is_known else None
                case Err(_):
                    continue
        return None


def _has_running_task(reply: CloseReply) -> bool:
    return any(o.state == OutcomeState.STARTED for r in reply.records for o in r.outcomes)


def answer_from_records(
    submission_id: str, reports: list[HolderReport], unaccounted: list[str]
) -> JobAnswer:
    """Derive the answer for a submission from the records of all holders."""
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
            message="its entry is lost and no task has started",
            not_run=True,
            retry_after_ms=0,
        )
        return failed_answer(submission_id, error)
    message = (
        f"its entry is lost; {len(started)} tasks have started, {len(results)} have succeeded,"
        f" the records of {len(unaccounted)} agents could not be obtained"
    )
    return failed_answer(
        submission_id, ServiceError(kind=ErrorKind.OUTCOME_UNKNOWN, message=message)
    )


def _retryable_error(kind: ErrorKind, message: str) -> ServiceError:
    return ServiceError(kind=kind, message=message, retry_after_ms=RETRY_AFTER_MS)

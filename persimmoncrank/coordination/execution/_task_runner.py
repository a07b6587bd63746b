"""The agent's task runner: starts each task at most once, and only while that is permitted."""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import anyio
from result import Err, Ok, Result

from persimmoncrank.protocol import (
    AgentLoad,
    BatchReply,
    BatchTask,
    CancelBatch,
    CloseReply,
    CloseSubmissions,
    OutcomeState,
    RefusalReason,
    RunBatch,
    SubmissionRecords,
    TaskOutcome,
    TaskSpec,
    parse_submission_id,
)
from persimmoncrank.state import AgentCounters, Breaker, StartRecords, TaskKey, has_ended

log = logging.getLogger(__name__)

REPLY_HOLD_S = 1.0
"""How long a request is usually held open before it is answered with the state so far."""

_EXPIRY_INTERVAL_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendFailure:
    """Why a call to the backend server gave no result.

    ``may_have_run`` is false if the backend server cannot have received the complete request.
    ``has_answered`` is true if the backend server itself answered with an error.
    """

    message: str
    may_have_run: bool
    has_answered: bool = False


CallBackend = Callable[[str, TaskSpec], Awaitable[Result[bytes, BackendFailure]]]
StartCheck = Callable[[str], RefusalReason | None]
"""Returns why a task of an issuer may not start now, or None if it may."""


@dataclass(kw_only=True, slots=True)
class _QueuedTask:
    """A task that waits for a slot."""

    key: TaskKey
    task: BatchTask
    issuer: str
    latest_start_s: float


class TaskRunner:
    """The start records, queue and slots of one agent."""

    def __init__(
        self,
        *,
        incarnation: str,
        slots: int,
        max_queued: int,
        records: StartRecords,
        check_start: StartCheck,
        call_backend: CallBackend,
        counters: AgentCounters,
    ) -> None:
        """Create a runner; ``run`` must be called to process its queue."""
        self._incarnation = incarnation
        self._slots = slots
        self._max_queued = max_queued
        self._records = records
        self._check_start = check_start
        self._call_backend = call_backend
        self._counters = counters
        self._queue: deque[_QueuedTask] = deque()
        self._breaker = Breaker()
        self._running = 0
        self._queued = 0
        self._is_leaving = False
        self._work_available = anyio.Event()
        self._task_ended = anyio.Event()
        self._submission_events: dict[str, anyio.Event] = {}

    @property
    def load(self) -> AgentLoad:
        """The numbers of queued and running tasks."""
        return AgentLoad(queued=self._queued, running=self._running)

    @property
    def records(self) -> StartRecords:
        """The start records."""
        return self._records

    async def run(self) -> None:
        """Process the queue until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(self._slots):
                group.start_soon(self._serve_slot)
            group.start_soon(self._expire_records)

    async def run_batch(self, batch: RunBatch) -> BatchReply:
        """Run the tasks of a batch, or wait for those that an earlier message has started.

        Returns when all have ended, when one has ended without success, or after ``hold_ms``.
        """
        if batch.agent != self._incarnation:
            return BatchReply(agent=self._incarnation, is_known=False)
        keys = [TaskKey(submission_id=batch.submission_id, index=t.spec.index) for t in batch.tasks]
        self._admit(batch, keys)
        with anyio.move_on_after(batch.hold_ms / 1000):
            while not self._should_reply(keys):
                await self._submission_event(batch.submission_id).wait()
        return self._reply(o for o in self._outcomes(keys) if has_ended(o))

    def _reply(self, outcomes: Iterable[TaskOutcome]) -> BatchReply:
        return BatchReply(
            agent=self._incarnation, is_known=True, outcomes=tuple(outcomes), load=self.load
        )

    def _outcomes(self, keys: list[TaskKey]) -> list[TaskOutcome]:
        outcomes = (self._records.get(key) for key in keys)
        return [outcome for outcome in outcomes if outcome is not None]

    def _should_reply(self, keys: list[TaskKey]) -> bool:
        ended = [outcome for outcome in self._outcomes(keys) if has_ended(outcome)]
        is_complete = len(ended) == len(keys)
        return is_complete or any(o.state != OutcomeState.SUCCEEDED for o in ended)

    def _submission_event(self, submission_id: str) -> anyio.Event:
        """Return the event that is set when a task of the submission ends or is refused."""
        return self._submission_events.setdefault(submission_id, anyio.Event())

    def _admit(self, batch: RunBatch, keys: list[TaskKey]) -> None:
        now_s = anyio.current_time()
        latest_start_s = now_s + batch.deadline_ms / 1000
        issuer = parse_submission_id(batch.submission_id)
        for key, task in zip(keys, batch.tasks, strict=True):
            is_admitted = self._records.admit(
                key,
                attempt=task.attempt,
                is_idempotent=batch.is_idempotent,
                task_count=batch.task_count,
            )
            if not is_admitted:
                continue
            reason = self._queueing_refusal(batch.submission_id)
            if reason is not None or issuer.is_err():
                self._record_refusal(key, reason or RefusalReason.ISSUER_GONE)
                continue
            self._queued += 1
            self._queue.append(
                _QueuedTask(
                    key=key,
                    task=task,
                    issuer=issuer.unwrap().issuer,
                    latest_start_s=latest_start_s,
                )
            )
        self._signal_work_available()

    def _queueing_refusal(self, submission_id: str) -> RefusalReason | None:
        if self._is_leaving:
            return RefusalReason.LEAVING
        if self._records.is_closed(submission_id):
            return RefusalReason.CLOSED
        if self._queued >= self._max_queued or self._records.is_full:
            return RefusalReason.QUEUE_FULL
        return None

    async def _serve_slot(self) -> None:
        while True:
            queued = await self._next_queued()
            if queued is not None:
                await self._run_task(queued)

    async def _next_queued(self) -> _QueuedTask | None:
        while not self._queue:
            await self._work_available.wait()
        queued = self._queue.popleft()
        outcome = self._records.get(queued.key)
        is_same = outcome is not None and outcome.attempt == queued.task.attempt
        if not is_same or outcome is None or outcome.state != OutcomeState.QUEUED:
            return None
        return queued

    async def _run_task(self, queued: _QueuedTask) -> None:
        """Run a task if it may still start, else refuse it."""
        started_at_s = anyio.current_time()
        reason = self._start_refusal(queued, started_at_s)
        if reason is not None:
            self._refuse(queued.key, reason)
            return
        self._queued -= 1
        self._running += 1
        self._counters.tasks_started += 1
        self._records.start(queued.key)
        try:
            result = await self._call_backend(queued.key.submission_id, queued.task.spec)
        finally:
            self._running -= 1
        self._record_result(queued.key, result, started_at_s)

    def _start_refusal(self, queued: _QueuedTask, now_s: float) -> RefusalReason | None:
        if self._is_leaving:
            return RefusalReason.LEAVING
        if now_s >= queued.latest_start_s:
            return RefusalReason.TOO_LATE
        reason = self._check_start(queued.issuer)
        if reason is None and not self._breaker.try_pass(now_s=now_s):
            return RefusalReason.BACKEND_FAILING
        return reason

    def _record_result(
        self, key: TaskKey, result: Result[bytes, BackendFailure], started_at_s: float
    ) -> None:
        now_s = anyio.current_time()
        run_time_ms = math.ceil((now_s - started_at_s) * 1000)
        self._update_breaker(result, now_s)
        match result:
            case Ok(body):
                state, detail = OutcomeState.SUCCEEDED, body
            case Err(failure) if not failure.may_have_run:
                self._records.refuse(key, reason=RefusalReason.BACKEND_UNREACHABLE, now_s=now_s)
                self._signal_task_ended(key.submission_id)
                return
            case Err(failure):
                state = OutcomeState.FAILED if failure.has_answered else OutcomeState.UNKNOWN
                detail = failure.message.encode()
        self._counters.tasks_ended[state] += 1
        self._records.record_end(
            key, state=state, detail=detail, run_time_ms=run_time_ms, now_s=now_s
        )
        self._signal_task_ended(key.submission_id)

    def _update_breaker(self, result: Result[bytes, BackendFailure], now_s: float) -> None:
        """Update the circuit breaker; refuse all queued tasks if it opens."""
        if result.is_ok():
            self._breaker.record_success()
        elif self._breaker.record_failure(now_s=now_s):
            refused = self.refuse_queued(RefusalReason.BACKEND_FAILING)
            log.warning("agent: backend server failing, queued tasks refused count=%d", refused)

    def _record_refusal(self, key: TaskKey, reason: RefusalReason) -> None:
        self._counters.tasks_refused[reason] += 1
        self._records.refuse(key, reason=reason, now_s=anyio.current_time())
        self._signal_task_ended(key.submission_id)

    def _refuse(self, key: TaskKey, reason: RefusalReason) -> None:
        """Refuse a queued task."""
        self._queued -= 1
        self._record_refusal(key, reason)

    def _signal_work_available(self) -> None:
        event, self._work_available = self._work_available, anyio.Event()
        event.set()

    def _signal_task_ended(self, submission_id: str) -> None:
        event, self._task_ended = self._task_ended, anyio.Event()
        event.set()
        submission_event = self._submission_events.pop(submission_id, None)
        if submission_event is not None:
            submission_event.set()

    async def cancel(self, message: CancelBatch) -> BatchReply:
        """Refuse the given tasks that have not started; running ones continue."""
        if message.agent != self._incarnation:
            return BatchReply(agent=self._incarnation, is_known=False)
        keys = [
            TaskKey(submission_id=message.submission_id, index=task.index) for task in message.tasks
        ]
        for key, task in zip(keys, message.tasks, strict=True):
            is_new = self._records.admit(
                key, attempt=task.attempt, is_idempotent=False, task_count=message.task_count
            )
            if is_new:
                self._record_refusal(key, RefusalReason.CANCELLED)
            elif self._outcomes([key])[0].state == OutcomeState.QUEUED:
                self._refuse(key, RefusalReason.CANCELLED)
        return self._reply(self._outcomes(keys))

    async def close(self, message: CloseSubmissions) -> CloseReply:
        """Close submissions: none of their tasks starts any more. Return their records."""
        if message.agent != self._incarnation:
            return CloseReply(agent=self._incarnation, is_known=False)
        now_s = anyio.current_time()
        for submission_id in message.submission_ids:
            self._queued -= self._records.close(submission_id, now_s=now_s)
            self._signal_task_ended(submission_id)
        return CloseReply(
            agent=self._incarnation,
            is_known=True,
            records=known_records(self._records, message.submission_ids),
        )

    def refuse_queued(self, reason: RefusalReason) -> int:
        """Refuse all queued tasks, so that their entries place them elsewhere; return the count."""
        keys = self._records.queued()
        for key in keys:
            self._refuse(key, reason)
        return len(keys)

    def leave(self) -> None:
        """Refuse all queued and new tasks from now on."""
        self._is_leaving = True
        refused = self.refuse_queued(RefusalReason.LEAVING)
        log.info("agent: leaving, queued tasks refused count=%d", refused)

    async def drain(self) -> None:
        """Wait until no task is running."""
        while self._running:
            await self._task_ended.wait()

    async def _expire_records(self) -> None:
        while True:
            await anyio.sleep(_EXPIRY_INTERVAL_S)
            self._records.expire(now_s=anyio.current_time())


def known_records(
    records: StartRecords, submission_ids: tuple[str, ...]
) -> tuple[SubmissionRecords, ...]:
    """Return the records of the given submissions, without those that have none."""
    found = (records.submission(submission_id) for submission_id in submission_ids)
    return tuple(submission for submission in found if submission.outcomes)

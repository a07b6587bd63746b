"""One job at its coordinating entry: placing its tasks and collecting their results."""

from __future__ import annotations

import logging
import math
from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok

from persimmoncrank.coordination.configuration import ConfigReplica
from persimmoncrank.coordination.execution import REPLY_HOLD_S
from persimmoncrank.coordination.placement import (
    Batch,
    Placement,
    PlacementPolicy,
    PlacementRequest,
)
from persimmoncrank.protocol import (
    AgentStatus,
    BatchReply,
    BatchTask,
    Call,
    CancelBatch,
    Commitment,
    ErrorKind,
    JobAnswer,
    JobSpec,
    OutcomeState,
    RefusalReason,
    RunBatch,
    ServiceError,
    TaskAttempt,
    TaskOutcome,
    TaskResult,
    complete_answer,
    failed_answer,
)
from persimmoncrank.state import AgentView, AgentViews, EntryCounters, RetryBudget, ServiceTimes

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

log = logging.getLogger(__name__)

HOLD_TIME_FACTOR = 3.0
"""Factor on a batch's expected time: how long the agent may wait for outcomes before it replies.

If tasks are still pending then, the entry sends the batch again.
"""

MAX_HOLD_S = 5.0
REPLY_GRACE_S = 1.0
"""How long after the hold time a reply may arrive before the call times out."""

RESEND_INTERVAL_S = 0.5
PLACEMENT_RETRY_INTERVAL_S = 0.05
CANCEL_TIMEOUT_S = 0.5
MAX_ATTEMPTS = 20
MAX_LOST_RUNS = 2  # of a task whose backend server or agent was lost while it may have been running

_BACKOFF_S = {
    RefusalReason.NOT_CURRENT: 0.3,
    RefusalReason.QUEUE_FULL: 0.3,
    RefusalReason.BACKEND_UNREACHABLE: 0.3,
    RefusalReason.BACKEND_FAILING: 2.0,
}
"""How long an agent gets no work after a refusal for a temporary reason.

After any other refusal, the task is not placed on that agent again.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class JobPorts:
    """The dependencies that an entry provides to its job runs."""

    config_replica: ConfigReplica
    views: AgentViews
    times: ServiceTimes
    placement_policy: PlacementPolicy
    call: Call
    counters: EntryCounters
    retries: RetryBudget


@dataclass(kw_only=True, slots=True)
class _SentTask:
    """The latest attempt of a task and the agent that it was sent to."""

    agent: AgentView
    task: BatchTask
    service_ms: float


class JobRun:
    """Coordinates one job; ``run`` returns its answer."""

    def __init__(
        self, *, spec: JobSpec, commitment: Commitment, placement: Placement, ports: JobPorts
    ) -> None:
        """Create the run of an admitted job; ``placement`` was computed when it was admitted."""
        self._spec = spec
        self._commitment = commitment
        self._ports = ports
        self._unplaced = list(placement.unplaced)
        self._first_placement = placement
        self._excluded_agents: dict[int, frozenset[str]] = {}
        self._sent: dict[int, _SentTask] = {}
        self._results: dict[int, TaskResult] = {}
        self._error: ServiceError | None = None
        self._lost_runs: Counter[int] = Counter()
        self._may_have_started = False
        self._changed = anyio.Event()
        self._deadline_s = anyio.current_time() + spec.deadline_ms / 1000
        # Recorded before the run starts, so that jobs admitted at the same time are spread out.
        self._record_sent(placement)
        ports.retries.earn(len(spec.tasks))

    async def run(self) -> JobAnswer:
        """Run the job until it completes, fails, is cancelled or reaches its deadline."""
        async with anyio.create_task_group() as group:
            with anyio.move_on_at(self._deadline_s):
                await self._run_tasks(group)
            if len(self._results) < len(self._spec.tasks) and self._error is None:
                self._fail(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed")
            group.cancel_scope.cancel()
        if self._error is None:
            return complete_answer(self._spec.submission_id, tuple(self._results.values()))
        return await self._failed_answer(self._error)

    def cancel(self) -> None:
        """Fail the job because its caller cancelled it."""
        self._fail(ErrorKind.CANCELLED, "cancelled by its caller")

    async def _run_tasks(self, group: TaskGroup) -> None:
        self._start_batches(group, self._first_placement)
        while self._error is None and len(self._results) < len(self._spec.tasks):
            if self._unplaced:
                self._place_unplaced(group)
            changed = self._changed
            with anyio.move_on_after(PLACEMENT_RETRY_INTERVAL_S if self._unplaced else math.inf):
                await changed.wait()

    def _notify_changed(self) -> None:
        event, self._changed = self._changed, anyio.Event()
        event.set()

    def _fail(self, kind: ErrorKind, message: str) -> None:
        if self._error is None:
            self._error = ServiceError(kind=kind, message=message)
        self._notify_changed()

    def _place_unplaced(self, group: TaskGroup) -> None:
        if not self._ports.config_replica.is_current():
            return
        request = PlacementRequest(
            tasks=tuple(self._unplaced),
            commitment=self._commitment,
            excluded_agents=self._excluded_agents,
        )
        config = self._ports.config_replica.snapshot
        placement = self._ports.placement_policy(request, config, anyio.current_time())
        self._unplaced = list(placement.unplaced)
        self._record_sent(placement)
        self._start_batches(group, placement)

    def _start_batches(self, group: TaskGroup, placement: Placement) -> None:
        if not placement.batches:
            return
        log.info(
            "placement: job placed submission=%s customer=%s waiting=%d batches=%s",
            self._spec.submission_id,
            self._spec.customer,
            len(self._unplaced),
            ",".join(f"{b.agent.info.incarnation}:{len(b.tasks)}" for b in placement.batches),
        )
        for batch in placement.batches:
            self._ports.counters.tasks_placed += len(batch.tasks)
            group.start_soon(self._run_batch, batch)

    def _record_sent(self, placement: Placement) -> None:
        for batch in placement.batches:
            for task in batch.tasks:
                service_ms = batch.service_ms.get(task.spec.index, 0.0)
                sent = _SentTask(agent=batch.agent, task=task, service_ms=service_ms)
                self._sent[task.spec.index] = sent
                batch.agent.outstanding += 1
                batch.agent.outstanding_ms += service_ms

    def _remove_outstanding(self, view: AgentView, index: int) -> None:
        """Subtract a task from the work outstanding at its agent."""
        view.outstanding -= 1
        view.outstanding_ms -= self._sent[index].service_ms

    async def _run_batch(self, batch: Batch) -> None:
        """Send a batch repeatedly until every task in it has an outcome or is lost."""
        view = batch.agent
        pending = {task.spec.index: task for task in batch.tasks}
        hold_s = min(max(batch.expected_ms * HOLD_TIME_FACTOR / 1000, REPLY_HOLD_S), MAX_HOLD_S)
        try:
            while pending:
                await self._send_batch(view, pending, hold_s)
        finally:
            for index in pending:
                self._remove_outstanding(view, index)

    async def _send_batch(
        self, view: AgentView, pending: dict[int, BatchTask], hold_s: float
    ) -> None:
        self._ports.counters.batches_sent += 1
        message = RunBatch(
            agent=view.info.incarnation,
            submission_id=self._spec.submission_id,
            deadline_ms=self._remaining_ms(),
            hold_ms=int(hold_s * 1000),
            is_idempotent=self._spec.is_idempotent,
            task_count=len(self._spec.tasks),
            tasks=tuple(pending.values()),
        )
        answer = await self._ports.call(
            view.info.rpc_address, message, BatchReply, hold_s + REPLY_GRACE_S
        )
        match answer:
            case Ok(reply) if reply.is_known:
                self._handle_outcomes(view, pending, reply.outcomes)
                view.update_load(reply.load)
            case Ok(_):
                self._handle_lost_tasks(view, pending, "its agent was replaced")
            case Err(error):
                await self._handle_no_reply(view, pending, error.message)

    def _remaining_ms(self) -> int:
        return max(0, math.floor((self._deadline_s - anyio.current_time()) * 1000))

    async def _handle_no_reply(
        self, view: AgentView, pending: dict[int, BatchTask], cause: str
    ) -> None:
        """Wait before sending the batch again; if the agent has status GONE, its tasks are lost."""
        log.warning(
            "jobs: agent does not answer submission=%s agent=%s cause=%s",
            self._spec.submission_id,
            view.info.incarnation,
            cause,
        )
        if view.status == AgentStatus.GONE:
            self._handle_lost_tasks(view, pending, "its agent is lost")
            return
        await anyio.sleep(RESEND_INTERVAL_S)

    def _handle_lost_tasks(
        self, view: AgentView, pending: dict[int, BatchTask], cause: str
    ) -> None:
        """Retry or fail tasks that may have started at an agent that can no longer report them."""
        tasks = list(pending.values())
        for index in pending:
            self._remove_outstanding(view, index)
        pending.clear()
        self._may_have_started = True
        for task in tasks:
            if not self._is_given_up(task) and self._acquire_retry(task):
                self._retry_elsewhere(view, task)
            else:
                message = f"task {task.spec.index} may have run: {cause}"
                self._fail(ErrorKind.OUTCOME_UNKNOWN, message)

    def _is_given_up(self, task: BatchTask) -> bool:
        """Count a lost run of a task; return whether it may be what ends its backend servers."""
        self._lost_runs[task.spec.index] += 1
        if self._lost_runs[task.spec.index] < MAX_LOST_RUNS:
            return False
        log.warning(
            "jobs: task given up submission=%s task=%d lost_runs=%d",
            self._spec.submission_id,
            task.spec.index,
            self._lost_runs[task.spec.index],
        )
        return True

    def _acquire_retry(self, task: BatchTask) -> bool:
        """Return whether a task that may have run can be retried, and if so charge the budget."""
        if not self._spec.is_idempotent or task.attempt + 1 >= MAX_ATTEMPTS:
            return False
        return self._ports.retries.spend()

    def _handle_outcomes(
        self,
        view: AgentView,
        pending: dict[int, BatchTask],
        outcomes: tuple[TaskOutcome, ...],
    ) -> None:
        for outcome in outcomes:
            task = pending.get(outcome.index)
            if task is not None:
                del pending[outcome.index]
                self._remove_outstanding(view, outcome.index)
                self._handle_outcome(view, task, outcome)
        self._notify_changed()

    def _handle_outcome(self, view: AgentView, task: BatchTask, outcome: TaskOutcome) -> None:
        if outcome.state == OutcomeState.REFUSED:
            self._handle_refusal(view, task, outcome.reason)
            return
        self._may_have_started = True
        if outcome.state == OutcomeState.SUCCEEDED:
            self._handle_success(view, task, outcome)
        else:
            self._handle_failure(view, task, outcome)

    def _handle_success(self, view: AgentView, task: BatchTask, outcome: TaskOutcome) -> None:
        view.record_success()
        self._ports.counters.tasks_succeeded += 1
        self._ports.times.observe(
            agent=view.info.incarnation, kind=task.spec.kind, run_time_ms=outcome.run_time_ms
        )
        self._results[outcome.index] = TaskResult(
            index=outcome.index,
            body=outcome.detail,
            agent=view.info.incarnation,
            domain=view.info.domain,
            run_time_ms=outcome.run_time_ms,
        )

    def _handle_failure(self, view: AgentView, task: BatchTask, outcome: TaskOutcome) -> None:
        self._record_failure(view)
        is_unknown = outcome.state == OutcomeState.UNKNOWN
        is_given_up = is_unknown and self._is_given_up(task)
        if not is_given_up and self._acquire_retry(task):
            self._retry_elsewhere(view, task)
            return
        kind = ErrorKind.OUTCOME_UNKNOWN if is_unknown else ErrorKind.TASK_FAILED
        cause = outcome.detail.decode(errors="replace") or "its result was dropped"
        self._fail(kind, f"task {outcome.index} at {view.info.backend}: {cause}")

    def _handle_refusal(
        self, view: AgentView, task: BatchTask, reason: RefusalReason | None
    ) -> None:
        """Queue a refused task for another placement; a refused task has not started."""
        self._ports.counters.tasks_refused[str(reason)] += 1
        if reason == RefusalReason.ISSUER_GONE and not self._ports.config_replica.is_registered(
            self._ports.config_replica.incarnation
        ):
            self._fail(ErrorKind.ISSUER_GONE, "this entry was expelled")
            return
        if reason == RefusalReason.BACKEND_UNREACHABLE:
            self._record_failure(view)
        backoff_s = _BACKOFF_S.get(reason, 0.0) if reason is not None else 0.0
        if backoff_s > 0.0:
            view.pause_until(anyio.current_time() + backoff_s)
            self._unplaced.append(replace(task, attempt=task.attempt + 1))
            return
        self._retry_elsewhere(view, task)

    def _retry_elsewhere(self, view: AgentView, task: BatchTask) -> None:
        index = task.spec.index
        excluded = self._excluded_agents.get(index, frozenset())
        self._excluded_agents[index] = excluded | {view.info.incarnation}
        self._unplaced.append(replace(task, attempt=task.attempt + 1))
        self._notify_changed()

    def _record_failure(self, view: AgentView) -> None:
        if view.record_failure(now_s=anyio.current_time()):
            log.warning(
                "placement: agent quarantined agent=%s failures=%d quarantine_s=%g",
                view.info.incarnation,
                view.failures_in_row,
                view.quarantine_s,
            )

    async def _failed_answer(self, error: ServiceError) -> JobAnswer:
        """Cancel the unfinished tasks, and determine whether any task may have started."""
        unresolved: dict[str, list[_SentTask]] = {}
        unplaced_indexes = {task.spec.index for task in self._unplaced}
        for index, sent in self._sent.items():
            if index not in self._results and index not in unplaced_indexes:
                unresolved.setdefault(sent.agent.info.incarnation, []).append(sent)
        async with anyio.create_task_group() as group:
            for sent_tasks in unresolved.values():
                group.start_soon(self._cancel_at_agent, sent_tasks)
        final_error = replace(error, not_run=not self._may_have_started)
        log.info(
            "jobs: job failed submission=%s kind=%s not_run=%s cause=%s",
            self._spec.submission_id,
            final_error.kind,
            final_error.not_run,
            final_error.message,
        )
        return failed_answer(self._spec.submission_id, final_error)

    async def _cancel_at_agent(self, sent_tasks: list[_SentTask]) -> None:
        view = sent_tasks[0].agent
        message = CancelBatch(
            agent=view.info.incarnation,
            submission_id=self._spec.submission_id,
            task_count=len(self._spec.tasks),
            tasks=tuple(
                TaskAttempt(index=sent.task.spec.index, attempt=sent.task.attempt)
                for sent in sent_tasks
            ),
        )
        answer = await self._ports.call(
            view.info.rpc_address, message, BatchReply, CANCEL_TIMEOUT_S
        )
        is_refused = answer.is_ok() and _all_refused(answer.unwrap(), sent_tasks)
        if not is_refused:
            self._may_have_started = True


def _all_refused(reply: BatchReply, sent_tasks: list[_SentTask]) -> bool:
    refused = {o.index for o in reply.outcomes if o.state == OutcomeState.REFUSED}
    return reply.is_known and all(sent.task.spec.index in refused for sent in sent_tasks)

"""Whether an entry admits a job, and whether a job that waits can still be served."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.coordination.dispatch._worker_jobs import (
    JobRun,
    JobTask,
    TaskState,
    critical_path_length_s,
    find_invalid_step,
)
from persimmoncrank.protocol import ErrorKind, refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from persimmoncrank.protocol import ServiceError, WorkerJob

log = logging.getLogger(__name__)

RETRY_AFTER_MS = 1_000
LEAVING_ESTIMATE_FACTOR = 2.0  # allows for slow workers and for errors of the estimates
# Share of a job's objective; an agent whose stream broke reconnects within that time.
NO_WORKER_TIMEOUT_SHARE = 0.25
MAX_SHARE_OF_FREE = 0.5
MAX_RETRY_AFTER_S = 5.0  # callers choose how long their jobs are useful


def admission_error(job: WorkerJob, *, leave_deadline_s: float | None) -> ServiceError | None:
    """Return why a job cannot be admitted, or None.

    An entry that is shutting down admits only jobs expected to end before ``leave_deadline_s``.
    """
    invalid = find_invalid_step(job.steps)
    if invalid is not None:
        return refusal(ErrorKind.INVALID_REQUEST, f"job {job.job_id}: {invalid}")
    if leave_deadline_s is not None and not _ends_before(job, leave_deadline_s):
        message = "the entry is leaving"
        return refusal(ErrorKind.SHUTTING_DOWN, message, retry_after_ms=RETRY_AFTER_MS)
    if job.unsupported:
        message = f"not served here: {', '.join(job.unsupported)}"
        return refusal(ErrorKind.UNSUPPORTED, message)
    return None


@dataclass(kw_only=True)
class HeldTasks:
    """The number of tasks of the running jobs, which an entry keeps at ``limit`` or less.

    Load pattern: clients that hand in jobs of thousands of tasks, and keep them for as long as they
    like. A job may take up to half of what is free, so that small ones find room beside large ones;
    without any other, a job of any size is admitted.
    """

    limit: int
    count: int = 0

    def admission_error(self, job: WorkerJob, runs: Iterable[JobRun]) -> ServiceError | None:
        """Return why a job cannot be admitted beside ``runs``, or None."""
        added = sum(step.count for step in job.steps)
        if self._has_room(added, freed=0):
            return None
        message = f"the entry has {self.count} tasks and no room for {added} more; not run"
        wait_s = self._room_after_s(added, runs)
        return refusal(ErrorKind.OVERLOADED, message, retry_after_ms=round(wait_s * 1000))

    def _has_room(self, added: int, *, freed: int) -> bool:
        held = self.count - freed
        return held == 0 or added <= MAX_SHARE_OF_FREE * (self.limit - held)

    def _room_after_s(self, added: int, runs: Iterable[JobRun]) -> float:
        """Return when enough of the running jobs are too old to be useful to their callers."""
        now_s, freed = anyio.current_time(), 0
        for run in sorted(runs, key=lambda run: run.useful_until_s):
            freed += len(run.tasks)
            if self._has_room(added, freed=freed):
                wait_s = run.useful_until_s - now_s
                return min(max(wait_s, RETRY_AFTER_MS / 1000), MAX_RETRY_AFTER_S)
        return MAX_RETRY_AFTER_S


def _ends_before(job: WorkerJob, until_s: float) -> bool:
    """Return whether a job that arrives now should end in time, even on slow workers."""
    critical_path_s = critical_path_length_s(job.steps, [step.estimate_s for step in job.steps])
    return anyio.current_time() + LEAVING_ESTIMATE_FACTOR * critical_path_s < until_s


def is_unservable(
    run: JobRun, has_eligible_worker: Callable[[JobTask], bool], *, now_s: float
) -> bool:
    """Return whether a waiting job can no longer end in time or has no eligible worker."""
    if now_s >= run.useful_until_s - run.critical_path_s:
        return True
    if now_s < run.arrived_at_s + NO_WORKER_TIMEOUT_SHARE * run.objective_s:
        return False
    return not run.open_orders and not _has_workers_for_pending(run, has_eligible_worker)


def describe_shortage(run: JobRun, has_eligible_worker: Callable[[JobTask], bool]) -> str:
    """Return why a job could not be served."""
    if _has_workers_for_pending(run, has_eligible_worker):
        return "no worker had room in time"
    return "no worker may run it"


def _has_workers_for_pending(run: JobRun, has_eligible_worker: Callable[[JobTask], bool]) -> bool:
    """Return whether each pending task has an eligible worker."""
    tasks = {id(task.step): task for task in run.tasks if task.state is TaskState.PENDING}
    return all(has_eligible_worker(task) for task in tasks.values())

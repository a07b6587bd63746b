"""Answers of jobs with a task under which workers have crashed."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from persimmoncrank.coordination.dispatch._worker_jobs import JobRun, TaskState
from persimmoncrank.protocol import ErrorKind, ServiceError, WorkerJobAnswer
from persimmoncrank.state import CrashVerdict

if TYPE_CHECKING:
    from persimmoncrank.protocol import TaskRef
    from persimmoncrank.state import CrashHistory

log = logging.getLogger(__name__)


def crash_answer(crashes: CrashHistory, job_id: str) -> WorkerJobAnswer | None:
    """Return the answer of a job of which a task is not tried again, or None.

    The job has failed only if the crashes are certain to have happened under one of its tasks.
    """
    given_up = crashes.tasks_of(job_id, CrashVerdict.GIVEN_UP)
    if not given_up:
        return None
    task = max(given_up, key=crashes.is_proven)
    cause = f"{crashes.crash_count(task)} workers crashed under task {_name(task)}"
    if crashes.is_proven(task):
        return WorkerJobAnswer(cause=cause)
    message = f"{cause}, or just before it started"
    return WorkerJobAnswer(error=ServiceError(kind=ErrorKind.OUTCOME_UNKNOWN, message=message))


def untried_cause(crashes: CrashHistory, run: JobRun) -> str | None:
    """Return why a job fails whose suspect task still waits for its trial, or None."""
    pending = {task.ref for task in run.tasks if task.state is TaskState.PENDING}
    for task in crashes.tasks_of(run.job.job_id, CrashVerdict.SUSPECT):
        if task in pending:
            return f"a worker crashed under task {_name(task)}, which was not tried again in time"
    return None


def _name(task: TaskRef) -> str:
    return f"{task.step}.{task.index}"

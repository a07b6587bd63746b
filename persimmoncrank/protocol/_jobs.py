"""Jobs, tasks and their results."""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass

from persimmoncrank.protocol._errors import ServiceError

log = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskSpec:
    """One task as a caller declares it; ``payload`` is JSON text."""

    index: int
    kind: str
    payload: bytes
    run_time_ms: int
    processors: float
    memory_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JobSpec:
    """One job as a caller submits it; ``deadline_ms`` is measured from its arrival."""

    submission_id: str
    customer: str
    deadline_ms: int
    tasks: tuple[TaskSpec, ...]
    is_idempotent: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskResult:
    """The result of one finished task and the backend server that ran it."""

    index: int
    body: bytes
    agent: str
    domain: str
    run_time_ms: int


class JobState(enum.StrEnum):
    """The states of a job that callers can see."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"


@dataclass(frozen=True, kw_only=True, slots=True)
class JobAnswer:
    """A job's state; results are present only if the job is complete, and then for all tasks."""

    submission_id: str
    state: JobState
    results: tuple[TaskResult, ...] = ()
    error: ServiceError | None = None


def complete_answer(submission_id: str, results: tuple[TaskResult, ...]) -> JobAnswer:
    """Return the answer of a complete job, with the results in task order."""
    ordered = tuple(sorted(results, key=lambda result: result.index))
    return JobAnswer(submission_id=submission_id, state=JobState.COMPLETE, results=ordered)


def failed_answer(submission_id: str, error: ServiceError) -> JobAnswer:
    """Return the answer of a failed job, without results."""
    return JobAnswer(submission_id=submission_id, state=JobState.FAILED, error=error)

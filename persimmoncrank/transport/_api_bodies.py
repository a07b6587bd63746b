"""JSON bodies of the entry's HTTP interface.

These are msgspec structs because msgspec cannot reject unknown fields for plain data classes.
"""

from __future__ import annotations

import logging
from typing import Annotated

import msgspec
from msgspec import Meta

from persimmoncrank.protocol import (
    AnswerRule,
    Intent,
    IntentKind,
    JobAnswer,
    JobSpec,
    JobState,
    ServiceError,
    TaskSpec,
)

log = logging.getLogger(__name__)

MAX_DEADLINE_MS = 60_000
DEFAULT_DEADLINE_MS = 10_000
DEFAULT_RUN_TIME_MS = 200

Name = Annotated[str, Meta(min_length=1, max_length=100)]
DeadlineMs = Annotated[int, Meta(gt=0, le=MAX_DEADLINE_MS)]


class IdBlockBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Request for a block of submission ids."""

    count: int = 1


class TaskBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One task of a job; ``payload`` is any JSON value."""

    kind: Name
    payload: msgspec.Raw = msgspec.Raw(b"null")
    run_time_ms: Annotated[int, Meta(gt=0)] = DEFAULT_RUN_TIME_MS
    processors: Annotated[float, Meta(ge=0)] = 1.0
    memory_bytes: Annotated[int, Meta(ge=0)] = 0


class JobBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Request to run a job; ``wait_ms`` limits the wait for the answer (default: the deadline)."""

    customer: Name
    tasks: list[TaskBody]
    submission_id: str | None = None
    deadline_ms: DeadlineMs = DEFAULT_DEADLINE_MS
    wait_ms: Annotated[int, Meta(ge=0, le=MAX_DEADLINE_MS)] | None = None


class RequestBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Request to run a single task; it is retried after a possible start only if idempotent."""

    customer: Name
    kind: Name
    payload: msgspec.Raw = msgspec.Raw(b"null")
    run_time_ms: Annotated[int, Meta(gt=0)] = DEFAULT_RUN_TIME_MS
    processors: Annotated[float, Meta(ge=0)] = 1.0
    memory_bytes: Annotated[int, Meta(ge=0)] = 0
    deadline_ms: DeadlineMs = DEFAULT_DEADLINE_MS
    idempotent: bool = False


class IntentBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Request for a plan that carries out an operator's intent."""

    kind: IntentKind
    target: str
    kinds: tuple[Name, ...] = ()
    domains: tuple[Name, ...] = ()
    value: float | None = None


class IdBlockAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Response with a block of submission ids."""

    submission_ids: tuple[str, ...]
    expires_in_ms: int


class ResultAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one task, and the agent and failure domain that ran it."""

    index: int
    result: msgspec.Raw
    agent: str
    domain: str
    run_time_ms: int


class JobAnswerBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The state of a job, with the results of all its tasks or with none."""

    submission_id: str
    state: JobState
    results: list[ResultAnswer] = []


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """An error as reported to callers."""

    kind: str
    message: str
    not_run: bool
    is_retryable: bool
    field: str | None
    retry_after_ms: int | None
    submission_id: str | None


class ErrorAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The body of every response with an error status."""

    error: ErrorDetail


def job_spec(body: JobBody) -> JobSpec:
    """Convert a request body to a job."""
    tasks = tuple(
        TaskSpec(
            index=index,
            kind=task.kind,
            payload=bytes(task.payload),
            run_time_ms=task.run_time_ms,
            processors=task.processors,
            memory_bytes=task.memory_bytes,
        )
        for index, task in enumerate(body.tasks)
    )
    return JobSpec(
        submission_id=body.submission_id or "",
        customer=body.customer,
        deadline_ms=body.deadline_ms,
        tasks=tasks,
    )


def request_spec(body: RequestBody) -> JobSpec:
    """Convert the body of a single request to a job with one task."""
    task = TaskSpec(
        index=0,
        kind=body.kind,
        payload=bytes(body.payload),
        run_time_ms=body.run_time_ms,
        processors=body.processors,
        memory_bytes=body.memory_bytes,
    )
    return JobSpec(
        submission_id="",
        customer=body.customer,
        deadline_ms=body.deadline_ms,
        tasks=(task,),
        is_idempotent=body.idempotent,
    )


def intent_from_body(body: IntentBody) -> Intent:
    """Convert a request body to an operator's intent."""
    return Intent(
        kind=body.kind,
        target=body.target,
        kinds=body.kinds,
        domains=body.domains,
        value=body.value,
    )


def answer_body(answer: JobAnswer) -> JobAnswerBody:
    """Return the response body for a job that is running or complete."""
    results = [
        ResultAnswer(
            index=result.index,
            result=msgspec.Raw(result.body),
            agent=result.agent,
            domain=result.domain,
            run_time_ms=result.run_time_ms,
        )
        for result in answer.results
    ]
    return JobAnswerBody(submission_id=answer.submission_id, state=answer.state, results=results)


def error_body(
    error: ServiceError, rule: AnswerRule, submission_id: str | None = None
) -> ErrorAnswer:
    """Return the response body for an error."""
    return ErrorAnswer(
        error=ErrorDetail(
            kind=error.kind,
            message=error.message,
            not_run=error.not_run,
            is_retryable=rule.is_retryable,
            field=error.field,
            retry_after_ms=error.retry_after_ms,
            submission_id=submission_id,
        )
    )

"""The jobs that an entry coordinates: issues ids, attaches resubmissions and stores answers."""

from __future__ import annotations

import hashlib
import logging
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from persimmoncrank.coordination.jobs._job_run import JobPorts, JobRun
from persimmoncrank.coordination.placement import (
    Placement,
    PlacementRequest,
    check_fit,
    check_shape,
    check_wait,
    find_commitment,
)
from persimmoncrank.protocol import (
    BatchTask,
    Commitment,
    ErrorKind,
    JobAnswer,
    JobSpec,
    JobState,
    ObjectStore,
    ServiceError,
    SubmissionId,
    encode_message,
    failed_answer,
    refusal,
    try_decode_message,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

log = logging.getLogger(__name__)

CLEANUP_INTERVAL_S = 1.0
RETRY_AFTER_MS = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class JobLimits:
    """Limits on the submission ids that an entry issues and the answers it holds in memory."""

    id_lifetime_s: float = 120.0
    max_ids_per_block: int = 1_000
    max_answer_bytes: int = 32 * 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class _Admission:
    """The commitment that covers an admitted job, and its first placement."""

    commitment: Commitment
    placement: Placement


@dataclass(kw_only=True, slots=True)
class _Job:
    """One job that this entry admitted; ``answer`` is None while it runs."""

    digest: bytes
    run: JobRun
    expires_at_unix_ms: int
    answer: JobAnswer | None = None
    answer_bytes: int = 0
    is_offloaded: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)


def job_digest(spec: JobSpec) -> bytes:
    """Return a digest of what a job requests; a resubmission may differ only in its deadline."""
    content = encode_message((spec.customer, spec.is_idempotent, spec.tasks))
    return hashlib.blake2b(content, digest_size=16).digest()


class JobTable:
    """All jobs of one entry."""

    def __init__(
        self,
        *,
        ports: JobPorts,
        objects: ObjectStore,
        limits: JobLimits,
        unix_ms: Callable[[], int],
    ) -> None:
        """Create an empty table; it accepts jobs only while ``run`` is running."""
        self._ports = ports
        self._objects = objects
        self._limits = limits
        self._unix_ms = unix_ms
        self._jobs: dict[str, _Job] = {}
        self._issued_count = 0
        self._running_count = 0
        self._is_closing = False
        self._answered_ids: deque[str] = deque()
        self._answer_bytes = 0
        self._task_group: TaskGroup | None = None
        self._idle = anyio.Event()

    @property
    def running_count(self) -> int:
        """The number of jobs that are currently running."""
        return self._running_count

    async def run(self) -> None:
        """Run the admitted jobs until cancelled."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            try:
                await self._run_cleanup()
            finally:
                self._task_group = None

    async def _run_cleanup(self) -> None:
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            self._drop_expired()
            await self._offload_answers()

    def issue_ids(self, count: int) -> Result[tuple[str, ...], ServiceError]:
        """Issue a block of submission ids."""
        if not 1 <= count <= self._limits.max_ids_per_block:
            message = f"a block has 1 to {self._limits.max_ids_per_block} ids, not {count}"
            return Err(refusal(ErrorKind.INVALID_REQUEST, message, field="count"))
        refused = self._availability_error()
        if refused is not None:
            return Err(refused)
        expires_at_unix_ms = self._unix_ms() + int(self._limits.id_lifetime_s * 1000)
        first = self._issued_count
        self._issued_count += count
        return Ok(
            tuple(
                str(
                    SubmissionId(
                        issuer=self._ports.config_replica.incarnation,
                        expires_at_unix_ms=expires_at_unix_ms,
                        number=number,
                    )
                )
                for number in range(first, first + count)
            )
        )

    def _availability_error(self) -> ServiceError | None:
        replica = self._ports.config_replica
        if self._is_closing:
            return refusal(ErrorKind.SHUTTING_DOWN, "this entry is stopping", retry_after_ms=0)
        if not replica.is_current() or not replica.is_registered(replica.incarnation):
            return refusal(
                ErrorKind.NOT_CURRENT,
                "this entry does not have the latest configuration",
                retry_after_ms=RETRY_AFTER_MS,
            )
        return None

    def submit(self, spec: JobSpec, submission: SubmissionId) -> Result[None, ServiceError]:
        """Start a job under an id that this entry issued, or attach to it if it already exists."""
        known = self._jobs.get(spec.submission_id)
        if known is not None:
            return self._attach(known, spec)
        checked = self._check_id(submission)
        if checked.is_err():
            return checked
        admitted = self._admit(spec)
        if admitted.is_err():
            error = admitted.unwrap_err()
            self._ports.counters.jobs_refused[error.kind] += 1
            log.info(
                "admission: job refused submission=%s customer=%s kind=%s cause=%s",
                spec.submission_id,
                spec.customer,
                error.kind,
                error.message,
            )
            return Err(error)
        self._start(spec, submission, admitted.unwrap())
        return Ok(None)

    def _attach(self, job: _Job, spec: JobSpec) -> Result[None, ServiceError]:
        if job.digest != job_digest(spec):
            message = f"submission {spec.submission_id} was already used for a different job"
            return Err(
                ServiceError(
                    kind=ErrorKind.SUBMISSION_MISMATCH, message=message, field="submission_id"
                )
            )
        log.info("jobs: resubmission attached submission=%s", spec.submission_id)
        return Ok(None)

    def _check_id(self, submission: SubmissionId) -> Result[None, ServiceError]:
        if submission.number >= self._issued_count:
            message = f"submission id {submission} was never issued"
            return Err(refusal(ErrorKind.NOT_FOUND, message, field="submission_id"))
        if self._unix_ms() >= submission.expires_at_unix_ms:
            return Err(
                ServiceError(
                    kind=ErrorKind.SUBMISSION_EXPIRED,
                    message=f"submission id {submission} has expired",
                    field="submission_id",
                )
            )
        return Ok(None)

    def _admit(self, spec: JobSpec) -> Result[_Admission, ServiceError]:
        config = self._ports.config_replica.snapshot
        refused = self._availability_error()
        if refused is None and self._running_count >= config.limits.max_running_jobs_per_entry:
            refused = refusal(
                ErrorKind.OVERLOADED,
                f"this entry already runs {self._running_count} jobs",
                retry_after_ms=RETRY_AFTER_MS,
            )
        if refused is not None or self._task_group is None:
            return Err(refused or refusal(ErrorKind.SHUTTING_DOWN, "this entry is starting"))
        shape = check_shape(spec, config)
        if shape.is_err():
            return Err(shape.unwrap_err())
        found_commitment = find_commitment(spec, config)
        if found_commitment.is_err():
            return Err(found_commitment.unwrap_err())
        fit = check_fit(spec, found_commitment.unwrap(), config, self._ports.views.live())
        if fit.is_err():
            return Err(fit.unwrap_err())
        placement = self._place(spec, found_commitment.unwrap())
        expected_ms = max((batch.expected_ms for batch in placement.batches), default=0.0)
        wait = check_wait(spec, config, expected_ms)
        if wait.is_err():
            return Err(wait.unwrap_err())
        return Ok(_Admission(commitment=found_commitment.unwrap(), placement=placement))

    def _place(self, spec: JobSpec, commitment: Commitment) -> Placement:
        tasks = tuple(BatchTask(spec=task, attempt=0) for task in spec.tasks)
        request = PlacementRequest(tasks=tasks, commitment=commitment, excluded_agents={})
        return self._ports.placement_policy(
            request, self._ports.config_replica.snapshot, anyio.current_time()
        )

    def _start(self, spec: JobSpec, submission: SubmissionId, admitted: _Admission) -> None:
        run = JobRun(
            spec=spec,
            commitment=admitted.commitment,
            placement=admitted.placement,
            ports=self._ports,
        )
        job = _Job(
            digest=job_digest(spec),
            run=run,
            expires_at_unix_ms=submission.expires_at_unix_ms,
        )
        self._jobs[spec.submission_id] = job
        self._running_count += 1
        self._ports.counters.jobs_admitted += 1
        if self._task_group is not None:
            self._task_group.start_soon(self._run_job, spec.submission_id, job)

    async def _run_job(self, submission_id: str, job: _Job) -> None:
        answer = await job.run.run()
        job.answer = answer
        if answer.error is None:
            self._ports.counters.jobs_complete += 1
        else:
            self._ports.counters.jobs_failed[answer.error.kind] += 1
        job.answer_bytes = sum(len(result.body) for result in answer.results)
        self._answer_bytes += job.answer_bytes
        self._answered_ids.append(submission_id)
        self._running_count -= 1
        job.done.set()
        if self._running_count == 0:
            self._idle.set()
            self._idle = anyio.Event()

    async def wait(self, submission_id: str, timeout_s: float) -> JobAnswer | None:
        """Return a job's answer, waiting up to ``timeout_s``, or None if the job is unknown."""
        job = self._jobs.get(submission_id)
        if job is None:
            return None
        with anyio.move_on_after(timeout_s):
            await job.done.wait()
        if job.is_offloaded:
            return await self._read_offloaded_answer(submission_id)
        if job.answer is None:
            return JobAnswer(submission_id=submission_id, state=JobState.RUNNING)
        return job.answer

    def cancel(self, submission_id: str) -> bool:
        """Cancel a job; return whether this entry has it."""
        job = self._jobs.get(submission_id)
        if job is not None and job.answer is None:
            job.run.cancel()
        return job is not None

    async def close(self) -> None:
        """Accept no new jobs and wait until every running job has ended."""
        self._is_closing = True
        while self._running_count:
            await self._idle.wait()

    def _drop_expired(self) -> None:
        """Remove ended jobs whose submission ids have expired."""
        now_unix_ms = self._unix_ms()
        expired = [
            submission_id
            for submission_id, job in self._jobs.items()
            if job.answer is not None and job.expires_at_unix_ms < now_unix_ms
        ]
        for submission_id in expired:
            job = self._jobs.pop(submission_id)
            self._answer_bytes -= job.answer_bytes

    async def _offload_answers(self) -> None:
        """Move the oldest answers to the object store until the rest fit the memory limit."""
        while self._answer_bytes > self._limits.max_answer_bytes and self._answered_ids:
            submission_id = self._answered_ids.popleft()
            job = self._jobs.get(submission_id)
            if job is None or job.answer is None or job.answer_bytes == 0:
                continue
            stored = await self._objects.put(_answer_key(submission_id), encode_message(job.answer))
            if stored.is_err():
                log.warning(
                    "jobs: answer could not be stored and was dropped submission=%s", submission_id
                )
            self._answer_bytes -= job.answer_bytes
            job.answer_bytes = 0
            job.is_offloaded = True
            job.answer = JobAnswer(submission_id=submission_id, state=JobState.COMPLETE)

    async def _read_offloaded_answer(self, submission_id: str) -> JobAnswer:
        read = await self._objects.get(_answer_key(submission_id))
        stored = read.unwrap_or(None)
        if stored is not None:
            answer = try_decode_message(stored, JobAnswer, name=_answer_key(submission_id))
            if answer is not None:
                return answer
        return failed_answer(
            submission_id,
            ServiceError(
                kind=ErrorKind.OUTCOME_UNKNOWN,
                message="the answer is no longer available",
                retry_after_ms=RETRY_AFTER_MS,
            ),
        )


def _answer_key(submission_id: str) -> str:
    return f"answers/{submission_id}"

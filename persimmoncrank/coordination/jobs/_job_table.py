"""The jobs that an entry coordinates: issuing ids, attaching resubmissions, keeping answers."""

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
    decode_message,
    encode_message,
    failed_answer,
    refusal,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 1.0
RETRY_AFTER_MS = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class JobLimits:
    """The bounds on what an entry holds for its callers."""

    id_lifetime_s: float = 120.0
    max_ids_per_block: int = 1_000
    max_answer_bytes: int = 32 * 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class _Admitted:
    """What an admitted job starts with."""

    commitment: Commitment
    placement: Placement


@dataclass(kw_only=True, slots=True)
class _Job:
    """One job that was admitted here; ``answer`` is None while it runs."""

    digest: bytes
    run: JobRun
    expires_at_unix_ms: int
    answer: JobAnswer | None = None
    answer_bytes: int = 0
    is_moved: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)


def job_digest(spec: JobSpec) -> bytes:
    """Return a digest of what a job asks for; a resubmission may change only its deadline."""
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
        """Create an empty table; ``run`` must be running for jobs to be taken."""
        self._ports = ports
        self._objects = objects
        self._limits = limits
        self._unix_ms = unix_ms
        self._jobs: dict[str, _Job] = {}
        self._issued = 0
        self._running = 0
        self._is_closing = False
        self._answered: deque[str] = deque()
        self._answer_bytes = 0
        self._group: TaskGroup | None = None
        self._idle = anyio.Event()

    @property
    def running_count(self) -> int:
        """The number of jobs that run now."""
        return self._running

    async def run(self) -> None:
        """Run the admitted jobs until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                await self._keep_bounds()
            finally:
                self._group = None

    async def _keep_bounds(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self._drop_expired()
            await self._move_answers()

    def issue_ids(self, count: int) -> Result[tuple[str, ...], ServiceError]:
        """Issue a block of submission ids."""
        if not 1 <= count <= self._limits.max_ids_per_block:
            message = f"a block has 1 to {self._limits.max_ids_per_block} ids, not {count}"
            return Err(refusal(ErrorKind.INVALID_REQUEST, message, field="count"))
        refused = self._reason_against_work()
        if refused is not None:
            return Err(refused)
        expires_at_unix_ms = self._unix_ms() + int(self._limits.id_lifetime_s * 1000)
        first = self._issued
        self._issued += count
        return Ok(
            tuple(
                str(
                    SubmissionId(
                        issuer=self._ports.keeper.incarnation,
                        expires_at_unix_ms=expires_at_unix_ms,
                        number=number,
                    )
                )
                for number in range(first, first + count)
            )
        )

    def _reason_against_work(self) -> ServiceError | None:
        keeper = self._ports.keeper
        if self._is_closing:
            return refusal(ErrorKind.SHUTTING_DOWN, "this entry is stopping", retry_after_ms=0)
        if not keeper.is_current() or not keeper.is_registered(keeper.incarnation):
            return refusal(
                ErrorKind.NOT_CURRENT,
                "this entry does not know the newest configuration",
                retry_after_ms=RETRY_AFTER_MS,
            )
        return None

    def submit(self, spec: JobSpec, submission: SubmissionId) -> Result[None, ServiceError]:
        """Start a job under an id issued here, or attach to it if it was submitted before."""
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
            message = f"submission {spec.submission_id} was another job"
            return Err(
                ServiceError(
                    kind=ErrorKind.SUBMISSION_MISMATCH, message=message, field="submission_id"
                )
            )
        log.info("jobs: resubmission attached submission=%s", spec.submission_id)
        return Ok(None)

    def _check_id(self, submission: SubmissionId) -> Result[None, ServiceError]:
        if submission.number >= self._issued:
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

    def _admit(self, spec: JobSpec) -> Result[_Admitted, ServiceError]:
        config = self._ports.keeper.snapshot
        refused = self._reason_against_work()
        if refused is None and self._running >= config.limits.max_running_jobs_per_entry:
            refused = refusal(
                ErrorKind.OVERLOADED,
                f"this entry runs {self._running} jobs",
                retry_after_ms=RETRY_AFTER_MS,
            )
        if refused is not None or self._group is None:
            return Err(refused or refusal(ErrorKind.SHUTTING_DOWN, "this entry is starting"))
        shape = check_shape(spec, config)
        if shape.is_err():
            return Err(shape.unwrap_err())
        covered = find_commitment(spec, config)
        if covered.is_err():
            return Err(covered.unwrap_err())
        fit = check_fit(spec, covered.unwrap(), config, self._ports.views.live())
        if fit.is_err():
            return Err(fit.unwrap_err())
        placement = self._place(spec, covered.unwrap())
        expected_ms = max((batch.expected_ms for batch in placement.batches), default=0.0)
        wait = check_wait(spec, config, expected_ms)
        if wait.is_err():
            return Err(wait.unwrap_err())
        return Ok(_Admitted(commitment=covered.unwrap(), placement=placement))

    def _place(self, spec: JobSpec, commitment: Commitment) -> Placement:
        tasks = tuple(BatchTask(spec=task, attempt=0) for task in spec.tasks)
        request = PlacementRequest(tasks=tasks, commitment=commitment, avoided={})
        return self._ports.place(request, self._ports.keeper.snapshot, anyio.current_time())

    def _start(self, spec: JobSpec, submission: SubmissionId, admitted: _Admitted) -> None:
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
        self._running += 1
        self._ports.counters.jobs_admitted += 1
        if self._group is not None:
            self._group.start_soon(self._run_job, spec.submission_id, job)

    async def _run_job(self, submission_id: str, job: _Job) -> None:
        answer = await job.run.run()
        job.answer = answer
        if answer.error is None:
            self._ports.counters.jobs_complete += 1
        else:
            self._ports.counters.jobs_failed[answer.error.kind] += 1
        job.answer_bytes = sum(len(result.body) for result in answer.results)
        self._answer_bytes += job.answer_bytes
        self._answered.append(submission_id)
        self._running -= 1
        job.done.set()
        if self._running == 0:
            self._idle.set()
            self._idle = anyio.Event()

    async def wait(self, submission_id: str, timeout_s: float) -> JobAnswer | None:
        """Return a job's answer, waiting for it at most so long; None if it is unknown here."""
        job = self._jobs.get(submission_id)
        if job is None:
            return None
        with anyio.move_on_after(timeout_s):
            await job.done.wait()
        if job.is_moved:
            return await self._read_moved(submission_id)
        if job.answer is None:
            return JobAnswer(submission_id=submission_id, state=JobState.RUNNING)
        return job.answer

    def cancel(self, submission_id: str) -> bool:
        """Cancel a job; return whether it is known here."""
        job = self._jobs.get(submission_id)
        if job is not None and job.answer is None:
            job.run.cancel()
        return job is not None

    async def close(self) -> None:
        """Take no new work and wait until every job has ended."""
        self._is_closing = True
        while self._running:
            await self._idle.wait()

    def _drop_expired(self) -> None:
        """Drop the ended jobs whose ids have expired."""
        now_unix_ms = self._unix_ms()
        expired = [
            submission_id
            for submission_id, job in self._jobs.items()
            if job.answer is not None and job.expires_at_unix_ms < now_unix_ms
        ]
        for submission_id in expired:
            job = self._jobs.pop(submission_id)
            self._answer_bytes -= job.answer_bytes

    async def _move_answers(self) -> None:
        """Move the oldest answers to the object store while they take too much memory."""
        while self._answer_bytes > self._limits.max_answer_bytes and self._answered:
            submission_id = self._answered.popleft()
            job = self._jobs.get(submission_id)
            if job is None or job.answer is None or job.answer_bytes == 0:
                continue
            stored = await self._objects.put(_answer_key(submission_id), encode_message(job.answer))
            if stored.is_err():
                log.warning("jobs: answer dropped submission=%s", submission_id)
            self._answer_bytes -= job.answer_bytes
            job.answer_bytes = 0
            job.is_moved = True
            job.answer = JobAnswer(submission_id=submission_id, state=JobState.COMPLETE)

    async def _read_moved(self, submission_id: str) -> JobAnswer:
        read = await self._objects.get(_answer_key(submission_id))
        stored = read.unwrap_or(None)
        if stored is not None:
            return decode_message(stored, JobAnswer)
        return failed_answer(
            submission_id,
            ServiceError(
                kind=ErrorKind.OUTCOME_UNKNOWN,
                message="the answer was dropped",
                retry_after_ms=RETRY_AFTER_MS,
            ),
        )


def _answer_key(submission_id: str) -> str:
    return f"answers/{submission_id}"

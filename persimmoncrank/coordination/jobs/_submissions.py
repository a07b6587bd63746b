"""Routes submissions at any entry: to its own job table, to the issuer, or to recovery."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from persimmoncrank.coordination.configuration import FRESHNESS_LIMIT_S, ConfigReplica
from persimmoncrank.coordination.execution import REPLY_HOLD_S
from persimmoncrank.protocol import (
    Call,
    EntryInfo,
    ErrorKind,
    ForwardJob,
    ForwardLookup,
    ForwardReply,
    JobAnswer,
    JobSpec,
    JobState,
    ServiceError,
    SubmissionId,
    parse_submission_id,
)

if TYPE_CHECKING:
    from persimmoncrank.coordination.jobs._claims import Claim, Claims
    from persimmoncrank.coordination.jobs._job_table import JobTable
    from persimmoncrank.coordination.recovery import Recovery

log = logging.getLogger(__name__)

FORWARD_TIMEOUT_S = 2 * REPLY_HOLD_S
FORWARD_RETRY_INTERVAL_S = 0.2
ANSWER_GRACE_S = 2.0
RETRY_AFTER_MS = 2_000

Answer = Result[JobAnswer, ServiceError]


class Submissions:
    """Handles callers' requests to submit, look up and cancel jobs."""

    def __init__(
        self,
        *,
        config_replica: ConfigReplica,
        jobs: JobTable,
        claims: Claims,
        recovery: Recovery,
        call: Call,
    ) -> None:
        """Create the request handling of an entry."""
        self._config_replica = config_replica
        self._jobs = jobs
        self._claims = claims
        self._recovery = recovery
        self._call = call

    async def submit(self, spec: JobSpec, *, wait_s: float) -> Answer:
        """Submit a job under an id issued earlier, and wait up to ``wait_s`` for its answer."""
        parsed = parse_submission_id(spec.submission_id)
        if parsed.is_err():
            return Err(parsed.unwrap_err())
        submission = parsed.unwrap()
        if submission.issuer == self._config_replica.incarnation:
            return await self._submit_locally(spec, submission, wait_s)
        message = ForwardJob(entry=submission.issuer, spec=spec)
        return await self._request_from_issuer(submission, message, wait_s)

    async def submit_with_key(self, spec: JobSpec, *, key: str, wait_s: float) -> Answer:
        """Submit a job under an idempotency key that the caller chose."""
        issued = self._jobs.issue_ids(1)
        if issued.is_err():
            return Err(issued.unwrap_err())
        new_id = issued.unwrap()[0]
        claimed = await self._claims.claim(customer=spec.customer, key=key, submission_id=new_id)
        if claimed.is_err():
            return Err(claimed.unwrap_err())
        claim = claimed.unwrap()
        answer = await self.submit(replace(spec, submission_id=claim.submission_id), wait_s=wait_s)
        if claim.submission_id == new_id or not _is_not_run_after_issuer_loss(answer):
            return answer
        return await self._replace_claim(spec, claim, key, new_id, wait_s)

    async def _replace_claim(
        self, spec: JobSpec, claim: Claim, key: str, new_id: str, wait_s: float
    ) -> Answer:
        """Claim a key again whose submission was lost with its issuer before any task started."""
        replaced = await self._claims.claim(
            customer=spec.customer,
            key=key,
            submission_id=new_id,
            replaced_version=claim.claim_version,
        )
        if replaced.is_err():
            return Err(replaced.unwrap_err())
        submission_id = replaced.unwrap().submission_id
        return await self.submit(replace(spec, submission_id=submission_id), wait_s=wait_s)

    async def submit_new(self, spec: JobSpec, *, wait_s: float) -> Answer:
        """Submit a job under a newly issued id."""
        issued = self._jobs.issue_ids(1)
        if issued.is_err():
            return Err(issued.unwrap_err())
        return await self.submit(replace(spec, submission_id=issued.unwrap()[0]), wait_s=wait_s)

    async def lookup(self, submission_id: str, *, wait_s: float, is_cancel: bool = False) -> Answer:
        """Return the state of a job; with ``is_cancel``, cancel it first."""
        parsed = parse_submission_id(submission_id)
        if parsed.is_err():
            return Err(parsed.unwrap_err())
        submission = parsed.unwrap()
        if submission.issuer == self._config_replica.incarnation:
            return await self._lookup_locally(submission_id, wait_s, is_cancel)
        message = ForwardLookup(
            entry=submission.issuer, submission_id=submission_id, is_cancel=is_cancel
        )
        return await self._request_from_issuer(submission, message, wait_s)

    async def _submit_locally(
        self, spec: JobSpec, submission: SubmissionId, wait_s: float
    ) -> Answer:
        started = self._jobs.submit(spec, submission)
        if started.is_err():
            return Err(started.unwrap_err())
        return await self._lookup_locally(spec.submission_id, wait_s, False)

    async def _lookup_locally(self, submission_id: str, wait_s: float, is_cancel: bool) -> Answer:
        if is_cancel:
            self._jobs.cancel(submission_id)
        answer = await self._jobs.wait(submission_id, wait_s)
        if answer is not None:
            return Ok(answer)
        message = f"submission {submission_id} is not known to this entry"
        return Err(ServiceError(kind=ErrorKind.NOT_FOUND, message=message, field="submission_id"))

    async def _request_from_issuer(
        self, submission: SubmissionId, message: ForwardJob | ForwardLookup, wait_s: float
    ) -> Answer:
        """Repeat a request to the issuer until it answers, is unregistered, or time runs out."""
        deadline_s = anyio.current_time() + max(wait_s, FRESHNESS_LIMIT_S) + ANSWER_GRACE_S
        issuer = submission.issuer
        while anyio.current_time() < deadline_s:
            peer = self._config_replica.snapshot.entry(issuer)
            if peer is None:
                log.info("routing: issuer is no longer registered submission=%s", submission)
                return Ok(await self._recovery.recover(str(submission), issuer))
            answer = await self._forward(peer, message)
            if answer is not None and not _is_running(answer):
                return answer
            if answer is not None and wait_s <= 0:
                return answer
            if answer is None:
                await anyio.sleep(FORWARD_RETRY_INTERVAL_S)
        text = f"entry {issuer} does not answer"
        return Err(
            ServiceError(
                kind=ErrorKind.ISSUER_UNREACHABLE, message=text, retry_after_ms=RETRY_AFTER_MS
            )
        )

    async def _forward(self, peer: EntryInfo, message: ForwardJob | ForwardLookup) -> Answer | None:
        """Send a request to the issuer once; return None if it did not answer."""
        answer = await self._call(peer.rpc_address, message, ForwardReply, FORWARD_TIMEOUT_S)
        match answer:
            case Ok(reply) if reply.is_known:
                log.info(
                    "routing: forwarded submission=%s entry=%s",
                    _submission_of(message),
                    peer.incarnation,
                )
                return _answer_from_reply(reply)
            case Ok(_):
                return None
            case Err(error):
                log.warning(
                    "routing: issuer does not answer submission=%s entry=%s cause=%s",
                    _submission_of(message),
                    peer.incarnation,
                    error.message,
                )
                return None

    async def handle_forwarded_job(self, message: ForwardJob) -> ForwardReply:
        """Handle a job that another entry forwarded; the reply may report it as still running."""
        if message.entry != self._config_replica.incarnation:
            return ForwardReply(is_known=False)
        answer = await self.submit(message.spec, wait_s=REPLY_HOLD_S)
        return _reply_from_answer(answer)

    async def handle_forwarded_lookup(self, message: ForwardLookup) -> ForwardReply:
        """Handle a lookup or a cancellation that another entry forwarded."""
        if message.entry != self._config_replica.incarnation:
            return ForwardReply(is_known=False)
        answer = await self.lookup(
            message.submission_id, wait_s=REPLY_HOLD_S, is_cancel=message.is_cancel
        )
        return _reply_from_answer(answer)


def _submission_of(message: ForwardJob | ForwardLookup) -> str:
    if isinstance(message, ForwardJob):
        return message.spec.submission_id
    return message.submission_id


def _is_running(answer: Answer) -> bool:
    return answer.is_ok() and answer.unwrap().state == JobState.RUNNING


def _is_not_run_after_issuer_loss(answer: Answer) -> bool:
    if answer.is_err():
        return False
    error = answer.unwrap().error
    return error is not None and error.kind == ErrorKind.ISSUER_GONE and error.not_run


def _reply_from_answer(answer: Answer) -> ForwardReply:
    match answer:
        case Ok(found):
            return ForwardReply(is_known=True, answer=found)
        case Err(error):
            return ForwardReply(is_known=True, error=error)


def _answer_from_reply(reply: ForwardReply) -> Answer:
    if reply.error is not None:
        return Err(reply.error)
    if reply.answer is not None:
        return Ok(reply.answer)
    message = "the issuer sent an empty answer"
    return Err(ServiceError(kind=ErrorKind.INTERNAL, message=message))

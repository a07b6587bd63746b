"""The entry's HTTP interface for callers and operators."""

from __future__ import annotations

import logging
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from persimmoncrank.protocol import (
    ErrorKind,
    JobState,
    PlanReport,
    ServiceError,
    parse_submission_id,
    refusal,
)
from persimmoncrank.transport._api_bodies import (
    MAX_DEADLINE_MS,
    IdBlockAnswer,
    IdBlockBody,
    IntentBody,
    JobBody,
    RequestBody,
    answer_body,
    intent_from_body,
    job_spec,
    request_spec,
)
from persimmoncrank.transport._responses import decode_body, error_response, json_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result
    from starlette.requests import Request

    from persimmoncrank.coordination import EntryNode
    from persimmoncrank.protocol import JobAnswer
    from persimmoncrank.transport._metrics import Metrics

log = logging.getLogger(__name__)

IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_KEY_CHARS = 200
WAIT_MS = re.compile(r"[0-9]{1,9}")
_ACCEPTED = 202


@dataclass(frozen=True, kw_only=True, slots=True)
class ApiLimits:
    """Limits on callers' requests."""

    max_body_bytes: int
    id_lifetime_ms: int


def entry_app(node: EntryNode, metrics: Metrics, limits: ApiLimits) -> Starlette:
    """Return the HTTP application of an entry."""
    api = _EntryApi(node=node, limits=limits)
    return Starlette(
        routes=[
            Route("/v1/submission-ids", api.issue_ids, methods=["POST"]),
            Route("/v1/jobs", api.submit_job, methods=["POST"]),
            Route("/v1/jobs/{submission_id}", api.show_job, methods=["GET"]),
            Route("/v1/jobs/{submission_id}", api.cancel_job, methods=["DELETE"]),
            Route("/v1/requests", api.submit_request, methods=["POST"]),
            Route("/v1/plans", api.propose, methods=["POST"]),
            Route("/v1/plans/{plan_id}", api.show_plan, methods=["GET"]),
            Route("/v1/plans/{plan_id}/confirm", api.confirm_plan, methods=["POST"]),
            Route("/v1/status", api.status, methods=["GET"]),
            *health_routes(node.is_ready, metrics),
        ],
        exception_handlers={404: _not_found, 405: _not_found, 500: _internal_error},
    )


def health_routes(is_ready: Callable[[], bool], metrics: Metrics) -> list[Route]:
    """Return the routes common to all roles: metrics, health and readiness."""

    async def healthz(_request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def readyz(_request: Request) -> Response:
        if is_ready():
            return PlainTextResponse("ready\n")
        return PlainTextResponse("not ready\n", status_code=503)

    async def show_metrics(request: Request) -> Response:
        content, headers = metrics.render(request.headers.getlist("accept"))
        return Response(content, headers=headers)

    return [
        Route("/healthz", healthz),
        Route("/readyz", readyz),
        Route("/metrics", show_metrics),
    ]


async def _not_found(request: Request, _error: Exception) -> Response:
    message = f"no route for {request.method} {request.url.path}"
    return error_response(refusal(ErrorKind.NOT_FOUND, message))


async def _internal_error(_request: Request, error: Exception) -> Response:
    log.error("api: internal error cause=%s", type(error).__name__)
    return error_response(ServiceError(kind=ErrorKind.INTERNAL, message="internal error"))


class _EntryApi:
    """The handlers of an entry's HTTP interface."""

    def __init__(self, *, node: EntryNode, limits: ApiLimits) -> None:
        self._node = node
        self._limits = limits

    async def issue_ids(self, request: Request) -> Response:
        """Issue a block of submission ids."""
        decoded = await decode_body(request, IdBlockBody, self._limits.max_body_bytes)
        issued = decoded.and_then(lambda body: self._node.jobs.issue_ids(body.count))
        match issued:
            case Ok(ids):
                lifetime_ms = self._limits.id_lifetime_ms
                return json_response(IdBlockAnswer(submission_ids=ids, expires_in_ms=lifetime_ms))
            case Err(error):
                return error_response(error)

    async def submit_job(self, request: Request) -> Response:
        """Submit a job and wait for its complete answer."""
        decoded = await decode_body(request, JobBody, self._limits.max_body_bytes)
        if decoded.is_err():
            return error_response(decoded.unwrap_err())
        body = decoded.unwrap()
        key = request.headers.get(IDEMPOTENCY_HEADER)
        identity_error = _check_job_identity(body.submission_id, key)
        if identity_error is not None:
            return error_response(identity_error)
        wait_ms = body.deadline_ms if body.wait_ms is None else body.wait_ms
        spec = job_spec(body)
        wait_s = _answer_timeout_s(wait_ms)
        submissions = self._node.submissions
        if key is not None:
            answer = await submissions.submit_with_key(spec, key=key, wait_s=wait_s)
        else:
            answer = await submissions.submit(spec, wait_s=wait_s)
        return _job_response(answer, body.submission_id)

    async def submit_request(self, request: Request) -> Response:
        """Run a single request and wait for its answer."""
        decoded = await decode_body(request, RequestBody, self._limits.max_body_bytes)
        if decoded.is_err():
            return error_response(decoded.unwrap_err())
        spec = request_spec(decoded.unwrap())
        key = request.headers.get(IDEMPOTENCY_HEADER)
        wait_s = _answer_timeout_s(spec.deadline_ms)
        submissions = self._node.submissions
        if key is None:
            return _job_response(await submissions.submit_new(spec, wait_s=wait_s))
        identity_error = _check_job_identity(None, key)
        if identity_error is not None:
            return error_response(identity_error)
        return _job_response(await submissions.submit_with_key(spec, key=key, wait_s=wait_s))

    async def show_job(self, request: Request) -> Response:
        """Return the state of a job."""
        return await self._lookup(request, is_cancel=False)

    async def cancel_job(self, request: Request) -> Response:
        """Cancel a job and return its outcome."""
        return await self._lookup(request, is_cancel=True)

    async def _lookup(self, request: Request, *, is_cancel: bool) -> Response:
        submission_id = request.path_params["submission_id"]
        wait_text = request.query_params.get("wait_ms", "0")
        if not WAIT_MS.fullmatch(wait_text) or int(wait_text) > MAX_DEADLINE_MS:
            message = f"wait_ms must be an integer from 0 to {MAX_DEADLINE_MS}"
            return error_response(refusal(ErrorKind.INVALID_REQUEST, message, field="wait_ms"))
        wait_ms = int(wait_text) if not is_cancel else max(int(wait_text), MIN_CANCEL_WAIT_MS)
        answer = await self._node.submissions.lookup(
            submission_id, wait_s=wait_ms / 1000, is_cancel=is_cancel
        )
        return _job_response(answer, submission_id)

    async def propose(self, request: Request) -> Response:
        """Create a plan for an intent, without applying it."""
        decoded = await decode_body(request, IntentBody, self._limits.max_body_bytes)
        if decoded.is_err():
            return error_response(decoded.unwrap_err())
        return _plan_response(await self._node.plans.propose(intent_from_body(decoded.unwrap())))

    async def show_plan(self, request: Request) -> Response:
        """Show a plan and its state."""
        return _plan_response(await self._node.plans.show(request.path_params["plan_id"]))

    async def confirm_plan(self, request: Request) -> Response:
        """Apply a plan."""
        return _plan_response(await self._node.plans.confirm(request.path_params["plan_id"]))

    async def status(self, _request: Request) -> Response:
        """Return this entry's view of the system."""
        return json_response(await self._node.status())


MIN_CANCEL_WAIT_MS = 1_500
"""Covers the round trip to the agents that determines whether any task had started."""

ANSWER_GRACE_S = 1.0


def _answer_timeout_s(wait_ms: int) -> float:
    """Return the wait for an answer, extended so that a missed deadline is reported."""
    return wait_ms / 1000 + ANSWER_GRACE_S if wait_ms > 0 else 0.0


def _check_job_identity(submission_id: str | None, key: str | None) -> ServiceError | None:
    """Check that a job has either a valid submission id or a valid idempotency key."""
    if (submission_id is None) == (key is None):
        message = f"a job requires either a submission_id or the header {IDEMPOTENCY_HEADER}"
        return refusal(ErrorKind.INVALID_REQUEST, message, field="submission_id")
    if submission_id is not None:
        return parse_submission_id(submission_id).err()
    if key is not None and not (1 <= len(key) <= MAX_KEY_CHARS and key.isprintable()):
        message = f"an idempotency key must have 1 to {MAX_KEY_CHARS} printable characters"
        return refusal(ErrorKind.INVALID_REQUEST, message, field=IDEMPOTENCY_HEADER)
    return None


def _job_response(
    answer: Result[JobAnswer, ServiceError], submission_id: str | None = None
) -> Response:
    match answer:
        case Err(error):
            return error_response(error, submission_id)
        case Ok(found) if found.error is not None:
            return error_response(found.error, found.submission_id)
        case Ok(found):
            is_running = found.state == JobState.RUNNING
            return json_response(answer_body(found), status=_ACCEPTED if is_running else 200)


def _plan_response(report: Result[PlanReport, ServiceError]) -> Response:
    match report:
        case Ok(found):
            return json_response(found)
        case Err(error):
            return error_response(error)

"""The complete list of error kinds and the HTTP response to each."""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass

log = logging.getLogger(__name__)


class ErrorKind(enum.StrEnum):
    """Every kind of error that the system returns to callers."""

    INVALID_REQUEST = "invalid_request"
    PAYLOAD_TOO_LARGE = "payload_too_large"
    NOT_FOUND = "not_found"
    SUBMISSION_EXPIRED = "submission_expired"
    SUBMISSION_MISMATCH = "submission_mismatch"
    UNKNOWN_CUSTOMER = "unknown_customer"
    COMMITMENT_ENDED = "commitment_ended"
    UNCOVERED_KIND = "uncovered_kind"
    NO_ALLOWED_DOMAIN = "no_allowed_domain"
    CANNOT_RUN = "cannot_run"
    UNSUPPORTED = "unsupported"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    OVERLOADED = "overloaded"
    NOT_CURRENT = "not_current"
    SHUTTING_DOWN = "shutting_down"
    STORE_UNAVAILABLE = "store_unavailable"
    ISSUER_UNREACHABLE = "issuer_unreachable"
    ISSUER_GONE = "issuer_gone"
    CANCELLED = "cancelled"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    TASK_FAILED = "task_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CONFLICT = "conflict"
    INTERNAL = "internal"


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerRule:
    """The HTTP response to one error kind."""

    http_status: int
    is_retryable: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceError:
    """An error as returned to callers.

    ``not_run`` is true only if it is certain that no task of the request has started and that none
    will. ``field`` names the offending field of the request.
    """

    kind: ErrorKind
    message: str
    not_run: bool = False
    field: str | None = None
    retry_after_ms: int | None = None


def _final(http_status: int) -> AnswerRule:
    return AnswerRule(http_status=http_status, is_retryable=False)


def _retryable(http_status: int) -> AnswerRule:
    return AnswerRule(http_status=http_status, is_retryable=True)


ANSWERS: dict[ErrorKind, AnswerRule] = {
    ErrorKind.INVALID_REQUEST: _final(400),
    ErrorKind.PAYLOAD_TOO_LARGE: _final(413),
    ErrorKind.NOT_FOUND: _final(404),
    ErrorKind.SUBMISSION_EXPIRED: _final(410),
    ErrorKind.SUBMISSION_MISMATCH: _final(409),
    ErrorKind.UNKNOWN_CUSTOMER: _final(403),
    ErrorKind.COMMITMENT_ENDED: _final(403),
    ErrorKind.UNCOVERED_KIND: _final(403),
    ErrorKind.NO_ALLOWED_DOMAIN: _retryable(503),
    ErrorKind.CANNOT_RUN: _final(422),
    ErrorKind.UNSUPPORTED: _final(503),
    ErrorKind.DEADLINE_UNREACHABLE: _retryable(503),
    ErrorKind.OVERLOADED: _retryable(429),
    ErrorKind.NOT_CURRENT: _retryable(503),
    ErrorKind.SHUTTING_DOWN: _retryable(503),
    ErrorKind.STORE_UNAVAILABLE: _retryable(503),
    ErrorKind.ISSUER_UNREACHABLE: _retryable(503),
    ErrorKind.ISSUER_GONE: _retryable(503),
    ErrorKind.CANCELLED: _final(409),
    ErrorKind.DEADLINE_EXCEEDED: _final(504),
    ErrorKind.TASK_FAILED: _final(502),
    ErrorKind.OUTCOME_UNKNOWN: _final(502),
    ErrorKind.CONFLICT: _final(409),
    ErrorKind.INTERNAL: _final(500),
}
"""Maps each error kind to its HTTP response; a test checks that no kind is missing."""


STORE_RETRY_AFTER_MS = 500


def store_refusal(message: str) -> ServiceError:
    """Return the refusal of a request that needs the store while the store is unavailable."""
    return refusal(ErrorKind.STORE_UNAVAILABLE, message, retry_after_ms=STORE_RETRY_AFTER_MS)


def refusal(
    kind: ErrorKind, message: str, *, field: str | None = None, retry_after_ms: int | None = None
) -> ServiceError:
    """Return an error for a request of which no task has started and none will."""
    return ServiceError(
        kind=kind, message=message, not_run=True, field=field, retry_after_ms=retry_after_ms
    )

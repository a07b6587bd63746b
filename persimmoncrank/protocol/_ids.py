"""Submission identifiers, made of issuer, expiry time and number."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from result import Err, Ok, Result

from persimmoncrank.protocol._errors import ErrorKind, ServiceError

log = logging.getLogger(__name__)

_SEPARATOR = "."
_PART_COUNT = 3
MAX_ID_LENGTH_CHARS = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmissionId:
    """A submission identifier; ``issuer`` is the incarnation of the entry that issued it."""

    issuer: str
    expires_at_unix_ms: int
    number: int

    def __str__(self) -> str:
        """Return the identifier as callers see it."""
        return f"{self.issuer}{_SEPARATOR}{self.expires_at_unix_ms}{_SEPARATOR}{self.number}"


def parse_submission_id(text: str) -> Result[SubmissionId, ServiceError]:
    """Parse the text form of a submission identifier."""
    parts = text.rsplit(_SEPARATOR, _PART_COUNT - 1)
    is_valid = (
        len(text) <= MAX_ID_LENGTH_CHARS
        and len(parts) == _PART_COUNT
        and parts[0] != ""
        and all(part.isascii() and part.isdigit() for part in parts[1:])
    )
    if not is_valid:
        return Err(
            ServiceError(
                kind=ErrorKind.INVALID_REQUEST,
                message=f"malformed submission id {text[:MAX_ID_LENGTH_CHARS]!r}",
                field="submission_id",
                not_run=True,
            )
        )
    return Ok(SubmissionId(issuer=parts[0], expires_at_unix_ms=int(parts[1]), number=int(parts[2])))


def make_incarnation(*, name: str, nonce: int) -> str:
    """Return the identity of one run of the process ``name``."""
    return f"{name}-{nonce:08x}"

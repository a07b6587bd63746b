"""Messages that forward a caller's request to the entry that issued its submission id."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from persimmoncrank.protocol._errors import ServiceError
from persimmoncrank.protocol._jobs import JobAnswer, JobSpec

log = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardJob:
    """Asks the issuer ``entry`` to run a job, or to attach to it if it already exists."""

    entry: str
    spec: JobSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardLookup:
    """Asks the issuer ``entry`` for the state of a job, or to cancel it."""

    entry: str
    submission_id: str
    is_cancel: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardReply:
    """The issuer's reply or refusal; ``is_known`` is false if another incarnation replied."""

    is_known: bool
    answer: JobAnswer | None = None
    error: ServiceError | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRow:
    """The submission that a caller's idempotency key maps to."""

    submission_id: str
    expires_at_unix_ms: int

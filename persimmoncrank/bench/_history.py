"""Records of a run in virtual time, for invariant checks and measurements."""

from __future__ import annotations

import logging
from collections import defaultdict
from dataclasses import dataclass, field

from result import Result

from persimmoncrank.protocol import JobAnswer, JobSpec, JobState, ServiceError

log = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskStart:
    """One start of a task at a backend server."""

    at_s: float
    submission_id: str
    index: int
    agent: str
    backend: str
    domain: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerRecord:
    """One answer that a caller received."""

    at_s: float
    spec: JobSpec
    answer: Result[JobAnswer, ServiceError]

    @property
    def error(self) -> ServiceError | None:
        """The error of a refused or failed job; None if there is none."""
        return self.answer.unwrap().error if self.answer.is_ok() else self.answer.unwrap_err()

    @property
    def is_complete(self) -> bool:
        """Whether the answer holds the results of all tasks."""
        return self.answer.is_ok() and self.answer.unwrap().state == JobState.COMPLETE


@dataclass(frozen=True, kw_only=True, slots=True)
class Restriction:
    """A period in which a failure domain or backend server may start no task."""

    accepted_at_s: float
    ended_at_s: float
    domain: str = ""
    backend: str = ""


@dataclass(kw_only=True)
class History:
    """The events of a run; ``versions`` holds the configuration versions of each entry."""

    starts: list[TaskStart] = field(default_factory=list)
    answers: list[AnswerRecord] = field(default_factory=list)
    restrictions: list[Restriction] = field(default_factory=list)
    versions: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))

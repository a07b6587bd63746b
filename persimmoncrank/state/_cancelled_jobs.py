"""The jobs that were cancelled recently."""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

log = logging.getLogger(__name__)

CANCELLATION_RETENTION_S = 120.0  # longer than callers send a job again
MAX_CANCELLATIONS = 20_000  # about 200 bytes each, so 4 MB


@dataclass(kw_only=True)
class CancelledJobs:
    """The ids of cancelled jobs, numbered from 1 in the order in which they became known here.

    ``stopped`` are those of them that were running here.
    """

    newest_number: int = 0
    stopped: set[str] = field(default_factory=set)
    _jobs: OrderedDict[str, tuple[int, float]] = field(default_factory=OrderedDict)

    def add(self, job_ids: Iterable[str], *, now_s: float) -> None:
        """Add jobs, unless they are known."""
        for job_id in job_ids:
            if job_id not in self._jobs:
                self.newest_number += 1
                self._jobs[job_id] = (self.newest_number, now_s)
        self.expire(now_s=now_s)

    def expire(self, *, now_s: float) -> None:
        """Forget the jobs that were cancelled long ago, and the oldest of too many."""
        while self._jobs:
            _, cancelled_at_s = next(iter(self._jobs.values()))
            is_expired = cancelled_at_s < now_s - CANCELLATION_RETENTION_S
            if not is_expired and len(self._jobs) <= MAX_CANCELLATIONS:
                return
            job_id, _ = self._jobs.popitem(last=False)
            self.stopped.discard(job_id)

    def __contains__(self, job_id: str) -> bool:
        """Return whether a job was cancelled recently."""
        return job_id in self._jobs

    def number_of(self, job_id: str) -> int:
        """Return the number of a job; 0 if it was not cancelled recently."""
        return self._jobs.get(job_id, (0, 0.0))[0]

    def recent(self) -> tuple[str, ...]:
        """Return the ids of all jobs, the oldest first."""
        return tuple(self._jobs)

    def added_after(self, number: int, *, limit: int) -> tuple[tuple[str, ...], int]:
        """Return the oldest jobs with a higher number, and the last number that this covers."""
        found: list[str] = []
        covered = self.newest_number
        for job_id, (own_number, _) in self._jobs.items():
            if own_number <= number:
                continue
            if len(found) == limit:
                covered = own_number - 1
                break
            found.append(job_id)
        return tuple(found), covered

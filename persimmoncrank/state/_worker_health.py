"""An agent's estimate of its worker's health: its speed, and whether its runs fail or hang."""

from __future__ import annotations

import logging
import math
import statistics
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

log = logging.getLogger(__name__)

SLOWNESS_WEIGHT = 0.1
PRIOR_RUNS = 2  # the initial slowness weighs as much as this many runs
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0
PROGRESS_WEIGHT = 0.3
MIN_PROGRESS_PERCENT = 5  # below this, the start-up time distorts the projection
MIN_PROGRESS_JOBS = 3  # tasks of one job share the error of that job's estimate
MIN_CHANGE_FACTOR = 2.0
MIN_HANG_LIMIT_S = 0.6
HANG_LIMIT_SHARE = 0.03  # of the expected time; three steps of progress, which is in whole percents
FAILURES_TO_SUSPECT = 3
JOBS_TO_SUSPECT = 2
FIRST_SUSPENSION_S = 0.5
LONGEST_SUSPENSION_S = 4.0


@dataclass(kw_only=True)
class WorkerHealth:
    """Estimated slowness and recent failures of one worker.

    Consecutive failures of several jobs make the worker suspect; if they are all of a single job,
    the job is the likely cause. A suspect worker gets one task at a time as a probe, at increasing
    intervals.
    """

    slowness: float = 1.0
    _runs_observed: int = 0
    _failed_jobs: deque[str] = field(default_factory=lambda: deque(maxlen=FAILURES_TO_SUSPECT))
    _suspension_s: float = 0.0
    _suspended_until_s: float = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether the worker is suspected of failing its runs."""
        return self._suspension_s > 0.0

    def may_start(self, *, now_s: float, active: int) -> bool:
        """Return whether a task may start: any if healthy, one probe at a time if suspect."""
        if not self.is_suspect:
            return True
        return now_s >= self._suspended_until_s and active == 0

    def for_next_incarnation(self) -> WorkerHealth:
        """Return the health for the machine's next worker of the same kind; only speed is kept."""
        return WorkerHealth(slowness=self.slowness, _runs_observed=self._runs_observed)

    def record_success(self, *, run_s: float, nominal_s: float) -> None:
        """Update the slowness from a run that succeeded, and clear the failures."""
        self._failed_jobs.clear()
        self._suspension_s = 0.0
        ratio = min(max(run_s / max(nominal_s, 0.001), MIN_SLOWNESS), MAX_SLOWNESS)
        log_slowness = math.log(self.slowness)
        self._runs_observed += 1
        weight = max(SLOWNESS_WEIGHT, 1 / (PRIOR_RUNS + self._runs_observed))
        log_slowness += weight * (math.log(ratio) - log_slowness)
        self.slowness = math.exp(log_slowness)

    def record_progress(self, ratios_by_job: Mapping[str, Sequence[float]]) -> None:
        """Update the slowness from active runs, by their projected times.

        The ratios are relative to the expected times on a worker of speed 1. Only a change by at
        least ``MIN_CHANGE_FACTOR`` counts, since a projection is as uncertain as the expected time.
        """
        if len(ratios_by_job) < MIN_PROGRESS_JOBS:
            return
        ratio = statistics.median(map(statistics.median, ratios_by_job.values()))
        ratio = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        if not self.slowness / MIN_CHANGE_FACTOR < ratio < self.slowness * MIN_CHANGE_FACTOR:
            change = math.log(ratio) - math.log(self.slowness)
            self.slowness *= math.exp(PROGRESS_WEIGHT * change)

    def hang_limit_s(self, *, nominal_s: float) -> float:
        """Return how long a run with this expected time may show no progress."""
        return max(MIN_HANG_LIMIT_S, HANG_LIMIT_SHARE * nominal_s * self.slowness)

    def record_failure(self, *, job_id: str, now_s: float) -> bool:
        """Record a run that failed or hung; return True if the worker becomes suspect."""
        self._failed_jobs.append(job_id)
        was_suspect = self.is_suspect
        is_streak = len(self._failed_jobs) >= FAILURES_TO_SUSPECT
        if was_suspect or (is_streak and len(set(self._failed_jobs)) >= JOBS_TO_SUSPECT):
            self._suspension_s = min(
                max(2 * self._suspension_s, FIRST_SUSPENSION_S), LONGEST_SUSPENSION_S
            )
            self._suspended_until_s = now_s + self._suspension_s
        return self.is_suspect and not was_suspect

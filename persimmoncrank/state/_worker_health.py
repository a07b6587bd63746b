"""What an agent learns about its worker: its speed, and whether what it starts comes to an end."""

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
PRIOR_RUNS = 2  # as many runs as the first value counts for
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0
PROGRESS_WEIGHT = 0.3
MIN_PROGRESS_PERCENT = 5  # below it the start itself weighs too much
MIN_PROGRESS_JOBS = 3  # tasks of one job share the error of its estimate
CLEAR_CHANGE = 2.0
HANG_S = 0.6
HANG_SHARE = 0.03  # three steps of a percent
SUSPECT_FAILURES = 3
SUSPECT_JOBS = 2
FIRST_SUSPENSION_S = 0.5
LONGEST_SUSPENSION_S = 4.0


@dataclass(kw_only=True)
class WorkerHealth:
    """Learned slowness and recent failures of one worker.

    Failures in a row of several jobs make the worker suspect; failures of a single job speak of
    the job. A suspect worker gets one task at a time as a probe, at growing intervals.
    """

    slowness: float = 1.0
    _runs_learned: int = 0
    _failed_jobs: deque[str] = field(default_factory=lambda: deque(maxlen=SUSPECT_FAILURES))
    _suspension_s: float = 0.0
    _suspended_until_s: float = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether the worker fails what it starts."""
        return self._suspension_s > 0.0

    def may_start(self, *, now_s: float, active: int) -> bool:
        """Tell whether a task may start: any if sound, one probe at a time if suspect."""
        if not self.is_suspect:
            return True
        return now_s >= self._suspended_until_s and active == 0

    def next_life(self) -> WorkerHealth:
        """Return what holds for the machine's next worker of the same kind: its speed."""
        return WorkerHealth(slowness=self.slowness, _runs_learned=self._runs_learned)

    def note_done(self, *, run_s: float, nominal_s: float) -> None:
        """Learn from a run that ended well."""
        self._failed_jobs.clear()
        self._suspension_s = 0.0
        ratio = min(max(run_s / max(nominal_s, 0.001), MIN_SLOWNESS), MAX_SLOWNESS)
        log_slowness = math.log(self.slowness)
        self._runs_learned += 1
        weight = max(SLOWNESS_WEIGHT, 1 / (PRIOR_RUNS + self._runs_learned))
        log_slowness += weight * (math.log(ratio) - log_slowness)
        self.slowness = math.exp(log_slowness)

    def note_progress(self, ratios_by_job: Mapping[str, Sequence[float]]) -> None:
        """Learn from runs that go on: their projected times relative to a worker of speed 1.

        Only a clear change counts, since a projection is as uncertain as the expected time.
        """
        if len(ratios_by_job) < MIN_PROGRESS_JOBS:
            return
        ratio = statistics.median(map(statistics.median, ratios_by_job.values()))
        ratio = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        if not self.slowness / CLEAR_CHANGE < ratio < self.slowness * CLEAR_CHANGE:
            change = math.log(ratio) - math.log(self.slowness)
            self.slowness *= math.exp(PROGRESS_WEIGHT * change)

    def hang_limit_s(self, *, nominal_s: float) -> float:
        """Return how long a run of this expected time may show no progress."""
        return max(HANG_S, HANG_SHARE * nominal_s * self.slowness)

    def note_failed(self, *, job_id: str, now_s: float) -> bool:
        """Learn from a run that failed or hung; return True if the worker becomes suspect."""
        self._failed_jobs.append(job_id)
        was_suspect = self.is_suspect
        is_streak = len(self._failed_jobs) >= SUSPECT_FAILURES
        if was_suspect or (is_streak and len(set(self._failed_jobs)) >= SUSPECT_JOBS):
            self._suspension_s = min(
                max(2 * self._suspension_s, FIRST_SUSPENSION_S), LONGEST_SUSPENSION_S
            )
            self._suspended_until_s = now_s + self._suspension_s
        return self.is_suspect and not was_suspect

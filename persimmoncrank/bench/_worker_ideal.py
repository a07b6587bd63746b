"""A schedule with full knowledge of works, speeds and room, to measure choices of workers by."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmoncrank.bench._worker_load import PlannedJob

log = logging.getLogger(__name__)

ROUND_TRIP_S = 0.004  # caller to entry to agent and back


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reservation:
    start_s: float
    end_s: float
    cpu_millis: int


@dataclass(kw_only=True)
class IdealWorker:
    """One worker and what is reserved on it."""

    cpu_millis: int
    speed: float
    _reserved: list[_Reservation] = field(default_factory=list)

    def forget_before(self, at_s: float) -> None:
        """Drop what has ended."""
        self._reserved = [held for held in self._reserved if held.end_s > at_s]

    def find_start_s(self, at_s: float, *, run_s: float, cpu_millis: int) -> float:
        """Return the earliest start from ``at_s`` on with room for the whole run."""
        for start_s in sorted([at_s, *(held.end_s for held in self._reserved)]):
            if start_s >= at_s and self._has_room(start_s, start_s + run_s, cpu_millis):
                return start_s
        raise ValueError(f"{cpu_millis} thousandths of a core never fit in {self.cpu_millis}")

    def _has_room(self, start_s: float, end_s: float, cpu_millis: int) -> bool:
        within = [held for held in self._reserved if held.start_s < end_s and held.end_s > start_s]
        times_s = [start_s, *(held.start_s for held in within if held.start_s > start_s)]
        return all(
            cpu_millis + sum(h.cpu_millis for h in within if h.start_s <= time_s < h.end_s)
            <= self.cpu_millis
            for time_s in times_s
        )

    def reserve(self, start_s: float, *, run_s: float, cpu_millis: int) -> None:
        """Take room for a run."""
        self._reserved.append(
            _Reservation(start_s=start_s, end_s=start_s + run_s, cpu_millis=cpu_millis)
        )


def ideal_responses_s(jobs: Sequence[PlannedJob], workers: Sequence[IdealWorker]) -> list[float]:
    """Return the response times of jobs that are scheduled as they arrive.

    Each task goes, the longest first, to the worker where it ends first. It is no bound, but what
    a single scheduler with full knowledge does.
    """
    responses_s = []
    for planned in jobs:
        for worker in workers:
            worker.forget_before(planned.at_s)
        cpu_millis = planned.job.steps[0].demand.cpu_millis
        ends_s = [
            _schedule(planned.at_s, work_s, cpu_millis, workers)
            for work_s in sorted(planned.work_s, reverse=True)
        ]
        responses_s.append(max(ends_s) - planned.at_s + ROUND_TRIP_S)
    return responses_s


def _schedule(at_s: float, work_s: float, cpu_millis: int, workers: Sequence[IdealWorker]) -> float:
    """Reserve room for a task where it ends first; return when that is."""
    best_end_s, best_start_s, best = min(
        (
            (start_s := worker.find_start_s(at_s, run_s=run_s, cpu_millis=cpu_millis)) + run_s,
            start_s,
            number,
        )
        for number, worker in enumerate(workers)
        for run_s in [work_s / worker.speed]
    )
    run_s = best_end_s - best_start_s
    workers[best].reserve(best_start_s, run_s=run_s, cpu_millis=cpu_millis)
    return best_end_s

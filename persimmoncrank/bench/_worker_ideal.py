"""A clairvoyant schedule, the reference for policies that choose workers."""

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
    """One worker and the processor reservations on it."""

    cpu_millis: int
    speed: float
    _reserved: list[_Reservation] = field(default_factory=list)

    def drop_ended(self, at_s: float) -> None:
        """Remove the reservations that end at or before ``at_s``."""
        self._reserved = [reservation for reservation in self._reserved if reservation.end_s > at_s]

    def find_start_s(self, at_s: float, *, run_s: float, cpu_millis: int) -> float:
        """Return the earliest start from ``at_s`` on with free capacity for the whole run."""
        for start_s in sorted([at_s, *(reservation.end_s for reservation in self._reserved)]):
            if start_s >= at_s and self._fits(start_s, start_s + run_s, cpu_millis):
                return start_s
        raise ValueError(f"{cpu_millis} millicores never fit in a worker of {self.cpu_millis}")

    def _fits(self, start_s: float, end_s: float, cpu_millis: int) -> bool:
        overlapping = [
            reservation
            for reservation in self._reserved
            if reservation.start_s < end_s and reservation.end_s > start_s
        ]
        times_s = [
            start_s,
            *(reservation.start_s for reservation in overlapping if reservation.start_s > start_s),
        ]
        return all(
            cpu_millis
            + sum(
                other.cpu_millis for other in overlapping if other.start_s <= time_s < other.end_s
            )
            <= self.cpu_millis
            for time_s in times_s
        )

    def reserve(self, start_s: float, *, run_s: float, cpu_millis: int) -> None:
        """Reserve capacity for a run."""
        self._reserved.append(
            _Reservation(start_s=start_s, end_s=start_s + run_s, cpu_millis=cpu_millis)
        )


def ideal_responses_s(jobs: Sequence[PlannedJob], workers: Sequence[IdealWorker]) -> list[float]:
    """Return the response times of jobs that are scheduled in the order of arrival.

    The tasks of a job are assigned longest first, each to the worker where it ends first. This is
    the schedule of a single scheduler that knows all run times, speeds and free capacity, not a
    lower bound.
    """
    responses_s = []
    for planned in jobs:
        for worker in workers:
            worker.drop_ended(planned.at_s)
        cpu_millis = planned.job.steps[0].demand.cpu_millis
        ends_s = [
            _schedule(planned.at_s, work_s, cpu_millis, workers)
            for work_s in sorted(planned.work_s, reverse=True)
        ]
        responses_s.append(max(ends_s) - planned.at_s + ROUND_TRIP_S)
    return responses_s


def _schedule(at_s: float, work_s: float, cpu_millis: int, workers: Sequence[IdealWorker]) -> float:
    """Reserve capacity for a task where it ends first; return its end time."""
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

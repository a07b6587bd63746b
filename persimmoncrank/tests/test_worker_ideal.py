"""Tests of the clairvoyant schedule of tasks on workers."""

from __future__ import annotations

import pytest

from persimmoncrank.bench._worker_ideal import ROUND_TRIP_S, IdealWorker, ideal_responses_s
from persimmoncrank.bench._worker_load import PlannedJob
from persimmoncrank.bench._worker_world import make_worker_job


def make_job(at_s: float, *work_s: float, cpu_millis: int = 1000) -> PlannedJob:
    """Return a planned job with one task for each run time."""
    job = make_worker_job("0" * 16, tasks=len(work_s), cpu_millis=cpu_millis)
    return PlannedJob(at_s=at_s, entry=0, kind="k", job=job, work_s=work_s)


@pytest.mark.parametrize(
    ("cores", "speeds", "jobs", "expected_s"),
    [
        (1, [1.0], [make_job(0.0, 1.0)], [1.0]),
        (1, [0.5], [make_job(0.0, 1.0)], [2.0]),
        (1, [1.0], [make_job(0.0, 1.0, 2.0)], [3.0]),
        (2, [1.0], [make_job(0.0, 1.0, 2.0)], [2.0]),
        (1, [1.0, 2.0], [make_job(0.0, 1.0, 2.0)], [1.0]),
        (1, [1.0], [make_job(0.0, 1.0), make_job(0.5, 1.0)], [1.0, 1.5]),
        (2, [1.0], [make_job(0.0, 1.0, cpu_millis=2000), make_job(0.5, 1.0)], [1.0, 1.5]),
    ],
)
def test_each_task_is_scheduled_where_it_ends_first(
    cores: int, speeds: list[float], jobs: list[PlannedJob], expected_s: list[float]
) -> None:
    workers = [IdealWorker(cpu_millis=1000 * cores, speed=speed) for speed in speeds]
    responses_s = ideal_responses_s(jobs, workers)
    assert responses_s == pytest.approx([value + ROUND_TRIP_S for value in expected_s])


def test_a_task_larger_than_every_worker_is_an_error() -> None:
    with pytest.raises(ValueError, match="never fit"):
        ideal_responses_s(
            [make_job(0.0, 1.0, cpu_millis=9000)], [IdealWorker(cpu_millis=1, speed=1)]
        )

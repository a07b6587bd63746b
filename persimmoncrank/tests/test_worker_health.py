"""Tests of the health of a worker, of expected times and of the latency histogram."""

from __future__ import annotations

import pytest

from persimmoncrank.state import DurationEstimator, LatencyHistogram, WorkerHealth
from persimmoncrank.state._duration_estimator import MAX_KINDS


@pytest.mark.parametrize(
    ("jobs", "is_suspect"),
    [
        (["a", "b"], False),
        (["a", "a", "a", "a"], False),
        (["a", "b", "a"], True),
        (["a", "b", None, "c"], False),
    ],
    ids=["two", "one job only", "several jobs", "a success between"],
)
def test_failures_of_several_jobs_in_a_row_make_a_worker_suspect(
    jobs: list[str | None], is_suspect: bool
) -> None:
    health = WorkerHealth()
    for job in jobs:
        if job is None:
            health.record_success(run_s=1.0, nominal_s=1.0)
        else:
            health.record_failure(job_id=job, now_s=0.0)
    assert health.is_suspect is is_suspect


def test_a_suspect_worker_gets_one_probe_after_increasing_intervals() -> None:
    health = WorkerHealth()
    for job in "abc":
        health.record_failure(job_id=job, now_s=0.0)
    assert not health.may_start(now_s=0.4, active=0)
    assert health.may_start(now_s=0.6, active=0)
    assert not health.may_start(now_s=0.6, active=1)
    health.record_failure(job_id="d", now_s=0.6)
    assert not health.may_start(now_s=1.5, active=0)
    assert health.may_start(now_s=1.7, active=0)
    health.record_success(run_s=1.0, nominal_s=1.0)
    assert health.may_start(now_s=1.7, active=5)


@pytest.mark.parametrize(
    ("ratios", "least", "most"),
    [
        ([[7.0] * 8, [7.0]], 1.0, 1.0),
        ([[7.0], [7.0], [7.0]], 3.4, 7.1),
        ([[1.7], [1.2], [1.9]], 1.0, 1.0),
        ([[7.0] * 8, [1.0], [1.1]], 1.0, 1.0),
    ],
    ids=["too few jobs", "clearly slow", "within the noise", "one job was estimated too low"],
)
def test_progress_changes_the_slowness_only_if_it_differs_clearly(
    ratios: list[list[float]], least: float, most: float
) -> None:
    health = WorkerHealth()
    for _ in range(20):
        health.record_progress({str(job): ratio for job, ratio in enumerate(ratios)})
    assert least <= health.slowness <= most


def test_an_inaccurate_estimate_is_averaged_with_the_mean_of_its_kind() -> None:
    estimator = DurationEstimator()
    for _ in range(200):
        estimator.nominal_s(kind="k", estimate_s=0.1)
    assert estimator.nominal_s(kind="k", estimate_s=0.4) == pytest.approx(0.2, rel=0.1)
    assert estimator.nominal_s(kind="other", estimate_s=0.4) == pytest.approx(0.4)


def test_buckets_are_cumulative() -> None:
    times = LatencyHistogram()
    for time_s in (0.005, 0.2, 0.2, 99.0):
        times.observe(time_s)
    buckets = times.cumulative()
    assert (buckets["0.01"], buckets["0.25"], buckets["10.0"], buckets["+Inf"]) == (1, 3, 3, 4)
    assert times.sum_s == pytest.approx(99.405)


@pytest.mark.parametrize(
    ("runs", "least", "most"), [(1, 1.2, 1.4), (10, 1.7, 2.0), (60, 1.95, 2.0)]
)
def test_the_first_runs_weigh_most(runs: int, least: float, most: float) -> None:
    health = WorkerHealth()
    for _ in range(runs):
        health.record_success(run_s=2.0, nominal_s=1.0)
    assert least < health.slowness < most


def test_the_next_worker_of_the_same_kind_keeps_only_the_speed() -> None:
    health = WorkerHealth()
    for _ in range(20):
        health.record_success(run_s=2.0, nominal_s=1.0)
    for job in "abc":
        health.record_failure(job_id=job, now_s=0.0)
    successor = health.for_next_incarnation()
    assert successor.slowness == health.slowness
    assert not successor.is_suspect
    successor.record_success(run_s=1.0, nominal_s=1.0)
    assert successor.slowness > 1.7


# Each name that a caller chooses is kept for ever.
def test_estimator_keeps_all_kinds() -> None:
    estimator = DurationEstimator()
    for number in range(3 * MAX_KINDS):
        estimator.nominal_s(kind="frequent", estimate_s=2.0)
        estimator.nominal_s(kind=f"kind-{number}", estimate_s=1.0)
    assert len(estimator._mean_logs) == MAX_KINDS
    assert estimator.nominal_s(kind="frequent", estimate_s=1.0) > 1.3

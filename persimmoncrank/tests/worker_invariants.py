"""The invariants of simulated runs on workers, checked over the workers' histories."""

from __future__ import annotations

import itertools
import logging
import math
from collections import defaultdict
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.bench._worker_world import HEARTBEAT_S
from persimmoncrank.protocol import Demand, TaskRef

if TYPE_CHECKING:
    from persimmoncrank.bench._worker_world import WorkerWorld
    from persimmoncrank.standin import WorkerHistoryEntry

log = logging.getLogger(__name__)

ENFORCEMENT_LIMIT_S = 1.0  # half of the shortest limit among the users' deployments
SHRINK_LIMIT_S = 3.0 + HEARTBEAT_S  # the shortest contact time among the deployments
MAX_CRASHES = 3  # of workers under one task
MIN_CRASHES = 2  # under a task, before its job may be shown as failed for them
MAX_STARTS_AFTER_CRASHES = 3
CANCELLATION_LIMIT_S = 1.5  # two consecutive leases, and the time to stop a run


def _all_runs(world: WorkerWorld) -> list[WorkerHistoryEntry]:
    return [run for worker in world.workers.values() for run in worker.history]


def _ended_at_s(run: WorkerHistoryEntry) -> float:
    return math.inf if run.ended_at_s is None else run.ended_at_s


def check_no_overlapping_runs(world: WorkerWorld) -> None:
    """Check that no two runs of a task overlap."""
    runs_by_task = defaultdict(list)
    for run in _all_runs(world):
        runs_by_task[run.run.task].append(run)
    for task, runs in runs_by_task.items():
        runs.sort(key=lambda run: run.started_at_s)
        for first, second in itertools.pairwise(runs):
            assert _ended_at_s(first) <= second.started_at_s, (
                f"{task} has overlapping runs: {first} {second}"
            )


def check_capacity(world: WorkerWorld) -> None:
    """Check that no start raises the demand on a worker above its capacity.

    A capacity that has shrunk counts once the agent should have heard of it.
    """
    for worker in world.workers.values():
        for started in worker.history:
            at_s = started.started_at_s
            used = Demand()
            for run in worker.history:
                if run.started_at_s <= at_s < _ended_at_s(run):
                    task = run.run.task
                    used = used + world.demands[f"{task.job_id}.{task.step}"]
            capacity = worker.max_capacity(since_s=at_s - SHRINK_LIMIT_S, until_s=at_s)
            assert used.fits_in(capacity), f"{worker.name} over capacity at {at_s}: {used}"


def crashes_by_task(world: WorkerWorld) -> dict[TaskRef, list[float]]:
    """Return the times at which workers crashed under each task."""
    found: defaultdict[TaskRef, list[float]] = defaultdict(list)
    for worker in world.workers.values():
        for crash in worker.crashes:
            for task in crash.tasks:
                found[task].append(crash.at_s)
    return found


def check_crash_budget(world: WorkerWorld) -> None:
    """Check that no task under which three workers crashed is started three times more."""
    for task, crashes in crashes_by_task(world).items():
        if len(crashes) < MAX_CRASHES:
            continue
        third_s = sorted(crashes)[MAX_CRASHES - 1]
        later = [
            run
            for run in _all_runs(world)
            if run.run.task == task and run.started_at_s > third_s and not run.is_late
        ]
        assert len(later) < MAX_STARTS_AFTER_CRASHES, f"{task} started again: {later}"


def check_not_run(world: WorkerWorld, refused_job_ids: set[str]) -> None:
    """Check that no task of a refused job has started."""
    started = {run.run.task.job_id for run in _all_runs(world)}
    assert not started & refused_job_ids


def check_restrictions(world: WorkerWorld) -> None:
    """Check that restrictions take effect in time.

    No restricted task starts later than ``ENFORCEMENT_LIMIT_S`` after the restriction begins, and
    no task of a job runs later than ``CANCELLATION_LIMIT_S`` after its cancellation. Runs of orders
    that the worker executed late are exempt.
    """
    for restriction in world.restrictions:
        for run in _all_runs(world):
            is_restricted = (
                restriction.worker == run.worker or restriction.job_id == run.run.task.job_id
            )
            enforced_at_s = restriction.since_s + ENFORCEMENT_LIMIT_S
            if is_restricted and not run.is_late:
                assert not enforced_at_s < run.started_at_s < restriction.until_s, (
                    f"{run} {restriction}"
                )
                if restriction.cause == "cancelled":
                    end_limit_s = restriction.since_s + CANCELLATION_LIMIT_S
                    ended_at_s = run.ended_at_s or anyio.current_time()
                    assert ended_at_s <= end_limit_s, f"{run} still running after {restriction}"


def check_versions_never_decrease(world: WorkerWorld) -> None:
    """Check that no process returned to an older configuration version."""
    highest: defaultdict[str, int] = defaultdict(int)
    for process, version in world.versions:
        assert version >= highest[process], f"{process} returned to configuration version {version}"
        highest[process] = version


def check_all(world: WorkerWorld, refused_job_ids: set[str] | None = None) -> None:
    """Check every invariant."""
    check_no_overlapping_runs(world)
    check_capacity(world)
    check_not_run(world, refused_job_ids or set())
    check_restrictions(world)
    check_crash_budget(world)
    check_versions_never_decrease(world)

"""The invariants of runs on workers, checked over the workers' own histories."""

from __future__ import annotations

import itertools
import logging
import math
from collections import defaultdict
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.protocol import Demand

if TYPE_CHECKING:
    from persimmoncrank.bench._worker_world import WorkerWorld
    from persimmoncrank.standin import WorkerHistoryEntry

log = logging.getLogger(__name__)

IN_FORCE_S = 1.0  # half of the shortest bound of the users' deployments
GONE_S = 1.5  # two leases after each other, and a stop


def _all_runs(world: WorkerWorld) -> list[WorkerHistoryEntry]:
    return [run for worker in world.workers.values() for run in worker.history]


def _end_s(run: WorkerHistoryEntry) -> float:
    return math.inf if run.ended_at_s is None else run.ended_at_s


def check_no_task_runs_twice_at_once(world: WorkerWorld) -> None:
    """Check that no two runs of a task overlap."""
    by_task = defaultdict(list)
    for run in _all_runs(world):
        by_task[run.run.task].append(run)
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run.started_at_s)
        for first, second in itertools.pairwise(runs):
            assert _end_s(first) <= second.started_at_s, f"{task} twice: {first} {second}"


def check_capacity(world: WorkerWorld) -> None:
    """Check that no start brought a worker over its capacity."""
    for worker in world.workers.values():
        for started in worker.history:
            at_s = started.started_at_s
            used = Demand()
            for run in worker.history:
                if run.started_at_s <= at_s < _end_s(run):
                    task = run.run.task
                    used = used + world.demands[f"{task.job_id}.{task.step}"]
            assert used.fits_in(worker.capacity), f"{worker.name} over capacity at {at_s}: {used}"


def check_not_run(world: WorkerWorld, refused_job_ids: set[str]) -> None:
    """Check that nothing of a refused job has started."""
    started = {run.run.task.job_id for run in _all_runs(world)}
    assert not started & refused_job_ids


def check_restrictions(world: WorkerWorld) -> None:
    """Check that nothing starts a while after a domain, a worker or a job was taken out."""
    for restriction in world.restrictions:
        for run in _all_runs(world):
            is_meant = restriction.worker == run.worker or restriction.job_id == run.run.task.job_id
            first_s = restriction.since_s + IN_FORCE_S
            if is_meant and not run.is_late:
                assert not first_s < run.started_at_s < restriction.until_s, f"{run} {restriction}"
                if restriction.cause == "cancelled":
                    gone_s = restriction.since_s + GONE_S
                    end_s = run.ended_at_s or anyio.current_time()
                    assert end_s <= gone_s, f"{run} goes on after {restriction}"


def check_versions(world: WorkerWorld) -> None:
    """Check that no process goes back to an older configuration."""
    highest: defaultdict[str, int] = defaultdict(int)
    for process, version in world.versions:
        assert version >= highest[process], f"{process} fell to version {version}"
        highest[process] = version


def check_all(world: WorkerWorld, refused_job_ids: set[str] | None = None) -> None:
    """Check every invariant."""
    check_no_task_runs_twice_at_once(world)
    check_capacity(world)
    check_not_run(world, refused_job_ids or set())
    check_restrictions(world)
    check_versions(world)

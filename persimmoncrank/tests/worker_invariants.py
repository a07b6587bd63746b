"""The invariants of runs on workers, checked over the workers' own histories."""

from __future__ import annotations

import itertools
import logging
import math
from collections import defaultdict
from typing import TYPE_CHECKING

from persimmoncrank.protocol import Demand

if TYPE_CHECKING:
    from persimmoncrank.bench._worker_world import WorkerWorld
    from persimmoncrank.standin import WorkerHistoryEntry

log = logging.getLogger(__name__)


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


def check_all(world: WorkerWorld, refused_job_ids: set[str] | None = None) -> None:
    """Check every invariant."""
    check_no_task_runs_twice_at_once(world)
    check_capacity(world)
    check_not_run(world, refused_job_ids or set())

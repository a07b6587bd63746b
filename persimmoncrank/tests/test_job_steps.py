"""Tests of the order in which the steps of a job become ready."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from persimmoncrank.bench._worker_world import QUEUE
from persimmoncrank.coordination.dispatch._worker_jobs import JobRun, JobTask
from persimmoncrank.protocol import Demand, Step, TaskRef, WorkerJob

if TYPE_CHECKING:
    from collections.abc import Iterator


class _CountedSteps(tuple):
    """Numbers of earlier steps that count how often they are read."""

    reads = 0

    def __iter__(self) -> Iterator[int]:
        type(self).reads += 1
        return super().__iter__()


def _run(*steps: Step) -> JobRun:
    job = WorkerJob(job_id="j", queue=QUEUE, payload="x", steps=steps, deadline_s=9.0)
    run = JobRun(job=job, arrived_at_s=0.0, critical_path_s=1.0)
    for number, step in enumerate(steps):
        refs = [TaskRef(job_id="j", step=number, index=index) for index in range(step.count)]
        run.add_step(step, [JobTask(job=run, ref=ref, step=step, nominal_s=1.0) for ref in refs])
    return run


def _step(count: int, *after: int) -> Step:
    return Step(count=count, demand=Demand(), estimate_s=1.0, after=after)


def _names(tasks: list[JobTask]) -> list[tuple[int, int]]:
    return [(task.ref.step, task.ref.index) for task in tasks]


@pytest.mark.parametrize(
    ("steps", "first", "order"),
    [
        ([_step(2)], [(0, 0), (0, 1)], []),
        ([_step(1), _step(2, 0)], [(0, 0)], [(1, 0), (1, 1)]),
        ([_step(1), _step(1, 0, 0, 0)], [(0, 0)], [(1, 0)]),
        ([_step(1), _step(1, 0), _step(1, 0, 1), _step(1)], [(0, 0), (3, 0)], [(1, 0), (2, 0)]),
    ],
)
def test_step_is_ready_once_all_earlier_steps_are_done(
    steps: list[Step], first: list[tuple[int, int]], order: list[tuple[int, int]]
) -> None:
    run = _run(*steps)
    waiting = run.release_first_tasks()
    assert _names(waiting) == first
    later = []
    while waiting:
        assert not run.is_done()
        ready = run.complete_task(waiting.pop(0))
        later += _names(ready)
        waiting += ready
    assert later == order
    assert run.is_done()


# The numbers of earlier steps are read again for each task, which takes seconds for a large job.
def test_earlier_steps_are_read_for_each_task() -> None:
    after = _CountedSteps([0] * 100)
    run = _run(_step(1), Step(count=50, demand=Demand(), estimate_s=1.0, after=after))
    waiting = run.release_first_tasks()
    while waiting:
        waiting += run.complete_task(waiting.pop())
    assert _CountedSteps.reads <= 2

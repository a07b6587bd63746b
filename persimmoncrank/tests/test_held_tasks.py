"""Tests of the limit on the tasks that an entry holds, and of the cost of those that wait."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import pytest

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.bench._worker_world import WorkerWorld, make_worker_job
from persimmoncrank.coordination.dispatch._containment import Containment
from persimmoncrank.coordination.dispatch._job_checks import HeldTasks
from persimmoncrank.coordination.dispatch._worker_jobs import JobRun
from persimmoncrank.protocol import Demand, ErrorKind, Step, WorkerJob

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

LIMIT = 1_000


def _run(tasks: int, *, useful_s: float) -> JobRun:
    job = make_worker_job("j", tasks=tasks, deadline_s=useful_s)
    run = JobRun(job=job, arrived_at_s=anyio.current_time(), critical_path_s=useful_s)
    run.tasks += [object()] * tasks  # type: ignore[list-item]
    return run


# A job that leaves no room for small ones is refused at once, until enough others are over.
@pytest.mark.parametrize(
    ("held", "added", "retry_after_ms"),
    [
        ([], 5_000, None),
        ([(100, 2.0)], 450, None),
        ([(100, 2.0)], 451, 2_000),
        ([(400, 2.0), (400, 3.0)], 100, None),
        ([(400, 2.0), (400, 3.0)], 101, 2_000),
        ([(400, 2.0), (400, 3.0)], 300, 2_000),
        ([(400, 3.0), (400, 2.0)], 301, 3_000),
        ([(1_000, 0.1)], 1, 1_000),
        ([(1_000, 1e9)], 1, 5_000),
    ],
)
def test_job_is_refused_while_too_many_tasks_are_held(
    held: list[tuple[int, float]], added: int, retry_after_ms: int | None
) -> None:
    async def main() -> None:
        runs = [_run(tasks, useful_s=useful_s) for tasks, useful_s in held]
        tasks = HeldTasks(limit=LIMIT, count=sum(len(run.tasks) for run in runs))
        error = tasks.admission_error(make_worker_job("k", tasks=added), runs)
        assert (None if error is None else error.retry_after_ms) == retry_after_ms
        assert error is None or error.not_run

    run_virtual(main)


# Tasks of jobs that have ended, whatever the answer, still count.
def test_tasks_of_ended_jobs_are_held() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = WorkerWorld(group=group)
            await world.start(entries=1, agents=2)
            dispatcher = world.dispatcher("e0")
            dispatcher.held_tasks.limit = 40
            answers: list[Any] = []

            async def submit(number: int, tasks: int) -> None:
                answers.append(
                    await world.submit("e0", make_worker_job(f"{number:016x}", tasks=tasks))
                )

            async with anyio.create_task_group() as callers:
                callers.start_soon(submit, 0, 15)
                await anyio.sleep(0.05)
                assert dispatcher.held_tasks.count == 15
                callers.start_soon(submit, 1, 15)
                callers.start_soon(submit, 2, 5)
                await anyio.sleep(0.05)
                assert dispatcher.cancel(f"{0:016x}")
            assert [answer.error and answer.error.kind for answer in answers] == [
                ErrorKind.OVERLOADED,
                None,
                None,
            ]
            assert dispatcher.held_tasks.count == 0
            group.cancel_scope.cancel()

    run_virtual(main)


async def _add_waiting_tasks(world: WorkerWorld, group: TaskGroup, count: int) -> None:
    """Hand in a job whose tasks need a label that no worker has."""
    step = Step(count=count, demand=Demand(), estimate_s=9.0, label="none", rack="r1")
    job = WorkerJob(
        job_id=f"{0:016x}",
        queue=make_worker_job("j").queue,
        payload="x",
        steps=(step,),
        deadline_s=60.0,
    )
    group.start_soon(world.submit, "e0", job)
    await anyio.sleep(0.1)


# Each pass looks at all tasks of a step that has to wait.
def test_pass_looks_at_each_waiting_task(monkeypatch: pytest.MonkeyPatch) -> None:
    looks = 0
    is_confined = Containment.is_confined

    def count(self: Containment, task: Any) -> bool:
        nonlocal looks
        looks += 1
        return is_confined(self, task)

    monkeypatch.setattr(Containment, "is_confined", count)

    async def main() -> None:
        nonlocal looks
        async with anyio.create_task_group() as group:
            world = WorkerWorld(group=group)
            await world.start(entries=1, agents=2)
            await _add_waiting_tasks(world, group, 500)
            dispatcher = world.dispatcher("e0")
            assert dispatcher.pending_count == 500
            looks = 0
            dispatcher._placement.place()
            assert looks <= 5
            group.cancel_scope.cancel()

    run_virtual(main)

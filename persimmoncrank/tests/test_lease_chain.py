"""Tests that a run whose end nobody confirmed ends before its task may start elsewhere.

An entry starts a task again at the earliest when its caller sends the job again, or when the agent
of the first run counts as lost, which takes about as long. The workers leave all orders unanswered,
so that only the leases end a run.
"""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
import pytest
import trio

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.bench._worker_world import RESEND_S, WorkerWorld, make_worker_job

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

TASKS = 6
RUN_S = 20.0
JOB_ID = f"{0:016x}"
OTHER_JOB_ID = f"{1:016x}"


def _pause_processes(duration_s: float) -> None:
    """Let time pass in which no process runs; the leases at workers go on."""
    clock: Any = trio.lowlevel.current_clock()
    clock.jump(duration_s)


async def _kill_entry(world: WorkerWorld) -> None:
    world.kill_entry("e0")


async def _cut_entry_off(world: WorkerWorld) -> None:
    world.network.cuts.add(frozenset({"e0"}))


async def _restart_agents(world: WorkerWorld) -> None:
    for name in world.workers:
        world.kill_agent(name)
    await anyio.sleep(0.05)
    for name in world.workers:
        world.start_agent(name)


async def _kill_entry_and_agents(world: WorkerWorld) -> None:
    world.kill_entry("e0")
    await _restart_agents(world)


async def _kill_entry_whose_runs_are_stopped(world: WorkerWorld) -> None:
    """Kill an entry a moment after its runs are stopped for another reason."""
    for process in world.agents.values():
        runner = process.node.runner
        for run in list(runner.ledger.active.values()):
            runner.stop(run, "no progress")
    await anyio.sleep(0.01)
    world.kill_entry("e0")


async def _kill_entry_before_another(world: WorkerWorld) -> None:
    """Kill an entry, then another one whose runs on the same workers are not revoked yet."""
    world.kill_entry("e0")
    await anyio.sleep(0.3)
    world.kill_entry("e1")


async def _kill_entry_and_pause(world: WorkerWorld, *, after_s: float, duration_s: float) -> None:
    world.kill_entry("e0")
    await anyio.sleep(after_s)
    _pause_processes(duration_s)


async def _cancel_job(world: WorkerWorld) -> None:
    assert await world.cancel_at("e0", JOB_ID)


async def _lasted_s(
    lose: Callable[[WorkerWorld], Coroutine[Any, Any, None]], *, is_answer_lost: bool
) -> float:
    """Return how long the runs of a job lasted after its entry or their agents were lost."""
    async with anyio.create_task_group() as group:
        world = WorkerWorld(group=group)
        world.run_s = lambda _task: RUN_S
        await world.start(entries=3, agents=2)
        for worker in world.workers.values():
            worker.faults.lost_answer_share = 1.0 if is_answer_lost else 0.0
        for job_id, entry in ((JOB_ID, "e0"), (OTHER_JOB_ID, "e1")):
            job = make_worker_job(job_id, tasks=TASKS, estimate_s=RUN_S, deadline_s=60.0)
            group.start_soon(world.submit, entry, job)
        await anyio.sleep(0.05 if is_answer_lost else 0.5)
        runs_before = [run for worker in world.workers.values() for run in worker.history]
        assert len(runs_before) == 2 * TASKS
        for worker in world.workers.values():
            worker.faults.late_share = 1.0
        lost_at_s = anyio.current_time()
        await lose(world)
        await anyio.sleep(3 * RESEND_S)
        ends_s = [
            math.inf if run.ended_at_s is None else run.ended_at_s
            for worker in world.workers.values()
            for run in worker.history
            if run.run.task.job_id == JOB_ID and run.started_at_s < lost_at_s
        ]
        assert len(ends_s) == TASKS
        group.cancel_scope.cancel()
    return max(ends_s) - lost_at_s


# A run goes on beside the repetition of its task: one case for each way in which it is lost.
@pytest.mark.parametrize(
    "lose",
    [
        _kill_entry,
        _cut_entry_off,
        _restart_agents,
        _kill_entry_and_agents,
        _kill_entry_whose_runs_are_stopped,
        _kill_entry_before_another,
        _cancel_job,
    ],
    ids=lambda lose: lose.__name__.strip("_"),
)
@pytest.mark.parametrize("is_answer_lost", [False, True], ids=["answered", "start unanswered"])
def test_run_outlasts_the_leases(
    lose: Callable[[WorkerWorld], Coroutine[Any, Any, None]], is_answer_lost: bool
) -> None:
    assert run_virtual(partial(_lasted_s, lose, is_answer_lost=is_answer_lost)) < RESEND_S


# An agent that was paused when an entry was lost extends the lease of its runs afterwards.
@pytest.mark.parametrize("after_s", [0.05, 0.36, 0.40, 0.44, 0.48, 0.52, 0.56])
@pytest.mark.parametrize("duration_s", [0.25, 0.35, 0.45, 0.55])
def test_run_outlasts_the_leases_after_a_pause_of_its_agent(
    after_s: float, duration_s: float
) -> None:
    lose = partial(_kill_entry_and_pause, after_s=after_s, duration_s=duration_s)
    assert run_virtual(partial(_lasted_s, lose, is_answer_lost=False)) < RESEND_S

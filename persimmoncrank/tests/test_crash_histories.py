"""Histories of tasks that crash their workers while other faults strike, in series and overlapping.

The faults hit the processes that know of a crash: the entry that ordered the task, the agent of the
worker, the other entries, and the store.
"""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.bench._worker_world import WorkerWorld, make_worker_job
from persimmoncrank.state import CrashHistory, CrashVerdict
from persimmoncrank.tests import test_worker_histories as histories
from persimmoncrank.tests.test_crashing_tasks import is_called_the_cause
from persimmoncrank.tests.worker_invariants import MIN_CRASHES, check_all, crashes_by_task

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from persimmoncrank.protocol import TaskRef, WorkerJobAnswer

    Fault = Callable[[WorkerWorld, random.Random], Coroutine[Any, Any, None]]

JOBS = 24
DEADLY_JOBS = 4
AGENTS = 6
SUBMIT_SPAN_S = 8.0
FAULTS_PER_HISTORY = 6


async def restart_all(world: WorkerWorld, rng: random.Random) -> None:
    """Kill all entries and agents at once, and start them after a random time."""
    entries, agents = sorted(world.entries), sorted(world.agents)
    for name in entries:
        world.kill_entry(name)
    for name in agents:
        world.kill_agent(name)
    await anyio.sleep(rng.uniform(0.1, 1.0))
    for name in entries:
        world.start_entry(name)
    for name in agents:
        world.start_agent(name)


async def restart_entries(world: WorkerWorld, rng: random.Random) -> None:
    """Kill the entries one after the other."""
    for name in sorted(world.entries):
        if name in world.entries:
            world.kill_entry(name)
            await anyio.sleep(rng.uniform(0.05, 0.8))
            world.start_entry(name)


async def kill_agent_of_crashed_worker(world: WorkerWorld, rng: random.Random) -> None:
    """Kill the agent of the next worker that crashes, within the time that its report takes."""
    known = {name: len(worker.crashes) for name, worker in world.workers.items()}
    with anyio.move_on_after(5.0):
        while True:
            await anyio.sleep(0.002)
            for name, worker in world.workers.items():
                if len(worker.crashes) > known[name] and name in world.agents:
                    await anyio.sleep(rng.uniform(0.0, 0.05))
                    if name in world.agents:
                        world.kill_agent(name)
                        await anyio.sleep(rng.uniform(0.02, 1.0))
                        world.start_agent(name)
                    return


async def make_store_unavailable(world: WorkerWorld, rng: random.Random) -> None:
    """Let the store fail all calls for a random time."""
    world.platform.faults.is_down = True
    await anyio.sleep(rng.uniform(0.5, 4.0))
    world.platform.faults.is_down = False


FAULTS: list[Fault] = [
    histories.kill_entry,
    histories.kill_agent,
    histories.freeze_agent,
    histories.freeze_entry,
    histories.partition_agent,
    histories.partition_agent_and_entry,
    histories.reset_streams,
    histories.stall_streams,
    histories.execute_orders_late,
    histories.lose_answers,
    histories.crash_worker,
    histories.make_worker_unresponsive,
    histories.shrink_worker,
    restart_all,
    restart_entries,
    kill_agent_of_crashed_worker,
    make_store_unavailable,
]


async def run_crash_history(seed: int) -> int:
    """Run one history, check all invariants, and return the number of crashes."""
    rng = random.Random(seed)
    answers: dict[str, WorkerJobAnswer] = {}
    async with anyio.create_task_group() as group:
        world = WorkerWorld(group=group, seed=seed)
        delay_s = rng.choice([0.0, 0.01, 0.05, 0.15, 0.3])
        deadly = {f"{number:016x}" for number in rng.sample(range(JOBS), DEADLY_JOBS)}

        def crashes_after_s(task: TaskRef) -> float | None:
            return delay_s if task.job_id in deadly and task.index == 0 else None

        await world.start(entries=rng.choice([2, 3, 5]), agents=AGENTS)
        for worker in world.workers.values():
            worker.crashes_after_s = crashes_after_s
            worker.restart_s = rng.choice([0.5, 3.0])

        async def submit(number: int) -> None:
            await anyio.sleep(rng.uniform(0, SUBMIT_SPAN_S))
            job = make_worker_job(f"{number:016x}", tasks=rng.randint(1, 6))
            answers[job.job_id] = await world.submit_until_answered(job, tries=10)

        async with anyio.create_task_group() as tasks:
            for number in range(JOBS):
                tasks.start_soon(submit, number)
            for _ in range(FAULTS_PER_HISTORY):
                await anyio.sleep(rng.uniform(0.1, 1.5))
                tasks.start_soon(rng.choice(FAULTS), world, rng)
        check_all(world)
        crashes = crashes_by_task(world)
        for job_id, answer in answers.items():
            if is_called_the_cause(answer) and "crashed" in answer.cause:
                most = max(len(at_s) for task, at_s in crashes.items() if task.job_id == job_id)
                assert most >= MIN_CRASHES, f"{job_id} failed after {most} crashes: {answer}"
        count = sum(len(worker.crashes) for worker in world.workers.values())
        group.cancel_scope.cancel()
    return count


@pytest.mark.parametrize("seed", range(6))
def test_crashing_tasks_are_given_up_under_any_faults(seed: int) -> None:
    assert run_virtual(lambda: run_crash_history(seed), seed=seed) > 0


def never_give_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Place tasks again however many workers have crashed under them."""
    monkeypatch.setattr(CrashHistory, "verdict", lambda *_args: CrashVerdict.CLEAR)


def give_up_at_the_first_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    """Show a job as failed when one worker has crashed under one of its tasks."""

    def verdict(history: CrashHistory, task: TaskRef) -> CrashVerdict:
        return CrashVerdict.GIVEN_UP if history.crash_count(task) else CrashVerdict.CLEAR

    monkeypatch.setattr(CrashHistory, "verdict", verdict)
    monkeypatch.setattr(CrashHistory, "is_proven", lambda *_args: True)


@pytest.mark.parametrize("mutate", [never_give_up, give_up_at_the_first_crash])
def test_crash_histories_detect_mutation(
    monkeypatch: pytest.MonkeyPatch, mutate: Callable[[pytest.MonkeyPatch], None]
) -> None:
    mutate(monkeypatch)

    def run_all_seeds() -> None:
        for seed in range(3):
            run_virtual(partial(run_crash_history, seed), seed=seed)

    with pytest.raises(BaseExceptionGroup) as caught:
        run_all_seeds()
    assert caught.group_contains(AssertionError)

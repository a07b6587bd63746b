"""Tests of workers whose capacity shrinks and grows while they run."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import pytest

from persimmoncrank.bench._worker_world import HEARTBEAT_S, make_worker_job
from persimmoncrank.protocol import Demand, ErrorKind
from persimmoncrank.tests.worker_scenarios import run_scenario

if TYPE_CHECKING:
    from persimmoncrank.bench._worker_world import WorkerWorld

SMALL = Demand(cpu_millis=1600, memory_mb=32_768)


async def submit_all(world: WorkerWorld, jobs: int, *, gap_s: float) -> int:
    """Submit jobs of one task at an even rate; return how many completed."""
    completed = 0

    async def submit(number: int) -> None:
        nonlocal completed
        job = make_worker_job(f"{number:016d}", tasks=1, cpu_millis=1600, deadline_s=5.0)
        answer = await world.submit_until_answered(job)
        completed += answer.is_completed

    async with anyio.create_task_group() as group:
        for number in range(jobs):
            group.start_soon(submit, number)
            await anyio.sleep(gap_s)
    return completed


@pytest.mark.parametrize("is_frozen", [False, True], ids=["running", "frozen"])
def test_capacity_that_shrank_is_kept_to(is_frozen: bool) -> None:
    """An agent that was frozen meanwhile has missed the heartbeats that show the new capacity."""

    async def scenario(world: WorkerWorld) -> int:
        worker = world.workers["a0"]

        async def shrink() -> None:
            await anyio.sleep(1.0)
            if is_frozen:
                world.network.frozen.add("a0")
                await anyio.sleep(0.1)
            worker.resize(SMALL)
            await anyio.sleep(4 * HEARTBEAT_S - 0.2)
            world.network.frozen.discard("a0")
            await anyio.sleep(4.0)
            worker.resize(Demand(cpu_millis=16_000, memory_mb=32_768))

        async with anyio.create_task_group() as group:
            group.start_soon(shrink)
            completed = await submit_all(world, 400, gap_s=0.03)
        return completed

    assert run_scenario(scenario, entries=1, agents=1) > 0


def test_job_that_fits_no_shrunk_worker_is_refused_as_not_run() -> None:
    async def scenario(world: WorkerWorld) -> None:
        for worker in world.workers.values():
            worker.resize(SMALL)
        await anyio.sleep(HEARTBEAT_S + 0.1)
        answer = await world.submit("e0", make_worker_job("0" * 16, cpu_millis=3200))
        assert answer is not None
        assert answer.error is not None
        assert answer.error.kind is ErrorKind.OVERLOADED
        assert answer.error.not_run

    run_scenario(scenario)


@pytest.mark.parametrize(("delay_s", "is_applied"), [(0.5, True), (2.0, False)])
def test_delayed_heartbeat_is_ignored(delay_s: float, is_applied: bool) -> None:
    """A heartbeat that was held up may show a capacity that has shrunk since."""

    async def scenario(world: WorkerWorld) -> None:
        agent, worker = world.agents["a0"].node, world.workers["a0"]
        await anyio.sleep(0.2)
        heartbeat = worker.heartbeat()
        worker.resize(SMALL)
        await anyio.sleep(delay_s)
        late = replace(heartbeat, sequence=worker.heartbeat().sequence)
        assert agent.handle_heartbeat(late) is is_applied

    run_scenario(scenario, entries=1, agents=1)

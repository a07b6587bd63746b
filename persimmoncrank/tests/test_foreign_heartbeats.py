"""Tests that heartbeats of other writers do not end the runs of an agent's worker."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import anyio
import pytest

from persimmoncrank.bench._worker_world import HEARTBEAT_S, make_worker_job
from persimmoncrank.coordination.execution._incarnation_claims import (
    IncarnationClaim,
    IncarnationClaims,
)
from persimmoncrank.tests.worker_scenarios import run_scenario

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from persimmoncrank.bench._worker_world import WorkerWorld
    from persimmoncrank.protocol import (
        Renewal,
        RunList,
        WorkerFault,
        WorkerHeartbeat,
        WorkerPort,
    )
    from persimmoncrank.standin import WorkerStandin

RUN_S = 1.0


def of_another_service(heartbeat: WorkerHeartbeat) -> WorkerHeartbeat:
    """Name another worker of a service that no configuration has."""
    return dataclasses.replace(heartbeat, worker="x-1", service="ledger", incarnation=99)


def of_a_later_start(heartbeat: WorkerHeartbeat) -> WorkerHeartbeat:
    """Name a later start of the same worker."""
    return dataclasses.replace(heartbeat, incarnation=heartbeat.incarnation + 1, sequence=1)


def of_an_earlier_start(heartbeat: WorkerHeartbeat) -> WorkerHeartbeat:
    """Name an earlier start of the same worker, as a heartbeat that was delayed for long does."""
    return dataclasses.replace(heartbeat, incarnation=heartbeat.incarnation - 1, sequence=99)


CHANGES = (of_another_service, of_a_later_start, of_an_earlier_start)


def accepting_workers(world: WorkerWorld) -> set[str]:
    """Return the agents whose workers accept tasks, as an entry knows it."""
    return {
        link.hello.agent
        for link in world.dispatcher("e0").links.values()
        if link.report is not None and link.report.is_accepting
    }


# A heartbeat of another writer ends the runs of the worker, which works on beside their repetition.
@pytest.mark.parametrize("change", CHANGES)
def test_heartbeat_of_another_writer_makes_tasks_run_twice(
    change: Callable[[WorkerHeartbeat], WorkerHeartbeat],
) -> None:
    async def scenario(world: WorkerWorld) -> None:
        world.run_s = lambda _task: RUN_S

        async def send_foreign_heartbeats() -> None:
            await anyio.sleep(0.3)
            for name, process in world.agents.items():
                process.node.handle_heartbeat(change(world.workers[name].heartbeat()))

        world.group.start_soon(send_foreign_heartbeats)
        answer = await world.submit("e0", make_worker_job("0" * 16, tasks=4))
        assert answer is not None
        assert answer.is_completed
        assert sum(len(worker.history) for worker in world.workers.values()) == 4

    run_scenario(scenario, entries=1, agents=2, cores=4)


# An agent takes the heartbeat of another writer for its worker, and ignores its worker for good.
@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("is_first", [False, True], ids=["later", "before the worker's first"])
def test_worker_gets_no_task_any_more_after_a_heartbeat_of_another_writer(
    change: Callable[[WorkerHeartbeat], WorkerHeartbeat], *, is_first: bool
) -> None:
    async def scenario(world: WorkerWorld) -> None:
        worker: WorkerStandin = world.workers["a0"]
        if is_first:
            world.kill_agent("a0")
            world.start_agent("a0")
        agent = world.agents["a0"].node
        agent.handle_heartbeat(change(worker.heartbeat()))
        await anyio.sleep(2 * HEARTBEAT_S)
        assert accepting_workers(world) == {"a0", "a1"}

    run_scenario(scenario, entries=1, agents=2, cores=4)


# A worker that starts again, under its id or another one, is used once it has said so.
def test_worker_that_has_started_again_is_not_taken_for_another_writer() -> None:
    async def scenario(world: WorkerWorld) -> None:
        worker, agent = world.workers["a0"], world.agents["a0"].node
        for down_s in (0.0, 0.5):
            worker.crash(down_s=down_s)
            agent.handle_heartbeat(worker.heartbeat())
            await anyio.sleep(down_s + 0.3)
            assert accepting_workers(world) == {"a0"}
            assert agent.runner is not None
            assert agent.runner.worker.incarnation == worker.incarnation

    run_scenario(scenario, entries=1, agents=1, cores=4)


# A worker that takes as long for its list as it may later is never confirmed, and gets no task.
@pytest.mark.parametrize(("answer_s", "is_confirmed"), [(0.01, True), (0.2, True), (0.4, False)])
def test_worker_that_answers_slowly_is_not_taken_for_one(
    answer_s: float, *, is_confirmed: bool
) -> None:
    async def scenario(world: WorkerWorld) -> None:
        worker = world.workers["a0"]
        confirmed: list[IncarnationClaim] = []

        def slow_port(heartbeat: WorkerHeartbeat) -> WorkerPort:
            port = worker.port(heartbeat)

            async def renew(renewal: Renewal) -> Result[RunList, WorkerFault]:
                await anyio.sleep(answer_s)
                return await port.renew(renewal)

            return dataclasses.replace(port, renew=renew)

        claims = IncarnationClaims(
            worker_port=slow_port,
            fence=lambda: 99,
            clock=anyio.current_time,
            expires_after_s=HEARTBEAT_S,
            on_confirmed=confirmed.append,
        )
        world.group.start_soon(claims.run)
        claims.add(worker.heartbeat())
        await anyio.sleep(2 * HEARTBEAT_S)
        assert bool(confirmed) is is_confirmed

    run_scenario(scenario, entries=1, agents=1, cores=4)


# The runs of a worker that has deregistered are repeated elsewhere while it still works on them.
@pytest.mark.parametrize("ends", [True, False], ids=["ends later", "does not end"])
def test_tasks_of_a_worker_that_has_deregistered_run_twice(*, ends: bool) -> None:
    async def scenario(world: WorkerWorld) -> None:
        world.run_s = lambda _task: RUN_S
        worker, agent = world.workers["a0"], world.agents["a0"].node

        async def deregister() -> None:
            await anyio.sleep(0.3)
            assert worker.has_runs
            worker.is_draining = ends
            agent.handle_deregistration(worker.name)
            await anyio.sleep(0.3)
            if ends:
                worker.crash(down_s=9.0)

        world.group.start_soon(deregister)
        answer = await world.submit("e0", make_worker_job("0" * 16, tasks=6))
        assert answer is not None
        assert answer.is_completed
        assert agent.counters.worker_crashes == 0
        if not ends:
            assert sum(len(worker.history) for worker in world.workers.values()) == 6
            await anyio.sleep(HEARTBEAT_S)
            assert accepting_workers(world) == set(world.workers)

    run_scenario(scenario, entries=1, agents=4, cores=4)

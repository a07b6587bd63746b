"""Tests of the runner of one worker: starts, stops, reserved resources and lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from persimmoncrank.protocol import (
    Demand,
    OrderOutcome,
)
from persimmoncrank.tests.runner_harness import Harness, make_run, run_scenario, slow_start

if TYPE_CHECKING:
    from anyio.abc import TaskGroup


def test_pending_start_keeps_its_resources_reserved() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness()
        runner = await harness.start(group, slow_start)
        runner.submit(make_run(1, cpu_millis=4000))
        await anyio.sleep(0.05)
        assert runner.free.cpu_millis == 0
        await anyio.sleep(0.5)
        assert harness.ends == [(1, OrderOutcome.DONE)]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("late_share", "lost_share", "expected"),
    [(1.0, 0.0, OrderOutcome.NOT_STARTED), (0.0, 1.0, OrderOutcome.STOPPED)],
    ids=["carried out late", "answer lost"],
)
def test_unanswered_start_ends_before_its_resources_are_released(
    late_share: float, lost_share: float, expected: OrderOutcome
) -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=3.0)
        runner = await harness.start(group)
        harness.worker.faults.late_share = late_share
        harness.worker.faults.lost_answer_share = lost_share
        runner.submit(make_run(1, cpu_millis=4000))
        await anyio.sleep(0.09)
        harness.worker.faults.late_share = harness.worker.faults.lost_answer_share = 0.0
        assert runner.free.cpu_millis == 0
        await anyio.sleep(1.0)
        assert harness.ends == [(1, expected)]
        assert runner.free.cpu_millis == 4000
        await anyio.sleep(13.0)
        assert all(run.ended_at_s is not None for run in harness.worker.history)

    run_scenario(scenario)


def test_no_run_starts_before_runs_of_an_earlier_agent_process_have_ended() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=3.0)
        async with anyio.create_task_group() as first:
            runner = await harness.start(first)
            first.start_soon(harness.worker.run)
            runner.submit(make_run(1))
            await anyio.sleep(0.05)
            first.cancel_scope.cancel()
        group.start_soon(harness.worker.run)
        runner = await harness.start(group)
        runner.submit(make_run(2, cpu_millis=4000))
        await anyio.sleep(0.3)
        first_run, second_run = harness.worker.history
        assert first_run.ended_at_s is not None
        assert second_run.started_at_s >= first_run.ended_at_s

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("orders", "expected"),
    [
        ([(1, 4000, 0), (2, 4000, 1), (3, 4000, 0)], [1, 3, 2]),
        ([(1, 3000, 0), (2, 4000, 0), (3, 1000, 0)], [1, 2, 3]),
    ],
    ids=["priority first", "small run does not overtake"],
)
def test_runs_start_in_order(orders: list[tuple[int, int, int]], expected: list[int]) -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness()
        runner = await harness.start(group)
        for order_id, cpu_millis, priority in orders:
            runner.submit(make_run(order_id, cpu_millis=cpu_millis, priority=priority))
        await anyio.sleep(2.0)
        started = sorted(harness.worker.history, key=lambda run: run.started_at_s)
        assert [run.run.task.job_id for run in started] == [f"job{n}" for n in expected]

    run_scenario(scenario)


def test_run_is_returned_if_the_agent_may_no_longer_start_it() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness()
        runner = await harness.start(group)
        harness.may_start = False
        runner.submit(make_run(1))
        await anyio.sleep(0.1)
        assert harness.ends == [(1, OrderOutcome.NOT_STARTED)]
        assert not harness.worker.history

    run_scenario(scenario)


def test_order_without_capacity_in_time_is_returned() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=2.0)
        runner = await harness.start(group)
        runner.submit(make_run(1, cpu_millis=4000))
        runner.submit(make_run(2, cpu_millis=4000, within_s=0.5))
        await anyio.sleep(0.8)
        assert harness.ends == [(2, OrderOutcome.NOT_STARTED)]

    run_scenario(scenario)


def test_runs_of_an_unresponsive_worker_are_lost_when_its_lease_expires() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=30.0)
        runner = await harness.start(group)
        runner.submit(make_run(1))
        await anyio.sleep(0.2)
        harness.worker.faults.is_unresponsive = True
        await anyio.sleep(2.0)
        assert harness.ends == [(1, OrderOutcome.LOST)]
        (run,) = harness.worker.history
        assert run.ended_at_s is not None
        runner.submit(make_run(2))
        await anyio.sleep(0.2)
        assert len(harness.worker.history) == 1
        harness.worker.faults.is_unresponsive = False
        await anyio.sleep(0.5)
        assert len(harness.worker.history) == 2

    run_scenario(scenario)


def test_run_without_progress_is_stopped() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=2.0)
        runner = await harness.start(group)
        runner.submit(make_run(1))
        await anyio.sleep(0.5)
        harness.worker.faults.is_hanging = True
        await anyio.sleep(1.0)
        assert harness.ends == [(1, OrderOutcome.STOPPED)]

    run_scenario(scenario)


@pytest.mark.parametrize(("run_s", "least", "most"), [(3.0, 3.0, 20.0), (0.33, 0.8, 1.4)])
def test_worker_speed_is_estimated_from_running_tasks(
    run_s: float, least: float, most: float
) -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=run_s)
        runner = await harness.start(group)
        for order_id in range(4):
            runner.submit(make_run(order_id))
        await anyio.sleep(1.5)
        assert least <= runner.health.slowness <= most

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("late_share", "lost_share", "within_s"),
    [(1.0, 0.0, 0.12), (0.0, 1.0, 0.18)],
    ids=["carried out late", "answer lost"],
)
def test_unanswered_start_ends_as_soon_as_its_stop_is_confirmed(
    late_share: float, lost_share: float, within_s: float
) -> None:
    """A stop takes up to 50 ms on the worker; the long poll for other runs must not add to it."""

    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=3.0)
        runner = await harness.start(group)
        harness.worker.faults.late_share = late_share
        harness.worker.faults.lost_answer_share = lost_share
        runner.submit(make_run(1))
        sent_at_s = anyio.current_time()
        await anyio.sleep(0.05)
        harness.worker.faults.late_share = harness.worker.faults.lost_answer_share = 0.0
        while not harness.ends:
            await anyio.sleep(0.005)
        assert anyio.current_time() - sent_at_s < within_s

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("cores", "is_stopping", "expected"),
    [(4, False, {1, 2, 3, 4}), (3, False, {1, 2, 3}), (2, False, {1, 2}), (2, True, {1, 2})],
    ids=["unchanged", "fits one more", "full", "full while a run is being stopped"],
)
def test_no_run_starts_beyond_a_capacity_that_has_shrunk(
    cores: int, is_stopping: bool, expected: set[int]
) -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=5.0)
        runner = await harness.start(group)
        runs = {number: make_run(number) for number in range(1, 5)}
        runner.submit(runs[1])
        runner.submit(runs[2])
        await anyio.sleep(0.3)
        harness.worker.resize(Demand(cpu_millis=cores * 1000, memory_mb=1000))
        runner.update_worker(harness.worker.heartbeat())
        if is_stopping:
            runner.stop(runs[1], "not needed")
        runner.submit(runs[3])
        runner.submit(runs[4])
        assert {run.order.order_id for run in runner.ledger.active.values()} == expected
        harness.worker.resize(Demand(cpu_millis=4000, memory_mb=1000))
        runner.update_worker(harness.worker.heartbeat())
        await anyio.sleep(0.3)
        assert not runner.ledger.queued

    run_scenario(scenario)


def test_queued_run_that_never_fits_a_shrunk_capacity_is_returned_at_once() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=5.0)
        runner = await harness.start(group)
        runner.submit(make_run(1, cpu_millis=3000))
        runner.submit(make_run(2, cpu_millis=4000))
        runner.submit(make_run(3))
        await anyio.sleep(0.3)
        harness.worker.resize(Demand(cpu_millis=3000, memory_mb=1000))
        runner.update_worker(harness.worker.heartbeat())
        assert harness.ends == [(2, OrderOutcome.NOT_STARTED)]

    run_scenario(scenario)

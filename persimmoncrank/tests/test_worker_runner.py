"""Tests of the runs of one worker: starts, stops, room and lease."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.coordination.execution import RunnerEvents, WorkerRunner
from persimmoncrank.protocol import Demand, OrderOutcome, TaskOrder, TaskRef, WorkerPort
from persimmoncrank.standin import WorkerStandin
from persimmoncrank.state import Run

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

LEASE_S = 0.6


class Scene:
    """A runner with its worker, and the ends that the runner told about."""

    def __init__(self, *, cores: int = 4, run_s: float = 0.3) -> None:
        """Create a scene; nothing runs yet."""
        self.ends: list[tuple[int, OrderOutcome]] = []
        self.may_start = True
        self.worker = WorkerStandin(
            name="w",
            capacity=Demand(cpu_millis=1000 * cores, memory_mb=1000),
            rng=random.Random(1),
            run_s=lambda _task: run_s,
        )
        self.runner: WorkerRunner | None = None

    async def start(
        self, group: TaskGroup, wrap: Callable[[WorkerPort], WorkerPort] = lambda port: port
    ) -> WorkerRunner:
        """Start the worker and a runner for its present life."""
        if self.runner is None:
            group.start_soon(self.worker.run)
        beat = self.worker.heartbeat()
        self.runner = WorkerRunner(
            worker=beat,
            port=wrap(self.worker.port(beat)),
            lease_s=LEASE_S,
            fence=1,
            events=RunnerEvents(
                started=lambda _run: None,
                ended=self._note_end,
                changed=lambda: None,
                may_start=lambda _run: self.may_start,
            ),
        )
        group.start_soon(self.runner.run)
        await anyio.sleep(0.05)
        return self.runner

    def _note_end(self, run: Run, outcome: OrderOutcome, _run_s: float, _cause: str) -> None:
        self.ends.append((run.order.order_id, outcome))


def make_run(
    order_id: int, *, cpu_millis: int = 1000, priority: int = 0, within_s: float = 9
) -> Run:
    """Return a queued run of a task of its own."""
    order = TaskOrder(
        order_id=order_id,
        life=1,
        ref=TaskRef(job_id=f"job{order_id}", step=0, index=0),
        payload="spec",
        demand=Demand(cpu_millis=cpu_millis),
        priority=priority,
        rank=0.0,
        nominal_s=0.3,
        start_within_s=within_s,
    )
    return Run(owner="e", order=order, queued_at_s=anyio.current_time())


def play(scene: Callable[[TaskGroup], Awaitable[Any]]) -> Any:
    """Run a scene in virtual time."""

    async def main() -> Any:
        async with anyio.create_task_group() as group:
            result = await scene(group)
            group.cancel_scope.cancel()
        return result

    return run_virtual(main)


def slow_start(port: WorkerPort) -> WorkerPort:
    """Answer each start only after several lists of runs."""

    async def start(order: Any) -> Any:
        await anyio.sleep(0.06)
        return await port.start(order)

    async def renew(renewal: Any) -> Any:
        return await port.renew(dataclasses.replace(renewal, wait_ms=10))

    return dataclasses.replace(port, start=start, renew=renew)


def test_a_start_under_way_keeps_its_room() -> None:
    async def scene(group: TaskGroup) -> None:
        scene = Scene()
        runner = await scene.start(group, slow_start)
        runner.submit(make_run(1, cpu_millis=4000))
        await anyio.sleep(0.05)
        assert runner.free.cpu_millis == 0
        await anyio.sleep(0.5)
        assert scene.ends == [(1, OrderOutcome.DONE)]

    play(scene)


@pytest.mark.parametrize(
    ("late_share", "lost_share", "expected"),
    [(1.0, 0.0, OrderOutcome.NOT_STARTED), (0.0, 1.0, OrderOutcome.STOPPED)],
    ids=["carried out late", "answer lost"],
)
def test_an_unanswered_start_is_settled_before_its_room_is_free(
    late_share: float, lost_share: float, expected: OrderOutcome
) -> None:
    async def scene(group: TaskGroup) -> None:
        scene = Scene(run_s=3.0)
        runner = await scene.start(group)
        scene.worker.faults.late_share = late_share
        scene.worker.faults.lost_answer_share = lost_share
        runner.submit(make_run(1, cpu_millis=4000))
        await anyio.sleep(0.09)
        scene.worker.faults.late_share = scene.worker.faults.lost_answer_share = 0.0
        assert runner.free.cpu_millis == 0
        await anyio.sleep(1.0)
        assert scene.ends == [(1, expected)]
        assert runner.free.cpu_millis == 4000
        await anyio.sleep(13.0)
        assert all(run.ended_at_s is not None for run in scene.worker.history)

    play(scene)


def test_runs_of_an_earlier_process_take_all_room_until_they_ended() -> None:
    async def scene(group: TaskGroup) -> None:
        scene = Scene(run_s=3.0)
        async with anyio.create_task_group() as first:
            runner = await scene.start(first)
            first.start_soon(scene.worker.run)
            runner.submit(make_run(1))
            await anyio.sleep(0.05)
            first.cancel_scope.cancel()
        group.start_soon(scene.worker.run)
        runner = await scene.start(group)
        runner.submit(make_run(2, cpu_millis=4000))
        await anyio.sleep(0.3)
        first_run, second_run = scene.worker.history
        assert first_run.ended_at_s is not None
        assert second_run.started_at_s >= first_run.ended_at_s

    play(scene)


@pytest.mark.parametrize(
    ("orders", "expected"),
    [
        ([(1, 4000, 0), (2, 4000, 1), (3, 4000, 0)], [1, 3, 2]),
        ([(1, 3000, 0), (2, 2000, 0), (3, 1000, 0)], [1, 2, 3]),
    ],
    ids=["priority first", "a small one does not overtake"],
)
def test_runs_start_in_order(orders: list[tuple[int, int, int]], expected: list[int]) -> None:
    async def scene(group: TaskGroup) -> None:
        scene = Scene()
        runner = await scene.start(group)
        for order_id, cpu_millis, priority in orders:
            runner.submit(make_run(order_id, cpu_millis=cpu_millis, priority=priority))
        await anyio.sleep(2.0)
        started = sorted(scene.worker.history, key=lambda run: run.started_at_s)
        assert [run.run.task.job_id for run in started] == [f"job{n}" for n in expected]

    play(scene)


def test_nothing_starts_that_the_agent_may_not_start_any_more() -> None:
    async def scene(group: TaskGroup) -> None:
        scene = Scene()
        runner = await scene.start(group)
        scene.may_start = False
        runner.submit(make_run(1))
        await anyio.sleep(0.1)
        assert scene.ends == [(1, OrderOutcome.NOT_STARTED)]
        assert not scene.worker.history

    play(scene)


def test_an_order_that_found_no_room_in_time_is_given_back() -> None:
    async def scene(group: TaskGroup) -> None:
        scene = Scene(run_s=2.0)
        runner = await scene.start(group)
        runner.submit(make_run(1, cpu_millis=4000))
        runner.submit(make_run(2, cpu_millis=4000, within_s=0.5))
        await anyio.sleep(0.8)
        assert scene.ends == [(2, OrderOutcome.NOT_STARTED)]

    play(scene)


def test_a_crash_of_the_worker_ends_all_its_runs() -> None:
    async def scene(group: TaskGroup) -> None:
        scene = Scene(run_s=2.0)
        runner = await scene.start(group)
        runner.submit(make_run(1))
        await anyio.sleep(0.1)
        scene.worker.crash()
        await anyio.sleep(0.5)
        assert scene.ends == [(1, OrderOutcome.LOST)]
        assert runner.is_over

    play(scene)


def test_runs_of_a_silent_worker_are_lost_once_its_lease_has_run_out() -> None:
    async def scene(group: TaskGroup) -> None:
        scene = Scene(run_s=30.0)
        runner = await scene.start(group)
        runner.submit(make_run(1))
        await anyio.sleep(0.2)
        scene.worker.faults.is_silent = True
        await anyio.sleep(2.0)
        assert scene.ends == [(1, OrderOutcome.LOST)]
        (run,) = scene.worker.history
        assert run.ended_at_s is not None
        runner.submit(make_run(2))
        await anyio.sleep(0.2)
        assert len(scene.worker.history) == 1
        scene.worker.faults.is_silent = False
        await anyio.sleep(0.5)
        assert len(scene.worker.history) == 2

    play(scene)


def test_a_run_that_stands_still_is_stopped() -> None:
    async def scene(group: TaskGroup) -> None:
        scene = Scene(run_s=2.0)
        runner = await scene.start(group)
        runner.submit(make_run(1))
        await anyio.sleep(0.5)
        scene.worker.faults.is_hanging = True
        await anyio.sleep(1.0)
        assert scene.ends == [(1, OrderOutcome.STOPPED)]

    play(scene)


@pytest.mark.parametrize(("run_s", "least", "most"), [(3.0, 3.0, 20.0), (0.33, 0.8, 1.4)])
def test_the_speed_of_a_worker_is_learned_from_runs_that_go_on(
    run_s: float, least: float, most: float
) -> None:
    async def scene(group: TaskGroup) -> None:
        scene = Scene(run_s=run_s)
        runner = await scene.start(group)
        for order_id in range(4):
            runner.submit(make_run(order_id))
        await anyio.sleep(1.5)
        assert least <= runner.health.slowness <= most

    play(scene)


@pytest.mark.parametrize(
    ("late_share", "lost_share", "within_s"),
    [(1.0, 0.0, 0.12), (0.0, 1.0, 0.18)],
    ids=["carried out late", "answer lost"],
)
def test_an_unanswered_start_is_settled_as_soon_as_its_stop_is_confirmed(
    late_share: float, lost_share: float, within_s: float
) -> None:
    """A stop takes up to 50 ms on the worker; the wait for news of other runs adds nothing."""

    async def scene(group: TaskGroup) -> None:
        scene = Scene(run_s=3.0)
        runner = await scene.start(group)
        scene.worker.faults.late_share = late_share
        scene.worker.faults.lost_answer_share = lost_share
        runner.submit(make_run(1))
        sent_at_s = anyio.current_time()
        await anyio.sleep(0.05)
        scene.worker.faults.late_share = scene.worker.faults.lost_answer_share = 0.0
        while not scene.ends:
            await anyio.sleep(0.005)
        assert anyio.current_time() - sent_at_s < within_s

    play(scene)

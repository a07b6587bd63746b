"""Tests of the runner of one worker: starts, stops, reserved resources and lease."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from result import Err, Result

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.coordination.execution import RunnerCallbacks, WorkerRunner
from persimmoncrank.protocol import (
    CrashedRun,
    Demand,
    OrderOutcome,
    Renewal,
    RunList,
    StartReply,
    StartRun,
    TaskOrder,
    TaskRef,
    WorkerFault,
    WorkerFaultKind,
    WorkerPort,
)
from persimmoncrank.standin import WorkerStandin
from persimmoncrank.state import Run

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

LEASE_S = 0.6


class Harness:
    """A runner with its worker, and the ends that the runner has reported."""

    def __init__(self, *, cores: int = 4, run_s: float = 0.3) -> None:
        """Create a harness; the worker and the runner are not started."""
        self.ends: list[tuple[int, OrderOutcome]] = []
        self.may_start = True
        self.crashed_runs: list[CrashedRun] = []
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
        """Start the worker, unless it is running, and a runner for its current incarnation."""
        if self.runner is None:
            group.start_soon(self.worker.run)
        heartbeat = self.worker.heartbeat()
        self.runner = WorkerRunner(
            worker=heartbeat,
            port=wrap(self.worker.port(heartbeat)),
            lease_s=LEASE_S,
            fence=1,
            events=RunnerCallbacks(
                started=lambda _run: None,
                ended=self._record_end,
                crashed=self.crashed_runs.extend,
                changed=lambda: None,
                may_start=lambda _run: self.may_start,
            ),
        )
        group.start_soon(self.runner.run)
        await anyio.sleep(0.05)
        return self.runner

    def _record_end(self, run: Run, outcome: OrderOutcome, _run_s: float, _cause: str) -> None:
        self.ends.append((run.order.order_id, outcome))


def make_run(
    order_id: int, *, cpu_millis: int = 1000, priority: int = 0, within_s: float = 9
) -> Run:
    """Return a queued run of the only task of a new job."""
    order = TaskOrder(
        order_id=order_id,
        worker_incarnation=1,
        ref=TaskRef(job_id=f"job{order_id}", step=0, index=0),
        payload="spec",
        demand=Demand(cpu_millis=cpu_millis),
        priority=priority,
        rank=0.0,
        nominal_s=0.3,
        start_within_s=within_s,
    )
    return Run(owner="e", order=order, queued_at_s=anyio.current_time())


def run_scenario(scenario: Callable[[TaskGroup], Awaitable[Any]]) -> Any:
    """Run a scenario in virtual time."""

    async def main() -> Any:
        async with anyio.create_task_group() as group:
            result = await scenario(group)
            group.cancel_scope.cancel()
        return result

    return run_virtual(main)


def slow_start(port: WorkerPort) -> WorkerPort:
    """Wrap a port so that each start is answered only after several lists of runs."""

    async def start(order: Any) -> Any:
        await anyio.sleep(0.06)
        return await port.start(order)

    async def renew(renewal: Any) -> Any:
        return await port.renew(dataclasses.replace(renewal, wait_ms=10))

    return dataclasses.replace(port, start=start, renew=renew)


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


def test_a_crash_of_the_worker_ends_all_its_runs() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=2.0)
        runner = await harness.start(group)
        runner.submit(make_run(1))
        await anyio.sleep(0.1)
        harness.worker.crash()
        await anyio.sleep(0.5)
        assert harness.ends == [(1, OrderOutcome.CRASHED)]
        assert runner.is_terminated

    run_scenario(scenario)


def test_runs_of_a_crashed_worker_do_not_wait_for_its_lease() -> None:
    """The lease takes 0.6 s to expire; a refused connection shows at once that the worker ended."""

    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=5.0)
        runner = await harness.start(group)
        runner.submit(make_run(1))
        await anyio.sleep(0.3)
        runner.submit(make_run(2))
        runner.submit(make_run(3, cpu_millis=4000))
        await anyio.sleep(0.05)
        harness.worker.crash(down_s=3.0)
        await anyio.sleep(0.05)
        assert sorted(harness.ends) == [
            (1, OrderOutcome.CRASHED),
            (2, OrderOutcome.CRASHED),
            (3, OrderOutcome.NOT_STARTED),
        ]
        assert runner.is_terminated
        recent = {run.ref.job_id: run.is_recent for run in harness.crashed_runs}
        assert recent == {"job1": False, "job2": True}

    run_scenario(scenario)


def test_start_that_crashes_its_worker_before_it_is_answered_counts_as_crashed() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=5.0)
        runner = await harness.start(group)
        harness.worker.faults.lost_answer_share = 1.0
        harness.worker.crashes_after_s = lambda _task: 0.01
        runner.submit(make_run(1))
        await anyio.sleep(0.1)
        assert harness.ends == [(1, OrderOutcome.CRASHED)]
        assert [run.is_recent for run in harness.crashed_runs] == [True]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("silence_s", "ends_draining", "expected", "reported"),
    [
        (2.0, False, OrderOutcome.LOST, 0),
        (0.0, True, OrderOutcome.LOST, 0),
        (0.0, False, OrderOutcome.CRASHED, 1),
    ],
    ids=["cut off and back", "drained and left", "crashed"],
)
def test_only_a_crash_is_reported_as_one(
    silence_s: float, ends_draining: bool, expected: OrderOutcome, reported: int
) -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=30.0)
        runner = await harness.start(group)
        runner.submit(make_run(1))
        await anyio.sleep(0.2)
        if silence_s:
            harness.worker.faults.is_unresponsive = True
            await anyio.sleep(silence_s)
            harness.worker.faults.is_unresponsive = False
            await anyio.sleep(0.5)
        harness.worker.is_draining = ends_draining
        runner.worker = harness.worker.heartbeat()
        harness.worker.crash(down_s=3.0)
        await anyio.sleep(0.5)
        assert harness.ends == [(1, expected)]
        assert len(harness.crashed_runs) == reported

    run_scenario(scenario)


def test_runs_lost_in_silence_are_reported_once_the_worker_has_restarted() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=30.0)
        runner = await harness.start(group)
        runner.submit(make_run(1))
        await anyio.sleep(0.2)
        harness.worker.faults.is_unresponsive = True
        await anyio.sleep(2.0)
        assert not harness.crashed_runs
        harness.worker.crash()
        harness.worker.faults.is_unresponsive = False
        await anyio.sleep(0.5)
        assert harness.ends == [(1, OrderOutcome.LOST)]
        assert [run.ref.job_id for run in harness.crashed_runs] == ["job1"]

    run_scenario(scenario)


@pytest.mark.parametrize("is_answered", [True, False], ids=["start answered", "answer lost"])
def test_crash_just_after_a_broken_connection_counts_for_the_run_that_caused_it(
    is_answered: bool,
) -> None:
    """The list request fails once while the worker runs on; then a new run ends the worker."""

    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=30.0)
        failures = [0]

        def fail_lists(port: WorkerPort) -> WorkerPort:
            async def renew(renewal: Renewal) -> Result[RunList, WorkerFault]:
                if failures[0]:
                    failures[0] -= 1
                    fault = WorkerFault(kind=WorkerFaultKind.NO_ANSWER, message="reset")
                    return Err(fault)
                return await port.renew(renewal)

            async def start(order: StartRun) -> Result[StartReply, WorkerFault]:
                answer = await port.start(order)
                if is_answered:
                    return answer
                return Err(WorkerFault(kind=WorkerFaultKind.NO_ANSWER, message="reset"))

            return WorkerPort(start=start, stop=port.stop, renew=renew)

        runner = await harness.start(group, fail_lists)
        await anyio.sleep(0.2)
        failures[0] = 2
        await anyio.sleep(0.16)
        harness.worker.crashes_after_s = lambda _task: 0.005
        runner.submit(make_run(1))
        await anyio.sleep(0.1)
        assert harness.ends == [(1, OrderOutcome.CRASHED)]
        assert [run.is_confirmed for run in harness.crashed_runs] == [is_answered]

    run_scenario(scenario)


@pytest.mark.parametrize("frozen_s", [0.0, 3.0], ids=["running", "frozen"])
def test_crash_that_an_agent_slept_through_is_not_confirmed(frozen_s: float) -> None:
    """While the agent was frozen, the lease may have expired before the worker crashed."""

    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=30.0)
        runner = await harness.start(group)
        runner.submit(make_run(1))
        await anyio.sleep(0.2)
        runner._lease_extended_at_s -= frozen_s
        runner.terminate("the worker answered as another incarnation")
        assert [run.is_confirmed for run in harness.crashed_runs] == [not frozen_s]

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

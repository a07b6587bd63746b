"""Tests of what the runner of a worker does when the worker crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest
from result import Err, Ok, Result

from persimmoncrank.protocol import (
    OrderOutcome,
    Renewal,
    RunList,
    RunRef,
    StartRefusal,
    StartReply,
    StartRun,
    WorkerFault,
    WorkerFaultKind,
    WorkerPort,
)
from persimmoncrank.tests.runner_harness import Harness, make_run, run_scenario

if TYPE_CHECKING:
    from anyio.abc import TaskGroup


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
        runner._lease.extended_at_s -= frozen_s
        runner.terminate("the worker answered as another incarnation")
        assert [run.is_confirmed for run in harness.crashed_runs] == [not frozen_s]

    run_scenario(scenario)


@pytest.mark.parametrize("is_answered", [True, False], ids=["start answered", "on its way"])
@pytest.mark.parametrize("run_s", [0.005, 5.0], ids=["short task", "long task"])
def test_run_is_not_ended_while_the_next_incarnation_under_the_same_id_runs_it(
    is_answered: bool, run_s: float
) -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=run_s)
        worker = harness.worker
        ends_s: list[float] = []

        def same_id(_port: WorkerPort) -> WorkerPort:
            async def start(order: StartRun) -> Result[StartReply, WorkerFault]:
                await anyio.sleep(0.002)
                worker.crash()
                answer = await worker.port(worker.heartbeat()).start(order)
                if not is_answered:
                    await anyio.sleep(0.02)
                return answer

            async def stop(run: RunRef, fence: int) -> Result[int, WorkerFault]:
                return await worker.port(worker.heartbeat()).stop(run, fence)

            async def renew(renewal: Renewal) -> Result[RunList, WorkerFault]:
                return await worker.port(worker.heartbeat()).renew(renewal)

            return WorkerPort(start=start, stop=stop, renew=renew)

        runner = await harness.start(group, same_id)
        harness.on_end = lambda: ends_s.append(anyio.current_time())
        runner.submit(make_run(1))
        await anyio.sleep(0.005)
        runner.terminate("another incarnation of the worker sent a heartbeat")
        await anyio.sleep(0.5)
        (run,) = worker.history
        assert run.ended_at_s is not None
        assert [end_s >= run.ended_at_s for end_s in ends_s] == [True]
        expected = OrderOutcome.DONE if run_s < 0.01 else OrderOutcome.LOST
        assert harness.ends == [(1, expected)]

    run_scenario(scenario)


@pytest.mark.parametrize("is_lease_expired", [True, False], ids=["lease expired", "start refused"])
def test_run_in_doubt_ends_twice(*, is_lease_expired: bool) -> None:
    """A run that waits for the worker's next incarnation must not be ended by a late answer."""

    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=5.0)
        worker = harness.worker
        down = Err(WorkerFault(kind=WorkerFaultKind.DOWN, message="refused"))
        silent = Err(WorkerFault(kind=WorkerFaultKind.NO_ANSWER, message="no answer"))

        def wrap(port: WorkerPort) -> WorkerPort:
            async def start(order: StartRun) -> Result[StartReply, WorkerFault]:
                if is_lease_expired:
                    await anyio.sleep_forever()
                runner.terminate("another incarnation of the worker sent a heartbeat")
                refusal = StartRefusal.NO_CAPACITY
                return Ok(StartReply(clock_ms=worker.clock_ms, refusal=refusal))

            async def stop(_run: RunRef, _fence: int) -> Result[int, WorkerFault]:
                await anyio.sleep(0.01)
                return down if runner.is_terminated else silent

            async def renew(renewal: Renewal) -> Result[RunList, WorkerFault]:
                runner = harness.runner
                if not is_lease_expired or runner is None or not runner.ledger.active:
                    return await port.renew(renewal)
                await anyio.sleep(0.2)
                return down if runner._lease.has_expired(now_s=anyio.current_time()) else silent

            return WorkerPort(start=start, stop=stop, renew=renew)

        runner = await harness.start(group, wrap)
        await anyio.sleep(0.3)
        runner.submit(make_run(1))
        await anyio.sleep(2.0)
        assert len(harness.ends) == 1
        assert not runner.ledger.active

    run_scenario(scenario)


def test_order_is_left_in_the_queue_of_a_worker_that_has_ended() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness()
        runner = await harness.start(group)
        runner.terminate("another incarnation of the worker sent a heartbeat")
        runner.submit(make_run(1))
        assert harness.ends == [(1, OrderOutcome.NOT_STARTED)]
        assert not runner.ledger.queued

    run_scenario(scenario)

"""Tests that a run whose task may start elsewhere ends in time, whatever its worker answers."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

import anyio
import pytest

from persimmoncrank.protocol import OrderOutcome
from persimmoncrank.tests.runner_harness import LEASE_S, Harness, make_run, run_scenario

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup
    from result import Result

    from persimmoncrank.protocol import RunRef, WorkerFault, WorkerPort

RUN_S = 5.0
END_LIMIT_S = LEASE_S * 1.02 + 0.05  # a worker's clock may run 2% slow


async def _start_runs(
    harness: Harness,
    group: TaskGroup,
    count: int,
    wrap: Callable[[WorkerPort], WorkerPort] = lambda port: port,
) -> list:
    runner = await harness.start(group, wrap)
    runs = [make_run(number + 1) for number in range(count)]
    for run in runs:
        runner.submit(run)
    await anyio.sleep(0.1)
    assert len(harness.worker.history) == count
    return runs


def _ended_at_s(harness: Harness, order_id: int) -> float | None:
    job_id = f"job{order_id}"
    return next(r.ended_at_s for r in harness.worker.history if r.run.task.job_id == job_id)


# The lease of a run that cannot be stopped is renewed, beside the repetition of its task.
def test_revoked_run_outlasts_its_lease_while_stops_are_not_answered() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=RUN_S)
        runs = await _start_runs(harness, group, 2)
        assert harness.runner is not None
        harness.worker.faults.late_share = 1.0
        revoked_at_s = anyio.current_time()
        harness.runner.revoke(runs[0], "the entry is lost")
        await anyio.sleep(2.0)
        ended_at_s = _ended_at_s(harness, 1)
        assert ended_at_s is not None
        assert ended_at_s <= revoked_at_s + END_LIMIT_S
        assert (1, OrderOutcome.LOST) in harness.ends

    run_scenario(scenario)


# A confirmed stop of one run must not end the lease of the others.
def test_confirmed_stop_ends_the_other_runs_of_the_worker() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=RUN_S)
        runs = await _start_runs(harness, group, 2)
        assert harness.runner is not None
        harness.runner.revoke(runs[0], "the entry is lost")
        await anyio.sleep(2.0)
        assert harness.ends == [(1, OrderOutcome.STOPPED)]
        assert _ended_at_s(harness, 2) is None
        await anyio.sleep(RUN_S)
        assert (2, OrderOutcome.DONE) in harness.ends

    run_scenario(scenario)


def _leave_stops_unanswered(port: WorkerPort) -> WorkerPort:
    """Wrap a port so that only the seventh stop and later ones are received."""
    numbers = itertools.count(1)

    async def stop(ref: RunRef, fence: int) -> Result[int, WorkerFault]:
        if next(numbers) < 7:
            await anyio.sleep_forever()
        return await port.stop(ref, fence)

    return dataclasses.replace(port, stop=stop)


def _answer_stops_slowly(port: WorkerPort) -> WorkerPort:
    async def stop(ref: RunRef, fence: int) -> Result[int, WorkerFault]:
        answer = await port.stop(ref, fence)
        await anyio.sleep(0.08)
        return answer

    return dataclasses.replace(port, stop=stop)


# One run that is slow to stop ends the sound runs beside it.
@pytest.mark.parametrize("wrap", [_leave_stops_unanswered, _answer_stops_slowly])
def test_slow_stop_ends_the_other_runs_of_the_worker(
    wrap: Callable[[WorkerPort], WorkerPort],
) -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=RUN_S)
        runs = await _start_runs(harness, group, 2, wrap)
        assert harness.runner is not None
        harness.runner.revoke(runs[0], "the entry is lost")
        await anyio.sleep(RUN_S + 1.0)
        assert harness.ends == [(1, OrderOutcome.STOPPED), (2, OrderOutcome.DONE)]

    run_scenario(scenario)


# After the lease has ended with a revoked run, the worker is used as before.
def test_worker_starts_no_run_after_its_lease_was_revoked() -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=RUN_S)
        runs = await _start_runs(harness, group, 1)
        assert harness.runner is not None
        harness.worker.faults.late_share = 1.0
        harness.runner.revoke(runs[0], "the entry is lost")
        await anyio.sleep(1.0)
        harness.worker.faults.late_share = 0.0
        harness.runner.submit(make_run(2))
        await anyio.sleep(RUN_S + 1.0)
        assert (2, OrderOutcome.DONE) in harness.ends

    run_scenario(scenario)


# A new process of the agent renews the lease of runs that it does not know and cannot stop.
@pytest.mark.parametrize("late_share", [0.0, 1.0])
def test_unknown_run_outlasts_the_lease_of_the_earlier_process(late_share: float) -> None:
    async def scenario(group: TaskGroup) -> None:
        harness = Harness(run_s=RUN_S)
        async with anyio.create_task_group() as earlier:
            await _start_runs(harness, earlier, 1)
            earlier.cancel_scope.cancel()
        group.start_soon(harness.worker.run)
        harness.worker.faults.late_share = late_share
        restarted_at_s = anyio.current_time()
        runner = await harness.start(group)
        await anyio.sleep(2.0)
        ended_at_s = _ended_at_s(harness, 1)
        assert ended_at_s is not None
        assert ended_at_s <= restarted_at_s + END_LIMIT_S
        harness.worker.faults.late_share = 0.0
        runner.submit(make_run(2))
        await anyio.sleep(RUN_S + 1.0)
        assert (2, OrderOutcome.DONE) in harness.ends

    run_scenario(scenario)

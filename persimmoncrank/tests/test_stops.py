"""Tests that the runs of a job that has ended are stopped although streams break."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from persimmoncrank.bench._worker_world import DELAY_S, RESEND_S, make_worker_job
from persimmoncrank.coordination.execution._entry_links import REDIAL_INTERVAL_S
from persimmoncrank.tests.worker_scenarios import run_scenario

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmoncrank.bench._worker_world import WorkerWorld

JOB_ID = "0" * 16
RUN_S = 4.0  # the caller sends its job again while these runs would still be active
DEADLINE_S = 0.5
END_LIMIT_S = REDIAL_INTERVAL_S + 0.1  # until the stream is open again and the stop has taken place


async def leave(_world: WorkerWorld, caller: anyio.CancelScope) -> None:
    """Break the caller's connection."""
    caller.cancel()


async def cancel(world: WorkerWorld, _caller: anyio.CancelScope) -> None:
    """Cancel the job."""
    assert world.cancel(JOB_ID)


async def wait_for_deadline(world: WorkerWorld, _caller: anyio.CancelScope) -> None:
    """Wait until the job's deadline has passed."""
    while JOB_ID in world.dispatcher("e0").jobs:
        await anyio.sleep(DELAY_S / 10)


async def abort(world: WorkerWorld, _caller: anyio.CancelScope) -> None:
    """Fail the entry's jobs, as it does before it leaves."""
    world.dispatcher("e0").abort_jobs("the entry is leaving")


def break_streams(world: WorkerWorld) -> None:
    """Break all streams; what is on its way is lost."""
    for agent in world.agents:
        world.network.reset(agent, loses_messages=True)


def running_tasks(world: WorkerWorld) -> int:
    """Return how many tasks are running."""
    return sum(run.ended_at_s is None for w in world.workers.values() for run in w.history)


# A job has ended, and its tasks run on until their agents lose the lease, beside those of the job
# that the caller has sent again.
@pytest.mark.parametrize("end", [leave, cancel, wait_for_deadline, abort])
@pytest.mark.parametrize(
    "break_times",
    [("before",), ("after",), ("before", "open")],
    ids=["stop queued without a stream", "stop lost on its way", "second stream breaks too"],
)
def test_tasks_of_an_ended_job_run_on_after_a_reset(
    end: Callable[[WorkerWorld, anyio.CancelScope], Awaitable[None]], break_times: tuple[str, ...]
) -> None:
    async def scenario(world: WorkerWorld) -> None:
        world.run_s = lambda _task: RUN_S
        deadline_s = DEADLINE_S if end is wait_for_deadline else 30.0
        job = make_worker_job(JOB_ID, tasks=2, deadline_s=deadline_s)
        caller = anyio.CancelScope()

        async def submit() -> None:
            with caller:
                await world.submit("e0", job)

        world.group.start_soon(submit)
        await anyio.sleep(0.3)
        assert running_tasks(world) == 2
        if "before" in break_times:
            break_streams(world)
            await anyio.sleep(DELAY_S)
        await end(world, caller)
        await anyio.sleep(DELAY_S / 2)
        if "after" in break_times:
            break_streams(world)
        if "open" in break_times:
            await _wait_for_stream(world)
            break_streams(world)
            await anyio.sleep(REDIAL_INTERVAL_S)
        await anyio.sleep(END_LIMIT_S)
        assert running_tasks(world) == 0
        if end is cancel:
            return
        await anyio.sleep(RESEND_S - END_LIMIT_S)
        world.run_s = lambda _task: 0.1
        answer = await world.submit("e1", make_worker_job(JOB_ID, tasks=2))
        assert answer is not None
        assert answer.is_completed

    run_scenario(scenario, entries=2, agents=2, cores=4)


async def _wait_for_stream(world: WorkerWorld) -> None:
    """Wait until an agent is connected again; what the entry sent first is on its way."""
    links = world.dispatcher("e0").links
    while any(link.is_connected for link in links.values()):
        await anyio.sleep(DELAY_S / 10)
    while not any(link.is_connected for link in links.values()):
        await anyio.sleep(DELAY_S / 10)

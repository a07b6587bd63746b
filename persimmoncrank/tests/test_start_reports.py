"""Tests that an entry learns that a task has started although streams break."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from persimmoncrank.bench._worker_world import DELAY_S, make_worker_job
from persimmoncrank.protocol import AgentFrame
from persimmoncrank.tests.worker_scenarios import run_scenario

if TYPE_CHECKING:
    from persimmoncrank.bench._worker_world import WorkerWorld
    from persimmoncrank.protocol import WorkerJobAnswer

JOB_ID = "0" * 16
ESTIMATE_S = 0.4
RUN_S = 1.9  # longer than a job of this estimate may wait for its start


def _is_start_report_on_its_way(world: WorkerWorld) -> bool:
    return any(
        isinstance(message, AgentFrame) and message.started
        for pipe in world.network.pipes
        for _, message in pipe.messages
    )


# The report of a start is lost, and the entry stops the task as one that cannot start in time.
def test_running_task_is_stopped_as_not_started_after_its_start_report_was_lost() -> None:
    async def scenario(world: WorkerWorld) -> None:
        world.run_s = lambda _task: RUN_S
        answers: list[WorkerJobAnswer | None] = []

        async def submit() -> None:
            job = make_worker_job(JOB_ID, tasks=1, estimate_s=ESTIMATE_S)
            answers.append(await world.submit("e0", job))

        world.group.start_soon(submit)
        while not _is_start_report_on_its_way(world):
            await anyio.sleep(DELAY_S / 10)
        world.network.reset("a0", loses_messages=True)
        await anyio.sleep(RUN_S + 0.5)
        assert answers[0] is not None
        assert answers[0].is_completed, answers[0]
        (run,) = world.workers["a0"].history
        assert run.run.number == 1

    run_scenario(scenario, entries=1, agents=1)

"""Tests of the dispatcher: placement, refusals, cancellation and restarts of workers."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from persimmoncrank.bench._worker_world import QUEUE, make_worker_job
from persimmoncrank.protocol import (
    Demand,
    EntryFrame,
    ErrorKind,
    QueueTable,
    Step,
    TaskOrder,
    TaskRef,
)
from persimmoncrank.tests.worker_scenarios import run_scenario

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmoncrank.bench._worker_world import WorkerWorld


STEP = make_worker_job("0" * 16).steps[0]


@pytest.mark.parametrize(
    "cause", ["withdrawn", "too large", "no agent"], ids=lambda cause: cause.replace(" ", "-")
)
def test_job_without_eligible_worker_is_refused_promptly(cause: str) -> None:
    async def scenario(world: WorkerWorld) -> None:
        job = make_worker_job("0" * 16, cpu_millis=99_000 if cause == "too large" else 1600)
        if cause == "withdrawn":
            domains = tuple(f"d-{name}" for name in world.agents)
            table = QueueTable(version=2, queues=(QUEUE,))
            world.dispatcher("e0").set_config(table, domains, 2)
        if cause == "no agent":
            world.network.cuts.add(frozenset({"e0"}))
            await anyio.sleep(1.0)
        sent_at_s = anyio.current_time()
        answer = await world.submit("e0", job)
        assert answer is not None
        assert answer.error is not None
        assert answer.error.kind is ErrorKind.OVERLOADED
        assert answer.error.not_run
        assert answer.error.retry_after_ms
        assert anyio.current_time() - sent_at_s < 0.3
        assert not any(worker.history for worker in world.workers.values())

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("steps", "reason"),
    [
        ([], "at least one step"),
        ([replace(STEP, count=0)], "step 0 must have at least one task, but has 0"),
        ([replace(STEP, count=10**9)], "at most 10000 tasks"),
        ([replace(STEP, count=6_000)] * 2, "this one has 12000"),
        ([replace(STEP, demand=Demand(memory_mb=-1))], "negative"),
        ([replace(STEP, after=(0,))], "step 0 is after step 0"),
        ([STEP, replace(STEP, after=(-1,))], "step 1 is after step -1"),
    ],
)
def test_job_that_would_exhaust_or_confuse_the_entry_is_refused(
    steps: list[Step], reason: str
) -> None:
    async def scenario(world: WorkerWorld) -> None:
        job = replace(make_worker_job("0" * 16), steps=tuple(steps))
        answer = await world.submit("e0", job)
        assert answer is not None
        assert answer.error is not None
        assert answer.error.kind is ErrorKind.INVALID_REQUEST
        assert answer.error.not_run
        assert reason in answer.error.message

    run_scenario(scenario)


def test_urgent_jobs_are_placed_first() -> None:
    async def scenario(world: WorkerWorld) -> None:
        world.run_s = lambda _task: 0.4
        ends: list[str] = []
        later = replace(QUEUE, name="later", priority=2)

        async def submit(job_id: str, **options: Any) -> None:
            await world.submit("e0", make_worker_job(job_id, tasks=4, cpu_millis=4000, **options))
            ends.append(job_id)

        async with anyio.create_task_group() as jobs:
            jobs.start_soon(lambda: submit("running", estimate_s=0.4))
            await anyio.sleep(0.1)
            jobs.start_soon(lambda: submit("later", queue=later, estimate_s=0.4))
            await anyio.sleep(0.05)
            jobs.start_soon(lambda: submit("urgent", estimate_s=0.4))
        assert ends == ["running", "urgent", "later"]

    run_scenario(scenario, entries=1, agents=1)


def test_repeated_job_id_runs_once() -> None:
    async def scenario(world: WorkerWorld) -> None:
        job = make_worker_job("1" * 16)
        async with anyio.create_task_group() as jobs:
            jobs.start_soon(world.submit, "e0", job)
            jobs.start_soon(world.submit, "e0", job)
        assert sum(len(worker.history) for worker in world.workers.values()) == 4

    run_scenario(scenario)


def test_job_fails_when_a_task_has_used_all_attempts() -> None:
    async def scenario(world: WorkerWorld) -> None:
        for worker in world.workers.values():
            worker.poison = lambda task: task.index == 1
        answer = await world.submit("e0", make_worker_job("2" * 16))
        assert answer is not None
        assert not answer.is_completed
        assert "failed 3 times" in answer.cause
        failed = [
            run
            for worker in world.workers.values()
            for run in worker.history
            if run.run.task.index == 1
        ]
        assert len(failed) == QUEUE.max_attempts
        assert len({run.worker for run in failed}) == QUEUE.max_attempts

    run_scenario(scenario)


def test_tasks_are_stopped_when_the_caller_disconnects() -> None:
    async def scenario(world: WorkerWorld) -> None:
        world.run_s = lambda _task: 5.0
        with anyio.move_on_after(0.5):
            await world.submit("e0", make_worker_job("3" * 16))
        await anyio.sleep(0.3)
        runs = [run for worker in world.workers.values() for run in worker.history]
        assert len(runs) == 4
        assert all(run.ended_at_s is not None for run in runs)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("worker_incarnation", "runs"), [(1, 1), (2, 0)], ids=["same incarnation", "other incarnation"]
)
def test_order_starts_only_on_the_chosen_worker_incarnation(
    worker_incarnation: int, runs: int
) -> None:
    async def scenario(world: WorkerWorld) -> None:
        agent = world.agents["a0"].node
        (session,) = agent.links.sessions.values()
        order = TaskOrder(
            order_id=77,
            worker_incarnation=worker_incarnation,
            ref=TaskRef(job_id="4" * 16, step=0, index=0),
            payload="spec",
            demand=Demand(cpu_millis=100),
            priority=0,
            rank=0.0,
            nominal_s=0.1,
            start_within_s=5.0,
        )
        world.demands[f"{order.ref.job_id}.0"] = order.demand
        agent._on_frame(session, EntryFrame(entry=session.incarnation, starts=(order,)))
        await anyio.sleep(0.1)
        assert len(world.workers["a0"].history) == runs

    run_scenario(scenario, entries=1, agents=1)


@pytest.mark.parametrize(
    ("labels", "is_kept"), [(("a",), True), (("b",), False)], ids=["same labels", "other labels"]
)
def test_slowness_carries_over_to_a_restarted_worker_with_the_same_labels(
    labels: tuple[str, ...], is_kept: bool
) -> None:
    async def scenario(world: WorkerWorld) -> None:
        worker = world.workers["a0"]
        worker.labels, worker.slowness = ("a",), 3.0
        worker.crash()
        await anyio.sleep(2.0)
        for number in range(6):
            await world.submit("e0", make_worker_job(f"{number:016x}"))
        assert world.agents["a0"].node.runner.health.slowness > 2.0
        worker.labels = labels
        worker.crash()
        await anyio.sleep(2.0)
        runner = world.agents["a0"].node.runner
        assert runner.worker.incarnation == worker.incarnation
        assert (runner.health.slowness > 2.0) is is_kept

    run_scenario(scenario, entries=1, agents=1)


@pytest.mark.parametrize("side", ["agent", "entry"])
def test_unexpected_error_in_a_frame_ends_only_its_stream(
    side: str, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(world: WorkerWorld) -> None:
        errors = 1

        def fail_once(handle: Callable[..., None]) -> Callable[..., None]:
            def handle_or_fail(*args: Any) -> None:
                nonlocal errors
                if errors:
                    errors -= 1
                    raise KeyError("impossible value")
                handle(*args)

            return handle_or_fail

        if side == "agent":
            links = world.agents["a0"].node.links
            monkeypatch.setattr(links, "_on_frame", fail_once(links._on_frame))
        else:
            streams = world.dispatcher("e0").streams
            monkeypatch.setattr(streams, "_handle_frame", fail_once(streams._handle_frame))
        await anyio.sleep(1.0)
        assert not errors
        answer = await world.submit("e0", make_worker_job("5" * 16))
        assert answer is not None
        assert answer.is_completed

    run_scenario(scenario, entries=1, agents=1)
    assert "impossible value" in caplog.text

"""Tests that tasks that crash their workers cost other jobs little."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import pytest

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.bench._worker_world import QUEUE, SERVICE, WorkerWorld, make_worker_job
from persimmoncrank.coordination.dispatch._containment import Containment, choose_confined
from persimmoncrank.coordination.dispatch._worker_jobs import JobRun, JobTask
from persimmoncrank.protocol import (
    CrashedRun,
    ErrorKind,
    Queue,
    QueueTable,
    TaskRef,
    WorkerCrash,
)
from persimmoncrank.state import CrashHistory
from persimmoncrank.tests.test_worker_choice import make_link
from persimmoncrank.tests.worker_invariants import check_all

if TYPE_CHECKING:
    from persimmoncrank.coordination.dispatch import AgentLink

DEADLY_KIND = replace(QUEUE, name="deadly")
HEALTHY_KIND = replace(QUEUE, name="healthy")
KINDS = QueueTable(version=2, queues=(DEADLY_KIND, HEALTHY_KIND))
STORM_S = 6.0
MIN_ON_TIME_SHARE = 0.95  # of the healthy jobs
AGENTS = 11


async def submit_load(
    world: WorkerWorld, *, queue: Queue, prefix: str, gap_s: float, tasks: int, estimate_s: float
) -> list[float]:
    """Submit jobs at an even rate; return how long those that were on time took."""
    took_s: list[float] = []

    async def submit(number: int) -> None:
        job = make_worker_job(
            f"{prefix}{number:015d}",
            tasks=tasks,
            estimate_s=estimate_s,
            deadline_s=1.5,
            queue=queue,
        )
        sent_at_s = anyio.current_time()
        answer = await world.submit(f"e{number % len(world.entries)}", job)
        now_s = anyio.current_time()
        objective_s = queue.stretch * estimate_s + queue.objective_s
        if answer is not None and answer.is_completed and now_s <= sent_at_s + objective_s:
            took_s.append(now_s - sent_at_s)

    async with anyio.create_task_group() as jobs:
        for number in range(int(STORM_S / gap_s)):
            jobs.start_soon(submit, number)
            await anyio.sleep(gap_s)
    return took_s


def test_other_kinds_are_served_while_one_kind_crashes_its_workers() -> None:
    """One in ten jobs of a kind has a task that crashes its workers, which need 3 s to restart."""

    async def main() -> tuple[int, int]:
        async with anyio.create_task_group() as group:
            world = WorkerWorld(
                group=group,
                run_s=lambda task: 0.12 if task.job_id.startswith("d") else 0.4,
            )
            await world.start(entries=3, agents=AGENTS)
            for entry in world.entries.values():
                entry.node.set_config(KINDS, (), 2)
            for worker in world.workers.values():
                worker.crashes_after_s = lambda task: 0.01 if _is_deadly(task) else None
            on_time: list[float] = []

            async def submit_deadly() -> None:
                await submit_load(
                    world, queue=DEADLY_KIND, prefix="d", gap_s=0.06, tasks=8, estimate_s=0.12
                )

            async def submit_healthy() -> None:
                on_time.extend(
                    await submit_load(
                        world, queue=HEALTHY_KIND, prefix="a", gap_s=0.02, tasks=2, estimate_s=0.4
                    )
                )

            async with anyio.create_task_group() as loads:
                loads.start_soon(submit_deadly)
                loads.start_soon(submit_healthy)
            check_all(world)
            crashes = sum(len(worker.crashes) for worker in world.workers.values())
            group.cancel_scope.cancel()
        return len(on_time), crashes

    on_time, crashes = run_virtual(main)
    assert crashes > 0
    assert on_time >= MIN_ON_TIME_SHARE * int(STORM_S / 0.02)


def _is_deadly(task: TaskRef) -> bool:
    return task.job_id.startswith("d") and int(task.job_id[1:]) % 10 == 3 and task.index == 0


def test_job_whose_workers_are_all_down_is_refused_at_once() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = WorkerWorld(group=group)
            await world.start(entries=1, agents=6)
            for name in world.workers:
                world.workers[name].crash(down_s=3.0)
            await anyio.sleep(0.5)
            sent_at_s = anyio.current_time()
            answer = await world.submit("e0", make_worker_job("0" * 16))
            assert answer is not None
            assert answer.error is not None
            assert answer.error.kind is ErrorKind.OVERLOADED
            assert answer.error.not_run
            assert anyio.current_time() - sent_at_s < 0.3
            group.cancel_scope.cancel()

    run_virtual(main)


def make_task(queue: Queue, *, label: str = "", index: int = 0) -> JobTask:
    """Return a task of a job of its own."""
    job = make_worker_job(f"{index:016d}", tasks=1, queue=queue)
    run = JobRun(job=job, arrived_at_s=0.0, critical_path_s=0.2)
    return JobTask(
        job=run,
        ref=TaskRef(job_id=job.job_id, step=0, index=0),
        step=replace(job.steps[0], label=label),
        nominal_s=0.2,
    )


def make_crash(worker: str, *runs: tuple[str, str], is_confirmed: bool = True) -> WorkerCrash:
    """Return a crash under tasks that had just been started; runs are pairs of job and kind."""
    return WorkerCrash(
        worker=worker,
        incarnation=7,
        service=SERVICE,
        runs=tuple(
            CrashedRun(
                ref=TaskRef(job_id=job_id, step=0, index=0),
                kind=kind,
                is_recent=True,
                is_confirmed=is_confirmed,
            )
            for job_id, kind in runs
        ),
    )


def make_containment(*crashes: WorkerCrash, agents: int = 6) -> tuple[Containment, list[AgentLink]]:
    """Return the containment of an entry that has heard of some crashes, and its agents."""
    links = [make_link(f"x{number}") for number in range(agents)]
    containment = Containment(crashes=CrashHistory())
    for crash in crashes:
        containment.crashes.record(crash, now_s=10.0)
    containment.update(links, now_s=10.0)
    return containment, links


@pytest.mark.parametrize(
    ("crashes", "agents", "confined"),
    [
        ([], 6, None),
        ([make_crash("a", ("1", "k")), make_crash("b", ("2", "k"))], 6, None),
        ([make_crash("a", ("1", "k")), make_crash("b", ("1", "k"))], 6, "k"),
        ([make_crash("a", ("1", "k")), make_crash("b", ("1", "k"))], 2, None),
        ([make_crash(name, (name, "k")) for name in "abc"], 6, "k"),
        ([make_crash(name, (name, "k"), (name + "2", "m")) for name in "abc"], 6, None),
        (
            [
                *(make_crash(name, (name, "k"), (name + "2", "m")) for name in "abc"),
                make_crash("d", ("d", "k")),
            ],
            6,
            "k",
        ),
        (
            [
                *(make_crash(name, (name, "k")) for name in "abc"),
                *(make_crash(name, (name, "m")) for name in "de"),
            ],
            6,
            None,
        ),
    ],
    ids=[
        "no crash",
        "two unrelated crashes",
        "two crashes under one task",
        "too few workers",
        "three crashes of one kind",
        "two kinds alike",
        "two kinds, one more often",
        "no kind in most crashes",
    ],
)
def test_kind_that_most_crashes_have_in_common_is_confined(
    crashes: list[WorkerCrash], agents: int, confined: str | None
) -> None:
    containment, links = make_containment(*crashes, agents=agents)
    assert (containment.confined.kind if containment.confined else None) == confined
    containment.update(links, now_s=30.0)
    assert containment.confined is None


def test_confined_kind_and_other_kinds_share_no_worker() -> None:
    containment, links = make_containment(*(make_crash(name, (name, "deadly")) for name in "abc"))
    confined = containment.usable_links(make_task(DEADLY_KIND), links)
    others = containment.usable_links(make_task(HEALTHY_KIND), links)
    elsewhere = replace(HEALTHY_KIND, service="another service")
    assert len(confined) == 2
    assert len(others) == 4
    assert not {link.hello.agent for link in confined} & {link.hello.agent for link in others}
    assert containment.usable_links(make_task(elsewhere), links) == links
    assert containment.usable_links(make_task(DEADLY_KIND, label="rare"), links) == links


def test_tasks_of_a_confined_job_are_placed_together() -> None:
    links = [make_link("x", free=8_000), make_link("y", free=16_000)]
    task = make_task(DEADLY_KIND)
    first = choose_confined(task, links, withdrawn=(), now_s=0.0)
    assert first is not None
    assert first.hello.agent == "y"
    task.job.open_orders[1] = "x"
    second = choose_confined(task, links, withdrawn=(), now_s=0.0)
    assert second is not None
    assert second.hello.agent == "x"


@pytest.mark.parametrize(
    ("down", "running", "expected"),
    [(0, 0, True), (1, 0, True), (2, 0, False), (0, 1, False)],
    ids=["all up", "one down", "two down", "another trial"],
)
def test_suspect_tasks_are_tried_one_at_a_time_while_most_workers_are_up(
    down: int, running: int, expected: bool
) -> None:
    containment, links = make_containment()
    for link in links[:down]:
        assert link.report is not None
        crash = make_crash(link.report.worker, (link.report.worker, "k"))
        containment.crashes.record(replace_incarnation(crash, link), now_s=10.0)
    for order_id in range(running):
        containment.start_trial(order_id, now_s=10.0)
    assert containment.may_try(links, now_s=10.05) is expected


def replace_incarnation(crash: WorkerCrash, link: AgentLink) -> WorkerCrash:
    """Return a crash of the incarnation that an agent has reported."""
    assert link.report is not None
    return WorkerCrash(
        worker=crash.worker,
        incarnation=link.report.worker_incarnation,
        runs=crash.runs,
        service=crash.service,
    )

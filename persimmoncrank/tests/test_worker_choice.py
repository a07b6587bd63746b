"""Tests of the choice of a worker for a task."""

from __future__ import annotations

import pytest

from persimmoncrank.bench._worker_world import SERVICE, make_worker_job
from persimmoncrank.coordination.dispatch._agent_link import AgentLink
from persimmoncrank.coordination.dispatch._worker_choice import choose_worker
from persimmoncrank.coordination.dispatch._worker_jobs import JobRun, JobTask
from persimmoncrank.protocol import AgentHello, Demand, TaskRef, WorkerReport

CAPACITY = Demand(cpu_millis=16_000, memory_mb=32_768)


def make_link(
    name: str, *, slowness: float = 1.0, free: int = 16_000, is_suspect: bool = False
) -> AgentLink:
    """Return the link of a connected agent whose worker sent a report."""
    hello = AgentHello(agent=name, incarnation=name, domain=f"d-{name}")
    link = AgentLink(hello=hello, is_connected=True)
    link.apply_report(
        WorkerReport(
            worker=name,
            worker_incarnation=1,
            service=SERVICE,
            labels=("a",),
            capacity=CAPACITY,
            free=Demand(cpu_millis=free, memory_mb=32_768),
            slowness=slowness,
            is_accepting=True,
            is_suspect=is_suspect,
            queued=0,
            orders_seen=0,
        )
    )
    return link


def make_task(nominal_s: float, failed_workers: tuple[str, ...] = ()) -> JobTask:
    """Return a task of a job that arrived at 0 s."""
    job = make_worker_job("0" * 16, tasks=1)
    run = JobRun(job=job, arrived_at_s=0.0, critical_path_s=nominal_s)
    ref = TaskRef(job_id=job.job_id, step=0, index=0)
    return JobTask(
        job=run,
        ref=ref,
        step=job.steps[0],
        nominal_s=nominal_s,
        failed_workers=set(failed_workers),
    )


@pytest.mark.parametrize(
    ("free", "nominal_s", "expected"),
    [
        ({"fast": 16_000, "slow": 16_000}, 0.1, "fast"),
        ({"fast": 0, "slow": 16_000}, 0.1, "slow"),
        ({"fast": 2_000, "slow": 16_000}, 0.1, "slow"),
        ({"fast": 2_000, "slow": 16_000}, 1.0, "fast"),
    ],
    ids=["both empty", "full", "nearly full, short task", "nearly full, long task"],
)
def test_worker_with_the_earliest_expected_end_is_chosen(
    free: dict[str, int], nominal_s: float, expected: str
) -> None:
    slowness = {"fast": 0.8, "slow": 1.8}
    links = [
        make_link(name, slowness=slowness[name], free=cpu_millis)
        for name, cpu_millis in free.items()
    ]
    link = choose_worker(make_task(nominal_s), links, withdrawn=(), now_s=0.0)
    assert link is not None
    assert link.hello.agent == expected


@pytest.mark.parametrize(
    ("failed_workers", "suspect", "withdrawn", "expected"),
    [
        (("x",), "", (), "y"),
        ((), "x", (), "y"),
        ((), "", ("d-x",), "y"),
        (("x", "y"), "", ("d-y",), "x"),
    ],
)
def test_failed_suspect_and_withdrawn_workers_are_avoided(
    failed_workers: tuple[str, ...], suspect: str, withdrawn: tuple[str, ...], expected: str
) -> None:
    links = [make_link(name, is_suspect=name == suspect) for name in ("x", "y")]
    task = make_task(0.1, failed_workers)
    link = choose_worker(task, links, withdrawn=withdrawn, now_s=0.0)
    assert link is not None
    assert link.hello.agent == expected

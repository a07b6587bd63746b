"""Tests of the choice of a worker for a task."""

from __future__ import annotations

import pytest

from persimmoncrank.coordination.dispatch._agent_link import AgentLink
from persimmoncrank.coordination.dispatch._worker_choice import choose_worker, is_busy
from persimmoncrank.coordination.dispatch._worker_jobs import JobRun, JobTask
from persimmoncrank.protocol import AgentHello, Demand, TaskRef, WorkerReport
from persimmoncrank.tests.worker_world import SERVICE, make_worker_job

CAPACITY = Demand(cpu_millis=16_000, memory_mb=32_768)


def make_link(
    name: str, *, slowness: float = 1.0, free: int = 16_000, is_suspect: bool = False
) -> AgentLink:
    """Return a connected agent with its worker's report."""
    hello = AgentHello(agent=name, incarnation=name, domain=f"d-{name}")
    link = AgentLink(hello=hello, is_connected=True)
    link.note_report(
        WorkerReport(
            worker=name,
            life=1,
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
    run = JobRun(job=job, arrived_at_s=0.0, chain_s=nominal_s)
    ref = TaskRef(job_id=job.job_id, step=0, index=0)
    return JobTask(
        job=run,
        ref=ref,
        step=job.steps[0],
        nominal_s=nominal_s,
        failed_workers=set(failed_workers),
    )


FAST, SLOW, FULL = "fast", "slow", "full"

CASES = {
    "the fastest while there is room": (0.12, 0.0, False, {FAST: 0.8, SLOW: 1.8}, FAST),
    "the slowest on time under load": (0.12, 0.0, True, {FAST: 0.8, SLOW: 1.8}, SLOW),
    "a long task needs a fast one": (1.8, 0.0, True, {FAST: 0.8, SLOW: 1.8}, FAST),
    "waits for a fast one that is full": (1.8, 0.0, True, {FULL: 0.8, SLOW: 1.8}, None),
    "takes a slow one once all are late": (1.8, 1.6, True, {FULL: 0.8, SLOW: 1.8}, SLOW),
    "late anywhere: the fastest": (0.4, 9.0, True, {FAST: 0.8, SLOW: 1.8}, FAST),
}


@pytest.mark.parametrize(
    ("nominal_s", "now_s", "busy", "slowness", "expected"), CASES.values(), ids=CASES
)
def test_choice_by_speed(
    nominal_s: float, now_s: float, busy: bool, slowness: dict[str, float], expected: str | None
) -> None:
    links = [
        make_link(name, slowness=value, free=0 if name == FULL else 16_000)
        for name, value in slowness.items()
    ]
    choice = choose_worker(make_task(nominal_s), links, withdrawn=(), now_s=now_s, busy=busy)
    assert (choice.link.hello.agent if choice.link else None) == expected
    assert choice.is_waiting == (expected is None)


@pytest.mark.parametrize(
    ("failed_workers", "suspect", "withdrawn", "expected"),
    [
        (("x",), "", (), "y"),
        ((), "x", (), "y"),
        ((), "", ("d-x",), "y"),
        (("x", "y"), "", ("d-y",), "x"),
    ],
)
def test_choice_by_record(
    failed_workers: tuple[str, ...], suspect: str, withdrawn: tuple[str, ...], expected: str
) -> None:
    links = [make_link(name, is_suspect=name == suspect) for name in ("x", "y")]
    task = make_task(0.1, failed_workers)
    choice = choose_worker(task, links, withdrawn=withdrawn, now_s=0.0, busy=False)
    assert choice.link is not None
    assert choice.link.hello.agent == expected


@pytest.mark.parametrize(("free", "expected"), [(16_000, False), (4_000, True), (-2_000, True)])
def test_busy_is_read_off_the_free_room(free: int, expected: bool) -> None:
    assert is_busy([make_link("x", free=free)]) is expected

"""Worker deployments and their simulated traffic."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmoncrank.protocol import Demand, Queue, Step, TaskRef, WorkerJob

if TYPE_CHECKING:
    import random

log = logging.getLogger(__name__)

SERVICE = "svc"
STRETCH = 1.6
OBJECTIVE_S = 0.06
# Standard deviations of the logarithms of log-normal distributions.
JOB_SIGMA = 0.4  # of the mean work and the number of tasks, between jobs
TASK_SIGMA = 0.15  # of the work, between the tasks of a job
DEMAND_SIGMA = 0.2  # of the processor demand, between jobs
ESTIMATE_SIGMA = 0.4  # of the error of the estimated run time
MAX_MULTIPLE_OF_MEAN = 4.0
DEADLINE_S = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class JobKind:
    """One kind of job.

    ``share`` is its share of all jobs, ``tasks`` the mean number of tasks per job, and ``work_s``
    the mean work per task.
    """

    name: str
    priority: int
    share: float
    tasks: float
    work_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """Workers of one deployment, and its normal traffic.

    ``speeds`` and ``sizes`` repeat over the workers; ``cpu_millis`` is the capacity of a worker of
    size 1 and ``task_cpu_millis`` the mean demand of a task. ``jobs_per_s`` is the rate at load 1.
    """

    domains: tuple[str, ...]
    entries: int
    workers: int
    cpu_millis: int
    speeds: tuple[float, ...]
    sizes: tuple[float, ...]
    task_cpu_millis: float
    jobs_per_s: float
    kinds: tuple[JobKind, ...]


def _job_kinds(quick: str, long: str, usual: str) -> tuple[JobKind, ...]:
    return (
        JobKind(name=quick, priority=0, share=0.245, tasks=8, work_s=0.12),
        JobKind(name=long, priority=2, share=0.044, tasks=4, work_s=1.8),
        JobKind(name=usual, priority=1, share=0.711, tasks=2, work_s=0.4),
    )


DEPLOYMENTS = {
    "chattahoochee": Deployment(
        domains=("piedmont-a", "piedmont-b", "piedmont-c", "piedmont-d"),
        entries=4,
        workers=11,
        cpu_millis=16_000,
        speeds=(0.7, 0.7, 1.7),
        sizes=(1.0, 1.0, 1.5),
        task_cpu_millis=1_600.0,
        jobs_per_s=41.0,
        kinds=_job_kinds("alert-ping", "reg-filing", "field-ack"),
    ),
    "passeggiate": Deployment(
        domains=("monza", "seregno", "vimercate"),
        entries=3,
        workers=11,
        cpu_millis=64_000,
        speeds=(0.55, 1.2, 1.2, 1.2),
        sizes=(1.0, 1.0, 1.5),
        task_cpu_millis=6_200.0,
        jobs_per_s=43.0,
        kinds=_job_kinds("door-checkin", "round-rebuild", "lead-return"),
    ),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedJob:
    """One job of a trace: arrival time and entry, and the true work of each task."""

    at_s: float
    entry: int
    kind: str
    job: WorkerJob
    work_s: tuple[float, ...]

    @property
    def objective_s(self) -> float:
        """The response time up to which the answer is on time."""
        return STRETCH * max(self.work_s) + OBJECTIVE_S


def draw_jobs(
    rng: random.Random, deployment: Deployment, *, load: float, seconds: float
) -> list[PlannedJob]:
    """Return the jobs of a run at ``load`` times the normal traffic."""
    jobs: list[PlannedJob] = []
    rate_per_s = deployment.jobs_per_s * load
    at_s = rng.expovariate(rate_per_s)
    while at_s < seconds:
        (kind,) = rng.choices(deployment.kinds, [kind.share for kind in deployment.kinds])
        jobs.append(_draw_job(rng, deployment, kind, number=len(jobs), at_s=at_s))
        at_s += rng.expovariate(rate_per_s)
    return jobs


def _draw_job(
    rng: random.Random, deployment: Deployment, kind: JobKind, *, number: int, at_s: float
) -> PlannedJob:
    count = max(1, round(_draw_lognormal(rng, kind.tasks, JOB_SIGMA)))
    work_s = _draw_lognormal(rng, kind.work_s, JOB_SIGMA)
    cpu_millis = _draw_lognormal(rng, deployment.task_cpu_millis, DEMAND_SIGMA)
    step = Step(
        count=count,
        demand=Demand(cpu_millis=int(cpu_millis), memory_mb=64),
        estimate_s=work_s * math.exp(rng.gauss(0.0, ESTIMATE_SIGMA)),
    )
    queue = Queue(
        name=kind.name,
        host="h",
        path_prefix=f"/{kind.name}/",
        service=SERVICE,
        priority=kind.priority,
        max_attempts=3,
        stretch=STRETCH,
        objective_s=OBJECTIVE_S,
        enforces_capacity=False,
    )
    job = WorkerJob(
        job_id=f"{number:016x}", queue=queue, payload="spec", steps=(step,), deadline_s=DEADLINE_S
    )
    return PlannedJob(
        at_s=at_s,
        entry=rng.randrange(deployment.entries),
        kind=kind.name,
        job=job,
        work_s=tuple(_draw_lognormal(rng, work_s, TASK_SIGMA) for _ in range(count)),
    )


def _draw_lognormal(rng: random.Random, mean: float, sigma: float) -> float:
    """Draw from a log-normal distribution with this mean, cut off at a multiple of it."""
    value = mean * math.exp(rng.gauss(-sigma * sigma / 2, sigma))
    return min(value, MAX_MULTIPLE_OF_MEAN * mean)


def work_by_task(jobs: list[PlannedJob]) -> dict[TaskRef, float]:
    """Return the true run time of each task at speed 1."""
    return {
        TaskRef(job_id=planned.job.job_id, step=0, index=index): work_s
        for planned in jobs
        for index, work_s in enumerate(planned.work_s)
    }

"""Compares policies that choose a worker, with simulated workers in virtual time."""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass
from statistics import mean, quantiles

import anyio

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.bench._worker_baselines import CHOICES
from persimmoncrank.bench._worker_ideal import IdealWorker, ideal_responses_s
from persimmoncrank.bench._worker_load import (
    DEPLOYMENTS,
    Deployment,
    PlannedJob,
    draw_jobs,
    work_by_task,
)
from persimmoncrank.bench._worker_world import WorkerWorld
from persimmoncrank.protocol import WorkerJobAnswer

log = logging.getLogger(__name__)

DRAIN_S = 8.0
WARM_UP_S = 4.0  # by then the agents have estimated the speeds of their workers


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerPolicySettings:
    """The settings of one run of a deployment's traffic."""

    deployment: str = "passeggiate"
    choice: str = "product"
    seed: int = 1
    load: float = 1.0
    seconds: float = 20.0


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerPolicyReport:
    """The measurements of one run, over the jobs that arrive after the warm-up.

    ``on_time_ideal`` is the share of jobs on time under the clairvoyant schedule.
    ``response_ratio`` is the response time relative to the run time of the job's longest task on
    the fastest worker. ``agent_wait_ms`` is the time that tasks wait at their agent.
    """

    choice: str
    seed: int
    load: float
    jobs: int
    on_time: float
    on_time_ideal: float
    on_time_of_work: float
    on_time_worst_kind: float
    not_run: float
    response_ratio_p50: float
    response_ratio_p99: float
    agent_wait_ms_p95: float
    frames_for_a_task: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _AnswerRecord:
    planned: PlannedJob
    answer: WorkerJobAnswer | None
    took_s: float

    @property
    def is_on_time(self) -> bool:
        is_completed = self.answer is not None and self.answer.is_completed
        return is_completed and self.took_s <= self.planned.objective_s


def run_worker_policy(settings: WorkerPolicySettings) -> WorkerPolicyReport:
    """Run a deployment's traffic in virtual time; the same settings give the same report."""

    async def main() -> WorkerPolicyReport:
        async with anyio.create_task_group() as group:
            report = await _run_deployment(settings, WorkerWorld(group=group, seed=settings.seed))
            group.cancel_scope.cancel()
        return report

    return run_virtual(main, seed=settings.seed)


async def _run_deployment(settings: WorkerPolicySettings, world: WorkerWorld) -> WorkerPolicyReport:
    deployment = DEPLOYMENTS[settings.deployment]
    rng = random.Random(settings.seed)
    jobs = draw_jobs(rng, deployment, load=settings.load, seconds=settings.seconds)
    work_s_by_task = work_by_task(jobs)
    world.run_s = work_s_by_task.__getitem__
    world.network.poll_interval_s = 1.0
    world.choose = CHOICES[settings.choice](settings.seed)
    world.add_workers(_sizes(deployment))
    await world.start(entries=deployment.entries, agents=0)
    for worker, speed in zip(world.workers.values(), _speeds(deployment), strict=True):
        worker.slowness = 1 / speed
    answers: list[_AnswerRecord] = []
    started_at_s = anyio.current_time()
    async with anyio.create_task_group() as group:
        for planned in jobs:
            await anyio.sleep(max(started_at_s + planned.at_s - anyio.current_time(), 0))
            group.start_soon(_submit, world, planned, answers)
        await anyio.sleep(DRAIN_S)
        group.cancel_scope.cancel()
    return _report(settings, world, deployment, answers, _ideal_on_time_share(jobs, deployment))


def _sizes(deployment: Deployment) -> list[int]:
    sizes = deployment.sizes
    return [
        int(deployment.cpu_millis * sizes[number % len(sizes)])
        for number in range(deployment.workers)
    ]


def _speeds(deployment: Deployment) -> list[float]:
    """Return each worker's speed, in an order that does not correlate with the sizes."""
    speeds, sizes = deployment.speeds, deployment.sizes
    return [
        speeds[(number // len(sizes) + number) % len(speeds)]
        for number in range(deployment.workers)
    ]


def _ideal_on_time_share(jobs: list[PlannedJob], deployment: Deployment) -> float:
    workers = [
        IdealWorker(cpu_millis=size, speed=speed)
        for size, speed in zip(_sizes(deployment), _speeds(deployment), strict=True)
    ]
    responses_s = ideal_responses_s(jobs, workers)
    return mean(
        response_s <= planned.objective_s
        for planned, response_s in zip(jobs, responses_s, strict=True)
        if planned.at_s >= WARM_UP_S
    )


async def _submit(world: WorkerWorld, planned: PlannedJob, answers: list[_AnswerRecord]) -> None:
    sent_at_s = anyio.current_time()
    answer = await world.submit(f"e{planned.entry}", planned.job)
    took_s = anyio.current_time() - sent_at_s
    answers.append(_AnswerRecord(planned=planned, answer=answer, took_s=took_s))


def _report(
    settings: WorkerPolicySettings,
    world: WorkerWorld,
    deployment: Deployment,
    answers: list[_AnswerRecord],
    on_time_ideal: float,
) -> WorkerPolicyReport:
    measured = [record for record in answers if record.planned.at_s >= WARM_UP_S]
    ratios = [_response_ratio(record, deployment) for record in measured if _is_completed(record)]
    percentiles = quantiles(ratios, n=100, method="inclusive")
    work_s = {record.planned.job.job_id: sum(record.planned.work_s) for record in measured}
    on_time_work_s = sum(work_s[f.planned.job.job_id] for f in measured if f.is_on_time)
    waits_ms = sorted(1000 * wait_s for wait_s in world.waits_s)
    tasks = sum(len(record.planned.work_s) for record in answers)
    return WorkerPolicyReport(
        choice=settings.choice,
        seed=settings.seed,
        load=settings.load,
        jobs=len(measured),
        on_time=mean(record.is_on_time for record in measured),
        on_time_ideal=on_time_ideal,
        on_time_of_work=on_time_work_s / sum(work_s.values()),
        on_time_worst_kind=min(
            mean(record.is_on_time for record in measured if record.planned.kind == kind.name)
            for kind in deployment.kinds
        ),
        not_run=mean(_is_refused(record) for record in measured),
        response_ratio_p50=percentiles[49],
        response_ratio_p99=percentiles[98],
        agent_wait_ms_p95=waits_ms[int(0.95 * len(waits_ms))],
        frames_for_a_task=world.network.sent_messages / tasks,
    )


def _is_completed(record: _AnswerRecord) -> bool:
    return record.answer is not None and record.answer.is_completed


def _is_refused(record: _AnswerRecord) -> bool:
    error = record.answer.error if record.answer is not None else None
    return error is not None and error.not_run


def _response_ratio(record: _AnswerRecord, deployment: Deployment) -> float:
    return record.took_s * max(deployment.speeds) / max(record.planned.work_s)

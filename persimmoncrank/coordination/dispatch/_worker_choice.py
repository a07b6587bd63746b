"""Chooses the worker for a task from the entry's view of all workers."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmoncrank.coordination.dispatch._agent_link import AgentLink

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from persimmoncrank.coordination.dispatch._worker_jobs import JobTask

log = logging.getLogger(__name__)

BUSY_FREE_SHARE = 0.5
START_OVERHEAD_S = 0.02  # order, start, list of ends and answer on an idle system


def is_eligible(task: JobTask, link: AgentLink, *, withdrawn: Collection[str]) -> bool:
    """Tell whether a worker may run a task at all, apart from its room."""
    report = link.report
    if report is None or not link.is_connected or not report.is_accepting:
        return False
    return (
        report.service == task.job.job.queue.service
        and link.hello.domain not in withdrawn
        and (not task.step.label or task.step.label in report.labels)
        and task.demand.fits_in(report.capacity)
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The worker chosen; without one, whether waiting for a faster one is the better choice."""

    link: AgentLink | None = None
    is_waiting: bool = False


def is_busy(links: Iterable[AgentLink]) -> bool:
    """Tell whether so little room is left that fast workers are kept for what needs them."""
    free = capacity = 0
    for link in links:
        if link.report is not None and link.is_connected and link.report.is_accepting:
            free += max(link.free.cpu_millis, 0)
            capacity += link.report.capacity.cpu_millis
    return free < BUSY_FREE_SHARE * capacity


def choose_worker(
    task: JobTask,
    links: Iterable[AgentLink],
    *,
    withdrawn: Collection[str],
    now_s: float,
    busy: bool,
) -> Choice:
    """Choose a worker with room for a task.

    Workers that failed this task or fail most of what they start come last, and those where the
    task would be late come after the others. Of these the fastest is chosen; under high load the
    slowest that is still on time. A task that would be late on each worker with room waits while
    a faster one may get room in time.
    """
    best: AgentLink | None = None
    best_score: tuple[bool, bool, bool, float, int] | None = None
    may_wait = False
    for link in links:
        report = link.report
        if report is None or not is_eligible(task, link, withdrawn=withdrawn):
            continue
        is_late = not _is_on_time(task, report.slowness, now_s=now_s)
        is_spoilt = report.is_suspect or report.worker in task.failed_workers
        if not task.demand.fits_in(link.free) or _is_crowded(task, link):
            may_wait = may_wait or not (is_late or is_spoilt)
            continue
        if report.is_suspect and link.orders:
            continue
        speed_score = -report.slowness if busy and not is_late else report.slowness
        score = (
            report.worker in task.failed_workers,
            report.is_suspect,
            is_late,
            speed_score,
            -link.free.cpu_millis,
        )
        if best_score is None or score < best_score:
            best, best_score = link, score
    if best_score is not None and best_score[2] and may_wait:
        return Choice(is_waiting=True)
    return Choice(link=best)


def _is_on_time(task: JobTask, slowness: float, *, now_s: float) -> bool:
    """Tell whether a task that starts now is expected to end within the job's objective."""
    end_s = now_s + task.nominal_s * slowness + START_OVERHEAD_S
    return end_s <= task.job.arrived_at_s + task.job.objective_s


def _is_crowded(task: JobTask, link: AgentLink) -> bool:
    """Tell whether the worker has as many tasks of the step as it may."""
    if not task.step.max_per_worker:
        return False
    same = sum(
        order.task.job is task.job and order.task.ref.step == task.ref.step
        for order in link.orders.values()
    )
    return same >= task.step.max_per_worker

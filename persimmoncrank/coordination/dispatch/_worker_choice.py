"""Chooses the worker for a task from the entry's view of all workers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from persimmoncrank.coordination.dispatch._agent_link import AgentLink
    from persimmoncrank.coordination.dispatch._worker_jobs import JobTask

log = logging.getLogger(__name__)


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


def choose_worker(
    task: JobTask, links: Iterable[AgentLink], *, withdrawn: Collection[str]
) -> AgentLink | None:
    """Return the worker with room where the task is expected to end first, or None.

    Workers that failed this task or fail most of what they start come last.
    """
    best: AgentLink | None = None
    best_score: tuple[bool, bool, float, int] | None = None
    for link in links:
        if not task.demand.fits_in(link.free):
            continue
        if not is_eligible(task, link, withdrawn=withdrawn) or _is_crowded(task, link):
            continue
        report = link.report
        if report is None or (report.is_suspect and link.orders):
            continue
        score = (
            report.worker in task.failed_workers,
            report.is_suspect,
            report.slowness,
            -link.free.cpu_millis,
        )
        if best_score is None or score < best_score:
            best, best_score = link, score
    return best


def _is_crowded(task: JobTask, link: AgentLink) -> bool:
    """Tell whether the worker has as many tasks of the step as it may."""
    if not task.step.max_per_worker:
        return False
    same = sum(
        order.task.job is task.job and order.task.ref.step == task.ref.step
        for order in link.orders.values()
    )
    return same >= task.step.max_per_worker

"""Selects the worker for a task from the reports of all workers."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from persimmoncrank.coordination.dispatch._agent_link import AgentLink
    from persimmoncrank.coordination.dispatch._worker_jobs import JobTask

log = logging.getLogger(__name__)

# Expected wait for capacity at a fully used worker, see docs/design/placement.md.
FULL_WORKER_WAIT_S = 0.4

ChooseWorker = Callable[..., "AgentLink | None"]


def is_eligible(task: JobTask, link: AgentLink, *, withdrawn: Collection[str]) -> bool:
    """Return whether a worker may run a task, regardless of its free resources."""
    report = link.report
    if report is None or not link.is_connected or not report.is_accepting:
        return False
    return (
        report.service == task.job.job.queue.service
        and link.hello.domain not in withdrawn
        and (not task.step.label or task.step.label in report.labels)
        and task.demand.fits_in(report.capacity)
    )


def workers_with_capacity(
    task: JobTask, links: Iterable[AgentLink], *, withdrawn: Collection[str]
) -> Iterator[AgentLink]:
    """Yield the workers that may run a task now; a suspect worker gets one order at a time."""
    for link in links:
        if not task.demand.fits_in(link.free):
            continue
        if not is_eligible(task, link, withdrawn=withdrawn) or _is_at_step_limit(task, link):
            continue
        if link.report is not None and not (link.report.is_suspect and link.orders):
            yield link


def choose_worker(
    task: JobTask, links: Iterable[AgentLink], *, withdrawn: Collection[str]
) -> AgentLink | None:
    """Return the worker with free capacity where the task should end first, or None.

    Workers that failed this task come last, and so do suspect ones, which fail most of what they
    start. The expected time grows with the used share of a worker, since other entries send orders
    to it too and an order that does not fit has to wait.
    """
    found = workers_with_capacity(task, links, withdrawn=withdrawn)
    return min(found, key=lambda link: _preference_key(task, link), default=None)


def _preference_key(task: JobTask, link: AgentLink) -> tuple[bool, bool, float]:
    report = link.report
    if report is None:
        return (True, True, math.inf)
    run_s = task.nominal_s * report.slowness
    wait_s = FULL_WORKER_WAIT_S * (1 - link.free_share)
    return (
        report.worker in task.failed_workers,
        report.is_suspect,
        run_s + wait_s,
    )


def _is_at_step_limit(task: JobTask, link: AgentLink) -> bool:
    """Return whether the worker has the maximum number of tasks of the step."""
    if not task.step.max_per_worker:
        return False
    same = sum(
        order.task.job is task.job and order.task.ref.step == task.ref.step
        for order in link.orders.values()
    )
    return same >= task.step.max_per_worker

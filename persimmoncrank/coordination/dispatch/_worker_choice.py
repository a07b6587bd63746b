"""Selects the worker for a task from the reports of the workers.

Load patterns: short wide jobs whose data is on one rack beside long ones that need a fast worker,
while several entries use the same workers and most reports are older than a task takes.
"""

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
UNKNOWN_FREE_SHARE = 0.4
MAX_ORDERS_PER_WORKER = 1_000  # of one entry; tasks may need no resources at all
MAX_PROBES = 4  # per task; each refused probe costs two round trips

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
    task: JobTask, links: Iterable[AgentLink], *, withdrawn: Collection[str], now_s: float
) -> Iterator[AgentLink]:
    """Yield the workers that may run a task now; a suspect worker gets one order at a time.

    A worker whose free capacity is not known any more may be probed with an order that it refuses
    if it is full.
    """
    for link in links:
        if len(link.orders) >= MAX_ORDERS_PER_WORKER:
            continue
        if not (_has_capacity(task, link, now_s=now_s) or _may_probe(task, link, now_s=now_s)):
            continue
        if not is_eligible(task, link, withdrawn=withdrawn) or _is_at_step_limit(task, link):
            continue
        if link.report is not None and not (link.report.is_suspect and link.orders):
            yield link


def _has_capacity(task: JobTask, link: AgentLink, *, now_s: float) -> bool:
    return link.is_current(now_s=now_s) and task.demand.fits_in(link.free)


def _may_probe(task: JobTask, link: AgentLink, *, now_s: float) -> bool:
    return (
        not link.is_current(now_s=now_s)
        and task.probes < MAX_PROBES
        and now_s >= link.probe_after_s
        and not link.orders
    )


def run_time_s(task: JobTask, link: AgentLink) -> float:
    """Return the expected run time of a task at speed 1, longer on a worker far from its data."""
    if task.step.rack and not is_near_data(task, link):
        return task.nominal_s * task.remote_data_factor
    return task.nominal_s


def is_near_data(task: JobTask, link: AgentLink) -> bool:
    """Return whether a worker is on the rack of the task's data."""
    return link.report is not None and task.step.rack in link.report.labels


def choose_worker(
    task: JobTask, links: Iterable[AgentLink], *, withdrawn: Collection[str], now_s: float
) -> AgentLink | None:
    """Return the worker with free capacity where the task should end first, or None.

    Workers that failed this task come last, and so do suspect ones, which fail most of what they
    start. The expected time grows with the used share of a worker, since other entries send orders
    to it too and an order that does not fit has to wait. A task waits for a worker near its data
    as long as only such a worker can end it on time.
    """
    found = workers_with_capacity(task, links, withdrawn=withdrawn, now_s=now_s)
    best = min(found, key=lambda link: _preference_key(task, link, now_s=now_s), default=None)
    if best is not None and _should_wait_for_data(task, best, now_s=now_s):
        return None
    return best


def _should_wait_for_data(task: JobTask, link: AgentLink, *, now_s: float) -> bool:
    if not task.step.rack or is_near_data(task, link):
        return False
    on_time_until_s = task.job.arrived_at_s + task.job.objective_s
    ends_late = now_s + run_time_s(task, link) > on_time_until_s
    return ends_late and now_s + task.nominal_s <= on_time_until_s


def _preference_key(task: JobTask, link: AgentLink, *, now_s: float) -> tuple[bool, bool, float]:
    report = link.report
    if report is None:
        return (True, True, math.inf)
    run_s = run_time_s(task, link) * report.slowness
    free_share = link.free_share if link.is_current(now_s=now_s) else UNKNOWN_FREE_SHARE
    wait_s = FULL_WORKER_WAIT_S * (1 - free_share)
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

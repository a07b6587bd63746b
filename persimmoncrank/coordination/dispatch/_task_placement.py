"""Places pending tasks on workers and orders them from their agents.

Load pattern: jobs of thousands of tasks, most of which wait. So the tasks of a step wait together,
and a pass looks only at the first of those that find no worker.
"""

from __future__ import annotations

import bisect
import itertools
import logging
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.coordination.dispatch._agent_link import AgentLink, OpenOrder
from persimmoncrank.coordination.dispatch._agent_streams import AgentStreams
from persimmoncrank.coordination.dispatch._containment import (
    Containment,
    choose_confined,
    choose_for_trial,
)
from persimmoncrank.coordination.dispatch._routing import Routing
from persimmoncrank.coordination.dispatch._worker_choice import (
    ChooseWorker,
    is_near_data,
    run_time_s,
)
from persimmoncrank.coordination.dispatch._worker_jobs import JobRun, JobTask, TaskState
from persimmoncrank.protocol import TaskOrder
from persimmoncrank.state import EntryCounters

if TYPE_CHECKING:
    from collections.abc import Sequence


log = logging.getLogger(__name__)

# A probe may wait this long at a full worker, where a task of high priority gets the next room.
PROBE_WAIT_S = 0.04
MAX_UNPLACED_STEPS = 8  # per pass; bounds its cost when most tasks wait for certain workers


@dataclass(kw_only=True, eq=False, slots=True)
class _PendingStep:
    """The tasks of one step of a job that wait for a worker."""

    key: tuple[int, float]
    tasks: deque[JobTask] = field(default_factory=deque)


@dataclass(kw_only=True)
class _Pass:
    """What one pass over the pending tasks has found: the pools that are full."""

    now_s: float
    full_pools: set[bool] = field(default_factory=set)
    unplaced_steps: int = 0


@dataclass(kw_only=True)
class TaskPlacement:
    """The tasks that wait for a worker, by step, in the order in which they are placed.

    ``_steps`` holds the steps with pending tasks, ``_steps_by_job`` also those without.
    """

    streams: AgentStreams
    routing: Routing
    containment: Containment
    counters: EntryCounters
    choose: ChooseWorker
    pending_count: int = 0
    _steps: list[_PendingStep] = field(default_factory=list)
    _steps_by_job: dict[JobRun, dict[int, _PendingStep]] = field(default_factory=dict)
    _order_ids: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    _requested: anyio.Event = field(default_factory=anyio.Event)

    async def run(self) -> None:
        """Place the pending tasks after each request, until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            self.place()

    def request(self) -> None:
        """Place the pending tasks soon, if there are any."""
        if self.pending_count:
            self._requested.set()

    def add(self, tasks: Sequence[JobTask]) -> None:
        """Add pending tasks of one job, behind those with the same key."""
        self.pending_count += len(tasks)
        steps = self._steps_by_job.setdefault(tasks[0].job, {})
        for number, of_step in itertools.groupby(tasks, key=lambda task: task.ref.step):
            step = steps.setdefault(number, _PendingStep(key=tasks[0].job.placement_key))
            if not step.tasks:
                bisect.insort_right(self._steps, step, key=_placement_key)
            step.tasks.extend(of_step)

    def remove(self, job: JobRun) -> None:
        """Remove the pending tasks of a job."""
        steps = self._steps_by_job.pop(job, {})
        for step in steps.values():
            self.pending_count -= len(step.tasks)
            step.tasks.clear()
        if steps:
            self._drop_empty_steps()

    def _drop_empty_steps(self) -> None:
        self._steps = [step for step in self._steps if step.tasks]

    def place(self) -> None:
        """Place pending tasks in order until no worker has capacity for the next one.

        A task that only certain workers may run, or run in time, does not block the tasks behind
        it; its agents start waiting orders by priority. Neither does one whose trial has to wait.
        """
        current = _Pass(now_s=anyio.current_time())
        self.containment.update(self.streams.links.values(), now_s=current.now_s)
        count_before = self.pending_count
        for step in self._steps:
            if self.containment.is_confined(step.tasks[0]) not in current.full_pools:
                self._place_step(step, current)
            if len(current.full_pools) == self.containment.pool_count:
                break
        if self.pending_count < count_before:
            self._drop_empty_steps()

    def _place_step(self, step: _PendingStep, current: _Pass) -> None:
        """Place the tasks of a step until one finds no worker, except for trials that wait."""
        waiting: list[JobTask] = []
        while step.tasks:
            task = step.tasks[0]
            is_suspect = self.containment.is_suspect(task)
            link = self._find_worker(task, is_suspect=is_suspect, now_s=current.now_s)
            if link is None and not is_suspect:
                current.unplaced_steps += 1
                if not _is_selective(task) or current.unplaced_steps >= MAX_UNPLACED_STEPS:
                    current.full_pools.add(self.containment.is_confined(task))
                break
            step.tasks.popleft()
            if link is None:
                waiting.append(task)
            else:
                self.pending_count -= 1
                self._order_task(task, link, is_trial=is_suspect, now_s=current.now_s)
        step.tasks.extendleft(reversed(waiting))

    def _find_worker(self, task: JobTask, *, is_suspect: bool, now_s: float) -> AgentLink | None:
        """Return the worker for a pending task, or None if it has to wait."""
        if is_suspect and not self.containment.may_try(self.streams.links.values(), now_s=now_s):
            return None
        candidates = (
            self.streams.links.values()
            if is_suspect
            else self.streams.index.candidates(task.step.label or task.step.rack, now_s=now_s)
        )
        choose = self.choose
        if is_suspect:
            choose = choose_for_trial
        elif self.containment.is_confined(task):
            choose = choose_confined
        links = self.containment.usable_links(task, candidates)
        return choose(task, links, withdrawn=self.routing.withdrawn, now_s=now_s)

    def _order_task(self, task: JobTask, link: AgentLink, *, is_trial: bool, now_s: float) -> None:
        job, report = task.job, link.report
        is_probe = not link.is_current(now_s=now_s)
        start_within_s = max(job.useful_until_s - now_s, 0.0)
        order = TaskOrder(
            order_id=next(self._order_ids),
            worker_incarnation=report.worker_incarnation if report else 0,
            ref=task.ref,
            payload=job.job.payload,
            demand=task.demand,
            priority=job.job.queue.priority,
            rank=job.latest_start_s - now_s,
            nominal_s=run_time_s(task, link),
            start_within_s=min(start_within_s, PROBE_WAIT_S) if is_probe else start_within_s,
            kind=task.kind,
        )
        if is_trial:
            self.containment.start_trial(order.order_id, now_s=now_s)
            self.counters.trials += 1
        task.state = TaskState.ORDERED
        task.order_id = order.order_id
        open_order = OpenOrder(task=task, order=order, is_probe=is_probe)
        job.open_orders[order.order_id] = link.hello.incarnation
        link.queue_start(open_order, now_s=now_s)
        self.counters.tasks_placed += 1
        log.info(
            "placement: task ordered job=%s task=%d.%d worker=%s slowness=%.2f free_cpu=%d"
            " report_age_ms=%d near_data=%s trial=%s",
            task.ref.job_id,
            task.ref.step,
            task.ref.index,
            report.worker if report else "none",
            report.slowness if report else 1.0,
            link.free.cpu_millis,
            (now_s - link.heard_at_s) * 1000,
            is_near_data(task, link) if task.step.rack else "any",
            is_trial,
        )


def _is_selective(task: JobTask) -> bool:
    """Return whether only some workers may run a task, or run it in time."""
    return bool(task.step.label or task.step.rack or task.step.max_per_worker)


def _placement_key(step: _PendingStep) -> tuple[int, float]:
    return step.key

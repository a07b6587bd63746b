"""The state of a job at the entry that coordinates it."""

from __future__ import annotations

import enum
import functools
import logging
from dataclasses import dataclass, field

import anyio

from persimmoncrank.protocol import Demand, Step, TaskRef, WorkerJob, WorkerJobAnswer

log = logging.getLogger(__name__)

MAX_TASKS_PER_JOB = 10_000
LATE_FACTOR = 3.0  # an answer later than three times the objective is useless to the caller


class TaskState(enum.Enum):
    """The states of a task at its entry."""

    BLOCKED = "blocked"
    PENDING = "pending"
    ORDERED = "ordered"
    DONE = "done"


@dataclass(kw_only=True, slots=True, eq=False)
class JobTask:
    """A task of a job, with its newest order and the workers on which it has failed.

    ``probes`` counts the orders that a worker of unknown free capacity refused. Far from its data,
    the task takes ``remote_data_factor`` times as long.
    """

    job: JobRun
    ref: TaskRef
    step: Step
    nominal_s: float
    state: TaskState = TaskState.BLOCKED
    order_id: int = 0
    failures: int = 0
    probes: int = 0
    remote_data_factor: float = 1.0
    failed_workers: set[str] = field(default_factory=set)

    @property
    def demand(self) -> Demand:
        """The resources that the task needs on a worker."""
        return self.step.demand

    @property
    def kind(self) -> str:
        """The code that the task runs: its image, or its queue if it names none."""
        return self.step.image or self.job.job.queue.name


@dataclass(kw_only=True, slots=True)
class _StepProgress:
    """What is left of a step, and the numbers of the steps that are after it."""

    tasks: list[JobTask]
    unfinished_tasks: int
    unfinished_earlier: int
    dependents: list[int] = field(default_factory=list)

    def release(self) -> list[JobTask]:
        """Mark the tasks as pending and return them."""
        for task in self.tasks:
            task.state = TaskState.PENDING
        return self.tasks


@dataclass(kw_only=True, eq=False)
class JobRun:
    """A running job.

    ``is_abandoned`` is set if the job cannot be served; it is answered after its orders have ended.
    ``open_orders`` maps the ids of the orders that have not ended to the agents' incarnations.
    """

    job: WorkerJob
    arrived_at_s: float
    critical_path_s: float
    tasks: list[JobTask] = field(default_factory=list)
    ended: anyio.Event = field(default_factory=anyio.Event)
    answer: WorkerJobAnswer | None = None
    may_have_started: bool = False
    is_abandoned: bool = False
    open_orders: dict[int, str] = field(default_factory=dict)
    _steps: list[_StepProgress] = field(default_factory=list)
    _unfinished_steps: int = 0

    @property
    def objective_s(self) -> float:
        """The time after the job's arrival within which its answer is on time."""
        queue = self.job.queue
        return queue.stretch * self.critical_path_s + queue.objective_s

    @property
    def latest_start_s(self) -> float:
        """The latest start that is on time if the tasks take the expected time."""
        return self.arrived_at_s + self.objective_s - self.critical_path_s

    @property
    def placement_key(self) -> tuple[int, float]:
        """Sort key for placement: by priority, then the least slack first."""
        return (self.job.queue.priority, self.latest_start_s)

    @functools.cached_property
    def useful_until_s(self) -> float:
        """The time after which an answer is useless to the caller."""
        useful_s = min(LATE_FACTOR * self.objective_s, self.job.deadline_s)
        return self.arrived_at_s + useful_s

    @property
    def is_answered(self) -> bool:
        """Whether the job has its answer."""
        return self.ended.is_set()

    def add_step(self, step: Step, tasks: list[JobTask]) -> None:
        """Add the tasks of the next step, which is blocked until the steps before it are done."""
        earlier = set(step.after)
        for number in earlier:
            self._steps[number].dependents.append(len(self._steps))
        self._steps.append(
            _StepProgress(tasks=tasks, unfinished_tasks=len(tasks), unfinished_earlier=len(earlier))
        )
        self._unfinished_steps += 1
        self.tasks += tasks

    def release_first_tasks(self) -> list[JobTask]:
        """Mark the tasks of the steps that are after no other one as pending; return them."""
        first = [progress for progress in self._steps if not progress.unfinished_earlier]
        return [task for progress in first for task in progress.release()]

    def complete_task(self, task: JobTask) -> list[JobTask]:
        """Mark a task as done; mark the tasks that waited for it as pending, and return them."""
        task.state = TaskState.DONE
        progress = self._steps[task.ref.step]
        progress.unfinished_tasks -= 1
        if progress.unfinished_tasks:
            return []
        self._unfinished_steps -= 1
        ready: list[JobTask] = []
        for number in progress.dependents:
            dependent = self._steps[number]
            dependent.unfinished_earlier -= 1
            if not dependent.unfinished_earlier:
                ready += dependent.release()
        return ready

    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return self._unfinished_steps == 0

    def finish(self, answer: WorkerJobAnswer) -> None:
        """Set the answer unless the job already has one."""
        if not self.is_answered:
            self.answer = answer
            self.ended.set()


def critical_path_length_s(steps: tuple[Step, ...], nominal_s: list[float]) -> float:
    """Return the expected time of the longest chain of steps; steps depend only on earlier ones."""
    ends: list[float] = []
    for step, own_s in zip(steps, nominal_s, strict=True):
        before_s = max((ends[number] for number in step.after), default=0.0)
        ends.append(before_s + own_s)
    return max(ends, default=0.0)


def find_invalid_step(steps: tuple[Step, ...]) -> str | None:
    """Return why the steps of a job are not valid, or None if they are."""
    if not steps:
        return "a job must have at least one step"
    task_count = 0
    for number, step in enumerate(steps):
        if step.count < 1:
            return f"step {number} must have at least one task, but has {step.count}"
        if not Demand().fits_in(step.demand) or step.estimate_s < 0 or step.max_per_worker < 0:
            return f"step {number} has a negative number"
        later = [other for other in step.after if not 0 <= other < number]
        if later:
            return f"step {number} is after step {later[0]}, which is not an earlier step"
        task_count += step.count
    if task_count > MAX_TASKS_PER_JOB:
        return f"a job must have at most {MAX_TASKS_PER_JOB} tasks, but this one has {task_count}"
    return None

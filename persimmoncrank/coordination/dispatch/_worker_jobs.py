"""The state of one job for workers at the entry that coordinates it."""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass, field

import anyio

from persimmoncrank.protocol import Demand, Step, TaskRef, WorkerJob, WorkerJobAnswer

log = logging.getLogger(__name__)

LATE_FACTOR = 3.0  # an answer after three times the objective is of no use to the caller


class TaskState(enum.Enum):
    """The states of a task at its entry."""

    BLOCKED = "blocked"
    PENDING = "pending"
    ORDERED = "ordered"
    DONE = "done"


@dataclass(kw_only=True, slots=True, eq=False)
class JobTask:
    """One task: where it was ordered, and which workers failed it."""

    job: JobRun
    ref: TaskRef
    step: Step
    nominal_s: float
    state: TaskState = TaskState.BLOCKED
    order_id: int = 0
    failures: int = 0
    failed_workers: set[str] = field(default_factory=set)

    @property
    def demand(self) -> Demand:
        """What the task needs of a worker."""
        return self.step.demand

    @property
    def place_order(self) -> tuple[int, float]:
        """Order in which tasks get room: by priority, then the least slack first."""
        return (self.job.job.queue.priority, self.job.latest_start_s)


@dataclass(kw_only=True, eq=False)
class JobRun:
    """One job that runs now."""

    job: WorkerJob
    arrived_at_s: float
    chain_s: float
    tasks: list[JobTask] = field(default_factory=list)
    ended: anyio.Event = field(default_factory=anyio.Event)
    answer: WorkerJobAnswer | None = None
    may_have_started: bool = False
    is_given_up: bool = False

    @property
    def objective_s(self) -> float:
        """The expected objective: how long after the job's arrival its answer is on time."""
        queue = self.job.queue
        return queue.stretch * self.chain_s + queue.objective_s

    @property
    def latest_start_s(self) -> float:
        """When the job must start in order to be on time at the expected speed."""
        return self.arrived_at_s + self.objective_s - self.chain_s

    @property
    def useful_until_s(self) -> float:
        """When an answer is of no use any more."""
        useful_s = min(LATE_FACTOR * self.objective_s, self.job.deadline_s)
        return self.arrived_at_s + useful_s

    @property
    def is_over(self) -> bool:
        """Whether the job has its answer."""
        return self.ended.is_set()

    def unblock(self) -> list[JobTask]:
        """Make the tasks of steps pending whose earlier steps are done; return them."""
        open_steps = {task.ref.step for task in self.tasks if task.state is not TaskState.DONE}
        ready = [
            task
            for task in self.tasks
            if task.state is TaskState.BLOCKED and not open_steps.intersection(task.step.after)
        ]
        for task in ready:
            task.state = TaskState.PENDING
        return ready

    def is_done(self) -> bool:
        """Tell whether all tasks are done."""
        return all(task.state is TaskState.DONE for task in self.tasks)

    def finish(self, answer: WorkerJobAnswer) -> None:
        """Set the answer, once."""
        if not self.is_over:
            self.answer = answer
            self.ended.set()


def longest_chain_s(steps: tuple[Step, ...], nominal_s: list[float]) -> float:
    """Return the time of the longest chain of steps; steps name only earlier ones."""
    ends: list[float] = []
    for step, own_s in zip(steps, nominal_s, strict=True):
        before_s = max((ends[number] for number in step.after), default=0.0)
        ends.append(before_s + own_s)
    return max(ends, default=0.0)

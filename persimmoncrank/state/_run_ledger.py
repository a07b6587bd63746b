"""An agent's account of the runs on its worker: resources, order of starts and run numbers."""

from __future__ import annotations

import bisect
import enum
import logging
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from persimmoncrank.protocol import Demand, RunRef, TaskOrder, TaskRef

if TYPE_CHECKING:
    from collections.abc import Container

log = logging.getLogger(__name__)

MAX_NUMBERED_TASKS = 20_000  # about 64 bytes per task, so 1.3 MB of an agent's 128 MB


class RunState(enum.Enum):
    """The states of a run at the agent.

    ``ORDERED`` means that the start was sent to the worker. ``UNCONFIRMED`` means that the worker
    did not answer it, so the run may still start.
    """

    QUEUED = "queued"
    ORDERED = "ordered"
    RUNNING = "running"
    UNCONFIRMED = "unclear"


@dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """One order of an entry. From ORDERED on it occupies resources until its end is certain.

    ``start_deadline_ms`` is the time on the worker's clock up to which a start that was sent may be
    carried out. ``is_listed`` is set once the worker has listed the run as running, and
    ``missing_count`` counts the later lists without it. ``is_stopping`` is set once it is no longer
    needed, and ``is_revoked`` if its task may also soon start elsewhere. ``stop_confirmed_list`` is
    the number of the last list of runs requested before the worker acknowledged the stop; only a
    list requested later shows the effect of the stop.
    """

    owner: str
    order: TaskOrder
    queued_at_s: float
    number: int = 0
    state: RunState = RunState.QUEUED
    ordered_at_s: float = 0.0
    started_at_s: float = 0.0
    start_deadline_ms: int = 0
    is_listed: bool = False
    missing_count: int = 0
    is_stopping: bool = False
    is_revoked: bool = False
    stop_cause: str = ""
    stop_confirmed_list: int | None = None
    last_percent: int = 0
    progressed_at_s: float = 0.0

    @property
    def ref(self) -> RunRef:
        """The run's identifier at the worker."""
        return RunRef(task=self.order.ref, number=self.number)

    @property
    def is_confirmed(self) -> bool:
        """Whether the worker has reported the run as running."""
        return self.started_at_s > 0.0

    @property
    def start_deadline_s(self) -> float:
        """The time at which the order becomes void if it has not started."""
        return self.queued_at_s + self.order.start_within_s


@dataclass(kw_only=True)
class RunLedger:
    """All runs of one incarnation of a worker.

    ``unknown_runs`` are runs that the worker lists but that were started by an earlier process of
    the agent.
    """

    capacity: Demand = field(default_factory=Demand)
    used: Demand = field(default_factory=Demand)
    queued: list[Run] = field(default_factory=list)
    active: dict[RunRef, Run] = field(default_factory=dict)
    unknown_runs: set[RunRef] = field(default_factory=set)
    _active_tasks: set[TaskRef] = field(default_factory=set)
    _last_numbers: OrderedDict[TaskRef, int] = field(default_factory=OrderedDict)

    @property
    def free(self) -> Demand:
        """The unused capacity; none while there are runs of unknown size."""
        if self.unknown_runs:
            return Demand()
        return self.capacity - self.used

    def add(self, run: Run) -> None:
        """Queue a run, ordered by priority, then rank, then time of arrival."""
        bisect.insort_right(self.queued, run, key=_start_order)

    def next_startable(self) -> Run | None:
        """Return the next run to start, or None if it does not fit.

        A run that does not fit blocks the runs behind it. A run is skipped while another run of the
        same task has not ended.
        """
        free = self.free
        for run in self.queued:
            if run.order.ref in self._active_tasks:
                continue
            return run if run.order.demand.fits_in(free) else None
        return None

    def mark_ordered(self, run: Run, *, now_s: float) -> None:
        """Reserve a queued run's resources and assign it the next run number of its task."""
        self.queued.remove(run)
        run.state = RunState.ORDERED
        run.ordered_at_s = now_s
        run.number = self._next_number(run.order.ref, least=1)
        self.used = self.used + run.order.demand
        self.active[run.ref] = run
        self._active_tasks.add(run.order.ref)

    def renumber(self, run: Run, *, least: int) -> None:
        """Assign an ordered run a higher number after the worker refused its number."""
        del self.active[run.ref]
        run.number = self._next_number(run.order.ref, least=least)
        self.active[run.ref] = run

    def _next_number(self, task: TaskRef, *, least: int) -> int:
        number = max(self._last_numbers.pop(task, 0) + 1, least)
        self._last_numbers[task] = number
        while len(self._last_numbers) > MAX_NUMBERED_TASKS:
            self._last_numbers.popitem(last=False)
        return number

    def release(self, run: Run) -> None:
        """Release the resources of a run whose end is certain."""
        del self.active[run.ref]
        self._active_tasks.discard(run.order.ref)
        self.used = self.used - run.order.demand

    def drop_queued(self, run: Run) -> None:
        """Remove a queued run that will not start."""
        self.queued.remove(run)

    def has_revoked_runs(self) -> bool:
        """Return whether a run is active whose task may soon start elsewhere."""
        return bool(self.unknown_runs) or any(run.is_revoked for run in self.active.values())

    def owners(self) -> set[str]:
        """Return the incarnations of the entries that ordered runs."""
        return {run.owner for run in (*self.queued, *self.active.values())}

    def owned_by(self, owner: str) -> list[Run]:
        """Return all runs ordered by one incarnation of an entry."""
        return [run for run in (*self.queued, *self.active.values()) if run.owner == owner]

    def of_jobs(self, job_ids: Container[str]) -> list[Run]:
        """Return all runs of some jobs."""
        runs = (*self.queued, *self.active.values())
        return [run for run in runs if run.order.ref.job_id in job_ids]


def _start_order(run: Run) -> tuple[int, float, float]:
    return (run.order.priority, run.order.rank, run.queued_at_s)

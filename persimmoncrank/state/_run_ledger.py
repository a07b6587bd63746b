"""The runs of one worker as its agent accounts for them: room, order of starts and numbers."""

from __future__ import annotations

import enum
import logging
from collections import OrderedDict
from dataclasses import dataclass, field

from persimmoncrank.protocol import Demand, RunRef, TaskOrder, TaskRef

log = logging.getLogger(__name__)

MAX_REMEMBERED_TASKS = 20_000  # about 64 bytes a task: 1.3 MB of an agent's 128 MB


class RunState(enum.Enum):
    """The states of a run at the agent."""

    QUEUED = "queued"
    ORDERED = "ordered"
    RUNNING = "running"
    UNCLEAR = "unclear"


@dataclass(kw_only=True, slots=True)
class Run:
    """One order of an entry. From ORDERED on it takes room until its end is certain.

    ``is_stopping`` is set once nobody wants the run any more; ``stop_confirmed_list`` is the newest
    list of runs that had been asked for when the worker acknowledged the stop.
    """

    owner: str
    order: TaskOrder
    queued_at_s: float
    number: int = 0
    state: RunState = RunState.QUEUED
    ordered_at_s: float = 0.0
    started_at_s: float = 0.0
    start_until_ms: int = 0
    is_stopping: bool = False
    stop_cause: str = ""
    stop_confirmed_list: int | None = None
    last_percent: int = 0
    progressed_at_s: float = 0.0

    @property
    def ref(self) -> RunRef:
        """The run's name at the worker."""
        return RunRef(task=self.order.ref, number=self.number)

    @property
    def void_at_s(self) -> float:
        """When the order is void if it has not started."""
        return self.queued_at_s + self.order.start_within_s


@dataclass(kw_only=True)
class RunLedger:
    """All runs of one life of a worker."""

    capacity: Demand = field(default_factory=Demand)
    used: Demand = field(default_factory=Demand)
    queued: list[Run] = field(default_factory=list)
    active: dict[RunRef, Run] = field(default_factory=dict)
    strangers: set[RunRef] = field(default_factory=set)
    _numbers: OrderedDict[TaskRef, int] = field(default_factory=OrderedDict)

    @property
    def free(self) -> Demand:
        """The room that is left; none while there are runs of unknown size."""
        if self.strangers:
            return Demand()
        return self.capacity - self.used

    def add(self, run: Run) -> None:
        """Queue a run behind those of a better priority and rank."""
        self.queued.append(run)
        self.queued.sort(key=_start_order)

    def next_startable(self) -> Run | None:
        """Return the first queued run that fits, unless a better one waits for the same room.

        A run is skipped while another run of the same task has not ended.
        """
        free = self.free
        for run in self.queued:
            if self._has_active(run.order.ref):
                continue
            return run if run.order.demand.fits_in(free) else None
        return None

    def _has_active(self, task: TaskRef) -> bool:
        return any(ref.task == task for ref in self.active)

    def mark_ordered(self, run: Run, *, now_s: float) -> None:
        """Take a queued run's room, and give it the next number of its task."""
        self.queued.remove(run)
        run.state = RunState.ORDERED
        run.ordered_at_s = now_s
        run.number = self._next_number(run.order.ref, least=1)
        self.used = self.used + run.order.demand
        self.active[run.ref] = run

    def renumber(self, run: Run, *, least: int) -> None:
        """Give an ordered run a higher number after the worker refused its number."""
        del self.active[run.ref]
        run.number = self._next_number(run.order.ref, least=least)
        self.active[run.ref] = run

    def _next_number(self, task: TaskRef, *, least: int) -> int:
        number = max(self._numbers.pop(task, 0) + 1, least)
        self._numbers[task] = number
        while len(self._numbers) > MAX_REMEMBERED_TASKS:
            self._numbers.popitem(last=False)
        return number

    def release(self, run: Run) -> None:
        """Free the room of a run whose end is certain."""
        del self.active[run.ref]
        self.used = self.used - run.order.demand

    def drop_queued(self, run: Run) -> None:
        """Forget a run that did not start."""
        self.queued.remove(run)

    def owned_by(self, owner: str) -> list[Run]:
        """Return all runs of an entry's incarnation."""
        return [run for run in (*self.queued, *self.active.values()) if run.owner == owner]


def _start_order(run: Run) -> tuple[int, float, float]:
    return (run.order.priority, run.order.rank, run.queued_at_s)

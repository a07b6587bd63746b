"""A stand-in for a worker of the platform, which simulates runs of tasks under a lease."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from persimmoncrank.protocol import (
    Demand,
    EndedRun,
    Renewal,
    RunEndKind,
    RunList,
    RunningRun,
    RunRef,
    StartRefusal,
    StartReply,
    StartRun,
    TaskRef,
    WorkerFault,
    WorkerFaultKind,
    WorkerHeartbeat,
    WorkerPort,
)

log = logging.getLogger(__name__)

STOP_DELAY_S = 0.05
MAX_LEASE_MS = 1_000
CALL_DELAY_S = 0.0005
MIN_LATE_DELAY_S = 2.0
MAX_LATE_DELAY_S = 12.0
TICK_S = 0.005


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerHistoryEntry:
    """One run in the worker's history; ``ended_at_s`` is None while it is running.

    ``is_late`` is true if the order was executed seconds after it had arrived.
    """

    worker: str
    run: RunRef
    payload: str
    started_at_s: float
    ended_at_s: float | None
    kind: RunEndKind | None
    is_late: bool = False


@dataclass(kw_only=True)
class _ActiveRun:
    """One run that has not ended yet."""

    order: StartRun
    started_at_s: float
    ends_at_s: float
    fails: bool
    is_late: bool
    stops_at_s: float | None = None
    percent: int = 0


@dataclass(kw_only=True)
class WorkerFaults:
    """Simulated faults of a worker.

    ``late_share`` is the share of orders (starts and stops) that are executed seconds after their
    arrival and get no answer. ``lost_answer_share`` is the share of the other orders that are
    executed at once and whose answer is lost. ``is_failing`` makes new runs fail after 10 ms,
    ``is_hanging`` stops the progress and the normal end of runs, and ``is_unresponsive`` leaves
    every call without effect and answer.
    """

    late_share: float = 0.0
    lost_answer_share: float = 0.0
    is_failing: bool = False
    is_hanging: bool = False
    is_unresponsive: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashRecord:
    """A crash in the worker's history, and the tasks that were running."""

    worker: str
    at_s: float
    tasks: frozenset[TaskRef]


@dataclass(kw_only=True, eq=False)
class WorkerStandin:
    """One worker. ``run_s`` returns a task's duration at speed 1, ``poison`` whether it fails.

    ``crashes_after_s`` returns how long after its start a task crashes the worker, if it does. The
    worker is then down for ``restart_s``: calls fail as if nothing listened at its address.
    """

    name: str
    capacity: Demand
    rng: random.Random
    run_s: Callable[[TaskRef], float]
    service: str = "svc"
    slowness: float = 1.0
    labels: tuple[str, ...] = ()
    poison: Callable[[TaskRef], bool] = lambda _task: False
    crashes_after_s: Callable[[TaskRef], float | None] = lambda _task: None
    restart_s: float = 3.0
    incarnation: int = 1
    is_draining: bool = False
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    history: list[WorkerHistoryEntry] = field(default_factory=list)
    crashes: list[CrashRecord] = field(default_factory=list)
    resizes: list[tuple[float, Demand]] = field(default_factory=list)
    _down_until_s: float = 0.0
    _sequence: int = 0
    _clock_origin_s: float = 0.0
    _lease_until_ms: int = 0
    _fence: int = 0
    _running: dict[RunRef, _ActiveRun] = field(default_factory=dict)
    _ended: list[EndedRun] = field(default_factory=list)
    _last_numbers: dict[TaskRef, int] = field(default_factory=dict)
    _cursor: int = 0
    _group: TaskGroup | None = None

    async def run(self) -> None:
        """End due runs at each tick until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                self._end_due_runs()
                await anyio.sleep(TICK_S)

    def heartbeat(self) -> WorkerHeartbeat:
        """Return a heartbeat with the next sequence number."""
        self._sequence += 1
        return WorkerHeartbeat(
            worker=self.name,
            incarnation=self.incarnation,
            address="",
            service=self.service,
            labels=self.labels,
            capacity=self.capacity,
            is_draining=self.is_draining,
            sequence=self._sequence,
            clock_ms=self.clock_ms,
        )

    def resize(self, capacity: Demand) -> None:
        """Change the capacity; the worker's next heartbeat shows it."""
        self.resizes.append((anyio.current_time(), self.capacity))
        self.capacity = capacity

    def max_capacity(self, *, since_s: float, until_s: float) -> Demand:
        """Return the largest capacity in a time span, for each resource."""
        changes = [*self.resizes, (math.inf, self.capacity)]
        starts_s = [-math.inf, *(at_s for at_s, _ in self.resizes)]
        found = [
            capacity
            for from_s, (to_s, capacity) in zip(starts_s, changes, strict=True)
            if from_s <= until_s and to_s >= since_s
        ]
        return Demand(
            cpu_millis=max(capacity.cpu_millis for capacity in found),
            memory_mb=max(capacity.memory_mb for capacity in found),
            accelerators=max(capacity.accelerators for capacity in found),
        )

    @property
    def has_runs(self) -> bool:
        """Whether any run is active."""
        self._end_due_runs()
        return bool(self._running)

    @property
    def is_down(self) -> bool:
        """Whether the worker has crashed and not started again."""
        return anyio.current_time() < self._down_until_s

    def crash(self, *, down_s: float = 0.0) -> None:
        """End all runs; start again after ``down_s`` as a new incarnation with empty state."""
        self._end_due_runs()
        tasks = frozenset(run.task for run in self._running)
        self.crashes.append(CrashRecord(worker=self.name, at_s=anyio.current_time(), tasks=tasks))
        self._down_until_s = anyio.current_time() + down_s
        for run in list(self._running):
            self._end(run, RunEndKind.LAPSED)
        self.incarnation += 1
        self._clock_origin_s = anyio.current_time()
        self._sequence = self._cursor = self._fence = self._lease_until_ms = 0
        self._ended.clear()
        self._last_numbers.clear()

    def port(self, worker: WorkerHeartbeat) -> WorkerPort:
        """Return the port to one incarnation of this worker."""

        async def start(order: StartRun) -> Result[StartReply, WorkerFault]:
            return await self._call(
                worker,
                lambda is_late: self._start(order, is_late=is_late),
                is_order=True,
            )

        async def stop(run: RunRef, fence: int) -> Result[int, WorkerFault]:
            return await self._call(worker, lambda _is_late: self._stop(run, fence), is_order=True)

        async def renew(renewal: Renewal) -> Result[RunList, WorkerFault]:
            return await self._renew(worker, renewal)

        return WorkerPort(start=start, stop=stop, renew=renew)

    @property
    def clock_ms(self) -> int:
        """The worker's monotonic clock, which starts at 0 in each incarnation."""
        return int((anyio.current_time() - self._clock_origin_s) * 1000)

    async def _call(
        self, expected: WorkerHeartbeat, execute: Callable[[bool], Result], *, is_order: bool
    ) -> Result:
        await anyio.sleep(CALL_DELAY_S)
        if self.faults.is_unresponsive:
            await anyio.sleep_forever()
        if self.is_down:
            return _down()
        if not self._is_expected(expected):
            return _wrong_incarnation()
        if is_order and self.rng.random() < self.faults.late_share:
            delay_s = self.rng.uniform(MIN_LATE_DELAY_S, MAX_LATE_DELAY_S)
            if self._group is not None:
                self._group.start_soon(self._execute_later, self.incarnation, execute, delay_s)
            await anyio.sleep_forever()
        self._end_due_runs()
        answer = execute(False)
        if is_order and self.rng.random() < self.faults.lost_answer_share:
            await anyio.sleep_forever()
        await anyio.sleep(CALL_DELAY_S)
        return answer

    async def _execute_later(
        self, incarnation: int, execute: Callable[[bool], Result], delay_s: float
    ) -> None:
        await anyio.sleep(delay_s)
        if incarnation == self.incarnation:
            self._end_due_runs()
            execute(True)

    def _start(self, order: StartRun, *, is_late: bool) -> Result[StartReply, WorkerFault]:
        if order.fence < self._fence:
            return Ok(StartReply(clock_ms=self.clock_ms, refusal=StartRefusal.STALE_FENCE))
        self._fence = order.fence
        self._extend_lease(order.until_ms)
        if order.run in self._running:
            return Ok(StartReply(clock_ms=self.clock_ms, refusal=None))
        if order.run.number <= self._last_numbers.get(order.run.task, 0):
            return Ok(StartReply(clock_ms=self.clock_ms, refusal=StartRefusal.OLD_RUN))
        if order.until_ms <= self.clock_ms:
            return Ok(StartReply(clock_ms=self.clock_ms, refusal=StartRefusal.LATE))
        now_s = anyio.current_time()
        work_s = self.run_s(order.run.task) * self.slowness
        self._running[order.run] = _ActiveRun(
            order=order,
            started_at_s=now_s,
            ends_at_s=now_s + (0.01 if self.faults.is_failing else work_s),
            fails=self.faults.is_failing or self.poison(order.run.task),
            is_late=is_late,
        )
        self._record_history(order.run, None)
        crash_delay_s = self.crashes_after_s(order.run.task)
        if crash_delay_s is not None and self._group is not None:
            self._group.start_soon(self._crash_later, order.run, crash_delay_s)
        return Ok(StartReply(clock_ms=self.clock_ms, refusal=None))

    async def _crash_later(self, run: RunRef, delay_s: float) -> None:
        incarnation = self.incarnation
        await anyio.sleep(delay_s)
        if incarnation == self.incarnation and run in self._running:
            self.crash(down_s=self.restart_s)

    def _stop(self, run: RunRef, fence: int) -> Result[int, WorkerFault]:
        if fence < self._fence:
            fault = WorkerFault(
                kind=WorkerFaultKind.STALE_FENCE, message="a higher fence has been received"
            )
            return Err(fault)
        self._fence = fence
        highest = max(self._last_numbers.get(run.task, 0), run.number)
        self._last_numbers[run.task] = highest
        running = self._running.get(run)
        if running is not None and running.stops_at_s is None:
            running.stops_at_s = anyio.current_time() + STOP_DELAY_S
        return Ok(self.clock_ms)

    def _is_expected(self, expected: WorkerHeartbeat) -> bool:
        return (expected.worker, expected.incarnation) == (self.name, self.incarnation)

    async def _renew(
        self, expected: WorkerHeartbeat, renewal: Renewal
    ) -> Result[RunList, WorkerFault]:
        await anyio.sleep(CALL_DELAY_S)
        if self.faults.is_unresponsive:
            await anyio.sleep_forever()
        if self.is_down:
            return _down()
        if not self._is_expected(expected):
            return _wrong_incarnation()
        if renewal.fence < self._fence:
            fault = WorkerFault(
                kind=WorkerFaultKind.STALE_FENCE, message="a higher fence has been received"
            )
            return Err(fault)
        self._fence = renewal.fence
        if renewal.until_ms is not None:
            self._extend_lease(renewal.until_ms)
        self._ended = [end for end in self._ended if end.cursor > renewal.seen_cursor]
        until_s = anyio.current_time() + renewal.wait_ms / 1000
        while not self._ended and anyio.current_time() < until_s and not self.is_down:
            await anyio.sleep(TICK_S)
        if self.is_down:
            fault = WorkerFault(kind=WorkerFaultKind.NO_ANSWER, message="the connection was closed")
            return Err(fault)
        if not self._is_expected(expected):
            return _wrong_incarnation()
        self._end_due_runs()
        answer = RunList(
            clock_ms=self.clock_ms,
            incarnation=self.incarnation,
            running=tuple(
                RunningRun(run=run, percent=self._percent(running))
                for run, running in self._running.items()
            ),
            ended=tuple(self._ended),
        )
        await anyio.sleep(CALL_DELAY_S)
        return Ok(answer)

    def _percent(self, running: _ActiveRun) -> int:
        """Return a run's progress, which does not change while the worker hangs."""
        if not self.faults.is_hanging:
            done_s = anyio.current_time() - running.started_at_s
            work_s = max(running.ends_at_s - running.started_at_s, TICK_S)
            running.percent = min(int(100 * done_s / work_s), 99)
        return running.percent

    def _extend_lease(self, until_ms: int) -> None:
        self._lease_until_ms = max(
            self._lease_until_ms, min(until_ms, self.clock_ms + MAX_LEASE_MS)
        )

    def _end_due_runs(self) -> None:
        """End runs that have finished, were stopped or whose lease has expired."""
        now_s = anyio.current_time()
        is_lapsed = self.clock_ms > self._lease_until_ms
        for run, running in list(self._running.items()):
            if running.stops_at_s is not None and running.stops_at_s <= now_s:
                self._end(run, RunEndKind.STOPPED)
            elif is_lapsed:
                self._end(run, RunEndKind.LAPSED)
            elif running.ends_at_s <= now_s and not self.faults.is_hanging:
                self._end(run, RunEndKind.FAILED if running.fails else RunEndKind.DONE)

    def _end(self, run: RunRef, kind: RunEndKind) -> None:
        self._record_history(run, kind)
        del self._running[run]
        self._last_numbers[run.task] = max(self._last_numbers.get(run.task, 0), run.number)
        self._cursor += 1
        self._ended.append(EndedRun(cursor=self._cursor, run=run, kind=kind))

    def _record_history(self, run: RunRef, kind: RunEndKind | None) -> None:
        running = self._running[run]
        entry = WorkerHistoryEntry(
            worker=self.name,
            run=run,
            payload=running.order.payload,
            started_at_s=running.started_at_s,
            ended_at_s=anyio.current_time() if kind is not None else None,
            kind=kind,
            is_late=running.is_late,
        )
        if kind is not None:
            self.history = [
                recorded
                for recorded in self.history
                if (recorded.run, recorded.started_at_s) != (run, running.started_at_s)
            ]
        self.history.append(entry)


def _down() -> Err[WorkerFault]:
    return Err(WorkerFault(kind=WorkerFaultKind.DOWN, message="the connection was refused"))


def _wrong_incarnation() -> Err[WorkerFault]:
    message = "another incarnation of the worker answered"
    return Err(WorkerFault(kind=WorkerFaultKind.WRONG_INCARNATION, message=message))

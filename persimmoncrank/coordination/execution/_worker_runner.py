"""Runs tasks on one life of a worker: the only caller of the worker and the guard of its room.

Each order goes out under a lease that the runner renews. A start that is not answered keeps its
room until the worker confirmed a stop or the order's time on the worker's clock has passed, since
the worker may carry it out late.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from persimmoncrank.coordination.execution._worker_clock import WorkerClock
from persimmoncrank.protocol import (
    Demand,
    EndedRun,
    OrderOutcome,
    Renewal,
    RunEndKind,
    RunList,
    RunRef,
    StartRefusal,
    StartReply,
    StartRun,
    WorkerFault,
    WorkerFaultKind,
)
from persimmoncrank.state import (
    MIN_PROGRESS_PERCENT,
    Run,
    RunLedger,
    RunState,
    WorkerHealth,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from anyio.abc import TaskGroup

    from persimmoncrank.protocol import WorkerHeartbeat, WorkerPort

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.1
RENEWAL_WAIT_S = 0.15
RENEWAL_PAUSE_S = 0.02
CHECK_INTERVAL_S = 0.05
IDLE_CHECK_INTERVAL_S = 0.25
FENCE_STEP = 1_000_000
MAX_START_TRIES = 4
MISSING_LISTS_TO_LOSE = 3
SLOWEST_CLOCK = 1.02  # a worker's clock may be 2% slow
LAPSE_MARGIN_S = 0.05
SILENCE_S = 2 * (RENEWAL_WAIT_S + CALL_TIMEOUT_S)

_OUTCOMES = {
    RunEndKind.DONE: OrderOutcome.DONE,
    RunEndKind.FAILED: OrderOutcome.FAILED,
    RunEndKind.STOPPED: OrderOutcome.STOPPED,
    RunEndKind.LAPSED: OrderOutcome.LOST,
    RunEndKind.BROKEN: OrderOutcome.LOST,
    RunEndKind.ALONE: OrderOutcome.LOST,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class RunnerEvents:
    """What the runner tells its agent: starts, ends with outcome, time and cause, and changes."""

    started: Callable[[Run], None]
    ended: Callable[[Run, OrderOutcome, float, str], None]
    changed: Callable[[], None]
    may_start: Callable[[Run], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class _AskedList:
    """Which list of runs this is, by the order in which they were asked for, and since when."""

    number: int
    at_s: float


class WorkerRunner:
    """The runs of one life of a worker."""

    def __init__(
        self,
        *,
        worker: WorkerHeartbeat,
        port: WorkerPort,
        lease_s: float,
        fence: int,
        events: RunnerEvents,
        health: WorkerHealth | None = None,
    ) -> None:
        """Create a runner; nothing starts before the worker has listed its runs."""
        self.worker = worker
        self.ledger = RunLedger(capacity=worker.capacity)
        self.health = health or WorkerHealth()
        self.fence = fence
        self.is_over = False
        self._port = port
        self._lease_s = lease_s
        self._events = events
        self._clock = WorkerClock()
        self._seen_cursor = 0
        self._missing: dict[RunRef, int] = {}
        self._is_listed = False
        self._listed_at_s = 0.0
        self._lists_asked = 0
        self._extended_at_s = 0.0
        self._group: TaskGroup | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the worker answers: it has listed its runs a short while ago."""
        return self._is_listed and self._now() - self._listed_at_s < SILENCE_S

    @property
    def free(self) -> Demand:
        """The room that is left."""
        return self.ledger.free if self._is_listed else Demand()

    @staticmethod
    def _now() -> float:
        return anyio.current_time()

    async def run(self) -> None:
        """Serve the worker until its life is over."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._check_forever)
            await self._renew_forever()
            group.cancel_scope.cancel()

    def end_life(self, cause: str) -> None:
        """Take note that the worker's life is over: nothing runs on it any more."""
        if self.is_over:
            return
        self.is_over = True
        log.warning("agent: worker gone worker=%s cause=%s", self.worker.worker, cause)
        for run in list(self.ledger.queued):
            self._end_queued(run, cause)
        for run in list(self.ledger.active.values()):
            self._end(run, OrderOutcome.LOST, cause)
        if self._group is not None:
            self._group.cancel_scope.cancel()

    def submit(self, run: Run) -> None:
        """Queue an order and start what fits."""
        self.ledger.add(run)
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued runs while the best of them fits."""
        if self._group is None or self.is_over or not self.is_ready:
            return
        while True:
            run = self.ledger.next_startable()
            if run is None or not self.health.may_start(
                now_s=self._now(), active=len(self.ledger.active)
            ):
                return
            if not self._events.may_start(run):
                self._end_queued(run, "the agent may not start it now")
                continue
            self.ledger.mark_ordered(run, now_s=self._now())
            self._group.start_soon(self._start, run)

    def stop(self, run: Run, cause: str) -> None:
        """Stop a run that nobody wants any more."""
        if run.state is RunState.QUEUED:
            if run in self.ledger.queued:
                self._end_queued(run, cause)
            return
        if run.is_stopping or self._group is None:
            return
        run.is_stopping = True
        run.stop_cause = cause
        self._group.start_soon(self._stop, run)

    # Starts and stops.

    async def _start(self, run: Run) -> None:
        """Order a start, and again after a refusal that a corrected order avoids."""
        for _ in range(MAX_START_TRIES):
            answer = await self._order_start(run)
            if self.ledger.active.get(run.ref) is not run:
                return
            refusal = self._note_start(run, answer)
            if refusal is None:
                return
            if not self._correct(run, refusal):
                self._end(run, OrderOutcome.NOT_STARTED, f"the worker refused: {refusal}")
                return
        self._end(run, OrderOutcome.NOT_STARTED, "the worker refused each order")

    async def _order_start(self, run: Run) -> Result[StartReply, WorkerFault]:
        until_ms = self._clock.estimate_ms(now_s=self._now()) + int(self._lease_s * 1000)
        run.start_until_ms = max(run.start_until_ms, until_ms)
        self._extended_at_s = self._now()
        order = StartRun(
            run=run.ref, payload=run.order.payload, until_ms=until_ms, fence=self.fence
        )
        return await _within(CALL_TIMEOUT_S, self._port.start(order))

    def _note_start(self, run: Run, answer: Result[StartReply, WorkerFault]) -> StartRefusal | None:
        """Take note of the answer to a start; return the refusal, if it was one."""
        match answer:
            case Ok(reply) if reply.refusal is None:
                self._clock.note(reply.clock_ms, now_s=self._now())
                self._mark_running(run)
            case Ok(reply):
                self._clock.note(reply.clock_ms, now_s=self._now())
                return reply.refusal
            case Err(fault) if fault.kind is WorkerFaultKind.WRONG_LIFE:
                self.end_life(fault.message)
            case Err(fault) if fault.kind is WorkerFaultKind.NOT_CONNECTED:
                self._end(run, OrderOutcome.NOT_STARTED, fault.message)
            case Err(fault) if run.state is RunState.ORDERED:
                run.state = RunState.UNCLEAR
                log.warning(
                    "agent: start not answered job=%s task=%d.%d run=%d cause=%s",
                    *_name(run),
                    fault.message,
                )
                self.stop(run, "the start was not answered")
        return None

    def _correct(self, run: Run, refusal: StartRefusal) -> bool:
        """Prepare another order after a refusal; return False if none can help."""
        if run.is_stopping:
            return False
        if refusal is StartRefusal.FENCE:
            self.fence += FENCE_STEP
            return True
        if refusal is StartRefusal.OLD_RUN:
            self.ledger.renumber(run, least=2 * run.number + 1)
            return True
        return refusal is StartRefusal.LATE

    def _mark_running(self, run: Run) -> None:
        if run.state is RunState.RUNNING:
            return
        run.state = RunState.RUNNING
        run.started_at_s = self._now()
        run.progressed_at_s = run.started_at_s
        self._events.started(run)

    async def _stop(self, run: Run) -> None:
        """Order a stop until the worker confirms it; the run's end is listed later."""
        while self.ledger.active.get(run.ref) is run:
            answer = await _within(CALL_TIMEOUT_S, self._port.stop(run.ref, self.fence))
            match answer:
                case Ok(clock_ms):
                    self._clock.note(clock_ms, now_s=self._now())
                    run.stop_confirmed_list = self._lists_asked
                    if run.state is RunState.UNCLEAR:
                        await self._ask_for_list(wait_s=0.0)
                    return
                case Err(fault) if fault.kind is WorkerFaultKind.WRONG_LIFE:
                    self.end_life(fault.message)
                case Err(fault) if fault.kind is WorkerFaultKind.FENCE:
                    self.fence += FENCE_STEP
                case Err(fault):
                    log.warning(
                        "agent: stop not answered job=%s task=%d.%d run=%d cause=%s",
                        *_name(run),
                        fault.message,
                    )
                    await anyio.sleep(RENEWAL_PAUSE_S)

    # The worker's lease and its list of runs.

    async def _renew_forever(self) -> None:
        is_lost = False
        while not self.is_over:
            answer = await self._ask_for_list(wait_s=RENEWAL_WAIT_S if self._is_listed else 0.0)
            match answer:
                case Ok(_):
                    if is_lost:
                        log.info("agent: worker answers again worker=%s", self.worker.worker)
                    is_lost = False
                case Err(fault):
                    is_lost = self._note_failed_renewal(fault, was_lost=is_lost)
                    await anyio.sleep(RENEWAL_PAUSE_S)

    async def _ask_for_list(self, *, wait_s: float) -> Result[RunList, WorkerFault]:
        """Renew the lease and take note of the runs; the worker waits up to ``wait_s`` for news."""
        self._lists_asked += 1
        asked = _AskedList(number=self._lists_asked, at_s=self._now())
        call = self._port.renew(self._renewal(wait_s))
        answer = await _within(RENEWAL_WAIT_S + CALL_TIMEOUT_S, call)
        if isinstance(answer, Ok):
            self._note_list(answer.unwrap(), asked)
        return answer

    def _renewal(self, wait_s: float) -> Renewal:
        """Return the next renewal; it extends no lease of a worker that does not answer.

        So the lease of such a worker runs out at a known time, and nothing runs on it any more.
        """
        until_ms = None
        if self._clock.is_known and (self.is_ready or not self._is_listed):
            self._extended_at_s = self._now()
            until_ms = self._clock.estimate_ms(now_s=self._now()) + int(self._lease_s * 1000)
        return Renewal(
            fence=self.fence,
            seen_cursor=self._seen_cursor,
            until_ms=until_ms,
            wait_ms=int(wait_s * 1000),
        )

    def _note_failed_renewal(self, fault: WorkerFault, *, was_lost: bool) -> bool:
        if fault.kind is WorkerFaultKind.WRONG_LIFE:
            self.end_life(fault.message)
        if fault.kind is WorkerFaultKind.FENCE:
            self.fence += FENCE_STEP
            log.info("agent: fence raised worker=%s fence=%d", self.worker.worker, self.fence)
        elif not was_lost:
            log.warning(
                "agent: worker does not answer worker=%s cause=%s",
                self.worker.worker,
                fault.message,
            )
            self._events.changed()
        lapse_s = self._lease_s * SLOWEST_CLOCK + LAPSE_MARGIN_S
        if self.ledger.active and self._now() - self._extended_at_s > lapse_s:
            self._lose_all("the worker's lease has run out")
        return True

    def _lose_all(self, cause: str) -> None:
        log.warning(
            "agent: runs lost worker=%s runs=%d cause=%s",
            self.worker.worker,
            len(self.ledger.active),
            cause,
        )
        for run in list(self.ledger.active.values()):
            self._end(run, OrderOutcome.LOST, cause)

    def _note_list(self, runs: RunList, asked: _AskedList) -> None:
        if runs.life != self.worker.life:
            self.end_life(f"the worker answers as life {runs.life}")
            return
        now_s = self._now()
        if not self._clock.note(runs.clock_ms, now_s=now_s):
            return
        was_ready = self.is_ready
        self._is_listed = True
        self._listed_at_s = now_s
        for end in runs.ended:
            self._note_end(end)
        running = {entry.run: entry.percent for entry in runs.running}
        self._note_strangers(set(running))
        for run in list(self.ledger.active.values()):
            self._note_listed(run, running.get(run.ref), runs, asked)
        self._note_progress(now_s)
        if not was_ready:
            self._events.changed()
        self.start_queued()

    def _note_progress(self, now_s: float) -> None:
        """Learn the worker's speed from its runs, and stop those that stand still."""
        ratios: defaultdict[str, list[float]] = defaultdict(list)
        for run in list(self.ledger.active.values()):
            if run.state is not RunState.RUNNING or run.is_stopping:
                continue
            if run.last_percent >= MIN_PROGRESS_PERCENT:
                ran_s = run.progressed_at_s - run.started_at_s
                ratio = 100 * ran_s / run.last_percent / max(run.order.nominal_s, 0.001)
                ratios[run.order.ref.job_id].append(ratio)
            limit_s = self.health.hang_limit_s(nominal_s=run.order.nominal_s)
            if now_s - run.progressed_at_s > limit_s:
                self.health.note_failed(job_id=run.order.ref.job_id, now_s=now_s)
                self.stop(run, f"no progress for {limit_s:.2f} s")
        self.health.note_progress(ratios)

    def _note_end(self, end: EndedRun) -> None:
        if end.cursor <= self._seen_cursor:
            return
        self._seen_cursor = end.cursor
        run = self.ledger.active.get(end.run)
        if run is not None:
            self._end(run, _OUTCOMES[end.kind], run.stop_cause or end.kind.value)

    def _note_strangers(self, running: set[RunRef]) -> None:
        """Stop runs of an earlier process of the agent; until they end there is no room."""
        unknown = {ref for ref in running if ref not in self.ledger.active}
        for ref in unknown - self.ledger.strangers:
            log.info("agent: stop unknown run job=%s run=%d", ref.task.job_id, ref.number)
            if self._group is not None:
                self._group.start_soon(self._stop_stranger, ref)
        if unknown != self.ledger.strangers:
            self.ledger.strangers = unknown
            self._events.changed()

    async def _stop_stranger(self, ref: RunRef) -> None:
        while ref in self.ledger.strangers:
            await _within(CALL_TIMEOUT_S, self._port.stop(ref, self.fence))
            await anyio.sleep(CHECK_INTERVAL_S)

    def _note_listed(self, run: Run, percent: int | None, runs: RunList, asked: _AskedList) -> None:
        """Compare a run with a list of runs."""
        if percent is not None:
            self._missing.pop(run.ref, None)
            if run.state is not RunState.RUNNING and not run.is_stopping:
                self._mark_running(run)
            if percent != run.last_percent:
                run.last_percent = percent
                run.progressed_at_s = self._now()
            return
        if run.state is RunState.UNCLEAR:
            is_void = runs.clock_ms > run.start_until_ms
            confirmed = run.stop_confirmed_list
            is_stopped = confirmed is not None and confirmed < asked.number
            if is_void or is_stopped:
                self._end(run, OrderOutcome.NOT_STARTED, run.stop_cause or "void")
        elif run.state is RunState.RUNNING and run.started_at_s < asked.at_s:
            missing = self._missing.get(run.ref, 0) + 1
            self._missing[run.ref] = missing
            if missing >= MISSING_LISTS_TO_LOSE:
                self._end(run, OrderOutcome.LOST, "the worker no longer lists it")

    # Ends.

    def _end_queued(self, run: Run, cause: str) -> None:
        self.ledger.drop_queued(run)
        self._events.ended(run, OrderOutcome.NOT_STARTED, 0.0, cause)

    def _end(self, run: Run, outcome: OrderOutcome, cause: str) -> None:
        now_s = self._now()
        self.ledger.release(run)
        self._missing.pop(run.ref, None)
        run_s = now_s - run.started_at_s if run.started_at_s else 0.0
        if outcome is OrderOutcome.DONE:
            self.health.note_done(run_s=run_s, nominal_s=run.order.nominal_s)
        if outcome is OrderOutcome.FAILED and self.health.note_failed(
            job_id=run.order.ref.job_id, now_s=now_s
        ):
            log.warning("agent: worker suspect worker=%s", self.worker.worker)
        self._events.ended(run, outcome, run_s, cause)
        self.start_queued()

    async def _check_forever(self) -> None:
        """Drop queued orders whose time to start has passed."""
        while True:
            is_idle = not self.ledger.queued
            await anyio.sleep(IDLE_CHECK_INTERVAL_S if is_idle else CHECK_INTERVAL_S)
            now_s = self._now()
            for run in [run for run in self.ledger.queued if run.void_at_s <= now_s]:
                self._end_queued(run, "it found no room in time")
            self.start_queued()


def _name(run: Run) -> tuple[str, int, int, int]:
    ref = run.order.ref
    return (ref.job_id, ref.step, ref.index, run.number)


async def _within(timeout_s: float, call: Awaitable[Result]) -> Result:
    """Await a call to the worker for a bounded time."""
    with anyio.move_on_after(timeout_s):
        return await call
    fault = WorkerFault(kind=WorkerFaultKind.NO_ANSWER, message=f"no answer within {timeout_s:g} s")
    return Err(fault)

"""Runs tasks on one incarnation of a worker, as its only caller, and accounts for its capacity.

Each start is sent under a lease that the runner renews. The resources of a start that was not
answered stay reserved until the worker has confirmed a stop or the time limit of the start has
passed on the worker's clock, since the worker may still carry it out late.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from persimmoncrank.coordination.execution._run_decisions import (
    CHECK_INTERVAL_S,
    MISSING_LISTS_BEFORE_LOST,
    OUTCOMES,
    ListRequest,
    find_hanging_runs,
    has_never_started,
    is_missing,
    log_fields,
    queue_check_delay_s,
)
from persimmoncrank.coordination.execution._worker_calls import RETRY_DELAY_S
from persimmoncrank.coordination.execution._worker_connection import (
    ENDS_PAUSE_S,
    IDLE_LIST_WAIT_S,
    LIST_WAIT_S,
    WorkerConnection,
)
from persimmoncrank.coordination.execution._worker_crash import (
    describe_crash,
    is_sent_after,
    stop_at_next_incarnation,
)
from persimmoncrank.coordination.execution._worker_lease import WorkerLease
from persimmoncrank.protocol import (
    Demand,
    EndedRun,
    OrderOutcome,
    RunList,
    RunRef,
    StartRefusal,
    StartReply,
    WorkerFault,
    WorkerFaultKind,
)
from persimmoncrank.state import (
    Run,
    RunLedger,
    RunState,
    WorkerHealth,
)

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from persimmoncrank.coordination.execution._runner_callbacks import RunnerCallbacks
    from persimmoncrank.protocol import WorkerHeartbeat, WorkerPort

log = logging.getLogger(__name__)

MAX_START_ATTEMPTS = 4
MIN_START_LEASE_S = 0.25  # a revoked lease that ends sooner would end the run as well
_NOT_SENT = (WorkerFaultKind.NOT_CONNECTED, WorkerFaultKind.DOWN)


class WorkerRunner:
    """The runs on one incarnation of a worker."""

    def __init__(
        self,
        *,
        worker: WorkerHeartbeat,
        port: WorkerPort,
        lease_s: float,
        lease_limit_s: float,
        fence: int,
        events: RunnerCallbacks,
        health: WorkerHealth | None = None,
    ) -> None:
        """Create a runner; it starts no run before the worker has listed its runs.

        Leases last ``lease_s``; a worker shortens a longer one to ``lease_limit_s``.
        """
        self.worker = worker
        self.ledger = RunLedger(capacity=worker.capacity)
        self.health = health or WorkerHealth()
        self.is_terminated = False
        self._lease = WorkerLease(lease_s=lease_s, limit_s=lease_limit_s)
        self._connection = WorkerConnection(
            port=port,
            lease=self._lease,
            fence=fence,
            before_extension=events.before_extension,
        )
        self._events = events
        self._unexplained_runs: list[Run] = []
        self._unresponsive_since_s: float | None = None
        self._queue_changed = anyio.Event()
        self._group: TaskGroup | None = None
        self._doubtful_runs: list[tuple[Run, OrderOutcome, str]] = []

    @property
    def is_ready(self) -> bool:
        """Whether the worker has listed its runs within ``UNRESPONSIVE_AFTER_S``."""
        return not self.is_terminated and self._connection.is_responsive

    @property
    def free(self) -> Demand:
        """The free resources; none before the worker has listed its runs."""
        return self.ledger.free if self._connection.is_listed else Demand()

    @property
    def fence(self) -> int:
        """The current fencing token of the agent's calls to the worker."""
        return self._connection.fence

    @staticmethod
    def _now() -> float:
        return anyio.current_time()

    async def run(self) -> None:
        """Serve the worker until ``terminate`` is called."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._run_queue_checks)
            await self._run_renewals()
            group.cancel_scope.cancel()
        self._group = None
        async with anyio.create_task_group() as group:
            for run, outcome, cause in self._doubtful_runs:
                group.start_soon(self._settle_doubtful_run, run, outcome, cause)

    def terminate(self, cause: str, *, down_since_s: float | None = None) -> None:
        """End all runs, since this incarnation of the worker no longer exists.

        Unless the worker was draining, it has crashed. Starts that are still being sent to a worker
        that is down have had no effect on this incarnation. The end of a run that this incarnation
        has not listed is reported once it is not active on the next one.
        """
        if self.is_terminated:
            return
        self.is_terminated = True
        has_crashed = not self.worker.is_draining
        active = list(self.ledger.active.values())
        unsent = [run for run in active if is_sent_after(run, down_since_s)]
        active = [run for run in active if run not in unsent]
        log.warning(
            "agent: worker incarnation ended worker=%s crashed=%s runs=%d lost_before=%d cause=%s",
            self.worker.worker,
            has_crashed,
            len(active),
            len(self._unexplained_runs),
            cause,
        )
        if has_crashed:
            crashed_at_s = self._now() if down_since_s is None else down_since_s
            crashed = describe_crash(
                active,
                self._unexplained_runs,
                crashed_at_s=crashed_at_s,
                lease_until_s=self._lease.until_s,
            )
            if crashed:
                self._events.crashed(crashed)
        for run in list(self.ledger.queued):
            self._end_queued(run, cause)
        outcome = OrderOutcome.CRASHED if has_crashed else OrderOutcome.LOST
        self._doubtful_runs = [(run, OrderOutcome.NOT_STARTED, cause) for run in unsent]
        self._doubtful_runs += [(run, outcome, cause) for run in active if not run.is_listed]
        for run in [run for run in active if run.is_listed]:
            self._end_run(run, outcome, cause)
        if self._group is not None:
            self._group.cancel_scope.cancel()

    async def _settle_doubtful_run(self, run: Run, outcome: OrderOutcome, cause: str) -> None:
        """End a run once it is not active on the worker's next incarnation."""
        with anyio.move_on_after(self._lease.longest_until_s - self._now()):
            ended_as = await stop_at_next_incarnation(
                run.ref, port=self._connection.port, fence=self._connection.fence
            )
            if ended_as is not None:
                outcome, cause = ended_as, "the worker's next incarnation received the start"
        self._end_run(run, outcome, cause)

    def is_delayed(self, heartbeat: WorkerHeartbeat, *, limit_s: float) -> bool:
        """Return whether the worker sent a heartbeat more than ``limit_s`` ago."""
        clock, is_same = self._lease.clock, heartbeat.incarnation == self.worker.incarnation
        return is_same and clock.is_older(heartbeat.clock_ms, age_s=limit_s, now_s=self._now())

    def update_worker(self, heartbeat: WorkerHeartbeat) -> None:
        """Apply a heartbeat of the same incarnation, whose capacity may have changed."""
        if self.is_terminated:
            return
        self.worker = heartbeat
        if heartbeat.capacity == self.ledger.capacity:
            return
        log.info(
            "agent: capacity changed worker=%s cpu=%d cpu_before=%d cpu_used=%d memory_mb=%d",
            heartbeat.worker,
            heartbeat.capacity.cpu_millis,
            self.ledger.capacity.cpu_millis,
            self.ledger.used.cpu_millis,
            heartbeat.capacity.memory_mb,
        )
        self.ledger.capacity = heartbeat.capacity
        for run in list(self.ledger.queued):
            if not run.order.demand.fits_in(heartbeat.capacity):
                self._end_queued(run, "the worker's capacity has shrunk")
        self.start_queued()
        self._events.changed()

    def submit(self, run: Run) -> None:
        """Queue a run, then start the queued runs that fit."""
        if self.is_terminated:
            self._events.ended(run, OrderOutcome.NOT_STARTED, 0.0, "the worker restarted")
            return
        self.ledger.add(run)
        self.start_queued()
        if self.ledger.queued:
            self._queue_changed.set()

    def start_queued(self) -> None:
        """Start queued runs, in order, while the first of them fits."""
        if self._group is None or self.is_terminated or not self.is_ready:
            return
        if self._lease.remaining_s(now_s=self._now()) < MIN_START_LEASE_S:
            return
        while True:
            run = self.ledger.next_startable()
            if run is None or not self.health.may_start(
                now_s=self._now(), active=len(self.ledger.active)
            ):
                return
            if not self._events.may_start(run):
                self._end_queued(run, "the agent may not start the task now")
                continue
            self.ledger.mark_ordered(run, now_s=self._now())
            self._group.start_soon(self._start, run)

    def revoke(self, run: Run, cause: str, *, lost_before_s: float = 0.0) -> None:
        """Stop a run whose task may start elsewhere without a report of this run's end.

        If the worker does not confirm the stop, the run ends with the worker's lease, at most one
        lease after its entry was lost, which was ``lost_before_s`` ago.
        """
        if run.state is not RunState.QUEUED and not self.is_terminated:
            run.is_revoked = True
            self._lease.revoke_after_one_lease(now_s=self._now(), lost_before_s=lost_before_s)
        self.stop(run, cause)

    def stop(self, run: Run, cause: str) -> None:
        """Stop a run that is no longer needed; its entry waits for the report of its end."""
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
        """Send a start to the worker; retry refusals that a corrected request can avoid."""
        for _ in range(MAX_START_ATTEMPTS):
            answer = await self._connection.start(run)
            if self.is_terminated or self.ledger.active.get(run.ref) is not run:
                return
            refusal = self._handle_start_reply(run, answer)
            if refusal is None:
                return
            if not self._prepare_retry(run, refusal):
                self._end_run(run, OrderOutcome.NOT_STARTED, f"the worker refused: {refusal}")
                return
        self._end_run(run, OrderOutcome.NOT_STARTED, "the worker refused every start request")

    def _handle_start_reply(
        self, run: Run, answer: Result[StartReply, WorkerFault]
    ) -> StartRefusal | None:
        """Process the answer to a start; return the refusal, if it was one."""
        match answer:
            case Ok(reply) if reply.refusal is None:
                self._lease.clock.update(reply.clock_ms, now_s=self._now())
                self._mark_running(run)
            case Ok(reply):
                self._lease.clock.update(reply.clock_ms, now_s=self._now())
                return reply.refusal
            case Err(fault) if fault.kind is WorkerFaultKind.WRONG_INCARNATION:
                self.terminate(fault.message)
            case Err(fault) if fault.kind in _NOT_SENT:
                self._end_run(run, OrderOutcome.NOT_STARTED, fault.message)
                if fault.kind is WorkerFaultKind.DOWN:
                    self._handle_refused_connection(fault)
            case Err(fault) if run.state is RunState.ORDERED:
                run.state = RunState.UNCONFIRMED
                log.warning(
                    "agent: start not answered job=%s task=%d.%d run=%d cause=%s",
                    *log_fields(run),
                    fault.message,
                )
                self.stop(run, "the start was not answered")
        return None

    def _prepare_retry(self, run: Run, refusal: StartRefusal) -> bool:
        """Prepare another start after a refusal; return False if it would be refused again."""
        if run.is_stopping:
            return False
        if refusal is StartRefusal.STALE_FENCE:
            self._connection.raise_fence()
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
        """Send a stop until the worker confirms it; the run's end appears in a later list."""
        while self.ledger.active.get(run.ref) is run:
            answer = await self._connection.stop(run.ref, is_revoked=run.is_revoked)
            match answer:
                case Ok(clock_ms):
                    self._lease.clock.update(clock_ms, now_s=self._now())
                    run.stop_confirmed_list = self._connection.list_request_count
                    if run.state is RunState.UNCONFIRMED:
                        await self._request_list(wait_s=0.0)
                    return
                case Err(fault) if fault.kind is WorkerFaultKind.WRONG_INCARNATION:
                    self.terminate(fault.message)
                case Err(fault) if fault.kind is WorkerFaultKind.STALE_FENCE:
                    self._connection.raise_fence()
                case Err(fault):
                    log.warning(
                        "agent: stop not answered job=%s task=%d.%d run=%d cause=%s",
                        *log_fields(run),
                        fault.message,
                    )
                    await anyio.sleep(RETRY_DELAY_S)

    # The worker's lease and its list of runs.

    async def _run_renewals(self) -> None:
        is_unresponsive = False
        while not self.is_terminated:
            answer = await self._request_list(wait_s=self._list_wait_s())
            match answer:
                case Ok(runs):
                    if is_unresponsive:
                        log.info("agent: worker answers again worker=%s", self.worker.worker)
                    is_unresponsive = False
                    self._unresponsive_since_s = None
                    self._unexplained_runs.clear()
                    if runs.ended:
                        await anyio.sleep(ENDS_PAUSE_S)
                case Err(fault):
                    is_unresponsive = self._handle_renewal_failure(
                        fault, was_unresponsive=is_unresponsive
                    )
                    await anyio.sleep(RETRY_DELAY_S)

    def _list_wait_s(self) -> float:
        if not self._connection.is_listed:
            return 0.0
        is_idle = not (self.ledger.active or self.ledger.queued or self.ledger.unknown_runs)
        return IDLE_LIST_WAIT_S if is_idle else LIST_WAIT_S

    async def _request_list(self, *, wait_s: float) -> Result[RunList, WorkerFault]:
        """Renew the lease and process the list of runs; a long poll of up to ``wait_s``."""
        request, answer = await self._connection.request_list(wait_s=wait_s)
        if isinstance(answer, Ok) and not self.is_terminated:
            self._handle_list(answer.unwrap(), request)
        return answer

    def _handle_renewal_failure(self, fault: WorkerFault, *, was_unresponsive: bool) -> bool:
        if fault.kind is WorkerFaultKind.DOWN:
            self._handle_refused_connection(fault)
        if self._unresponsive_since_s is None:
            self._unresponsive_since_s = self._now()
        if fault.kind is WorkerFaultKind.WRONG_INCARNATION:
            self.terminate(fault.message)
        if fault.kind is WorkerFaultKind.STALE_FENCE:
            self._connection.raise_fence()
            log.info(
                "agent: fencing token raised worker=%s fence=%d",
                self.worker.worker,
                self._connection.fence,
            )
        elif not was_unresponsive:
            log.warning(
                "agent: worker does not answer worker=%s cause=%s",
                self.worker.worker,
                fault.message,
            )
            self._events.changed()
        has_expired = self._lease.has_expired(now_s=self._now())
        if self.ledger.active and has_expired and not self.is_terminated:
            self._mark_all_lost("the worker's lease has expired")
        return True

    def _handle_refused_connection(self, fault: WorkerFault) -> None:
        """Terminate if a call before failed too: the connection broke, and a new one is refused."""
        if self._unresponsive_since_s is not None:
            self.terminate(
                f"nothing listens at the worker's address: {fault.message}",
                down_since_s=self._unresponsive_since_s,
            )

    def _mark_all_lost(self, cause: str) -> None:
        log.warning(
            "agent: runs lost worker=%s runs=%d cause=%s",
            self.worker.worker,
            len(self.ledger.active),
            cause,
        )
        for run in list(self.ledger.active.values()):
            self._unexplained_runs.append(run)
            self._end_run(run, OrderOutcome.LOST, cause)

    def _handle_list(self, runs: RunList, request: ListRequest) -> None:
        if runs.incarnation != self.worker.incarnation:
            self.terminate(f"the worker answered as incarnation {runs.incarnation}")
            return
        now_s = self._now()
        if not self._lease.clock.update(runs.clock_ms, now_s=now_s):
            return
        was_ready = self.is_ready
        self._connection.is_listed = True
        self._connection.listed_at_s = now_s
        for end in runs.ended:
            self._handle_end(end)
        running = {entry.run: entry.percent for entry in runs.running}
        self._update_unknown_runs(set(running))
        for run in list(self.ledger.active.values()):
            self._reconcile_run(run, running.get(run.ref), runs, request)
        hanging = find_hanging_runs(list(self.ledger.active.values()), self.health, now_s=now_s)
        for run, cause in hanging:
            self.stop(run, cause)
        if not was_ready:
            self._events.changed()
        self.start_queued()

    def _handle_end(self, end: EndedRun) -> None:
        if end.cursor <= self._connection.seen_cursor:
            return
        self._connection.seen_cursor = end.cursor
        run = self.ledger.active.get(end.run)
        if run is not None:
            self._end_run(run, OUTCOMES[end.kind], run.stop_cause or end.kind.value)

    def _update_unknown_runs(self, running: set[RunRef]) -> None:
        """Stop runs of an earlier process of the agent; no run starts until they have ended."""
        unknown = {ref for ref in running if ref not in self.ledger.active}
        if unknown:
            self._lease.revoke()
        for ref in unknown - self.ledger.unknown_runs:
            log.info("agent: stopping unknown run job=%s run=%d", ref.task.job_id, ref.number)
            if self._group is not None:
                self._group.start_soon(self._stop_unknown_run, ref)
        if unknown != self.ledger.unknown_runs:
            self.ledger.unknown_runs = unknown
            self._restore_lease()
            self._events.changed()

    def _restore_lease(self) -> None:
        """Extend the lease as usual once no run is left that has to end with it."""
        if self._lease.is_revoked and not self.ledger.has_revoked_runs():
            self._lease.restore()

    async def _stop_unknown_run(self, ref: RunRef) -> None:
        while ref in self.ledger.unknown_runs:
            await self._connection.stop(ref)
            await anyio.sleep(CHECK_INTERVAL_S)

    def _reconcile_run(
        self, run: Run, percent: int | None, runs: RunList, request: ListRequest
    ) -> None:
        """Update an active run from a list of runs; end it if it cannot be active any more."""
        if percent is not None:
            run.is_listed = True
            run.missing_count = 0
            if run.state is not RunState.RUNNING and not run.is_stopping:
                self._mark_running(run)
            if percent != run.last_percent:
                run.last_percent = percent
                run.progressed_at_s = self._now()
            return
        if run.state is RunState.UNCONFIRMED:
            if has_never_started(run, runs, request):
                self._end_run(run, OrderOutcome.NOT_STARTED, run.stop_cause or "the start expired")
        elif is_missing(run, request):
            run.missing_count += 1
            if run.missing_count >= MISSING_LISTS_BEFORE_LOST:
                self._end_run(run, OrderOutcome.LOST, "the worker no longer lists the run")

    # Ends.

    def _end_queued(self, run: Run, cause: str) -> None:
        self.ledger.drop_queued(run)
        self._events.ended(run, OrderOutcome.NOT_STARTED, 0.0, cause)

    def _end_run(self, run: Run, outcome: OrderOutcome, cause: str) -> None:
        now_s = self._now()
        self.ledger.release(run)
        run_s = now_s - run.started_at_s if run.started_at_s else 0.0
        if outcome is OrderOutcome.DONE:
            self.health.record_success(run_s=run_s, nominal_s=run.order.nominal_s)
        if outcome is OrderOutcome.FAILED and self.health.record_failure(
            job_id=run.order.ref.job_id, now_s=now_s
        ):
            log.warning("agent: worker suspect worker=%s", self.worker.worker)
        self._restore_lease()
        self._events.ended(run, outcome, run_s, cause)
        self.start_queued()

    async def _run_queue_checks(self) -> None:
        """Drop queued runs that can no longer start in time, and start those that fit."""
        while True:
            self._queue_changed = anyio.Event()
            with anyio.move_on_after(queue_check_delay_s(self.ledger, now_s=self._now())):
                await self._queue_changed.wait()
            now_s = self._now()
            for run in [run for run in self.ledger.queued if run.start_deadline_s <= now_s]:
                self._end_queued(run, "no capacity in time to start")
            self.start_queued()

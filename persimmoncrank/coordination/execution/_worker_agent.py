"""The agent of one worker: runs the orders of all entries and reports to them."""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import msgspec
from result import Result

from persimmoncrank.coordination.execution._entry_links import EntryLinks
from persimmoncrank.coordination.execution._incarnation_claims import (
    IncarnationClaim,
    IncarnationClaims,
)
from persimmoncrank.coordination.execution._runner_callbacks import RunnerCallbacks
from persimmoncrank.coordination.execution._table_reads import TableReads
from persimmoncrank.coordination.execution._worker_runner import WorkerRunner
from persimmoncrank.protocol import (
    AgentHello,
    CrashedRun,
    Demand,
    DialStream,
    EntryFrame,
    OrderOutcome,
    RowChanges,
    StoreError,
    WorkerCrash,
    WorkerHeartbeat,
    WorkerPort,
    WorkerReport,
)
from persimmoncrank.state import (
    AgentCounters,
    CancelledJobs,
    LatencyHistogram,
    Run,
    WorkerHealth,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmoncrank.coordination.execution._entry_session import EntrySession

log = logging.getLogger(__name__)

CANCELLED_CAUSE = "the job was cancelled"
DRAIN_POLL_INTERVAL_S = 0.02
LEASE_WAIT_S = 0.5  # an order without a lease after this time came from an entry that is gone
LEASE_WAIT_CHECK_INTERVAL_S = 0.1
REPORTED_SLOWNESS_DIGITS = 2
MAX_HEARTBEAT_AGE = 2.25  # in intervals, so that one heartbeat may be lost
MAX_HELD_ORDERS = 4_000  # of all entries; tasks may need no resources at all
HEARTBEAT_TIMEOUT_S = 1.0  # a worker gives up a heartbeat that is not acknowledged within this time


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentPorts:
    """The external interfaces of an agent.

    ``lease_clock`` is a clock in seconds that also counts time during which the machine was
    suspended. ``first_fence`` is the first fencing token; it should be higher than those of the
    agent's earlier processes, and the runner raises it if the worker refuses it. ``read_table``
    returns all rows of the operator's table.
    """

    dial: DialStream
    worker_port: Callable[[WorkerHeartbeat], WorkerPort]
    lease_clock: Callable[[], float]
    first_fence: int
    read_table: Callable[[], Awaitable[Result[RowChanges, StoreError]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseTimes:
    """The durations of an entry's lease at an agent and of an agent's lease at its worker.

    A worker shortens leases to ``worker_lease_limit_s``. ``heartbeat_interval_s`` is the time
    between two of its heartbeats.
    """

    entry_lease_s: float
    worker_lease_s: float
    worker_lease_limit_s: float
    heartbeat_interval_s: float


class WorkerAgent:
    """Runs tasks on one worker on behalf of all entries."""

    def __init__(self, *, hello: AgentHello, ports: AgentPorts, times: LeaseTimes) -> None:
        """Create an agent; it accepts no orders before the first heartbeat of its worker."""
        self.hello = hello
        self.runner: WorkerRunner | None = None
        self._previous_runner: WorkerRunner | None = None
        self.counters = AgentCounters()
        self.run_times = LatencyHistogram()
        self.wait_times = LatencyHistogram()
        self.config_version = 0
        self.withdrawn: frozenset[str] = frozenset()
        self.links = EntryLinks(
            agent=hello,
            dial=ports.dial,
            lease_s=times.entry_lease_s,
            lease_clock=ports.lease_clock,
            report=self._report,
            held_orders=self._held_orders,
            started_orders=self._started_orders,
            order_owners=self._order_owners,
            on_frame=self._on_frame,
            on_lease_lost=self._on_lease_lost,
        )
        self._ports = ports
        self._times = times
        self._heartbeat: WorkerHeartbeat | None = None
        self._last_heartbeat: WorkerHeartbeat | None = None
        self._heartbeat_at_s = 0.0
        self._claims = IncarnationClaims(
            worker_port=ports.worker_port,
            fence=self._fence,
            clock=ports.lease_clock,
            expires_after_s=MAX_HEARTBEAT_AGE * times.heartbeat_interval_s,
            on_confirmed=self._on_incarnation_confirmed,
        )
        self._table_reads = TableReads(read=ports.read_table)
        self._waiting_for_lease: list[Run] = []
        self.cancelled_jobs = CancelledJobs()
        self._lease_awaited = anyio.Event()
        self._worker_changed = anyio.Event()
        self._is_leaving = False
        self._stop = anyio.Event()

    async def run(self) -> None:
        """Serve until ``stop`` is called and all runs have ended."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.links.run)
            group.start_soon(self._claims.run)
            group.start_soon(self._table_reads.run)
            group.start_soon(self._serve_incarnations)
            group.start_soon(self._run_lease_wait_checks)
            await self._stop.wait()
            await self._wait_for_runs()
            group.cancel_scope.cancel()

    def stop(self) -> None:
        """Accept no more orders and return the queued ones; ``run`` ends once no run is active."""
        log.info("agent: draining agent=%s", self.hello.incarnation)
        self._is_leaving = True
        self._return_queued_orders("the agent is leaving")
        self.links.wake_all_senders()
        self._stop.set()

    async def _wait_for_runs(self) -> None:
        while self.runner is not None and self.runner.ledger.active:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)

    # The worker.

    def handle_heartbeat(self, heartbeat: WorkerHeartbeat) -> bool:
        """Process a heartbeat of the worker; return False if it is out of date.

        One that names another incarnation takes effect once the worker has confirmed it.
        """
        known = self._heartbeat
        if known is None or not _is_same_incarnation(known, heartbeat):
            self._claims.add(heartbeat)
            return True
        if heartbeat.sequence < known.sequence:
            log.info(
                "agent: out-of-date heartbeat ignored worker=%s life=%d seq=%d known_seq=%d",
                heartbeat.worker,
                heartbeat.incarnation,
                heartbeat.sequence,
                known.sequence,
            )
            return False
        if self.runner is not None and self.runner.is_delayed(
            heartbeat, limit_s=HEARTBEAT_TIMEOUT_S
        ):
            log.info("agent: delayed heartbeat ignored worker=%s", heartbeat.worker)
            return False
        self._apply_heartbeat(known, heartbeat)
        return True

    def _apply_heartbeat(self, known: WorkerHeartbeat, heartbeat: WorkerHeartbeat) -> None:
        """Apply a heartbeat of the current incarnation."""
        was_accepting = self._is_accepting()
        self._heartbeat = self._last_heartbeat = heartbeat
        self._heartbeat_at_s = self._ports.lease_clock()
        if self.runner is None:
            self._worker_changed.set()
        else:
            self.runner.update_worker(heartbeat)
        if self._is_accepting() is not was_accepting:
            self.links.wake_all_senders()
        if known.is_draining != heartbeat.is_draining:
            log.info(
                "agent: worker draining worker=%s draining=%s",
                heartbeat.worker,
                heartbeat.is_draining,
            )
            self._return_queued_orders("the worker is draining")
            self.links.wake_all_senders()

    def _on_incarnation_confirmed(self, claim: IncarnationClaim) -> None:
        """Replace the worker's incarnation by the one that answers at its address."""
        known, heartbeat = self._heartbeat, claim.heartbeat
        if known is not None and _is_same_incarnation(known, heartbeat):
            return
        log.info(
            "agent: new worker incarnation worker=%s life=%d service=%s known_worker=%s"
            " known_life=%d",
            heartbeat.worker,
            heartbeat.incarnation,
            heartbeat.service,
            known.worker if known is not None else "none",
            known.incarnation if known is not None else 0,
        )
        self._heartbeat = self._last_heartbeat = heartbeat
        self._heartbeat_at_s = claim.received_at_s
        if self.runner is not None and not _is_same_incarnation(self.runner.worker, heartbeat):
            self.runner.terminate("another incarnation answers at the worker's address")
        self._worker_changed.set()

    def _fence(self) -> int:
        """Return the fencing token of the calls that are made outside of a runner."""
        return self._ports.first_fence if self.runner is None else self.runner.fence

    def handle_deregistration(self, worker: str) -> None:
        """Drain the worker, which is about to end; its runs are active until it has ended."""
        known = self._heartbeat
        if known is None or known.worker != worker:
            log.info("agent: deregistration ignored worker=%s", worker)
            return
        log.info("agent: worker deregistered worker=%s life=%d", worker, known.incarnation)
        self._apply_heartbeat(known, dataclasses.replace(known, is_draining=True))

    async def _serve_incarnations(self) -> None:
        """Run a runner for each incarnation of the worker in turn."""
        while True:
            await self._worker_changed.wait()
            self._worker_changed = anyio.Event()
            heartbeat = self._heartbeat
            if heartbeat is None:
                continue
            self.runner = WorkerRunner(
                worker=heartbeat,
                port=self._ports.worker_port(heartbeat),
                lease_s=self._times.worker_lease_s,
                lease_limit_s=self._times.worker_lease_limit_s,
                fence=self._ports.first_fence,
                events=RunnerCallbacks(
                    started=self._on_started,
                    ended=self._on_ended,
                    crashed=self._on_crashed,
                    changed=self.links.wake_all_senders,
                    may_start=self._may_start,
                    before_extension=self.links.expire_leases,
                ),
                health=self._inherited_health(heartbeat),
            )
            await self.runner.run()
            self._previous_runner, self.runner = self.runner, None
            self.links.wake_all_senders()

    def _inherited_health(self, worker: WorkerHeartbeat) -> WorkerHealth | None:
        """Return the health carried over from a previous incarnation with the same profile."""
        last = self._previous_runner
        if last is None or _worker_profile(last.worker) != _worker_profile(worker):
            return None
        return last.health.for_next_incarnation()

    def _may_start(self, run: Run) -> bool:
        """Check the conditions that may have changed since the order arrived."""
        return self._is_accepting() and self.links.has_lease(run.owner)

    def _is_accepting(self) -> bool:
        heartbeat = self._heartbeat
        return (
            heartbeat is not None
            and not heartbeat.is_draining
            and not self._is_leaving
            and self.hello.domain not in self.withdrawn
            and self._has_recent_heartbeat()
        )

    def _has_recent_heartbeat(self) -> bool:
        """Return whether the worker's capacity is known; it may have shrunk since a heartbeat."""
        age_s = self._ports.lease_clock() - self._heartbeat_at_s
        return age_s <= MAX_HEARTBEAT_AGE * self._times.heartbeat_interval_s

    def _return_queued_orders(self, cause: str) -> None:
        self._return_waiting_orders(list(self._waiting_for_lease), cause)
        if self.runner is not None:
            for run in list(self.runner.ledger.queued):
                self.runner.stop(run, cause)

    # The entries.

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Set the addresses of entries that are always dialled."""
        self.links.set_seeds(seeds)

    def _on_frame(self, session: EntrySession, frame: EntryFrame) -> None:
        self._apply_config(frame)
        if frame.copy_request is not None:
            self._table_reads.request(session, frame.copy_request)
        self._cancel_jobs(frame.cancelled)
        now_s = anyio.current_time()
        for order in frame.starts:
            runner = self.runner
            if order.ref.job_id in self.cancelled_jobs:
                session.queue_end_report(
                    order.order_id, OrderOutcome.NOT_STARTED, 0.0, CANCELLED_CAUSE
                )
                session.queue_cancelled(order.ref.job_id)
            elif (
                runner is None
                or runner.is_terminated
                or runner.worker.incarnation != order.worker_incarnation
            ):
                cause = "the order is for another incarnation of the worker"
                session.queue_end_report(order.order_id, OrderOutcome.NOT_STARTED, 0.0, cause)
            elif not self._has_room_for_orders():
                cause = "the agent holds too many orders"
                session.queue_end_report(order.order_id, OrderOutcome.NOT_STARTED, 0.0, cause)
            else:
                run = Run(owner=session.incarnation, order=order, queued_at_s=now_s)
                self._waiting_for_lease.append(run)
        if frame.stops:
            self._stop_orders(session.incarnation, frozenset(frame.stops))
        self._submit_leased(session)
        if frame.starts or frame.stops:
            self.links.wake_senders()

    def _has_room_for_orders(self) -> bool:
        held = len(self._waiting_for_lease)
        if self.runner is not None:
            held += len(self.runner.ledger.queued) + len(self.runner.ledger.active)
        return held < MAX_HELD_ORDERS

    def _cancel_jobs(self, job_ids: tuple[str, ...]) -> None:
        """End the runs of cancelled jobs, whichever entry has ordered them, and tell that entry."""
        if not job_ids:
            return
        self.cancelled_jobs.add(job_ids, now_s=anyio.current_time())
        cancelled = frozenset(job_ids)
        waiting = [run for run in self._waiting_for_lease if run.order.ref.job_id in cancelled]
        active = [] if self.runner is None else self.runner.ledger.of_jobs(cancelled)
        for owner, job_id in {(run.owner, run.order.ref.job_id) for run in (*waiting, *active)}:
            log.info("agent: job cancelled job=%s entry=%s", job_id, owner)
            session = self.links.sessions.get(owner)
            if session is not None:
                session.queue_cancelled(job_id)
        self._return_waiting_orders(waiting, CANCELLED_CAUSE)
        for run in active:
            if self.runner is not None:
                self.runner.revoke(run, CANCELLED_CAUSE)

    def _stop_orders(self, entry: str, order_ids: frozenset[int]) -> None:
        cause = "the entry requested the stop"
        waiting = [run for run in self._waiting_for_lease if run.owner == entry]
        self._return_waiting_orders(
            [run for run in waiting if run.order.order_id in order_ids], cause
        )
        if self.runner is None:
            return
        for run in self.runner.ledger.owned_by(entry):
            if run.order.order_id in order_ids:
                self.runner.revoke(run, cause)

    def _submit_leased(self, session: EntrySession) -> None:
        """Submit the waiting orders of an entry if the agent has its lease, else ask for it.

        This comes after the stops of the same frame: an entry that grants a lease has sent stops
        for all orders that it has given up.
        """
        waiting = [run for run in self._waiting_for_lease if run.owner == session.incarnation]
        if waiting and not session.has_full_lease(now_s=self._ports.lease_clock()):
            session.wake()
            self._lease_awaited.set()
            return
        now_s = anyio.current_time()
        for run in waiting:
            self._waiting_for_lease.remove(run)
            runner = self.runner
            if runner is None or runner.worker.incarnation != run.order.worker_incarnation:
                self._on_ended(run, OrderOutcome.NOT_STARTED, 0.0, "the worker restarted")
            else:
                run.queued_at_s = now_s
                runner.submit(run)

    def _return_waiting_orders(self, runs: Iterable[Run], cause: str) -> None:
        for run in runs:
            self._waiting_for_lease.remove(run)
            self._on_ended(run, OrderOutcome.NOT_STARTED, 0.0, cause)

    async def _run_lease_wait_checks(self) -> None:
        while True:
            if not self._waiting_for_lease:
                self._lease_awaited = anyio.Event()
                await self._lease_awaited.wait()
            await anyio.sleep(LEASE_WAIT_CHECK_INTERVAL_S)
            overdue_s = anyio.current_time() - LEASE_WAIT_S
            runs = [run for run in self._waiting_for_lease if run.queued_at_s <= overdue_s]
            self._return_waiting_orders(runs, "the entry did not grant its lease")

    def _apply_config(self, frame: EntryFrame) -> None:
        if frame.withdrawn is None or frame.config_version < self.config_version:
            return
        self.config_version = frame.config_version
        if self.withdrawn != frozenset(frame.withdrawn):
            self.withdrawn = frozenset(frame.withdrawn)
            log.info(
                "agent: withdrawn domains version=%d domains=%s",
                self.config_version,
                ",".join(sorted(self.withdrawn)) or "none",
            )
            if not self._is_accepting():
                self._return_queued_orders("the failure domain is withdrawn")
            self.links.wake_senders()

    def _held_orders(self, entry: str) -> tuple[int, ...]:
        runs = [run for run in self._waiting_for_lease if run.owner == entry]
        if self.runner is not None:
            runs += self.runner.ledger.owned_by(entry)
        return tuple(run.order.order_id for run in runs)

    def _started_orders(self, entry: str) -> tuple[int, ...]:
        """Return the orders of an entry whose tasks are known to have started and not ended."""
        if self.runner is None:
            return ()
        runs = self.runner.ledger.owned_by(entry)
        return tuple(run.order.order_id for run in runs if run.is_confirmed)

    def _order_owners(self) -> set[str]:
        """Return the incarnations of the entries whose orders the agent holds."""
        owners = {run.owner for run in self._waiting_for_lease}
        if self.runner is not None:
            owners |= self.runner.ledger.owners()
        return owners

    def _on_lease_lost(self, session: EntrySession, cause: str, lost_at_s: float) -> None:
        if self.runner is not None:
            lost_before_s = max(self._ports.lease_clock() - lost_at_s, 0.0)
            for run in self.runner.ledger.owned_by(session.incarnation):
                self.runner.revoke(run, cause, lost_before_s=lost_before_s)

    def _on_started(self, run: Run) -> None:
        ref = run.order.ref
        self.counters.tasks_started += 1
        self.wait_times.observe(run.started_at_s - run.queued_at_s)
        log.info(
            "agent: task started job=%s task=%d.%d run=%d waited_ms=%d",
            ref.job_id,
            ref.step,
            ref.index,
            run.number,
            (run.started_at_s - run.queued_at_s) * 1000,
        )
        session = self.links.sessions.get(run.owner)
        if session is not None:
            session.queue_start_report(run.order.order_id)

    def _on_ended(self, run: Run, outcome: OrderOutcome, run_s: float, cause: str) -> None:
        ref = run.order.ref
        self.counters.tasks_ended[outcome.name.lower()] += 1
        if outcome is OrderOutcome.DONE:
            self.run_times.observe(run_s)
        log.info(
            "agent: task ended job=%s task=%d.%d run=%d outcome=%s ran_ms=%d cause=%s",
            ref.job_id,
            ref.step,
            ref.index,
            run.number,
            outcome.name.lower(),
            run_s * 1000,
            cause,
        )
        session = self.links.sessions.get(run.owner)
        if session is not None:
            session.queue_end_report(run.order.order_id, outcome, run_s, cause)
        self.links.wake_senders()

    def _on_crashed(self, runs: tuple[CrashedRun, ...]) -> None:
        runner = self.runner
        if runner is None:
            return
        worker = runner.worker
        self.counters.worker_crashes += 1
        for run in runs:
            log.warning(
                "agent: worker crashed under task job=%s task=%d.%d worker=%s life=%d recent=%s",
                run.ref.job_id,
                run.ref.step,
                run.ref.index,
                worker.worker,
                worker.incarnation,
                run.is_recent,
            )
        self.links.report_crash(
            WorkerCrash(
                worker=worker.worker,
                incarnation=worker.incarnation,
                runs=runs,
                service=worker.service,
            )
        )

    def _report(self, session: EntrySession) -> WorkerReport | None:
        heartbeat = self._last_heartbeat
        if heartbeat is None:
            return None
        absent = WorkerReport(
            worker=heartbeat.worker,
            worker_incarnation=heartbeat.incarnation,
            service=heartbeat.service,
            labels=heartbeat.labels,
            capacity=heartbeat.capacity,
            free=Demand(),
            slowness=1.0,
            is_accepting=False,
            is_suspect=False,
            queued=0,
            orders_seen=session.orders_seen,
        )
        runner = self.runner
        if runner is None:
            return absent
        return msgspec.structs.replace(
            absent,
            free=runner.free,
            slowness=round(runner.health.slowness, REPORTED_SLOWNESS_DIGITS),
            is_accepting=self._is_accepting()
            and self._has_room_for_orders()
            and runner.is_ready
            and not runner.ledger.unknown_runs,
            is_suspect=runner.health.is_suspect,
            queued=len(runner.ledger.queued),
        )


def _worker_profile(worker: WorkerHeartbeat) -> tuple[str, tuple[str, ...], Demand]:
    return (worker.service, worker.labels, worker.capacity)


def _is_same_incarnation(first: WorkerHeartbeat, second: WorkerHeartbeat) -> bool:
    return (first.worker, first.incarnation) == (second.worker, second.incarnation)

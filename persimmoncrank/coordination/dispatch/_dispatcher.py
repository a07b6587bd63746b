"""The entry's dispatcher: it admits jobs, places their tasks on workers and answers once."""

from __future__ import annotations

import itertools
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.coordination.dispatch._agent_link import AgentLink, OpenOrder
from persimmoncrank.coordination.dispatch._worker_choice import choose_worker, is_busy, is_eligible
from persimmoncrank.coordination.dispatch._worker_jobs import (
    JobRun,
    JobTask,
    TaskState,
    longest_chain_s,
)
from persimmoncrank.protocol import (
    AgentFrame,
    EntryAddress,
    EntryFrame,
    ErrorKind,
    MessageStream,
    OrderEnd,
    OrderOutcome,
    QueueTable,
    ServiceError,
    StreamClosedError,
    TaskOrder,
    TaskRef,
    WorkerJob,
    WorkerJobAnswer,
    refusal,
)
from persimmoncrank.state import Durations, EntryCounters, LatencyHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

log = logging.getLogger(__name__)

SLOWEST_CLOCK = 1.02  # a worker's clock may be 2% slow
STOP_MARGIN_S = 0.1
WATCH_INTERVAL_S = 0.05
RETRY_AFTER_MS = 1_000
NO_WORKER_WAIT_SHARE = 0.25  # of the objective: an agent whose stream broke is back within that


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchTimes:
    """The leases of entries at agents and of agents at workers."""

    entry_lease_s: float
    worker_lease_s: float

    @property
    def orders_lost_after_s(self) -> float:
        """How long after the last renewal nothing runs any more at an agent out of reach."""
        return self.entry_lease_s + self.worker_lease_s * SLOWEST_CLOCK + STOP_MARGIN_S


class Dispatcher:
    """Coordinates the jobs that arrive at one entry."""

    def __init__(self, *, entry: EntryAddress, times: DispatchTimes) -> None:
        """Create a dispatcher that knows no agent and no queue."""
        self.entry = entry
        self.links: dict[str, AgentLink] = {}
        self.jobs: dict[str, JobRun] = {}
        self.pending: list[JobTask] = []
        self.queues = QueueTable()
        self.withdrawn: frozenset[str] = frozenset()
        self.config_version = -1
        self.is_leaving = False
        self.is_closed = False
        self._times = times
        self._entries: dict[str, EntryAddress] = {}
        self._entries_version = 0
        self.counters = EntryCounters()
        self.job_times = LatencyHistogram()
        self._durations = Durations()
        self._order_ids = itertools.count(1)
        self._place_wanted = anyio.Event()

    async def run(self) -> None:
        """Place tasks and watch agents until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._place_forever)
            await self._watch_forever()

    # Configuration and members.

    def set_config(self, queues: QueueTable, withdrawn: Iterable[str], version: int) -> None:
        """Take over a newer configuration; older ones are ignored."""
        if version <= self.config_version:
            return
        self.config_version = version
        self.queues = queues
        self.withdrawn = frozenset(withdrawn)
        log.info(
            "entry: configuration in force version=%d queues_version=%d queues=%d withdrawn=%s",
            version,
            queues.version,
            len(queues.queues),
            ",".join(sorted(self.withdrawn)) or "none",
        )
        self._wake_links()

    def set_entries(self, entries: Iterable[EntryAddress]) -> None:
        """Tell agents about the other entries."""
        known = {entry.address: entry for entry in entries}
        if known != self._entries:
            self._entries = known
            self._entries_version += 1
            self._wake_links()

    def _wake_links(self) -> None:
        for link in self.links.values():
            link.is_news.set()

    @property
    def is_ready(self) -> bool:
        """Whether jobs can be taken: the configuration is known and an agent is there."""
        has_agent = any(link.is_connected for link in self.links.values())
        return self.config_version >= 0 and has_agent and not self.is_leaving

    def waiting_jobs(self, queue_name: str) -> int:
        """Return how many jobs of a queue have not started."""
        return sum(
            run.job.queue.name == queue_name and not run.may_have_started
            for run in self.jobs.values()
        )

    # Jobs.

    async def run_job(self, job: WorkerJob) -> WorkerJobAnswer:
        """Run a job and return its answer; if the caller is cancelled, so is the job."""
        run = self.jobs.get(job.job_id)
        if run is None:
            refused = self._refuse(job)
            if refused is not None:
                log.info("entry: job refused job=%s cause=%s", job.job_id, refused.message)
                self.counters.jobs_refused[refused.kind] += 1
                return WorkerJobAnswer(error=refused)
            run = self._admit(job)
        else:
            log.info("entry: job joined job=%s", job.job_id)
        try:
            with anyio.move_on_after(job.deadline_s):
                await run.ended.wait()
        finally:
            if not run.is_over:
                self._give_up(run, "the caller left or its time is over")
        return run.answer or _unanswered("the job's time is over")

    def _refuse(self, job: WorkerJob) -> ServiceError | None:
        """Return the refusal of a job that cannot be served."""
        if self.is_closed:
            message = "the entry is leaving"
            return refusal(ErrorKind.SHUTTING_DOWN, message, retry_after_ms=RETRY_AFTER_MS)
        if job.unsupported:
            message = f"not served here: {', '.join(job.unsupported)}"
            return refusal(ErrorKind.UNSUPPORTED, message)
        return None

    def cancel(self, job_id: str) -> bool:
        """Cancel a job for its caller; return False if it does not run here."""
        run = self.jobs.get(job_id)
        if run is None:
            return False
        self._finish(run, WorkerJobAnswer(cause="cancelled"))
        return True

    def _admit(self, job: WorkerJob) -> JobRun:
        nominal_s = [
            self._durations.nominal_s(kind=step.image or job.queue.name, estimate_s=step.estimate_s)
            for step in job.steps
        ]
        run = JobRun(
            job=job,
            arrived_at_s=anyio.current_time(),
            chain_s=longest_chain_s(job.steps, nominal_s),
        )
        for number, step in enumerate(job.steps):
            for index in range(step.count):
                ref = TaskRef(job_id=job.job_id, step=number, index=index)
                run.tasks.append(JobTask(job=run, ref=ref, step=step, nominal_s=nominal_s[number]))
        self.jobs[job.job_id] = run
        self.counters.jobs_admitted += 1
        log.info(
            "entry: job admitted job=%s queue=%s queues_version=%d tasks=%d chain_ms=%d pending=%d",
            job.job_id,
            job.queue.name,
            self.queues.version,
            len(run.tasks),
            run.chain_s * 1000,
            len(self.pending),
        )
        self._add_pending(run.unblock())
        self._place()
        return run

    def _add_pending(self, tasks: Iterable[JobTask]) -> None:
        self.pending.extend(tasks)
        self.pending.sort(key=_place_order)

    def _finish(self, run: JobRun, answer: WorkerJobAnswer) -> None:
        """Answer a job and stop what still runs of it."""
        if run.is_over:
            return
        run.finish(answer)
        self.jobs.pop(run.job.job_id, None)
        self.pending = [task for task in self.pending if task.job is not run]
        self._stop_orders(run)
        self._count_answer(run, answer)
        log.info(
            "entry: job answered job=%s completed=%s took_ms=%d objective_ms=%d cause=%s",
            run.job.job_id,
            answer.is_completed,
            (anyio.current_time() - run.arrived_at_s) * 1000,
            run.objective_s * 1000,
            answer.error.message if answer.error else answer.cause or "none",
        )

    def _count_answer(self, run: JobRun, answer: WorkerJobAnswer) -> None:
        self.job_times.observe(anyio.current_time() - run.arrived_at_s)
        error = answer.error
        if answer.is_completed:
            self.counters.jobs_complete += 1
        elif error is not None and error.not_run:
            self.counters.jobs_refused[error.kind] += 1
        else:
            self.counters.jobs_failed[error.kind if error else ErrorKind.TASK_FAILED] += 1

    def _stop_orders(self, run: JobRun) -> None:
        for link in self.links.values():
            for order in link.orders.values():
                if order.task.job is run:
                    link.send_stop(order)

    def _give_up(self, run: JobRun, cause: str) -> None:
        self._finish(run, _unanswered(cause))

    # Placement.

    async def _place_forever(self) -> None:
        while True:
            await self._place_wanted.wait()
            self._place_wanted = anyio.Event()
            self._place()

    def _place(self) -> None:
        """Place pending tasks in order until one finds no room.

        A task that waits for a faster worker does not hold up those behind it.
        """
        links = list(self.links.values())
        now_s = anyio.current_time()
        busy = is_busy(links)
        waiting: list[JobTask] = []
        tried = 0
        for task in self.pending:
            choice = choose_worker(task, links, withdrawn=self.withdrawn, now_s=now_s, busy=busy)
            if choice.link is not None:
                self._order(task, choice.link)
            elif choice.is_waiting:
                waiting.append(task)
            else:
                break
            tried += 1
        self.pending[:tried] = waiting

    def _order(self, task: JobTask, link: AgentLink) -> None:
        job, report = task.job, link.report
        now_s = anyio.current_time()
        order = TaskOrder(
            order_id=next(self._order_ids),
            life=report.life if report else 0,
            ref=task.ref,
            payload=job.job.payload,
            demand=task.demand,
            priority=job.job.queue.priority,
            rank=job.latest_start_s - now_s,
            nominal_s=task.nominal_s,
            start_within_s=max(job.useful_until_s - now_s, 0.0),
        )
        task.state = TaskState.ORDERED
        task.order_id = order.order_id
        link.send_order(OpenOrder(task=task, order=order))
        self.counters.tasks_placed += 1
        log.info(
            "placement: task ordered job=%s task=%d.%d worker=%s slowness=%.2f free_cpu=%d",
            task.ref.job_id,
            task.ref.step,
            task.ref.index,
            report.worker if report else "none",
            report.slowness if report else 1.0,
            link.free.cpu_millis,
        )

    # Agents.

    async def serve_agent(self, stream: MessageStream) -> None:
        """Serve an agent's stream until it closes or is silent for a lease."""
        await stream.send(self._first_frame())
        frame: AgentFrame = await stream.receive()
        if frame.hello is None:
            log.warning("entry: stream without a hello closed")
            return
        link = self.links.get(frame.hello.incarnation)
        if link is None:
            link = self.links[frame.hello.incarnation] = AgentLink(hello=frame.hello)
        elif link.close_stream is not None:
            link.close_stream.cancel()
            self._drop_stream(link)
        for order in link.open_stream(frame.hello):
            self._end_order(order, OrderOutcome.LOST, "the agent does not hold it")
        log.info(
            "entry: stream of agent open agent=%s domain=%s",
            frame.hello.incarnation,
            frame.hello.domain,
        )
        with anyio.CancelScope() as scope:
            link.close_stream = scope
            await self._exchange(link, stream)
        if link.close_stream is scope:
            self._drop_stream(link)

    def _first_frame(self) -> EntryFrame:
        return EntryFrame(
            entry=self.entry.incarnation,
            config_version=self.config_version,
            withdrawn=tuple(self.withdrawn) if self.config_version >= 0 else None,
            entries=tuple(self._entries.values()),
        )

    def _drop_stream(self, link: AgentLink) -> None:
        for order in link.drop_stream():
            self._end_order(order, OrderOutcome.NOT_STARTED, "it was never sent")
        log.warning(
            "entry: stream of agent lost agent=%s open_orders=%d",
            link.hello.incarnation,
            len(link.orders),
        )

    async def _exchange(self, link: AgentLink, stream: MessageStream) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_frames, link, stream)
            while True:
                try:
                    with anyio.fail_after(self._times.entry_lease_s):
                        frame = await stream.receive()
                except (StreamClosedError, TimeoutError) as error:
                    log.info(
                        "entry: stream ends agent=%s cause=%s",
                        link.hello.incarnation,
                        str(error) or "silent",
                    )
                    break
                self._note_frame(link, frame)
            group.cancel_scope.cancel()

    async def _send_frames(self, link: AgentLink, stream: MessageStream) -> None:
        while True:
            now_s = anyio.current_time()
            frame = link.next_frame(self.entry.incarnation, now_s=now_s)
            frame = self._with_config(link, frame)
            if frame is not None:
                try:
                    await stream.send(frame)
                except StreamClosedError as error:
                    log.debug("entry: frame not sent cause=%s", error)
                    return
            await link.is_news.wait()

    def _with_config(self, link: AgentLink, frame: EntryFrame | None) -> EntryFrame | None:
        """Add the configuration and the entries to a frame if the agent has older ones."""
        is_config_new = link.sent_config_version != self.config_version
        is_entries_new = link.sent_entries != self._entries_version
        if not (is_config_new or is_entries_new):
            return frame
        link.sent_config_version = self.config_version
        link.sent_entries = self._entries_version
        base = frame or EntryFrame(entry=self.entry.incarnation, seen_event=link.seen_event)
        first = self._first_frame()
        return EntryFrame(
            entry=base.entry,
            challenge=base.challenge,
            starts=base.starts,
            stops=base.stops,
            seen_event=base.seen_event,
            config_version=first.config_version,
            withdrawn=first.withdrawn,
            entries=first.entries,
        )

    def _note_frame(self, link: AgentLink, frame: AgentFrame) -> None:
        link.note_challenge(frame.challenge)
        for order_id in frame.started:
            order = link.orders.get(order_id)
            if order is not None:
                order.has_started = True
                order.task.job.may_have_started = True
        for end in frame.ended:
            self._note_end(link, end)
        if frame.report is not None:
            link.note_report(frame.report)
            if frame.report.is_accepting:
                self._lose_earlier_incarnations(link)
        if self.pending:
            self._place_wanted.set()

    def _lose_earlier_incarnations(self, link: AgentLink) -> None:
        """Give up the orders of an agent's earlier processes.

        The present one takes orders only after it saw the runs of earlier ones end.
        """
        for other in list(self.links.values()):
            is_same_agent = other.hello.agent == link.hello.agent
            if is_same_agent and other is not link and not other.is_connected:
                self._lose_link(other, "the agent started again")

    def _note_end(self, link: AgentLink, end: OrderEnd) -> None:
        if end.event_id <= link.seen_event:
            return
        link.seen_event = end.event_id
        order = link.orders.pop(end.order_id, None)
        if order is not None:
            self._end_order(order, end.outcome, end.cause, link)

    def _end_order(
        self, order: OpenOrder, outcome: OrderOutcome, cause: str, link: AgentLink | None = None
    ) -> None:
        """Take note of an order's end and decide what becomes of its task."""
        task, run = order.task, order.task.job
        if outcome is not OrderOutcome.NOT_STARTED:
            run.may_have_started = True
        if run.is_over or run.is_given_up or task.order_id != order.order.order_id:
            return
        if outcome is OrderOutcome.DONE:
            self.counters.tasks_succeeded += 1
            self._note_done(task)
            return
        self.counters.tasks_refused[outcome.name.lower()] += 1
        if outcome is not OrderOutcome.NOT_STARTED and link is not None and link.report is not None:
            task.failed_workers.add(link.report.worker)
        if outcome is OrderOutcome.FAILED:
            task.failures += 1
            if task.failures >= run.job.queue.max_attempts:
                cause = f"task {task.ref.step}.{task.ref.index} failed {task.failures} times"
                self._finish(run, WorkerJobAnswer(cause=cause))
                return
        log.info(
            "entry: task placed again job=%s task=%d.%d outcome=%s cause=%s",
            task.ref.job_id,
            task.ref.step,
            task.ref.index,
            outcome.name.lower(),
            cause,
        )
        task.state = TaskState.PENDING
        self._add_pending([task])
        self._place_wanted.set()

    def _note_done(self, task: JobTask) -> None:
        task.state = TaskState.DONE
        run = task.job
        if run.is_done():
            self._finish(run, WorkerJobAnswer(is_completed=True))
            return
        ready = run.unblock()
        if ready:
            self._add_pending(ready)
            self._place_wanted.set()

    # Time.

    async def _watch_forever(self) -> None:
        while True:
            await anyio.sleep(WATCH_INTERVAL_S)
            now_s = anyio.current_time()
            for link in list(self.links.values()):
                self._check_link(link, now_s)
            for run in list(self.jobs.values()):
                self._check_job(run, now_s)
            if self.pending:
                self._place()

    def _check_link(self, link: AgentLink, now_s: float) -> None:
        """Give up the orders of an agent out of reach once nothing of them can run."""
        if link.is_connected:
            return
        if now_s < link.granted_at_s + self._times.orders_lost_after_s:
            return
        self._lose_link(link, "the agent is out of reach")

    def _lose_link(self, link: AgentLink, cause: str) -> None:
        log.warning(
            "entry: agent lost agent=%s open_orders=%d cause=%s",
            link.hello.incarnation,
            len(link.orders),
            cause,
        )
        del self.links[link.hello.incarnation]
        for order in list(link.orders.values()):
            self._end_order(order, OrderOutcome.LOST, cause)

    def _check_job(self, run: JobRun, now_s: float) -> None:
        """Give up a job that has not started and could not be of use any more.

        It is refused as not run once every order has come back without a start.
        """
        if not run.is_given_up:
            if run.may_have_started or not self._is_hopeless(run, now_s):
                return
            run.is_given_up = True
            self.pending = [task for task in self.pending if task.job is not run]
            self._stop_orders(run)
        if self._has_orders(run):
            return
        if run.may_have_started:
            self._give_up(run, "it started too late")
            return
        message = f"{self._describe_shortage(run)}; not run"
        error = refusal(ErrorKind.OVERLOADED, message, retry_after_ms=RETRY_AFTER_MS)
        self._finish(run, WorkerJobAnswer(error=error))

    def _is_hopeless(self, run: JobRun, now_s: float) -> bool:
        """Tell whether a job that waits cannot be of use, or no worker in view may run it."""
        if now_s >= run.useful_until_s - run.chain_s:
            return True
        if now_s < run.arrived_at_s + NO_WORKER_WAIT_SHARE * run.objective_s:
            return False
        return not self._has_orders(run) and not self._has_workers(run)

    def _has_workers(self, run: JobRun) -> bool:
        """Tell whether some worker in view may run each task that waits."""
        return all(
            self._has_eligible_worker(task) for task in run.tasks if task.state is TaskState.PENDING
        )

    def _describe_shortage(self, run: JobRun) -> str:
        return "no worker had room in time" if self._has_workers(run) else "no worker may run it"

    def _has_orders(self, run: JobRun) -> bool:
        return any(
            order.task.job is run for link in self.links.values() for order in link.orders.values()
        )

    def _has_eligible_worker(self, task: JobTask) -> bool:
        """Tell whether any worker in view may run a task."""
        return any(
            is_eligible(task, link, withdrawn=self.withdrawn) for link in self.links.values()
        )


def _place_order(task: JobTask) -> tuple[int, float]:
    return task.place_order


def _unanswered(message: str) -> WorkerJobAnswer:
    return WorkerJobAnswer(error=ServiceError(kind=ErrorKind.DEADLINE_EXCEEDED, message=message))

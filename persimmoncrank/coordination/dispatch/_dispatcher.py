"""The entry's dispatcher: it admits jobs, places their tasks on workers and answers once."""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.coordination.dispatch._agent_link import AgentLink, OpenOrder
from persimmoncrank.coordination.dispatch._agent_streams import AgentStreams, DispatchTimes
from persimmoncrank.coordination.dispatch._worker_choice import (
    ChooseWorker,
    choose_worker,
    is_eligible,
)
from persimmoncrank.coordination.dispatch._worker_jobs import (
    JobRun,
    JobTask,
    TaskState,
    longest_chain_s,
)
from persimmoncrank.protocol import (
    EntryAddress,
    ErrorKind,
    OrderOutcome,
    QueueTable,
    ServiceError,
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

WATCH_INTERVAL_S = 0.05
RETRY_AFTER_MS = 1_000
LEAVING_FACTOR = 2.0  # a worker's slowness, and what an estimate is off
NO_WORKER_WAIT_SHARE = 0.25  # of the objective: an agent whose stream broke is back within that


class Dispatcher:
    """Coordinates the jobs that arrive at one entry."""

    def __init__(
        self, *, entry: EntryAddress, times: DispatchTimes, choose: ChooseWorker = choose_worker
    ) -> None:
        """Create a dispatcher that knows no agent and no queue."""
        self.entry = entry
        self.jobs: dict[str, JobRun] = {}
        self.pending: list[JobTask] = []
        self.queues = QueueTable()
        self.withdrawn: frozenset[str] = frozenset()
        self.config_version = -1
        self._leaves_at_s: float | None = None
        self.streams = AgentStreams(
            entry=entry, times=times, end_order=self._end_order, on_news=self._note_news
        )
        self.links = self.streams.links
        self.counters = EntryCounters()
        self.job_times = LatencyHistogram()
        self._choose = choose
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
        self.streams.set_withdrawn(self.withdrawn, version)

    @property
    def is_ready(self) -> bool:
        """Whether jobs can be taken: the configuration is known and an agent is there."""
        has_agent = any(link.is_connected for link in self.links.values())
        return self.config_version >= 0 and has_agent and not self.is_leaving

    @property
    def is_leaving(self) -> bool:
        """Whether the entry was asked to stop."""
        return self._leaves_at_s is not None

    def leave(self, *, until_s: float) -> None:
        """Take only jobs that are expected to end before ``until_s``."""
        self._leaves_at_s = until_s

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
        if self._leaves_at_s is not None and not self._ends_before(job, self._leaves_at_s):
            message = "the entry is leaving"
            return refusal(ErrorKind.SHUTTING_DOWN, message, retry_after_ms=RETRY_AFTER_MS)
        if job.unsupported:
            message = f"not served here: {', '.join(job.unsupported)}"
            return refusal(ErrorKind.UNSUPPORTED, message)
        return None

    @staticmethod
    def _ends_before(job: WorkerJob, until_s: float) -> bool:
        """Tell whether a job that arrives now ends in time on slow workers, too."""
        chain_s = longest_chain_s(job.steps, [step.estimate_s for step in job.steps])
        return anyio.current_time() + LEAVING_FACTOR * chain_s < until_s

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

    def give_up_jobs(self, cause: str) -> None:
        """Answer all jobs that still run; what runs of them is stopped."""
        for run in list(self.jobs.values()):
            self._give_up(run, cause)

    def _give_up(self, run: JobRun, cause: str) -> None:
        self._finish(run, _unanswered(cause))

    # Placement.

    async def _place_forever(self) -> None:
        while True:
            await self._place_wanted.wait()
            self._place_wanted = anyio.Event()
            self._place()

    def _place(self) -> None:
        """Place pending tasks in order until one finds no room."""
        links = list(self.links.values())
        placed = 0
        for task in self.pending:
            link = self._choose(task, links, withdrawn=self.withdrawn)
            if link is None:
                break
            self._order(task, link)
            placed += 1
        del self.pending[:placed]

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

    # Ends.

    def _note_news(self) -> None:
        if self.pending:
            self._place_wanted.set()

    def _end_order(
        self, order: OpenOrder, outcome: OrderOutcome, cause: str, link: AgentLink | None
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
            self.streams.check(now_s)
            for run in list(self.jobs.values()):
                self._check_job(run, now_s)
            if self.pending:
                self._place()

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

"""The metrics page of a process, rendered by aioprometheus."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Registry, render

if TYPE_CHECKING:
    from collections import Counter as CounterDict
    from collections.abc import Callable, Mapping

    from persimmoncrank.coordination import AgentNode, EntryNode
    from persimmoncrank.coordination.dispatch import Dispatcher
    from persimmoncrank.coordination.execution import WorkerAgent
    from persimmoncrank.transport._http_intake import HttpIntake
    from persimmoncrank.transport._rpc_client import RpcClient

log = logging.getLogger(__name__)


class Metrics:
    """Metrics whose values are read from the process's state when the page is requested."""

    def __init__(self, *, collect: Callable[[Metrics], None], labels: Mapping[str, str]) -> None:
        """Create a page; ``collect`` sets all values each time the page is rendered."""
        self._registry = Registry()
        self._collect = collect
        self._labels = dict(labels)
        self._collectors: dict[str, Counter | Gauge] = {}

    def set_gauge(self, name: str, doc: str, value: float) -> None:
        """Set a gauge."""
        if name not in self._collectors:
            self._collectors[name] = Gauge(
                name, doc, const_labels=self._labels, registry=self._registry
            )
        self._collectors[name].set({}, value)

    def set_counter(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Set a counter."""
        if name not in self._collectors:
            self._collectors[name] = Counter(
                name, doc, const_labels=self._labels, registry=self._registry
            )
        self._collectors[name].set(labels, value)

    def set_labeled_counters(
        self, name: str, doc: str, label: str, values: CounterDict[str]
    ) -> None:
        """Set one counter for each value of a label."""
        for value, count in values.items():
            self.set_counter(name, doc, count, **{label: value})

    def set_histogram(self, name: str, doc: str, buckets: Mapping[str, int], total: float) -> None:
        """Set the cumulative buckets, the sum and the count of a histogram."""
        for bound, count in buckets.items():
            self.set_counter(f"{name}_bucket", doc, count, le=bound)
        self.set_counter(f"{name}_sum", doc, total)
        self.set_counter(f"{name}_count", doc, buckets["+Inf"])

    def render(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the page and its HTTP headers."""
        self._collect(self)
        return render(self._registry, accepts)


def entry_metrics(node: EntryNode, client: RpcClient) -> Metrics:
    """Return the metrics of an entry."""

    def collect(metrics: Metrics) -> None:
        counters = node.counters
        metrics.set_counter("jobs_admitted_total", "Jobs admitted", counters.jobs_admitted)
        metrics.set_counter("jobs_complete_total", "Jobs answered whole", counters.jobs_complete)
        metrics.set_labeled_counters(
            "jobs_failed_total", "Jobs failed by error kind", "kind", counters.jobs_failed
        )
        metrics.set_labeled_counters(
            "jobs_refused_total", "Jobs refused by error kind", "kind", counters.jobs_refused
        )
        metrics.set_counter("tasks_placed_total", "Tasks sent to agents", counters.tasks_placed)
        metrics.set_counter("tasks_succeeded_total", "Tasks succeeded", counters.tasks_succeeded)
        metrics.set_labeled_counters(
            "tasks_given_back_total", "Tasks given back", "reason", counters.tasks_refused
        )
        metrics.set_counter("batches_sent_total", "Batch messages sent", counters.batches_sent)
        metrics.set_gauge("jobs_running", "Jobs running now", node.jobs.running_count)
        metrics.set_gauge("agents_live", "Agents that get work", len(node.views.live()))
        metrics.set_gauge("config_version", "Version held", node.config_replica.snapshot.version)
        metrics.set_gauge(
            "config_accepted_version",
            "Version known as accepted",
            node.config_replica.accepted_version,
        )
        metrics.set_gauge(
            "config_is_current", "1 while current", int(node.config_replica.is_current())
        )
        _collect_rpc_calls(metrics, client)

    return Metrics(
        collect=collect, labels={"entry": node.info.incarnation, "domain": node.info.domain}
    )


def agent_metrics(node: AgentNode, client: RpcClient) -> Metrics:
    """Return the metrics of an agent."""

    def collect(metrics: Metrics) -> None:
        counters = node.counters
        metrics.set_counter("tasks_started_total", "Tasks started", counters.tasks_started)
        metrics.set_labeled_counters(
            "tasks_ended_total", "Tasks ended", "state", counters.tasks_ended
        )
        metrics.set_labeled_counters(
            "tasks_refused_total", "Tasks refused", "reason", counters.tasks_refused
        )
        metrics.set_gauge("tasks_queued", "Tasks waiting for a slot", node.runner.load.queued)
        metrics.set_gauge("tasks_running", "Tasks running now", node.runner.load.running)
        metrics.set_gauge("start_records", "Start records held", len(node.records))
        metrics.set_gauge("result_bytes", "Results held", node.records.result_bytes)
        metrics.set_gauge("config_version", "Version held", node.membership.config.version)
        metrics.set_gauge("config_is_current", "1 while current", int(node.membership.is_current()))
        _collect_rpc_calls(metrics, client)

    return Metrics(
        collect=collect, labels={"agent": node.info.incarnation, "domain": node.info.domain}
    )


def _collect_intake(metrics: Metrics, intake: HttpIntake) -> None:
    metrics.set_gauge("http_connections", "Open HTTP connections", intake.connection_count)
    metrics.set_gauge("http_buffered_bytes", "Unfinished requests held", intake.buffered_bytes)
    metrics.set_labeled_counters(
        "http_closed_total", "HTTP connections closed for a limit", "cause", intake.closed
    )


def dispatch_entry_metrics(dispatcher: Dispatcher, intake: HttpIntake) -> Metrics:
    """Return the metrics of an entry that dispatches to workers."""

    def collect(metrics: Metrics) -> None:
        counters = dispatcher.counters
        metrics.set_counter("jobs_admitted_total", "Jobs admitted", counters.jobs_admitted)
        metrics.set_counter("jobs_complete_total", "Jobs completed", counters.jobs_complete)
        metrics.set_labeled_counters(
            "jobs_failed_total", "Jobs failed", "kind", counters.jobs_failed
        )
        metrics.set_labeled_counters(
            "jobs_refused_total", "Jobs refused", "kind", counters.jobs_refused
        )
        metrics.set_counter("tasks_placed_total", "Orders sent to agents", counters.tasks_placed)
        metrics.set_counter("tasks_done_total", "Orders ended well", counters.tasks_succeeded)
        metrics.set_labeled_counters(
            "orders_ended_total", "Orders ended otherwise", "outcome", counters.tasks_refused
        )
        times = dispatcher.job_times
        metrics.set_histogram(
            "job_seconds", "Time from arrival to answer", times.cumulative(), times.sum_s
        )
        metrics.set_gauge("jobs_running", "Jobs running now", len(dispatcher.jobs))
        metrics.set_gauge("tasks_pending", "Tasks waiting for room", dispatcher.pending_count)
        metrics.set_gauge("tasks_held", "Tasks of the running jobs", dispatcher.held_tasks.count)
        routing = dispatcher.routing
        metrics.set_gauge("config_version", "Version held", routing.version)
        metrics.set_gauge("config_queues_version", "Operator's version", routing.queues.version)
        metrics.set_gauge("config_age_seconds", "Time since confirmation", routing.age_s())
        metrics.set_counter(
            "requests_without_queue_total", "Requests without a queue", routing.unknown_queue_count
        )
        metrics.set_labeled_counters(
            "cancels_total", "Cancels of callers", "outcome", counters.cancels
        )
        metrics.set_gauge(
            "cancelled_jobs", "Recently cancelled jobs", len(dispatcher.cancelled_jobs.recent())
        )
        metrics.set_counter("trials_total", "Trials of suspect tasks", counters.trials)
        metrics.set_gauge("crashes_known", "Recent worker crashes", len(dispatcher.crashes))
        is_confined = dispatcher.containment.confined is not None
        metrics.set_gauge("kind_is_confined", "1 while a kind is confined", int(is_confined))
        connected = sum(link.is_connected for link in dispatcher.links.values())
        metrics.set_gauge("agents_connected", "Agents with a stream", connected)
        _collect_intake(metrics, intake)

    return Metrics(collect=collect, labels={"entry": dispatcher.entry.incarnation})


def dispatch_agent_metrics(agent: WorkerAgent, intake: HttpIntake) -> Metrics:
    """Return the metrics of an agent that serves a worker."""

    def collect(metrics: Metrics) -> None:
        metrics.set_counter("tasks_started_total", "Tasks started", agent.counters.tasks_started)
        metrics.set_labeled_counters(
            "tasks_ended_total", "Orders ended", "outcome", agent.counters.tasks_ended
        )
        metrics.set_counter(
            "worker_crashes_total",
            "Crashes of the worker while tasks ran",
            agent.counters.worker_crashes,
        )
        waits, runs = agent.wait_times, agent.run_times
        metrics.set_histogram(
            "task_wait_seconds", "Time from order to start", waits.cumulative(), waits.sum_s
        )
        metrics.set_histogram(
            "task_run_seconds", "Time of tasks that ended well", runs.cumulative(), runs.sum_s
        )
        runner = agent.runner
        if runner is not None:
            metrics.set_gauge("tasks_running", "Runs on the worker", len(runner.ledger.active))
            metrics.set_gauge("tasks_queued", "Orders that wait", len(runner.ledger.queued))
            metrics.set_gauge("worker_slowness", "Time relative to speed 1", runner.health.slowness)
            capacity = runner.ledger.capacity.cpu_millis
            metrics.set_gauge("worker_cpu_millis", "Capacity last announced", capacity)
        metrics.set_gauge("config_version", "Version held", agent.config_version)
        metrics.set_gauge("entries_known", "Entries with a session", len(agent.links.sessions))
        _collect_intake(metrics, intake)

    labels = {"agent": agent.hello.incarnation, "domain": agent.hello.domain}
    return Metrics(collect=collect, labels=labels)


def _collect_rpc_calls(metrics: Metrics, client: RpcClient) -> None:
    metrics.set_counter("calls_total", "Calls to other processes", client.call_count)
    metrics.set_counter("calls_failed_total", "Calls that failed", client.failure_count)

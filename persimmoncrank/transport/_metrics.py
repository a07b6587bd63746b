"""The metrics page of a process, rendered by aioprometheus."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Registry, render

if TYPE_CHECKING:
    from collections import Counter as CounterDict
    from collections.abc import Callable, Mapping

    from persimmoncrank.coordination import AgentNode, EntryNode
    from persimmoncrank.transport._rpc_client import RpcClient

log = logging.getLogger(__name__)


class Metrics:
    """Metrics whose values are read from the process's state when the page is asked for."""

    def __init__(self, *, collect: Callable[[Metrics], None], labels: Mapping[str, str]) -> None:
        """Create a page; ``collect`` sets every value."""
        self._registry = Registry()
        self._collect = collect
        self._labels = dict(labels)
        self._collectors: dict[str, Counter | Gauge] = {}

    def gauge(self, name: str, doc: str, value: float) -> None:
        """Set a gauge."""
        if name not in self._collectors:
            self._collectors[name] = Gauge(
                name, doc, const_labels=self._labels, registry=self._registry
            )
        self._collectors[name].set({}, value)

    def counter(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Set a counter."""
        if name not in self._collectors:
            self._collectors[name] = Counter(
                name, doc, const_labels=self._labels, registry=self._registry
            )
        self._collectors[name].set(labels, value)

    def counters(self, name: str, doc: str, label: str, values: CounterDict[str]) -> None:
        """Set a counter for each value of a label."""
        for value, count in values.items():
            self.counter(name, doc, count, **{label: value})

    def render(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the page and its headers."""
        self._collect(self)
        return render(self._registry, accepts)


def entry_metrics(node: EntryNode, client: RpcClient) -> Metrics:
    """Return the metrics of an entry."""

    def collect(metrics: Metrics) -> None:
        counters = node.counters
        metrics.counter("jobs_admitted_total", "Jobs admitted", counters.jobs_admitted)
        metrics.counter("jobs_complete_total", "Jobs answered whole", counters.jobs_complete)
        metrics.counters(
            "jobs_failed_total", "Jobs failed by error kind", "kind", counters.jobs_failed
        )
        metrics.counters(
            "jobs_refused_total", "Jobs refused by error kind", "kind", counters.jobs_refused
        )
        metrics.counter("tasks_placed_total", "Tasks sent to agents", counters.tasks_placed)
        metrics.counter("tasks_succeeded_total", "Tasks succeeded", counters.tasks_succeeded)
        metrics.counters(
            "tasks_given_back_total", "Tasks given back", "reason", counters.tasks_refused
        )
        metrics.counter("batches_sent_total", "Batch messages sent", counters.batches_sent)
        metrics.gauge("jobs_running", "Jobs running now", node.jobs.running_count)
        metrics.gauge("agents_live", "Agents that get work", len(node.views.live()))
        metrics.gauge("config_version", "Version held", node.keeper.snapshot.version)
        metrics.gauge(
            "config_accepted_version", "Version known as accepted", node.keeper.accepted_version
        )
        metrics.gauge("config_is_current", "1 while current", int(node.keeper.is_current()))
        _collect_calls(metrics, client)

    return Metrics(
        collect=collect, labels={"entry": node.info.incarnation, "domain": node.info.domain}
    )


def agent_metrics(node: AgentNode, client: RpcClient) -> Metrics:
    """Return the metrics of an agent."""

    def collect(metrics: Metrics) -> None:
        counters = node.counters
        metrics.counter("tasks_started_total", "Tasks started", counters.tasks_started)
        metrics.counters("tasks_ended_total", "Tasks ended", "state", counters.tasks_ended)
        metrics.counters("tasks_refused_total", "Tasks refused", "reason", counters.tasks_refused)
        metrics.gauge("tasks_queued", "Tasks waiting for a slot", node.runner.load.queued)
        metrics.gauge("tasks_running", "Tasks running now", node.runner.load.running)
        metrics.gauge("start_records", "Start records held", len(node.records))
        metrics.gauge("result_bytes", "Results held", node.records.result_bytes)
        metrics.gauge("config_version", "Version held", node.membership.config.version)
        metrics.gauge("config_is_current", "1 while current", int(node.membership.is_current()))
        _collect_calls(metrics, client)

    return Metrics(
        collect=collect, labels={"agent": node.info.incarnation, "domain": node.info.domain}
    )


def _collect_calls(metrics: Metrics, client: RpcClient) -> None:
    metrics.counter("calls_total", "Calls to other processes", client.calls_count)
    metrics.counter("calls_failed_total", "Calls that failed", client.failures_count)

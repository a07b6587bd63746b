"""Decisions about the runs of a worker: which hang, which are over, when to look at queued ones."""

from __future__ import annotations

import logging
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmoncrank.protocol import OrderOutcome, RunEndKind
from persimmoncrank.state import MIN_PROGRESS_PERCENT, Run, RunLedger, RunState, WorkerHealth

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmoncrank.protocol import RunList

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05
MIN_CHECK_INTERVAL_S = 0.001
IDLE_CHECK_INTERVAL_S = 0.25
MISSING_LISTS_BEFORE_LOST = 3

OUTCOMES = {
    RunEndKind.DONE: OrderOutcome.DONE,
    RunEndKind.FAILED: OrderOutcome.FAILED,
    RunEndKind.STOPPED: OrderOutcome.STOPPED,
    RunEndKind.LAPSED: OrderOutcome.LOST,
    RunEndKind.BROKEN: OrderOutcome.LOST,
    RunEndKind.ALONE: OrderOutcome.LOST,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class ListRequest:
    """A request for the worker's list of runs: its sequence number and when it was sent."""

    number: int
    sent_at_s: float


def find_hanging_runs(
    runs: Iterable[Run], health: WorkerHealth, *, now_s: float
) -> list[tuple[Run, str]]:
    """Estimate the worker's speed from its running tasks.

    Returns the runs without progress, with the cause to stop them.
    """
    ratios: defaultdict[str, list[float]] = defaultdict(list)
    hanging: list[tuple[Run, str]] = []
    for run in runs:
        if run.state is not RunState.RUNNING or run.is_stopping:
            continue
        if run.last_percent >= MIN_PROGRESS_PERCENT:
            ran_s = run.progressed_at_s - run.started_at_s
            ratio = 100 * ran_s / run.last_percent / max(run.order.nominal_s, 0.001)
            ratios[run.order.ref.job_id].append(ratio)
        limit_s = health.hang_limit_s(nominal_s=run.order.nominal_s)
        if now_s - run.progressed_at_s > limit_s:
            health.record_failure(job_id=run.order.ref.job_id, now_s=now_s)
            hanging.append((run, f"no progress for {limit_s:.2f} s"))
    health.record_progress(ratios)
    return hanging


def has_never_started(run: Run, runs: RunList, request: ListRequest) -> bool:
    """Return whether a list without an unconfirmed run shows that it can no longer start."""
    has_expired = runs.clock_ms > run.start_deadline_ms
    confirmed = run.stop_confirmed_list
    return has_expired or (confirmed is not None and confirmed < request.number)


def is_missing(run: Run, request: ListRequest) -> bool:
    """Return whether a list without a run should have had it."""
    return run.state is RunState.RUNNING and run.started_at_s < request.sent_at_s


def queue_check_delay_s(ledger: RunLedger, *, now_s: float) -> float:
    """Return the time until queued runs may start or can no longer start in time."""
    if not ledger.queued:
        return IDLE_CHECK_INTERVAL_S
    first_deadline_s = min(run.start_deadline_s for run in ledger.queued)
    return min(max(first_deadline_s - now_s, MIN_CHECK_INTERVAL_S), CHECK_INTERVAL_S)


def log_fields(run: Run) -> tuple[str, int, int, int]:
    """Return what identifies a run in log lines: job, step, index and number."""
    ref = run.order.ref
    return (ref.job_id, ref.step, ref.index, run.number)

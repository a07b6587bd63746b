"""Counters that entries and agents increment and the metrics endpoint reads."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass, field

log = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True)
class EntryCounters:
    """The counters of an entry.

    Failed and refused jobs are counted by error kind, refused tasks by the agent's reason. An
    entry that dispatches to workers counts in ``tasks_refused`` all orders that were not done, by
    outcome. ``trials`` counts orders of tasks that may have crashed a worker, and ``cancels`` the
    cancels of callers by outcome.
    """

    trials: int = 0
    jobs_admitted: int = 0
    jobs_complete: int = 0
    jobs_failed: Counter[str] = field(default_factory=Counter)
    jobs_refused: Counter[str] = field(default_factory=Counter)
    tasks_placed: int = 0
    tasks_succeeded: int = 0
    tasks_refused: Counter[str] = field(default_factory=Counter)
    batches_sent: int = 0
    cancels: Counter[str] = field(default_factory=Counter)


@dataclass(kw_only=True, slots=True)
class AgentCounters:
    """The counters of an agent; refusals are counted by reason.

    ``worker_crashes`` counts reports of crashes under running tasks.
    """

    tasks_started: int = 0
    worker_crashes: int = 0
    tasks_ended: Counter[str] = field(default_factory=Counter)
    tasks_refused: Counter[str] = field(default_factory=Counter)

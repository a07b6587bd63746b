"""Records, views and ledgers: plain data and its transitions, without I/O."""

from __future__ import annotations

from persimmoncrank.state._agent_views import AgentView, AgentViews, combine_statuses
from persimmoncrank.state._breaker import Breaker
from persimmoncrank.state._counters import AgentCounters, EntryCounters
from persimmoncrank.state._currency import (
    NEVER_S,
    Currency,
    PeerVersion,
    adopt,
    age_s,
    has_majority,
    is_accepted,
    is_current,
    majority,
    majority_proof,
    missing_acknowledgements,
    next_elector_groups,
)
from persimmoncrank.state._durations import Durations
from persimmoncrank.state._retry_budget import RetryBudget
from persimmoncrank.state._run_ledger import Run, RunLedger, RunState
from persimmoncrank.state._service_times import ServiceTimes
from persimmoncrank.state._start_records import StartRecords, TaskKey, is_settled
from persimmoncrank.state._worker_health import WorkerHealth

__all__ = [
    "NEVER_S",
    "AgentCounters",
    "AgentView",
    "AgentViews",
    "Breaker",
    "Currency",
    "Durations",
    "EntryCounters",
    "PeerVersion",
    "RetryBudget",
    "Run",
    "RunLedger",
    "RunState",
    "ServiceTimes",
    "StartRecords",
    "TaskKey",
    "WorkerHealth",
    "adopt",
    "age_s",
    "combine_statuses",
    "has_majority",
    "is_accepted",
    "is_current",
    "is_settled",
    "majority",
    "majority_proof",
    "missing_acknowledgements",
    "next_elector_groups",
]

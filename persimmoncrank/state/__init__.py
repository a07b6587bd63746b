"""The state that entries and agents keep: plain data and its transitions, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.state._agent_views import (
        AgentView,
        AgentViews,
        combine_statuses,
    )
    from persimmoncrank.state._breaker import (
        Breaker,
    )
    from persimmoncrank.state._cancelled_jobs import (
        CANCELLATION_RETENTION_S,
        MAX_CANCELLATIONS,
        CancelledJobs,
    )
    from persimmoncrank.state._counters import (
        AgentCounters,
        EntryCounters,
    )
    from persimmoncrank.state._crash_history import (
        CRASH_RETENTION_S,
        CommonKind,
        CrashHistory,
        CrashVerdict,
    )
    from persimmoncrank.state._duration_estimator import (
        DurationEstimator,
    )
    from persimmoncrank.state._freshness import (
        NEVER_S,
        Freshness,
        PeerVersion,
        age_s,
        has_majority,
        is_accepted,
        is_current,
        majority,
        majority_proof,
        missing_acknowledgements,
        next_elector_groups,
        with_proof,
    )
    from persimmoncrank.state._latency_histogram import LatencyHistogram
    from persimmoncrank.state._rendezvous import rendezvous_score
    from persimmoncrank.state._retry_budget import (
        RetryBudget,
    )
    from persimmoncrank.state._run_ledger import (
        Run,
        RunLedger,
        RunState,
    )
    from persimmoncrank.state._service_times import (
        ServiceTimes,
    )
    from persimmoncrank.state._start_records import (
        StartRecords,
        TaskKey,
        has_ended,
    )
    from persimmoncrank.state._table_replica import NO_VERSION, TableReplica
    from persimmoncrank.state._worker_health import (
        MIN_PROGRESS_PERCENT,
        WorkerHealth,
    )

__all__ = [
    "CANCELLATION_RETENTION_S",
    "CRASH_RETENTION_S",
    "MAX_CANCELLATIONS",
    "MIN_PROGRESS_PERCENT",
    "NEVER_S",
    "NO_VERSION",
    "AgentCounters",
    "AgentView",
    "AgentViews",
    "Breaker",
    "CancelledJobs",
    "CommonKind",
    "CrashHistory",
    "CrashVerdict",
    "DurationEstimator",
    "EntryCounters",
    "Freshness",
    "LatencyHistogram",
    "PeerVersion",
    "RetryBudget",
    "Run",
    "RunLedger",
    "RunState",
    "ServiceTimes",
    "StartRecords",
    "TableReplica",
    "TaskKey",
    "WorkerHealth",
    "age_s",
    "combine_statuses",
    "has_ended",
    "has_majority",
    "is_accepted",
    "is_current",
    "majority",
    "majority_proof",
    "missing_acknowledgements",
    "next_elector_groups",
    "rendezvous_score",
    "with_proof",
]

_MODULES = {
    "TableReplica": "_table_replica",
    "CRASH_RETENTION_S": "_crash_history",
    "CrashVerdict": "_crash_history",
    "CommonKind": "_crash_history",
    "CrashHistory": "_crash_history",
    "MIN_PROGRESS_PERCENT": "_worker_health",
    "NO_VERSION": "_table_replica",
    "LatencyHistogram": "_latency_histogram",
    "AgentCounters": "_counters",
    "AgentView": "_agent_views",
    "AgentViews": "_agent_views",
    "Breaker": "_breaker",
    "CANCELLATION_RETENTION_S": "_cancelled_jobs",
    "CancelledJobs": "_cancelled_jobs",
    "MAX_CANCELLATIONS": "_cancelled_jobs",
    "DurationEstimator": "_duration_estimator",
    "EntryCounters": "_counters",
    "Freshness": "_freshness",
    "NEVER_S": "_freshness",
    "PeerVersion": "_freshness",
    "RetryBudget": "_retry_budget",
    "Run": "_run_ledger",
    "RunLedger": "_run_ledger",
    "RunState": "_run_ledger",
    "ServiceTimes": "_service_times",
    "StartRecords": "_start_records",
    "TaskKey": "_start_records",
    "WorkerHealth": "_worker_health",
    "age_s": "_freshness",
    "combine_statuses": "_agent_views",
    "has_ended": "_start_records",
    "has_majority": "_freshness",
    "is_accepted": "_freshness",
    "is_current": "_freshness",
    "majority": "_freshness",
    "majority_proof": "_freshness",
    "missing_acknowledgements": "_freshness",
    "next_elector_groups": "_freshness",
    "rendezvous_score": "_rendezvous",
    "with_proof": "_freshness",
}

__getattr__ = lazy_exports(__name__, _MODULES)

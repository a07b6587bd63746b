"""Execution at the agent: runs tasks on a backend server or worker within its capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.coordination.execution._runner_callbacks import RunnerCallbacks
    from persimmoncrank.coordination.execution._task_runner import (
        REPLY_HOLD_S,
        BackendFailure,
        CallBackend,
        TaskRunner,
        known_records,
    )
    from persimmoncrank.coordination.execution._worker_agent import (
        AgentPorts,
        LeaseTimes,
        WorkerAgent,
    )
    from persimmoncrank.coordination.execution._worker_runner import WorkerRunner

__all__ = [
    "REPLY_HOLD_S",
    "AgentPorts",
    "BackendFailure",
    "CallBackend",
    "LeaseTimes",
    "RunnerCallbacks",
    "TaskRunner",
    "WorkerAgent",
    "WorkerRunner",
    "known_records",
]

_MODULES = {
    "AgentPorts": "_worker_agent",
    "BackendFailure": "_task_runner",
    "CallBackend": "_task_runner",
    "LeaseTimes": "_worker_agent",
    "REPLY_HOLD_S": "_task_runner",
    "RunnerCallbacks": "_runner_callbacks",
    "TaskRunner": "_task_runner",
    "WorkerAgent": "_worker_agent",
    "WorkerRunner": "_worker_runner",
    "known_records": "_task_runner",
}

__getattr__ = lazy_exports(__name__, _MODULES)

"""The agent's part: it runs the tasks of all entries on its worker, within the worker's room."""

from __future__ import annotations

from persimmoncrank.coordination.execution._worker_agent import (
    AgentPorts,
    LeaseTimes,
    WorkerAgent,
)
from persimmoncrank.coordination.execution._worker_runner import RunnerEvents, WorkerRunner

__all__ = ["AgentPorts", "LeaseTimes", "RunnerEvents", "WorkerAgent", "WorkerRunner"]

"""The load and experiment tool, and fakes of the ports to run coordination in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.bench._baselines import (
        POLICIES,
    )
    from persimmoncrank.bench._history import (
        AnswerRecord,
        History,
        Restriction,
        TaskStart,
    )
    from persimmoncrank.bench._live import (
        LiveReport,
        LiveSettings,
        run_live,
    )
    from persimmoncrank.bench._network import (
        Network,
        NetworkFaults,
        Process,
        run_virtual,
    )
    from persimmoncrank.bench._policy import (
        FAULTS,
        PolicyReport,
        PolicySettings,
        run_policy,
    )
    from persimmoncrank.bench._worker_baselines import CHOICES
    from persimmoncrank.bench._worker_load import DEPLOYMENTS
    from persimmoncrank.bench._worker_policy import (
        WorkerPolicyReport,
        WorkerPolicySettings,
        run_worker_policy,
    )
    from persimmoncrank.bench._workload import (
        PROFILES,
    )
    from persimmoncrank.bench._world import (
        AgentOptions,
        World,
        wait_until_converged,
    )

__all__ = [
    "CHOICES",
    "DEPLOYMENTS",
    "FAULTS",
    "POLICIES",
    "PROFILES",
    "AgentOptions",
    "AnswerRecord",
    "History",
    "LiveReport",
    "LiveSettings",
    "Network",
    "NetworkFaults",
    "PolicyReport",
    "PolicySettings",
    "Process",
    "Restriction",
    "TaskStart",
    "WorkerPolicyReport",
    "WorkerPolicySettings",
    "World",
    "run_live",
    "run_policy",
    "run_virtual",
    "run_worker_policy",
    "wait_until_converged",
]

_MODULES = {
    "CHOICES": "_worker_baselines",
    "DEPLOYMENTS": "_worker_load",
    "WorkerPolicyReport": "_worker_policy",
    "WorkerPolicySettings": "_worker_policy",
    "run_worker_policy": "_worker_policy",
    "AgentOptions": "_world",
    "AnswerRecord": "_history",
    "FAULTS": "_policy",
    "History": "_history",
    "LiveReport": "_live",
    "LiveSettings": "_live",
    "Network": "_network",
    "NetworkFaults": "_network",
    "POLICIES": "_baselines",
    "PROFILES": "_workload",
    "PolicyReport": "_policy",
    "PolicySettings": "_policy",
    "Process": "_network",
    "Restriction": "_history",
    "TaskStart": "_history",
    "World": "_world",
    "run_live": "_live",
    "run_policy": "_policy",
    "run_virtual": "_network",
    "wait_until_converged": "_world",
}

__getattr__ = lazy_exports(__name__, _MODULES)

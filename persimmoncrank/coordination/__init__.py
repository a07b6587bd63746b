"""Coordination logic: configuration, membership, placement, jobs, recovery, plans and execution.

These packages depend only on anyio for I/O and receive their external dependencies as callables, so
they can be embedded in other programs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.coordination.configuration import CLOCK_MARGIN, FRESHNESS_LIMIT_S
    from persimmoncrank.coordination.execution import BackendFailure, CallBackend
    from persimmoncrank.coordination.jobs import JobLimits
    from persimmoncrank.coordination.membership import AgentMembership
    from persimmoncrank.coordination.nodes import AgentLimits, AgentNode, EntryNode, EntryPorts
    from persimmoncrank.coordination.placement import (
        Batch,
        Placement,
        PlacementPolicy,
        PlacementPolicyFactory,
        PlacementRequest,
        can_fit,
        is_allowed,
        shortest_completion,
    )

__all__ = [
    "CLOCK_MARGIN",
    "FRESHNESS_LIMIT_S",
    "AgentLimits",
    "AgentMembership",
    "AgentNode",
    "BackendFailure",
    "Batch",
    "CallBackend",
    "EntryNode",
    "EntryPorts",
    "JobLimits",
    "Placement",
    "PlacementPolicy",
    "PlacementPolicyFactory",
    "PlacementRequest",
    "can_fit",
    "is_allowed",
    "shortest_completion",
]

_MODULES = {
    "AgentLimits": "nodes",
    "AgentMembership": "membership",
    "AgentNode": "nodes",
    "BackendFailure": "execution",
    "Batch": "placement",
    "CLOCK_MARGIN": "configuration",
    "CallBackend": "execution",
    "EntryNode": "nodes",
    "EntryPorts": "nodes",
    "FRESHNESS_LIMIT_S": "configuration",
    "JobLimits": "jobs",
    "Placement": "placement",
    "PlacementPolicy": "placement",
    "PlacementPolicyFactory": "placement",
    "PlacementRequest": "placement",
    "can_fit": "placement",
    "is_allowed": "placement",
    "shortest_completion": "placement",
}

__getattr__ = lazy_exports(__name__, _MODULES)

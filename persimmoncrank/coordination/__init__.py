"""The coordination parts: currency, membership, placement, submissions, recovery and plans.

They use anyio alone and take their ports as callables, so they can be embedded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.coordination._agent_membership import (
        AgentMembership,
    )
    from persimmoncrank.coordination._agent_node import (
        AgentLimits,
        AgentNode,
    )
    from persimmoncrank.coordination._config_keeper import (
        CLOCK_MARGIN,
        CURRENCY_LIMIT_S,
    )
    from persimmoncrank.coordination._entry_node import (
        EntryNode,
        EntryPorts,
    )
    from persimmoncrank.coordination._job_table import (
        JobLimits,
    )
    from persimmoncrank.coordination._placement import (
        Batch,
        MakePlace,
        Place,
        Placement,
        PlacementRequest,
        can_fit,
        is_allowed,
        shortest_completion,
    )
    from persimmoncrank.coordination._task_runner import (
        BackendFailure,
        CallBackend,
    )

__all__ = [
    "CLOCK_MARGIN",
    "CURRENCY_LIMIT_S",
    "AgentLimits",
    "AgentMembership",
    "AgentNode",
    "BackendFailure",
    "Batch",
    "CallBackend",
    "EntryNode",
    "EntryPorts",
    "JobLimits",
    "MakePlace",
    "Place",
    "Placement",
    "PlacementRequest",
    "can_fit",
    "is_allowed",
    "shortest_completion",
]

_MODULES = {
    "AgentLimits": "_agent_node",
    "AgentMembership": "_agent_membership",
    "AgentNode": "_agent_node",
    "BackendFailure": "_task_runner",
    "Batch": "_placement",
    "CLOCK_MARGIN": "_config_keeper",
    "CURRENCY_LIMIT_S": "_config_keeper",
    "CallBackend": "_task_runner",
    "EntryNode": "_entry_node",
    "EntryPorts": "_entry_node",
    "JobLimits": "_job_table",
    "MakePlace": "_placement",
    "Place": "_placement",
    "Placement": "_placement",
    "PlacementRequest": "_placement",
    "can_fit": "_placement",
    "is_allowed": "_placement",
    "shortest_completion": "_placement",
}

__getattr__ = lazy_exports(__name__, _MODULES)

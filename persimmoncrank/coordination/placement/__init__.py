"""Placement of tasks on agents, and admission checks before it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.coordination.placement._admission import (
        check_fit,
        check_shape,
        check_wait,
        find_commitment,
    )
    from persimmoncrank.coordination.placement._placement import (
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
    "Batch",
    "Placement",
    "PlacementPolicy",
    "PlacementPolicyFactory",
    "PlacementRequest",
    "can_fit",
    "check_fit",
    "check_shape",
    "check_wait",
    "find_commitment",
    "is_allowed",
    "shortest_completion",
]

_MODULES = {
    "Batch": "_placement",
    "Placement": "_placement",
    "PlacementPolicy": "_placement",
    "PlacementPolicyFactory": "_placement",
    "PlacementRequest": "_placement",
    "can_fit": "_placement",
    "check_fit": "_admission",
    "check_shape": "_admission",
    "check_wait": "_admission",
    "find_commitment": "_admission",
    "is_allowed": "_placement",
    "shortest_completion": "_placement",
}

__getattr__ = lazy_exports(__name__, _MODULES)

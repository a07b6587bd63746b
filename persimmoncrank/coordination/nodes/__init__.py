"""Nodes: an entry and an agent, each assembled from its components."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.coordination.nodes._agent_node import AgentLimits, AgentNode
    from persimmoncrank.coordination.nodes._entry_node import EntryNode, EntryPorts

__all__ = [
    "AgentLimits",
    "AgentNode",
    "EntryNode",
    "EntryPorts",
]

_MODULES = {
    "AgentLimits": "_agent_node",
    "AgentNode": "_agent_node",
    "EntryNode": "_entry_node",
    "EntryPorts": "_entry_node",
}

__getattr__ = lazy_exports(__name__, _MODULES)

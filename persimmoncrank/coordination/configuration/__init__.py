"""Configuration: local replicas and their freshness, changes, and the operator's table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.coordination.configuration._agent_copies import AgentCopies
    from persimmoncrank.coordination.configuration._config_replica import (
        CLOCK_MARGIN,
        FRESHNESS_LIMIT_S,
        ConfigReplica,
    )
    from persimmoncrank.coordination.configuration._config_writer import (
        APPLIED_ROWS_PREFIX,
        ConfigWriter,
        applied_key,
    )
    from persimmoncrank.coordination.configuration._peer_copies import (
        PeerPorts,
        ask_any_peer_for_cancels,
        ask_peer,
        follow_peers,
        serve_copy,
    )
    from persimmoncrank.coordination.configuration._table_follower import TableFollower

__all__ = [
    "APPLIED_ROWS_PREFIX",
    "CLOCK_MARGIN",
    "FRESHNESS_LIMIT_S",
    "AgentCopies",
    "ConfigReplica",
    "ConfigWriter",
    "PeerPorts",
    "TableFollower",
    "applied_key",
    "ask_any_peer_for_cancels",
    "ask_peer",
    "follow_peers",
    "serve_copy",
]

_MODULES = {
    "APPLIED_ROWS_PREFIX": "_config_writer",
    "AgentCopies": "_agent_copies",
    "CLOCK_MARGIN": "_config_replica",
    "ConfigReplica": "_config_replica",
    "ConfigWriter": "_config_writer",
    "FRESHNESS_LIMIT_S": "_config_replica",
    "PeerPorts": "_peer_copies",
    "TableFollower": "_table_follower",
    "applied_key": "_config_writer",
    "ask_any_peer_for_cancels": "_peer_copies",
    "ask_peer": "_peer_copies",
    "follow_peers": "_peer_copies",
    "serve_copy": "_peer_copies",
}

__getattr__ = lazy_exports(__name__, _MODULES)

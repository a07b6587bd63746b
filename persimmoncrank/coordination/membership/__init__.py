"""Membership: registration, heartbeats and failure detection of entries and agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.coordination.membership._agent_membership import AgentMembership
    from persimmoncrank.coordination.membership._entry_membership import (
        AGENT_ROWS_PREFIX,
        EntryMembership,
        agent_row_key,
    )
    from persimmoncrank.coordination.membership._registration import Registration

__all__ = [
    "AGENT_ROWS_PREFIX",
    "AgentMembership",
    "EntryMembership",
    "Registration",
    "agent_row_key",
]

_MODULES = {
    "AGENT_ROWS_PREFIX": "_entry_membership",
    "AgentMembership": "_agent_membership",
    "EntryMembership": "_entry_membership",
    "Registration": "_registration",
    "agent_row_key": "_entry_membership",
}

__getattr__ = lazy_exports(__name__, _MODULES)

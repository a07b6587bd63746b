"""Tests of the assignment of agents to entries."""

from __future__ import annotations

import pytest

from persimmoncrank.coordination.membership._entry_assignment import ENTRIES_PER_AGENT, rank_entries
from persimmoncrank.protocol import EntryInfo

AGENTS = [f"agent-{number}" for number in range(900)]


def make_entries(count: int) -> tuple[EntryInfo, ...]:
    """Return entries spread over three failure domains."""
    return tuple(
        EntryInfo(incarnation=f"e{n}", rpc_address=f"e{n}:1", domain=f"d{n % 3}")
        for n in range(count)
    )


def assigned_entries(agent: str, entries: tuple[EntryInfo, ...]) -> set[str]:
    """Return the incarnations of an agent's assigned entries."""
    return {entry.incarnation for entry in rank_entries(agent, entries)[:ENTRIES_PER_AGENT]}


@pytest.mark.parametrize("count", [3, 9])
def test_assigned_entries_are_in_different_domains_and_balanced(count: int) -> None:
    entries = make_entries(count)
    load = dict.fromkeys((entry.incarnation for entry in entries), 0)
    for agent in AGENTS:
        ranked = rank_entries(agent, entries)
        assert ranked[0].domain != ranked[1].domain
        for assigned_entry in assigned_entries(agent, entries):
            load[assigned_entry] += 1
    mean = len(AGENTS) * ENTRIES_PER_AGENT / count
    assert max(load.values()) < 1.3 * mean


def test_removed_entry_reassigns_only_its_own_agents() -> None:
    entries = make_entries(9)
    kept = entries[1:]
    for agent in AGENTS:
        before = assigned_entries(agent, entries)
        if entries[0].incarnation not in before:
            first = rank_entries(agent, entries)[0]
            assert rank_entries(agent, kept)[0] == first

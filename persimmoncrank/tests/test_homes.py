"""Tests of the choice of home entries."""

from __future__ import annotations

import pytest

from persimmoncrank.coordination.membership._homes import HOME_COUNT, rank_homes
from persimmoncrank.protocol import EntryInfo

AGENTS = [f"agent-{number}" for number in range(900)]


def make_entries(count: int) -> tuple[EntryInfo, ...]:
    """Return entries over three domains."""
    return tuple(
        EntryInfo(incarnation=f"e{n}", rpc_address=f"e{n}:1", domain=f"d{n % 3}")
        for n in range(count)
    )


def homes(agent: str, entries: tuple[EntryInfo, ...]) -> set[str]:
    """Return the incarnations of an agent's homes."""
    return {entry.incarnation for entry in rank_homes(agent, entries)[:HOME_COUNT]}


@pytest.mark.parametrize("count", [3, 9])
def test_homes_are_in_different_domains_and_even(count: int) -> None:
    entries = make_entries(count)
    load = dict.fromkeys((entry.incarnation for entry in entries), 0)
    for agent in AGENTS:
        ranked = rank_homes(agent, entries)
        assert ranked[0].domain != ranked[1].domain
        for home in homes(agent, entries):
            load[home] += 1
    mean = len(AGENTS) * HOME_COUNT / count
    assert max(load.values()) < 1.3 * mean


def test_lost_entry_moves_only_its_own_agents() -> None:
    entries = make_entries(9)
    kept = entries[1:]
    for agent in AGENTS:
        before = homes(agent, entries)
        if entries[0].incarnation not in before:
            first = rank_homes(agent, entries)[0]
            assert rank_homes(agent, kept)[0] == first

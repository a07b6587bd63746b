"""Assignment of agents to entries by rendezvous hashing."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from persimmoncrank.state import rendezvous_score

if TYPE_CHECKING:
    from persimmoncrank.protocol import EntryInfo

log = logging.getLogger(__name__)

ENTRIES_PER_AGENT = 2


def rank_entries(agent: str, entries: tuple[EntryInfo, ...]) -> list[EntryInfo]:
    """Return the entries in an agent's order of preference.

    The first two are in different failure domains if possible. Adding or removing an entry
    reassigns only the agents that have it among their assigned entries.
    """
    ranked = sorted(
        entries, key=lambda entry: rendezvous_score(agent, entry.incarnation), reverse=True
    )
    if len(ranked) <= ENTRIES_PER_AGENT:
        return ranked
    first = ranked[0]
    others = [entry for entry in ranked[1:] if entry.domain != first.domain]
    if not others:
        return ranked
    second = others[0]
    rest = [entry for entry in ranked if entry not in (first, second)]
    return [first, second, *rest]

"""The choice of an agent's home entries by rendezvous hashing."""

from __future__ import annotations

import hashlib
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmoncrank.protocol import EntryInfo

log = logging.getLogger(__name__)

HOME_COUNT = 2
_SCORE_BYTES = 8


def rank_homes(agent: str, entries: tuple[EntryInfo, ...]) -> list[EntryInfo]:
    """Return the entries in an agent's order of preference.

    The first two are in different failure domains where there are such. Adding or removing an entry
    moves only the agents that have it among their homes.
    """
    ranked = sorted(entries, key=lambda entry: _score(agent, entry), reverse=True)
    if len(ranked) <= HOME_COUNT:
        return ranked
    first = ranked[0]
    others = [entry for entry in ranked[1:] if entry.domain != first.domain]
    if not others:
        return ranked
    second = others[0]
    rest = [entry for entry in ranked if entry not in (first, second)]
    return [first, second, *rest]


def _score(agent: str, entry: EntryInfo) -> bytes:
    text = f"{agent}|{entry.incarnation}"
    return hashlib.blake2b(text.encode(), digest_size=_SCORE_BYTES).digest()

"""Freshness: the configuration version a process holds, and when it was last proved the newest.

All transitions are pure functions. Times are in seconds on the process's own monotonic clock. A
time received from another process is converted: the time at which the request was sent, minus the
age in the reply.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmoncrank.protocol import ConfigSnapshot, EntryInfo

log = logging.getLogger(__name__)

NEVER_S = float("-inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class Freshness:
    """The held version and the latest time at which it was proved to be the newest."""

    version: int = 0
    proved_at_s: float = NEVER_S


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerVersion:
    """The version in a peer's reply to a request sent at ``asked_at_s``."""

    incarnation: str
    version: int
    asked_at_s: float


def with_proof(freshness: Freshness, *, version: int, proved_at_s: float) -> Freshness:
    """Return the freshness after a proof that ``version`` was the newest at ``proved_at_s``.

    A version lower than the held one is ignored.
    """
    if version < freshness.version:
        return freshness
    if version > freshness.version:
        return Freshness(version=version, proved_at_s=proved_at_s)
    return replace(freshness, proved_at_s=max(freshness.proved_at_s, proved_at_s))


def age_s(freshness: Freshness, *, now_s: float) -> float:
    """Return the age of the proof."""
    return now_s - freshness.proved_at_s


def is_current(freshness: Freshness, *, now_s: float, limit_s: float) -> bool:
    """Return whether the proof is younger than the limit."""
    return freshness.version > 0 and age_s(freshness, now_s=now_s) < limit_s


def majority(count: int) -> int:
    """Return the smallest number that is more than half of ``count``."""
    return count // 2 + 1


def majority_proof(
    *, snapshot: ConfigSnapshot, self_incarnation: str, peers: Iterable[PeerVersion], now_s: float
) -> float:
    """Return the latest time at which a majority provably had acknowledged no newer version.

    An accepted version was acknowledged by a majority of the registered entries. Any two
    majorities share an entry, so if a majority replied with the held version or a lower one, no
    newer version was accepted before the earliest request to that majority was sent.
    """
    registered = {entry.incarnation for entry in snapshot.entries}
    if self_incarnation not in registered:
        return NEVER_S
    asked_at_s = [now_s]
    for peer in peers:
        is_counted = peer.incarnation in registered and peer.incarnation != self_incarnation
        if is_counted and peer.version <= snapshot.version:
            asked_at_s.append(peer.asked_at_s)
    needed = majority(len(registered))
    if len(asked_at_s) < needed:
        return NEVER_S
    return sorted(asked_at_s, reverse=True)[needed - 1]


def missing_acknowledgements(
    *, snapshot: ConfigSnapshot, self_incarnation: str, peers: Iterable[PeerVersion]
) -> tuple[str, ...]:
    """Return the electors without an acknowledgement, in groups that lack a majority."""
    acknowledged = {peer.incarnation for peer in peers if peer.version >= snapshot.version}
    acknowledged.add(self_incarnation)
    missing: dict[str, None] = {}
    for group in snapshot.elector_groups:
        if not has_majority(group, acknowledged):
            missing.update(dict.fromkeys(e for e in group if e not in acknowledged))
    return tuple(missing)


def has_majority(group: tuple[str, ...], present: set[str]) -> bool:
    """Return whether more than half of a group is present; always true of an empty group."""
    return not group or len(present.intersection(group)) >= majority(len(group))


def is_accepted(
    *, snapshot: ConfigSnapshot, self_incarnation: str, peers: Iterable[PeerVersion]
) -> bool:
    """Return whether a majority of each elector group has acknowledged the snapshot's version."""
    missing = missing_acknowledgements(
        snapshot=snapshot, self_incarnation=self_incarnation, peers=peers
    )
    return not missing


def next_elector_groups(
    old: ConfigSnapshot,
    entries: tuple[EntryInfo, ...],
    *,
    is_accepted: bool,
    is_forced: bool = False,
) -> tuple[tuple[str, ...], ...]:
    """Return the elector groups of the version after ``old``.

    A majority of each group has to acknowledge that version. ``is_accepted`` states whether ``old``
    is known to be accepted; if not, its groups are carried over. A forced version needs only a
    majority of its own entries, since the majority of an earlier group is lost.
    """
    if is_forced:
        return (tuple(entry.incarnation for entry in entries),)
    if is_accepted and not entries:
        # The last entry acknowledges its own removal by writing it.
        return ()
    registered = tuple(entry.incarnation for entry in old.entries)
    earlier = () if is_accepted else old.elector_groups
    groups = dict.fromkeys((*earlier, registered))
    return tuple(group for group in groups if group)

"""Model-based tests of the freshness transitions, checked against the state of all entries."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from persimmoncrank.protocol import ConfigSnapshot, EntryInfo
from persimmoncrank.state import (
    Freshness,
    PeerVersion,
    is_accepted,
    is_current,
    majority,
    majority_proof,
    next_elector_groups,
    with_proof,
)
from persimmoncrank.state import _freshness as transitions

if TYPE_CHECKING:
    from collections.abc import Callable

ENTRY_COUNT = 5
FIRST_COUNT = 3

numbers = st.integers(0, ENTRY_COUNT - 1)


@dataclass
class _Entry:
    """One entry of the model."""

    name: str
    snapshot: ConfigSnapshot = field(default_factory=ConfigSnapshot)
    freshness: Freshness = field(default_factory=Freshness)
    peers: dict[str, PeerVersion] = field(default_factory=dict)
    accepted: int = 0
    has_store: bool = True


def _is_more_than_half(group: tuple[str, ...], holders: set[str]) -> bool:
    return 2 * len(holders.intersection(group)) > len(group)


def _info(name: str) -> EntryInfo:
    return EntryInfo(incarnation=name, rpc_address=name, domain="monza")


# Hypothesis seeds the derandomized runs from the source of this class, docstrings included.
class FreshnessMachine(RuleBasedStateMachine):
    """Entries that read, write, ask each other and lose the store, in any order."""

    def __init__(self) -> None:
        """Start with some entries registered and one version accepted."""
        super().__init__()
        self.now_s = 100.0
        names = [f"e{number}" for number in range(ENTRY_COUNT)]
        registered = tuple(_info(name) for name in names[:FIRST_COUNT])
        self.store = ConfigSnapshot(version=1, entries=registered)
        self.history = {1: self.store}
        self.accepted_at_s: dict[int, float] = {}
        self.entries = [_Entry(name=name) for name in names]
        for entry in self.entries:
            self._read(entry)
        self._observe()

    def _learn(self, entry: _Entry, snapshot: ConfigSnapshot, proved_at_s: float) -> None:
        if snapshot.version > entry.snapshot.version:
            entry.snapshot = snapshot
        if snapshot.version == entry.snapshot.version:
            entry.freshness = with_proof(
                entry.freshness, version=snapshot.version, proved_at_s=proved_at_s
            )
        proof_s = transitions.majority_proof(
            snapshot=entry.snapshot,
            self_incarnation=entry.name,
            peers=entry.peers.values(),
            now_s=self.now_s,
        )
        entry.freshness = with_proof(
            entry.freshness, version=entry.snapshot.version, proved_at_s=proof_s
        )
        if transitions.is_accepted(
            snapshot=entry.snapshot, self_incarnation=entry.name, peers=entry.peers.values()
        ):
            entry.accepted = entry.snapshot.version

    def _read(self, entry: _Entry) -> None:
        self._learn(entry, self.store, self.now_s)

    def _observe(self) -> None:
        """Note each version that a majority of each of its groups holds by now."""
        held = {entry.name: entry.snapshot.version for entry in self.entries}
        for version, snapshot in self.history.items():
            holders = {name for name, value in held.items() if value >= version}
            if all(_is_more_than_half(group, holders) for group in snapshot.elector_groups):
                self.accepted_at_s.setdefault(version, self.now_s)

    @rule(seconds=st.sampled_from([0.1, 0.7, 1.5, 5.0]))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.now_s += seconds

    @rule(number=numbers)
    def read_store(self, number: int) -> None:
        """Let an entry read the store."""
        if self.entries[number].has_store:
            self._read(self.entries[number])
            self._observe()

    @rule(number=numbers)
    def toggle_store(self, number: int) -> None:
        """Cut an entry off from the store, or give it back."""
        self.entries[number].has_store = not self.entries[number].has_store

    @rule(
        asker=numbers,
        answerer=numbers,
        took_s=st.sampled_from([0.0, 0.4, 1.2]),
        is_bare=st.booleans(),
    )
    def ask(self, asker: int, answerer: int, took_s: float, is_bare: bool) -> None:
        """Let an entry ask a peer; the answer is as of the end, the proof as of the start.

        A bare answer tells the version without the snapshot.
        """
        one, other = self.entries[asker], self.entries[answerer]
        if asker == answerer:
            return
        asked_at_s = self.now_s
        self.now_s += took_s
        one.peers[other.name] = PeerVersion(
            incarnation=other.name, version=other.snapshot.version, asked_at_s=asked_at_s
        )
        proved_at_s = asked_at_s - (self.now_s - other.freshness.proved_at_s)
        if not is_current(other.freshness, now_s=self.now_s, limit_s=2.0):
            proved_at_s = float("-inf")
        snapshot = other.snapshot
        if is_bare and snapshot.version > one.snapshot.version:
            snapshot, proved_at_s = one.snapshot, float("-inf")
        self._learn(one, snapshot, proved_at_s)
        self._observe()

    @rule(number=numbers, changed=st.none() | numbers)
    def write(self, number: int, changed: int | None) -> None:
        """Let an entry write a change, perhaps of the set of entries."""
        entry = self.entries[number]
        if not entry.has_store or entry.snapshot.version != self.store.version:
            return
        entries = self.store.entries
        if changed is not None:
            info = _info(self.entries[changed].name)
            removed = tuple(e for e in entries if e != info)
            entries = removed if info in entries else (*entries, info)
        if not entries:
            return
        groups = next_elector_groups(
            self.store, entries, is_accepted=entry.accepted >= self.store.version
        )
        self.store = replace(
            self.store, version=self.store.version + 1, entries=entries, elector_groups=groups
        )
        self.history[self.store.version] = self.store
        self._learn(entry, self.store, self.now_s)
        self._observe()

    @invariant()
    def no_proof_is_newer_than_a_missed_acceptance(self) -> None:
        """No entry holds a proof from after the acceptance of a version it does not hold."""
        for entry in self.entries:
            for version, accepted_at_s in self.accepted_at_s.items():
                if version > entry.snapshot.version:
                    assert entry.freshness.proved_at_s <= accepted_at_s, (
                        f"{entry.name} at {entry.snapshot.version} proved at"
                        f" {entry.freshness.proved_at_s}, {version} accepted at {accepted_at_s}"
                    )

    @invariant()
    def accepted_is_true(self) -> None:
        """Entries take as accepted only what a majority of each group holds."""
        for entry in self.entries:
            assert entry.accepted == 0 or entry.accepted in self.accepted_at_s

    @invariant()
    def versions_match_proofs(self) -> None:
        """Proofs are for the held version."""
        for entry in self.entries:
            assert entry.freshness.version == entry.snapshot.version


MACHINE_SETTINGS = settings(
    max_examples=250,
    stateful_step_count=60,
    derandomize=True,
    phases=[Phase.generate],
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def test_freshness_machine() -> None:
    run_state_machine_as_test(FreshnessMachine, settings=MACHINE_SETTINGS)


def _half(count: int) -> int:
    return (count + 1) // 2


def _proof_by_any_version(**arguments) -> float:  # type: ignore[no-untyped-def]
    """Count every peer, whichever version it holds."""
    peers = [replace(peer, version=0) for peer in arguments["peers"]]
    return majority_proof(**{**arguments, "peers": peers})


def _always_accepted(**_arguments) -> bool:  # type: ignore[no-untyped-def]
    return True


@pytest.mark.parametrize(
    ("name", "broken"),
    [
        ("majority", _half),
        ("majority_proof", _proof_by_any_version),
        ("is_accepted", _always_accepted),
    ],
)
def test_machine_catches_broken_transitions(
    name: str, broken: Callable, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(transitions, name, broken)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(FreshnessMachine, settings=MACHINE_SETTINGS)


@pytest.mark.parametrize(("count", "least"), [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3), (9, 5)])
def test_majority(count: int, least: int) -> None:
    assert majority(count) == least


@pytest.mark.parametrize(
    ("age_s", "expected"), [(0.0, True), (1.9, True), (2.0, False), (9.0, False)]
)
def test_freshness_ends_at_its_limit(age_s: float, expected: bool) -> None:
    freshness = Freshness(version=3, proved_at_s=10.0)
    assert is_current(freshness, now_s=10.0 + age_s, limit_s=2.0) is expected


def test_lower_version_is_ignored() -> None:
    freshness = Freshness(version=3, proved_at_s=10.0)
    assert with_proof(freshness, version=2, proved_at_s=50.0) == freshness


@pytest.mark.parametrize(
    ("groups", "acknowledged", "expected"),
    [
        ((), (), True),
        ((("a", "b", "c"),), ("a",), False),
        ((("a", "b", "c"),), ("a", "b"), True),
        ((("a", "b", "c"), ("c", "d")), ("a", "b"), False),
        ((("a", "b", "c"), ("c", "d")), ("a", "c", "d"), True),
    ],
)
def test_acceptance_needs_a_majority_of_each_group(
    groups: tuple, acknowledged: tuple, expected: bool
) -> None:
    snapshot = ConfigSnapshot(version=5, elector_groups=groups)
    peers = [PeerVersion(incarnation=p, version=5, asked_at_s=0.0) for p in acknowledged]
    accepted = is_accepted(snapshot=snapshot, self_incarnation="nobody", peers=peers)
    assert accepted is expected

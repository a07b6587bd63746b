"""Each invariant of runs on workers catches a broken line."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import pytest

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.coordination.dispatch import (
    AgentLink,
    Dispatcher,
    DispatchTimes,
    JobTask,
    _worker_choice,
)
from persimmoncrank.coordination.execution import WorkerAgent
from persimmoncrank.coordination.execution._entry_links import EntryLinks
from persimmoncrank.coordination.execution._worker_runner import WorkerRunner
from persimmoncrank.state import RunLedger
from persimmoncrank.tests import test_worker_histories as histories

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmoncrank.protocol import EntryFrame

MAX_SEEDS = 3
LONGEST_S = 3.0


def forget_used_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Count no room as used."""
    monkeypatch.setattr(RunLedger, "free", property(lambda ledger: ledger.capacity))


def lose_orders_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Place tasks again without waiting for the leases of an agent out of reach."""
    monkeypatch.setattr(DispatchTimes, "orders_lost_after_s", property(lambda _times: 0.05))


def keep_runs_of_lost_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let runs go on after the entry's lease has run out."""

    def ignore(*_args: Any) -> None:
        return None

    monkeypatch.setattr(EntryLinks, "_handle_lease_loss", ignore)


def ignore_unknown_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Start beside runs of an earlier process of the agent."""

    def ignore(*_args: Any) -> None:
        return None

    monkeypatch.setattr(WorkerRunner, "_update_unknown_runs", ignore)


def start_whatever_was_ordered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check nothing again before a start, at the agent nor at the entry."""
    monkeypatch.setattr(WorkerAgent, "_is_accepting", lambda _agent: True)

    def is_eligible(_task: JobTask, link: AgentLink, *, withdrawn: Any) -> bool:
        return link.report is not None and link.is_connected

    monkeypatch.setattr(_worker_choice, "is_eligible", is_eligible)


def go_on_with_cancelled_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Stop no orders of jobs that are over."""
    monkeypatch.setattr(Dispatcher, "_stop_orders", lambda *_args: None)


def take_older_versions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let an agent forget which version of the configuration it holds."""

    def note(agent: WorkerAgent, frame: EntryFrame) -> None:
        if frame.withdrawn is not None:
            agent.config_version = frame.config_version % 2

    monkeypatch.setattr(WorkerAgent, "_apply_config", note)


CASES = [
    (start_whatever_was_ordered, histories.withdraw_domain),
    (start_whatever_was_ordered, histories.drain_worker),
    (go_on_with_cancelled_jobs, histories.cancel_jobs),
    (take_older_versions, histories.withdraw_domain),
    (forget_used_room, histories.no_fault),
    (lose_orders_at_once, histories.kill_agent),
    (keep_runs_of_lost_entries, histories.kill_entry),
    (ignore_unknown_runs, histories.kill_agent),
]


@pytest.mark.parametrize(("mutate", "fault"), CASES, ids=lambda case: case.__name__)
def test_a_broken_line_is_caught(
    monkeypatch: pytest.MonkeyPatch,
    mutate: Callable[[pytest.MonkeyPatch], None],
    fault: Callable[..., Any],
) -> None:
    mutate(monkeypatch)

    def play_all() -> None:
        for seed in range(MAX_SEEDS):
            scene = partial(histories.play, seed, [fault, fault], longest_s=LONGEST_S)
            run_virtual(scene, seed=seed)

    with pytest.raises(BaseExceptionGroup) as caught:
        play_all()
    assert caught.group_contains(AssertionError)

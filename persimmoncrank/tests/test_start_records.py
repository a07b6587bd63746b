"""Tests of the start records."""

from __future__ import annotations

import pytest

from persimmoncrank.protocol import OutcomeState, RefusalReason
from persimmoncrank.state import StartRecords, TaskKey

KEY = TaskKey(submission_id="s", index=0)


def make_records(max_result_bytes: int = 1_000) -> StartRecords:
    """Return empty records with a retention of 10 s."""
    return StartRecords(retention_s=10.0, max_result_bytes=max_result_bytes, max_records=100)


def bring_to(records: StartRecords, state: OutcomeState, key: TaskKey = KEY) -> None:
    """Record a task and bring it to a state."""
    records.admit(key, attempt=0, is_idempotent=False, task_count=1)
    if state == OutcomeState.QUEUED:
        return
    if state == OutcomeState.REFUSED:
        records.refuse(key, reason=RefusalReason.LEAVING, now_s=0.0)
        return
    records.start(key)
    if state != OutcomeState.STARTED:
        records.record_end(key, state=state, detail=b"12345", run_time_ms=1, now_s=0.0)


@pytest.mark.parametrize(
    ("state", "attempt", "is_idempotent", "expected"),
    [
        (OutcomeState.QUEUED, 1, False, False),
        (OutcomeState.STARTED, 1, True, False),
        (OutcomeState.SUCCEEDED, 1, True, False),
        (OutcomeState.FAILED, 1, False, False),
        (OutcomeState.FAILED, 1, True, True),
        (OutcomeState.FAILED, 0, True, False),
        (OutcomeState.UNKNOWN, 1, False, False),
        (OutcomeState.UNKNOWN, 1, True, True),
        (OutcomeState.REFUSED, 0, False, False),
        (OutcomeState.REFUSED, 1, False, True),
    ],
)
def test_only_refused_or_failed_idempotent_tasks_may_be_admitted_again(
    state: OutcomeState, attempt: int, is_idempotent: bool, expected: bool
) -> None:
    records = make_records()
    bring_to(records, state)
    admitted = records.admit(KEY, attempt=attempt, is_idempotent=is_idempotent, task_count=1)
    assert admitted is expected


@pytest.mark.parametrize(("now_s", "left"), [(9.0, 1), (11.0, 0)])
def test_records_expire_after_their_retention(now_s: float, left: int) -> None:
    records = make_records()
    bring_to(records, OutcomeState.SUCCEEDED)
    records.expire(now_s=now_s)
    assert len(records) == left


def test_running_task_is_never_dropped() -> None:
    records = make_records()
    bring_to(records, OutcomeState.STARTED)
    records.expire(now_s=1_000.0)
    assert len(records) == 1


def test_oldest_results_become_unknown_above_the_size_limit() -> None:
    records = make_records(max_result_bytes=12)
    keys = [TaskKey(submission_id="s", index=index) for index in range(4)]
    for key in keys:
        bring_to(records, OutcomeState.SUCCEEDED, key)
    states = [outcome.state for key in keys if (outcome := records.get(key)) is not None]
    assert states == [OutcomeState.UNKNOWN] * 2 + [OutcomeState.SUCCEEDED] * 2
    assert records.result_bytes == 10


def test_closed_submission_refuses_queued_tasks() -> None:
    records = make_records()
    bring_to(records, OutcomeState.QUEUED)
    assert records.close("s", now_s=1.0) == 1
    assert records.is_closed("s")
    assert [o.state for o in records.submission("s").outcomes] == [OutcomeState.REFUSED]


def test_records_are_handed_over_with_their_age() -> None:
    records, other = make_records(), make_records()
    bring_to(records, OutcomeState.SUCCEEDED)
    other.add_handed_over(records.hand_over(now_s=4.0), now_s=104.0)
    assert other.submission("s") == records.submission("s")
    other.expire(now_s=109.0)
    assert len(other) == 1
    other.expire(now_s=111.0)
    assert len(other) == 0

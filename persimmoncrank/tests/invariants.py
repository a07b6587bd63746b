"""The invariants of simulated runs, each checked by one function over the recorded history."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from persimmoncrank.tests.base import result_of

if TYPE_CHECKING:
    from persimmoncrank.bench import AnswerRecord, History

log = logging.getLogger(__name__)

LATE_START_LIMIT_S = 3.0
"""Documented target: no task starts later than this after its restriction was accepted."""


def check_at_most_once(history: History) -> None:
    """Check that tasks start at most once, except in idempotent submissions."""
    idempotent = {a.spec.submission_id for a in history.answers if a.spec.is_idempotent}
    starts = Counter((s.submission_id, s.index) for s in history.starts)
    repeated = [key for key, count in starts.items() if count > 1 and key[0] not in idempotent]
    assert not repeated, f"started more than once: {repeated}"


def check_answer_results(history: History) -> None:
    """Check that each answer holds exactly the results of its own tasks, or none."""
    for record in history.answers:
        if record.is_complete:
            _check_results(record)
        elif record.answer.is_ok():
            assert not record.answer.unwrap().results


def _check_results(record: AnswerRecord) -> None:
    answer = record.answer.unwrap()
    spec = record.spec
    bodies = [result.body for result in answer.results]
    expected = [result_of(answer.submission_id, task) for task in spec.tasks]
    assert bodies == expected, f"{spec.submission_id} got wrong results: {bodies}"


def check_not_run_answers(history: History) -> None:
    """Check that no task of a submission ever started if an answer reported it as not run."""
    started = {start.submission_id for start in history.starts}
    for record in history.answers:
        error = record.error
        if error is not None and error.not_run:
            submission_id = record.spec.submission_id
            if record.answer.is_ok():
                submission_id = record.answer.unwrap().submission_id
            assert submission_id not in started, f"{submission_id}: {error}"


def check_no_late_starts(history: History) -> None:
    """Check that no task starts under a restriction once ``LATE_START_LIMIT_S`` has passed."""
    for restriction in history.restrictions:
        limit_s = restriction.accepted_at_s + LATE_START_LIMIT_S
        late = [
            start
            for start in history.starts
            if limit_s < start.at_s < restriction.ended_at_s
            and (start.domain == restriction.domain or start.backend == restriction.backend)
        ]
        assert not late, f"late starts under {restriction}: {late}"


def check_versions_never_decrease(history: History) -> None:
    """Check that no process ever returned to an older configuration version."""
    for process, versions in history.versions.items():
        assert versions == sorted(versions), f"{process} held decreasing versions: {versions}"


def check_graceful_stops_complete_jobs(history: History) -> None:
    """Check that every job was completed, in a run whose only faults are graceful stops."""
    failed = [record for record in history.answers if not record.is_complete]
    assert not failed, f"jobs not completed: {[(a.spec.submission_id, a.error) for a in failed]}"


ALL_INVARIANTS = (
    check_at_most_once,
    check_answer_results,
    check_not_run_answers,
    check_no_late_starts,
    check_versions_never_decrease,
)


def check_all(history: History) -> None:
    """Check every invariant."""
    for check in ALL_INVARIANTS:
        check(history)

"""The invariants that every history must keep, one function each."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from persimmoncrank.tests.base import result_of

if TYPE_CHECKING:
    from persimmoncrank.bench import AnswerRecord, History

log = logging.getLogger(__name__)

LATE_START_LIMIT_S = 3.0
"""The stated target: no start later than this after a restriction was accepted."""


def check_at_most_once(history: History) -> None:
    """Check that no task of a submission that is not idempotent started twice."""
    idempotent = {a.spec.submission_id for a in history.answers if a.spec.is_idempotent}
    starts = Counter((s.submission_id, s.index) for s in history.starts)
    twice = [key for key, count in starts.items() if count > 1 and key[0] not in idempotent]
    assert not twice, f"started more than once: {twice}"


def check_whole_answers(history: History) -> None:
    """Check that each answer is whole and the caller's own, or carries no results."""
    for answered in history.answers:
        if answered.is_complete:
            _check_complete(answered)
        elif answered.answer.is_ok():
            assert not answered.answer.unwrap().results


def _check_complete(answered: AnswerRecord) -> None:
    answer = answered.answer.unwrap()
    spec = answered.spec
    bodies = [result.body for result in answer.results]
    expected = [result_of(answer.submission_id, task) for task in spec.tasks]
    assert bodies == expected, f"{spec.submission_id} got {bodies}"


def check_not_run_is_true(history: History) -> None:
    """Check that nothing of a submission started, before or after "not run" was said of it."""
    started = {start.submission_id for start in history.starts}
    for answered in history.answers:
        error = answered.error
        if error is not None and error.not_run:
            submission_id = answered.spec.submission_id
            if answered.answer.is_ok():
                submission_id = answered.answer.unwrap().submission_id
            assert submission_id not in started, f"{submission_id}: {error}"


def check_no_late_starts(history: History) -> None:
    """Check that nothing starts where a restriction has been accepted for some seconds."""
    for restriction in history.restrictions:
        limit_s = restriction.accepted_at_s + LATE_START_LIMIT_S
        late = [
            start
            for start in history.starts
            if limit_s < start.at_s < restriction.ended_at_s
            and (start.domain == restriction.domain or start.backend == restriction.backend)
        ]
        assert not late, f"late starts under {restriction}: {late}"


def check_versions_rise(history: History) -> None:
    """Check that no process ever went back to a lower version."""
    for process, versions in history.versions.items():
        assert versions == sorted(versions), f"{process} held {versions}"


def check_planned_stops_cut_nothing(history: History) -> None:
    """Check that every job was answered whole, in a run with no faults but planned stops."""
    failed = [answered for answered in history.answers if not answered.is_complete]
    assert not failed, f"cut off: {[(a.spec.submission_id, a.error) for a in failed]}"


ALL_INVARIANTS = (
    check_at_most_once,
    check_whole_answers,
    check_not_run_is_true,
    check_no_late_starts,
    check_versions_rise,
)


def check_all(history: History) -> None:
    """Check every invariant."""
    for check in ALL_INVARIANTS:
        check(history)

"""Start records of an agent: the tasks of each submission that started here, and their outcomes."""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass, replace

from persimmoncrank.protocol import (
    HandedOverRecord,
    OutcomeState,
    RefusalReason,
    SubmissionRecords,
    TaskOutcome,
)

log = logging.getLogger(__name__)

_NOT_ENDED = (OutcomeState.QUEUED, OutcomeState.STARTED)


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskKey:
    """Identifies one task of one submission."""

    submission_id: str
    index: int


def has_ended(outcome: TaskOutcome) -> bool:
    """Return whether a task is neither queued nor running."""
    return outcome.state not in _NOT_ENDED


class StartRecords:
    """Start records, with a retention time for records and a size limit for results.

    A record is never dropped before its retention ends, so a repeated message cannot start a task
    again. Above the size limit the oldest results are dropped and their outcome becomes unknown.
    """

    def __init__(self, *, retention_s: float, max_result_bytes: int, max_records: int) -> None:
        """Create an empty set of records."""
        self._retention_s = retention_s
        self._max_result_bytes = max_result_bytes
        self._max_records = max_records
        self._outcomes: dict[TaskKey, TaskOutcome] = {}
        self._by_submission: dict[str, set[int]] = {}
        self._task_counts: dict[str, int] = {}
        self._closed_at_s: dict[str, float] = {}
        self._ended: deque[tuple[float, TaskKey, int]] = deque()
        self._with_result: deque[TaskKey] = deque()
        self._result_bytes = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._outcomes)

    @property
    def result_bytes(self) -> int:
        """The total size of the stored results."""
        return self._result_bytes

    @property
    def is_full(self) -> bool:
        """Whether no further record can be added."""
        return len(self._outcomes) >= self._max_records

    def get(self, key: TaskKey) -> TaskOutcome | None:
        """Return the outcome of a task, or None if there is no record of it."""
        return self._outcomes.get(key)

    def admit(self, key: TaskKey, *, attempt: int, is_idempotent: bool, task_count: int) -> bool:
        """Record a task as queued; return False if its existing record must be used instead.

        A later attempt replaces a refused one. It replaces one that failed or whose outcome is
        unknown only if the task is idempotent.
        """
        known = self._outcomes.get(key)
        if known is not None:
            may_replace = known.state == OutcomeState.REFUSED or (
                is_idempotent and known.state in (OutcomeState.FAILED, OutcomeState.UNKNOWN)
            )
            if attempt <= known.attempt or not may_replace:
                return False
        self._outcomes[key] = TaskOutcome(
            index=key.index, attempt=attempt, state=OutcomeState.QUEUED
        )
        self._index_task(key, task_count)
        return True

    def _index_task(self, key: TaskKey, task_count: int) -> None:
        self._by_submission.setdefault(key.submission_id, set()).add(key.index)
        self._task_counts[key.submission_id] = task_count

    def start(self, key: TaskKey) -> None:
        """Record that a queued task starts now."""
        self._outcomes[key] = replace(self._outcomes[key], state=OutcomeState.STARTED)

    def record_end(
        self, key: TaskKey, *, state: OutcomeState, detail: bytes, run_time_ms: int, now_s: float
    ) -> None:
        """Record the end of a started task."""
        outcome = replace(self._outcomes[key], state=state, detail=detail, run_time_ms=run_time_ms)
        self._store_ended(key, outcome, now_s)

    def refuse(self, key: TaskKey, *, reason: RefusalReason, now_s: float) -> None:
        """Record that a queued task will not start in this attempt."""
        outcome = replace(self._outcomes[key], state=OutcomeState.REFUSED, reason=reason)
        self._store_ended(key, outcome, now_s)

    def _store_ended(self, key: TaskKey, outcome: TaskOutcome, now_s: float) -> None:
        self._outcomes[key] = outcome
        self._ended.append((now_s, key, outcome.attempt))
        if outcome.detail:
            self._with_result.append(key)
            self._result_bytes += len(outcome.detail)
            self._drop_oldest_results()

    def _drop_oldest_results(self) -> None:
        while self._result_bytes > self._max_result_bytes and self._with_result:
            key = self._with_result.popleft()
            outcome = self._outcomes.get(key)
            if outcome is None or not outcome.detail:
                continue
            self._result_bytes -= len(outcome.detail)
            self._outcomes[key] = replace(outcome, state=OutcomeState.UNKNOWN, detail=b"")

    def is_closed(self, submission_id: str) -> bool:
        """Return whether a submission is closed, so that none of its tasks may start here."""
        return submission_id in self._closed_at_s

    def close(self, submission_id: str, *, now_s: float) -> int:
        """Prevent further starts of a submission's tasks; return how many tasks were refused."""
        self._closed_at_s.setdefault(submission_id, now_s)
        queued = [
            key
            for key in self._keys(submission_id)
            if self._outcomes[key].state == OutcomeState.QUEUED
        ]
        for key in queued:
            self.refuse(key, reason=RefusalReason.CLOSED, now_s=now_s)
        return len(queued)

    def submission(self, submission_id: str) -> SubmissionRecords:
        """Return the records of a submission."""
        return SubmissionRecords(
            submission_id=submission_id,
            task_count=self._task_counts.get(submission_id, 0),
            outcomes=tuple(self._outcomes[key] for key in self._keys(submission_id)),
        )

    def queued(self) -> tuple[TaskKey, ...]:
        """Return the tasks that wait for a slot."""
        return tuple(k for k, o in self._outcomes.items() if o.state == OutcomeState.QUEUED)

    def _keys(self, submission_id: str) -> list[TaskKey]:
        indexes = self._by_submission.get(submission_id, set())
        return [TaskKey(submission_id=submission_id, index=i) for i in sorted(indexes)]

    def expire(self, *, now_s: float) -> int:
        """Drop the records whose retention has ended; return how many."""
        horizon_s = now_s - self._retention_s
        dropped = 0
        while self._ended and self._ended[0][0] < horizon_s:
            _, key, attempt = self._ended.popleft()
            outcome = self._outcomes.get(key)
            if outcome is None or outcome.attempt != attempt or not has_ended(outcome):
                continue
            self._drop(key, outcome)
            dropped += 1
        self._expire_closed(horizon_s)
        return dropped

    def _expire_closed(self, horizon_s: float) -> None:
        while self._closed_at_s:
            submission_id, closed_at_s = next(iter(self._closed_at_s.items()))
            if closed_at_s >= horizon_s:
                return
            del self._closed_at_s[submission_id]

    def _drop(self, key: TaskKey, outcome: TaskOutcome) -> None:
        del self._outcomes[key]
        self._result_bytes -= len(outcome.detail)
        indexes = self._by_submission[key.submission_id]
        indexes.discard(key.index)
        if not indexes:
            del self._by_submission[key.submission_id]
            del self._task_counts[key.submission_id]

    def hand_over(self, *, now_s: float) -> tuple[HandedOverRecord, ...]:
        """Return all records of ended tasks with their ages, oldest first."""
        handed_over = []
        for ended_at_s, key, attempt in self._ended:
            outcome = self._outcomes.get(key)
            if outcome is None or outcome.attempt != attempt:
                continue
            age_ms = int((now_s - ended_at_s) * 1000)
            handed_over.append(
                HandedOverRecord(
                    submission_id=key.submission_id,
                    task_count=self._task_counts[key.submission_id],
                    outcome=outcome,
                    age_ms=age_ms,
                )
            )
        return tuple(handed_over)

    def add_handed_over(self, records: tuple[HandedOverRecord, ...], *, now_s: float) -> None:
        """Add the records of a process that left; their age counts towards the retention."""
        for record in records:
            key = TaskKey(submission_id=record.submission_id, index=record.outcome.index)
            self._index_task(key, record.task_count)
            if key in self._outcomes and self._outcomes[key].state != OutcomeState.REFUSED:
                continue
            self._store_ended(key, record.outcome, now_s - record.age_ms / 1000)

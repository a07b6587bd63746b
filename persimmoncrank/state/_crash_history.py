"""Crashes of workers by the tasks that were running, and what they say about these tasks.

When a worker crashes, one of its tasks may be the cause. A task that had just been ordered is more
likely to be it than one that had been running for some time.
"""

from __future__ import annotations

import enum
import logging
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from persimmoncrank.protocol import CrashedRun, TaskRef, WorkerCrash

log = logging.getLogger(__name__)

CrashKey = tuple[str, int]

MAX_RECENT_CRASHES = 2  # under a task that had just been ordered
MAX_CRASHES = 3  # under a task in any case
MIN_CONFIRMED_CRASHES = 2  # for a task to be called the cause
CRASH_RETENTION_S = 120.0  # longer than callers send a job again
MAX_RECORDED_CRASHES = 4_096


class CrashVerdict(enum.Enum):
    """Whether a task may be tried again: freely, with care, or not at all."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    GIVEN_UP = "given up"


@dataclass(frozen=True, kw_only=True, slots=True)
class CommonKind:
    """A kind of a service's tasks that had just been started in some crashes.

    ``share`` is their share of all crashes in the time considered.
    """

    service: str
    kind: str
    crashes: int
    share: float
    has_proven_task: bool


@dataclass(kw_only=True)
class _RecordedCrash:
    """One crash and the runs that are known to have been active."""

    at_s: float
    service: str
    runs: dict[TaskRef, CrashedRun] = field(default_factory=dict)


@dataclass(kw_only=True)
class CrashHistory:
    """The recent crashes of all workers, from the reports of all agents."""

    _crashes: OrderedDict[CrashKey, _RecordedCrash] = field(default_factory=OrderedDict)
    _by_task: dict[TaskRef, dict[CrashKey, CrashedRun]] = field(default_factory=dict)
    _by_job: dict[str, set[TaskRef]] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of crashes that are kept."""
        return len(self._crashes)

    def record(self, crash: WorkerCrash, *, now_s: float) -> WorkerCrash | None:
        """Record a crash; return all that is known of it, or None if nothing was new."""
        key = (crash.worker, crash.incarnation)
        at_s = now_s - crash.age_s
        if at_s < now_s - CRASH_RETENTION_S:
            return None
        recorded = self._crashes.setdefault(key, _RecordedCrash(at_s=at_s, service=crash.service))
        new_runs = [run for run in crash.runs if _adds_to(run, recorded.runs.get(run.ref))]
        if not new_runs:
            return None
        for run in new_runs:
            recorded.runs[run.ref] = run
            self._by_task.setdefault(run.ref, {})[key] = run
            self._by_job.setdefault(run.ref.job_id, set()).add(run.ref)
        self.expire(now_s=now_s)
        return WorkerCrash(
            worker=crash.worker,
            incarnation=crash.incarnation,
            runs=tuple(recorded.runs.values()),
            age_s=now_s - recorded.at_s,
            service=recorded.service,
        )

    def verdict(self, task: TaskRef) -> CrashVerdict:
        """Return what the crashes under a task say about it."""
        crashes = self._by_task.get(task)
        if not crashes:
            return CrashVerdict.CLEAR
        recent = sum(run.is_recent for run in crashes.values())
        if recent >= MAX_RECENT_CRASHES or len(crashes) >= MAX_CRASHES:
            return CrashVerdict.GIVEN_UP
        if recent or len(crashes) == MAX_CRASHES - 1:
            return CrashVerdict.SUSPECT
        return CrashVerdict.CLEAR

    def crash_count(self, task: TaskRef) -> int:
        """Return how many workers have crashed under a task."""
        return len(self._by_task.get(task, ()))

    def is_proven(self, task: TaskRef) -> bool:
        """Return whether enough workers have certainly crashed while they ran a task."""
        crashes = self._by_task.get(task, {})
        return sum(run.is_confirmed for run in crashes.values()) >= MIN_CONFIRMED_CRASHES

    def tasks_of(self, job_id: str, verdict: CrashVerdict) -> list[TaskRef]:
        """Return the tasks of a job with a verdict."""
        return [ref for ref in self._by_job.get(job_id, ()) if self.verdict(ref) is verdict]

    def has_crashed(self, worker: str, incarnation: int) -> bool:
        """Return whether an incarnation of a worker has crashed."""
        return (worker, incarnation) in self._crashes

    def common_kind(self, *, since_s: float) -> CommonKind | None:
        """Return the kind that had just been started in the most crashes since a time, or None.

        Crashes without any task that had just been started say nothing about kinds.
        """
        crashes = 0
        counts: Counter[tuple[str, str]] = Counter()
        kinds_with_proof: set[str] = set()
        for crash in reversed(self._crashes.values()):
            if crash.at_s < since_s:
                break
            recent = [run for run in crash.runs.values() if run.is_recent]
            crashes += bool(recent)
            counts.update({(crash.service, run.kind) for run in recent})
            kinds_with_proof |= {run.kind for run in recent if self.is_proven(run.ref)}
        if not counts:
            return None
        ((service, kind), count), *others = counts.most_common(2)
        if others and others[0][1] == count:
            return None
        return CommonKind(
            service=service,
            kind=kind,
            crashes=count,
            share=count / crashes,
            has_proven_task=kind in kinds_with_proof,
        )

    def expire(self, *, now_s: float) -> None:
        """Drop the crashes that are too old or too many to be kept."""
        while self._crashes:
            key, oldest = next(iter(self._crashes.items()))
            is_expired = oldest.at_s < now_s - CRASH_RETENTION_S
            if not is_expired and len(self._crashes) <= MAX_RECORDED_CRASHES:
                return
            del self._crashes[key]
            for ref in oldest.runs:
                self._forget(ref, key)

    def _forget(self, ref: TaskRef, key: CrashKey) -> None:
        crashes = self._by_task[ref]
        del crashes[key]
        if crashes:
            return
        del self._by_task[ref]
        tasks = self._by_job[ref.job_id]
        tasks.discard(ref)
        if not tasks:
            del self._by_job[ref.job_id]


def _adds_to(run: CrashedRun, known: CrashedRun | None) -> bool:
    """Return whether a report of a run says more than what is known of it."""
    return known is None or (run.is_confirmed and not known.is_confirmed)

"""Splits the time of jobs into its parts, from the log lines of entries and agents."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

log = logging.getLogger(__name__)

PARTS = ("entry", "agent", "run", "rest")
BIND_NAMES = {
    "entry": "waited for room at the entry",
    "agent": "waited at the agent",
    "run": "ran longer than expected",
    "rest": "messages and processor time",
    "again": "a task was placed again",
}

Line = dict[str, str]


@dataclass(kw_only=True, slots=True)
class _TaskTimes:
    """Milliseconds of a task's newest order, and how often it was placed."""

    ordered_ms: float = 0.0
    waited_ms: float = 0.0
    ran_ms: float = 0.0
    orders: int = 0

    @property
    def known_end_ms(self) -> float:
        return self.ordered_ms + self.waited_ms + self.ran_ms


@dataclass(kw_only=True, slots=True)
class _JobLines:
    """What the lines of all processes say of one job."""

    queue: str = ""
    chain_ms: float = 0.0
    admitted_at_ms: float = 0.0
    answer: Line | None = None
    tasks: defaultdict[str, _TaskTimes] = field(default_factory=lambda: defaultdict(_TaskTimes))


@dataclass(frozen=True, kw_only=True, slots=True)
class JobTimes:
    """One answered job: milliseconds by part of its slowest task, and what it came to.

    ``entry`` is from the admission to the order, ``agent`` from the order's arrival to the start,
    ``run`` the run itself and ``rest`` what remains: messages, ends and the answer.
    """

    job: str
    queue: str
    outcome: str
    cause: str
    took_ms: float
    objective_ms: float
    chain_ms: float
    parts_ms: Mapping[str, float]
    is_placed_again: bool

    @property
    def bound_by(self) -> str:
        """Name the part that exceeds its ideal most; the ideal run takes the expected time."""
        if self.is_placed_again:
            return BIND_NAMES["again"]
        excess = {**self.parts_ms, "run": self.parts_ms["run"] - self.chain_ms}
        return BIND_NAMES[max(excess, key=lambda part: excess[part])]


def read_lines(text: Iterable[str]) -> Iterable[Line]:
    """Yield the JSON objects of a log; what stands before one on its line is passed over."""
    decoder = msgspec.json.Decoder(dict[str, str])
    for row in text:
        start = row.find("{")
        if start < 0:
            continue
        try:
            yield decoder.decode(row[start:])
        except msgspec.MsgspecError as error:
            log.debug("ledger: line passed over cause=%s", error)


def collect_jobs(lines: Iterable[Line]) -> list[JobTimes]:
    """Return the times of all jobs that were answered, in order of their ids."""
    jobs: defaultdict[str, _JobLines] = defaultdict(_JobLines)
    for line in lines:
        if "job" in line:
            _note(jobs[line["job"]], line)
    return [_times(job, found) for job, found in sorted(jobs.items()) if found.answer is not None]


def _note(job: _JobLines, line: Line) -> None:
    message = line["message"]
    if message == "job admitted":
        job.queue, job.chain_ms = line["queue"], float(line["chain_ms"])
        job.admitted_at_ms = _time_ms(line)
    elif message in ("job answered", "job refused"):
        job.answer = line
    elif message == "task ordered":
        task = job.tasks[line["task"]]
        task.ordered_ms = max(_time_ms(line) - job.admitted_at_ms, 0.0)
        task.waited_ms = task.ran_ms = 0.0
        task.orders += 1
    elif message == "task started":
        job.tasks[line["task"]].waited_ms = float(line["waited_ms"])
    elif message == "task ended":
        job.tasks[line["task"]].ran_ms = float(line["ran_ms"])


def _time_ms(line: Line) -> float:
    return datetime.fromisoformat(line["time"]).timestamp() * 1000


def _times(job: str, found: _JobLines) -> JobTimes:
    answer = found.answer or {}
    took_ms = float(answer.get("took_ms", 0))
    objective_ms = float(answer.get("objective_ms", 0))
    slowest = max(found.tasks.values(), key=lambda task: task.known_end_ms, default=_TaskTimes())
    parts_ms = {
        "entry": slowest.ordered_ms,
        "agent": slowest.waited_ms,
        "run": slowest.ran_ms,
        "rest": max(took_ms - slowest.known_end_ms, 0.0),
    }
    return JobTimes(
        job=job,
        queue=found.queue,
        outcome=_outcome(answer, took_ms, objective_ms),
        cause=answer.get("cause", ""),
        took_ms=took_ms,
        objective_ms=objective_ms,
        chain_ms=found.chain_ms,
        parts_ms=parts_ms,
        is_placed_again=any(task.orders > 1 for task in found.tasks.values()),
    )


def _outcome(answer: Line, took_ms: float, objective_ms: float) -> str:
    if answer.get("completed") == "True":
        return "on time" if took_ms <= objective_ms else "late"
    is_refused = answer["message"] == "job refused" or "not run" in answer.get("cause", "")
    return "refused" if is_refused else "failed"

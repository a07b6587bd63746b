"""Breaks down the time of jobs, using the log lines of entries and agents."""

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
BOUND_BY_TEXTS = {
    "entry": "waited for room at the entry",
    "agent": "waited at the agent",
    "run": "ran longer than expected",
    "rest": "messages and processor time",
    "again": "a task was placed again",
}

LogLine = dict[str, str]


@dataclass(kw_only=True, slots=True)
class _TaskTimes:
    """Milliseconds of a task's latest order, and how many orders were sent for the task."""

    ordered_ms: float = 0.0
    waited_ms: float = 0.0
    ran_ms: float = 0.0
    orders: int = 0

    @property
    def logged_end_ms(self) -> float:
        return self.ordered_ms + self.waited_ms + self.ran_ms


@dataclass(kw_only=True, slots=True)
class _JobRecord:
    """Data about one job, collected from the log lines of all processes."""

    queue: str = ""
    chain_ms: float = 0.0
    admitted_at_ms: float = 0.0
    answer: LogLine | None = None
    tasks: defaultdict[str, _TaskTimes] = field(default_factory=lambda: defaultdict(_TaskTimes))


@dataclass(frozen=True, kw_only=True, slots=True)
class JobTimes:
    """One answered job: its outcome, and the milliseconds spent in each part of its slowest task.

    ``entry`` lasts from the admission to the order, ``agent`` from the arrival of the order to the
    start, and ``run`` is the run itself. ``rest`` is the remaining time: transfer of messages,
    processing of the task's end, and the answer.
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
        """Return the part that exceeds its ideal time most.

        The ideal is the expected run time for ``run``, and 0 for all other parts.
        """
        if self.is_placed_again:
            return BOUND_BY_TEXTS["again"]
        excess = {**self.parts_ms, "run": self.parts_ms["run"] - self.chain_ms}
        return BOUND_BY_TEXTS[max(excess, key=lambda part: excess[part])]


def read_lines(raw_lines: Iterable[str]) -> Iterable[LogLine]:
    """Yield the JSON objects of a log; any text before an object on its line is ignored."""
    decoder = msgspec.json.Decoder(dict[str, str])
    for raw_line in raw_lines:
        start = raw_line.find("{")
        if start < 0:
            continue
        try:
            yield decoder.decode(raw_line[start:])
        except msgspec.MsgspecError as error:
            log.debug("ledger: line skipped cause=%s", error)


def collect_jobs(lines: Iterable[LogLine]) -> list[JobTimes]:
    """Return the times of all answered jobs, sorted by job id."""
    jobs: defaultdict[str, _JobRecord] = defaultdict(_JobRecord)
    for line in lines:
        if "job" in line:
            _apply_line(jobs[line["job"]], line)
    return [
        _job_times(job, record) for job, record in sorted(jobs.items()) if record.answer is not None
    ]


def _apply_line(job: _JobRecord, line: LogLine) -> None:
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


def _time_ms(line: LogLine) -> float:
    return datetime.fromisoformat(line["time"]).timestamp() * 1000


def _job_times(job: str, record: _JobRecord) -> JobTimes:
    answer = record.answer or {}
    took_ms = float(answer.get("took_ms", 0))
    objective_ms = float(answer.get("objective_ms", 0))
    slowest = max(record.tasks.values(), key=lambda task: task.logged_end_ms, default=_TaskTimes())
    parts_ms = {
        "entry": slowest.ordered_ms,
        "agent": slowest.waited_ms,
        "run": slowest.ran_ms,
        "rest": max(took_ms - slowest.logged_end_ms, 0.0),
    }
    return JobTimes(
        job=job,
        queue=record.queue,
        outcome=_outcome(answer, took_ms, objective_ms),
        cause=answer.get("cause", ""),
        took_ms=took_ms,
        objective_ms=objective_ms,
        chain_ms=record.chain_ms,
        parts_ms=parts_ms,
        is_placed_again=any(task.orders > 1 for task in record.tasks.values()),
    )


def _outcome(answer: LogLine, took_ms: float, objective_ms: float) -> str:
    if answer.get("completed") == "True":
        return "on time" if took_ms <= objective_ms else "late"
    is_refused = answer["message"] == "job refused" or "not run" in answer.get("cause", "")
    return "refused" if is_refused else "failed"

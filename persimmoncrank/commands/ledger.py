"""The command ``ledger``: a breakdown of the time of jobs from the logs of entries and agents."""

from __future__ import annotations

import logging
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path
from statistics import quantiles
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from persimmoncrank.commands._job_ledger import PARTS, JobTimes, collect_jobs, read_lines

if TYPE_CHECKING:
    from collections.abc import Sequence

log = logging.getLogger(__name__)

ON_TIME = "on time"


@dataclass(frozen=True, kw_only=True, slots=True)
class LedgerSettings:
    """The logs to read, the job to show (all if empty), and the output format."""

    paths: tuple[Path, ...]
    job: str = ""
    is_json: bool = False


def ledger(settings: LedgerSettings) -> Result[str, str]:
    """Return the times of all jobs in the logs, or the log lines of one job."""
    lines: list[dict[str, str]] = []
    for path in settings.paths:
        try:
            lines.extend(read_lines(path.read_text(errors="replace").splitlines()))
        except OSError as error:
            return Err(f"{path}: {error.strerror}")
    if settings.job:
        return _show_job(lines, settings.job)
    jobs = collect_jobs(lines)
    if not jobs:
        return Err("no answered job in these logs")
    if settings.is_json:
        rows = [_report_row(job) for job in jobs]
        return Ok(msgspec.json.format(msgspec.json.encode(rows)).decode())
    return Ok(
        "\n".join([*_outcome_table(jobs), "", *_cause_table(jobs), "", *_latency_table(jobs)])
    )


def _report_row(job: JobTimes) -> dict[str, object]:
    return {**msgspec.to_builtins(job), "bound_by": job.bound_by}


def _show_job(lines: Sequence[dict[str, str]], job_id: str) -> Result[str, str]:
    job_lines = sorted(
        (line for line in lines if line.get("job") == job_id), key=lambda x: x["time"]
    )
    if not job_lines:
        return Err(f"no line names job {job_id!r}")
    shown = []
    for line in job_lines:
        fields = " ".join(
            f"{key}={value}"
            for key, value in line.items()
            if key not in ("time", "level", "part", "message", "job")
        )
        shown.append(f"{line['time']} {line['part']}: {line['message']} {fields}")
    return Ok("\n".join(shown))


def _outcome_table(jobs: Sequence[JobTimes]) -> list[str]:
    counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for job in jobs:
        counts[job.queue or "(not admitted)"][job.outcome] += 1
    rows = [f"{'queue':<24}{ON_TIME:>9}{'late':>9}{'refused':>9}{'failed':>9}"]
    for queue, count in sorted(counts.items()):
        cells = "".join(f"{count[name]:>9}" for name in (ON_TIME, "late", "refused", "failed"))
        rows.append(f"{queue:<24}{cells}")
    return rows


def _cause_table(jobs: Sequence[JobTimes]) -> list[str]:
    counts: Counter[tuple[str, str]] = Counter()
    for job in jobs:
        if job.outcome == "late":
            counts["late", job.bound_by] += 1
        elif job.outcome != ON_TIME:
            counts[job.outcome, job.cause] += 1
    rows = [f"{'jobs':>6}  not on time, by main cause"]
    for (outcome, cause), count in counts.most_common():
        rows.append(f"{count:>6}  {outcome}: {cause}")
    return rows


def _latency_table(jobs: Sequence[JobTimes]) -> list[str]:
    done = [job for job in jobs if job.outcome in (ON_TIME, "late")]
    rows = [f"{'ms of the slowest task':<24}{'p50':>9}{'p95':>9}{'p99':>9}"]
    for part in PARTS:
        values = [job.parts_ms[part] for job in done]
        percentiles = (
            quantiles(values, n=100, method="inclusive") if len(values) > 1 else values * 99
        )
        if percentiles:
            rows.append(
                f"{part:<24}{percentiles[49]:>9.0f}{percentiles[94]:>9.0f}{percentiles[98]:>9.0f}"
            )
    return rows

"""Tests of the ledger: breaking down the time of jobs from the log lines of all processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from persimmoncrank.cli import cli
from persimmoncrank.commands._job_ledger import collect_jobs, read_lines
from persimmoncrank.protocol import encode_json

if TYPE_CHECKING:
    from pathlib import Path

JOB = "5c0e7a21d94b36f8"


def line(at_ms: int, part: str, message: str, **fields: object) -> str:
    """Return a JSON log line as a process writes it, after a prefix added by the log collector."""
    time = f"2026-12-04T10:00:00.{at_ms:03}000+00:00"
    head = {"time": time, "level": "INFO", "part": part, "message": message, "job": JOB}
    texts = {key: str(value) for key, value in fields.items()}
    return f"  0.1 machine {encode_json({**head, **texts}).decode()}"


def job_log(
    *, ordered_at_ms: int = 0, waited_ms: int = 0, ran_ms: int = 100, is_placed_again: bool = False
) -> list[str]:
    """Return the log lines of a job with two tasks, of which task 0.1 is the slowest."""
    rows = [
        line(0, "entry", "job admitted", queue="q", chain_ms=100, pending=0),
        line(0, "placement", "task ordered", task="0.0", worker="w"),
        line(ordered_at_ms, "placement", "task ordered", task="0.1", worker="w"),
        line(1, "agent", "task started", task="0.0", waited_ms=1),
        line(1, "agent", "task started", task="0.1", waited_ms=waited_ms),
        line(80, "agent", "task ended", task="0.0", ran_ms=50),
    ]
    if is_placed_again:
        rows.append(line(ordered_at_ms, "placement", "task ordered", task="0.1", worker="w"))
    took_ms = ordered_at_ms + waited_ms + ran_ms + 10
    rows.append(line(300, "agent", "task ended", task="0.1", ran_ms=ran_ms))
    rows.append(
        line(
            310,
            "entry",
            "job answered",
            completed=True,
            took_ms=took_ms,
            objective_ms=150,
            cause="none",
        )
    )
    return rows


@pytest.mark.parametrize(
    ("log_lines", "outcome", "bound_by"),
    [
        (job_log(), "on time", "messages and processor time"),
        (job_log(ordered_at_ms=90), "late", "waited for room at the entry"),
        (job_log(waited_ms=80), "late", "waited at the agent"),
        (job_log(ran_ms=220), "late", "ran longer than expected"),
        (job_log(waited_ms=80, is_placed_again=True), "late", "a task was placed again"),
    ],
    ids=["on time", "entry", "agent", "run", "again"],
)
def test_late_job_is_attributed_to_part_with_largest_excess(
    log_lines: list[str], outcome: str, bound_by: str
) -> None:
    (times,) = collect_jobs(read_lines(log_lines))
    assert (times.outcome, times.bound_by) == (outcome, bound_by)
    assert sum(times.parts_ms.values()) == pytest.approx(times.took_ms)


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (line(9, "entry", "job refused", cause="the entry is leaving"), "refused"),
        (
            line(9, "entry", "job answered", completed=False, cause="no room in time; not run"),
            "refused",
        ),
        (line(9, "entry", "job answered", completed=False, cause="task 0.1 failed"), "failed"),
    ],
    ids=["refused at once", "refused later", "failed"],
)
def test_incomplete_jobs_are_refused_or_failed(answer: str, outcome: str) -> None:
    (times,) = collect_jobs(read_lines([answer]))
    assert times.outcome == outcome


def test_lines_without_json_are_skipped() -> None:
    assert len(list(read_lines(["", "text", "{broken", '{"a": 1}', *job_log()]))) == len(job_log())


@pytest.mark.parametrize(
    ("options", "code", "shown"),
    [
        ([], 0, ["waited at the agent", "on time"]),
        (["--json"], 0, ['"bound_by": "waited at the agent"']),
        (["--job", JOB], 0, ["agent: task started", "waited_ms=80"]),
        (["--job", "nobody"], 1, ["no line names job 'nobody'"]),
    ],
    ids=["table", "json", "one job", "unknown job"],
)
def test_command(tmp_path: Path, options: list[str], code: int, shown: list[str]) -> None:
    path = tmp_path / "day.log"
    path.write_text("\n".join(job_log(waited_ms=80)))
    result = CliRunner().invoke(cli, ["ledger", str(path), *options])
    assert result.exit_code == code
    for text in shown:
        assert text in result.output


def test_logs_without_answered_jobs_are_an_error(tmp_path: Path) -> None:
    path = tmp_path / "empty.log"
    path.write_text("nothing here\n")
    result = CliRunner().invoke(cli, ["ledger", str(path)])
    assert result.exit_code == 1
    assert "no answered job" in result.output

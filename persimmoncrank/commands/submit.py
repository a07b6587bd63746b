"""The command ``submit``."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Result

from persimmoncrank.commands._api import ApiFailure, call_api, format_answer

log = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitSettings:
    """The job file to submit, the entry to call, and the output format."""

    entry_url: str
    job_file: Path
    key: str | None = None
    is_json: bool = False


def submit(settings: SubmitSettings) -> Result[str, str]:
    """Submit a job file, wait for the complete answer and return it as text."""
    try:
        job = msgspec.json.decode(settings.job_file.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        return Err(f"{settings.job_file}: {error}")
    answer = submit_job(settings.entry_url, job, settings.key)
    return format_answer(answer, describe_job_answer, is_json=settings.is_json)


def submit_job(entry_url: str, job: Any, key: str | None = None) -> Result[Any, ApiFailure]:
    """Submit a job with an idempotency key or else a new submission id, and wait for its answer."""
    if key is not None:
        return call_api(entry_url, "POST", "/v1/jobs", job, {"Idempotency-Key": key})
    issued = call_api(entry_url, "POST", "/v1/submission-ids", {"count": 1})
    if issued.is_err():
        return issued
    job_with_id = {**job, "submission_id": issued.unwrap()["submission_ids"][0]}
    return call_api(entry_url, "POST", "/v1/jobs", job_with_id)


def describe_job_answer(body: Any) -> list[str]:
    """Return a job's answer as readable lines: where each task ran, and its result."""
    lines = [f"{body['submission_id']}: {body['state']}, {len(body.get('results', []))} results"]
    for result in body.get("results", []):
        text = msgspec.json.encode(result["result"]).decode()
        place = f"{result['agent']} in {result['domain']}"
        lines.append(f"  task {result['index']:>3}  {result['run_time_ms']:>5} ms  {place}  {text}")
    return lines

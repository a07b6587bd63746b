"""A job whose caller's connection is reset together with the streams to its agents."""

from __future__ import annotations

import asyncio
import secrets
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from standins.deployment import CannotRunError, Deployment, Record, play, running_deployment

if TYPE_CHECKING:
    from standins.http import Call

TASKS = 2
WORK_S = 4.0
RUNNING_S = 0.5  # how long the tasks have run when the connections are reset
RESEND_S = 1.3
JOB = {
    "task_spec": "a regulator filing",
    "steps": [{"count": TASKS, "cpu": 1600, "mem_mb": 64, "estimate_ms": 4000, "anti_affinity": 1}],
    "best_effort": True,
}
HEADERS = {"X-Deadline-Ms": "15000"}


async def _reset_connections(site: Deployment, caller: Call, record: Record) -> None:
    """Reset the caller's connection to the first entry and some of its streams to agents."""
    busy = {
        agent.name
        for agent, executor in zip(site.agents, site.executors, strict=True)
        if any(run.ended_s is None for run in executor.runs)
    }
    streams = site.proxies[0].reset(busy)
    if streams != len(busy):
        raise CannotRunError("a stream was not found")
    caller.reset()
    record(f"reset of the caller's connection and of {streams} of {len(site.agents)} streams")


async def case(record: Record, with_trouble: bool) -> bool:
    """Return whether a task ran twice at the same time."""
    async with running_deployment(record, work_s=lambda _task: WORK_S, with_proxies=True) as site:
        job_id = secrets.token_hex(8)
        first_entry, second_entry = site.entries
        call = site.call(first_entry, "POST", job_id, headers=HEADERS, body=JOB)
        record(f"POST {job_id} to {first_entry.name}")
        sending = asyncio.create_task(call.send(timeout_s=15.0))
        await site.wait_for_runs(TASKS)
        await asyncio.sleep(RUNNING_S)
        if with_trouble:
            await _reset_connections(site, call, record)
        status = await sending
        record(f"{first_entry.name} answers {status} {call.answer}")
        if status == 0:
            await asyncio.sleep(RESEND_S)
            call = site.call(second_entry, "POST", job_id, headers=HEADERS, body=JOB)
            record(f"POST {job_id} again, to {second_entry.name}")
            status = await call.send(timeout_s=15.0)
            record(f"{second_entry.name} answers {status} {call.answer}")
        site.check_processes()
        return site.record_overlaps()


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))

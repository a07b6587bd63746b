"""A heartbeat of another writer that names a service which no configuration has."""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from standins.deployment import Deployment, Record, play, running_deployment
from standins.http import Call

if TYPE_CHECKING:
    from standins.executor import Executor

TASKS = 2
WORK_S = 4.0
RUNNING_S = 0.5
AFTER_S = 3.0
JOB = {
    "task_spec": "a regulator filing",
    "steps": [{"count": TASKS, "cpu": 1600, "mem_mb": 64, "estimate_ms": 4000, "anti_affinity": 1}],
    "best_effort": True,
}
HEADERS = {"X-Deadline-Ms": "15000"}


async def _send_foreign_heartbeat(site: Deployment, executor: Executor, record: Record) -> None:
    """Send a heartbeat with an unknown service to the agent of an executor."""
    body = {
        **executor.heartbeat(),
        "service": "ledger",
        "address": "127.0.0.1:10",
        "seq": 1,
        "born": time.time_ns() // 1_000_000,
    }
    call = Call(
        address=executor.control,
        method="POST",
        path="/v1/instances/x-1/heartbeat",
        headers={"Host": executor.control},
        body=body,
    )
    status = await call.send()
    record(f"heartbeat of x-1, service ledger, to the agent of {executor.id}: {status}")


async def case(record: Record, with_trouble: bool) -> bool:
    """Return whether a task ran twice at the same time."""
    async with running_deployment(record, work_s=lambda _task: WORK_S) as site:
        job_id = secrets.token_hex(8)
        call = site.call(site.entries[0], "POST", job_id, headers=HEADERS, body=JOB)
        record(f"POST {job_id} to {site.entries[0].name}")
        sending = asyncio.create_task(call.send(timeout_s=15.0))
        await site.wait_for_runs(TASKS)
        await asyncio.sleep(RUNNING_S)
        if with_trouble:
            busy = [executor for executor in site.executors if executor.runs]
            await _send_foreign_heartbeat(site, busy[0], record)
        status = await sending
        record(f"{site.entries[0].name} answers {status} {call.answer}")
        await asyncio.sleep(AFTER_S)
        site.check_processes()
        return site.record_overlaps()


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))

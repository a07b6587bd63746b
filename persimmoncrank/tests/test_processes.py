"""Tests of real processes on loopback that are killed or stopped."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING, Any

import anyio
import httpcore
import msgspec
from anyio import to_thread

from persimmoncrank.bench._live import (
    CUSTOMER,
    KIND,
    LiveSettings,
    LiveSite,
    add_customer,
    start_site,
    wait_until_ready,
)
from persimmoncrank.bench._processes import Processes

if TYPE_CHECKING:
    from pathlib import Path

log = logging.getLogger(__name__)

SETTINGS = LiveSettings(entries=3, agents=3)
WORK_MS = 1_500
TASKS = 6
RETRYABLE_KINDS = ("issuer_unreachable", "not_current")
SUBMIT_TIMEOUT_S = 60.0


class SiteClient:
    """A client of a running site."""

    def __init__(self, *, site: LiveSite, pool: httpcore.AsyncConnectionPool) -> None:
        """Create a client that sends its requests over ``pool``."""
        self._site = site
        self._pool = pool

    async def call(self, entry: int, method: str, path: str, body: Any = None) -> Any:
        """Send a request to an entry and return the decoded answer."""
        content = b"" if body is None else msgspec.json.encode(body)
        url = f"{self._site.entry_urls[entry]}{path}"
        response = await self._pool.request(method, url, content=content)
        return msgspec.json.decode(response.content)

    async def new_job(self, entry: int) -> dict[str, Any]:
        """Return the body of a job with a submission id issued by an entry."""
        issued = await self.call(entry, "POST", "/v1/submission-ids", {"count": 1})
        task = {"kind": KIND, "run_time_ms": WORK_MS, "payload": {"work_ms": WORK_MS}}
        return {
            "customer": CUSTOMER,
            "submission_id": issued["submission_ids"][0],
            "deadline_ms": 30_000,
            "wait_ms": 0,
            "tasks": [task] * TASKS,
        }

    async def submit_until_known(self, entry: int, job: dict[str, Any]) -> Any:
        """Resubmit a job until its outcome is known."""
        with anyio.fail_after(SUBMIT_TIMEOUT_S):
            while True:
                answer = await self.call(entry, "POST", "/v1/jobs", {**job, "wait_ms": 5_000})
                kind = answer.get("error", {}).get("kind")
                if answer.get("state") != "running" and kind not in RETRYABLE_KINDS:
                    return answer
                await anyio.sleep(0.5)

    async def starts(self) -> Counter[str]:
        """Return the number of starts of each task over all backend servers."""
        starts: Counter[str] = Counter()
        for url in self._site.backend_urls:
            response = await self._pool.request("GET", f"{url}/starts")
            starts.update(msgspec.json.decode(response.content))
        return starts


def test_job_completes_after_its_entry_is_killed_and_processes_exit_with_0(tmp_path: Path) -> None:
    processes = Processes(log_dir=tmp_path)

    async def main() -> None:
        site = start_site(SETTINGS, processes, tmp_path)
        async with httpcore.AsyncConnectionPool(max_connections=10) as pool:
            (await wait_until_ready(SETTINGS, processes, site, pool)).unwrap()
            await add_customer(site, pool)
            client = SiteClient(site=site, pool=pool)
            job = await client.new_job(0)
            assert (await client.call(0, "POST", "/v1/jobs", job))["state"] == "running"
            await anyio.sleep(0.5)
            processes.by_role["entry"][0].kill()
            answer = await client.submit_until_known(1, job)
            assert answer["state"] == "complete", answer
            assert len(answer["results"]) == TASKS
            assert set((await client.starts()).values()) == {1}
            assert len(await client.starts()) == TASKS
        await to_thread.run_sync(stop_and_check)

    def stop_and_check() -> None:
        agents, entries = list(processes.by_role["agent"]), list(processes.by_role["entry"])
        processes.stop()
        assert [process.returncode for process in agents] == [0, 0, 0]
        assert [process.returncode for process in entries[1:]] == [0, 0]

    try:
        anyio.run(main)
    finally:
        processes.stop()

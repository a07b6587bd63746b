"""Tests of real processes on loopback that are killed and stopped."""

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
OPEN_KINDS = ("issuer_unreachable", "not_current")
GIVE_UP_AFTER_S = 60.0


class Site:
    """A running site and a client of it."""

    def __init__(self, *, site: LiveSite, pool: httpcore.AsyncConnectionPool) -> None:
        """Create a client."""
        self._site = site
        self._pool = pool

    async def call(self, entry: int, method: str, path: str, body: Any = None) -> Any:
        """Send a request to an entry and return the decoded answer."""
        content = b"" if body is None else msgspec.json.encode(body)
        url = f"{self._site.entry_urls[entry]}{path}"
        response = await self._pool.request(method, url, content=content)
        return msgspec.json.decode(response.content)

    async def new_job(self, entry: int) -> dict[str, Any]:
        """Return the body of a job under an id that an entry issued."""
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
        """Submit a job again and again until its outcome is known."""
        with anyio.fail_after(GIVE_UP_AFTER_S):
            while True:
                answer = await self.call(entry, "POST", "/v1/jobs", {**job, "wait_ms": 5_000})
                kind = answer.get("error", {}).get("kind")
                if answer.get("state") != "running" and kind not in OPEN_KINDS:
                    return answer
                await anyio.sleep(0.5)

    async def starts(self) -> Counter[str]:
        """Return how often each task was started, over all backend servers."""
        starts: Counter[str] = Counter()
        for url in self._site.backend_urls:
            response = await self._pool.request("GET", f"{url}/starts")
            starts.update(msgspec.json.decode(response.content))
        return starts


def test_job_survives_its_entry_and_processes_stop_with_0(tmp_path: Path) -> None:
    processes = Processes(log_dir=tmp_path)

    async def main() -> None:
        live = start_site(SETTINGS, processes, tmp_path)
        async with httpcore.AsyncConnectionPool(max_connections=10) as pool:
            (await wait_until_ready(SETTINGS, processes, live, pool)).unwrap()
            await add_customer(live, pool)
            site = Site(site=live, pool=pool)
            job = await site.new_job(0)
            assert (await site.call(0, "POST", "/v1/jobs", job))["state"] == "running"
            await anyio.sleep(0.5)
            processes.by_role["entry"][0].kill()
            answer = await site.submit_until_known(1, job)
            assert answer["state"] == "complete", answer
            assert len(answer["results"]) == TASKS
            assert set((await site.starts()).values()) == {1}
            assert len(await site.starts()) == TASKS
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

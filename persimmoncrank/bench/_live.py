"""Live runs: real processes on loopback, to measure the cost of control and tasks by role."""

from __future__ import annotations

import logging
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import httpcore
import msgspec
from hdrh.histogram import HdrHistogram
from result import Err, Ok, Result

from persimmoncrank.bench._processes import Processes, Usage
from persimmoncrank.standin import free_addresses

log = logging.getLogger(__name__)

DOMAINS = ("monza", "seregno", "vimercate")
CUSTOMER = "bench"
KIND = "walker-check-in"
READY_TIMEOUT_S = 120.0
READY_POLL_INTERVAL_S = 0.25
STABILIZATION_S = 3.0
BACKENDS_PER_PROCESS = 50
LIGHT_AGENTS_PER_PROCESS = 160
MAX_CONNECTIONS = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class LiveSettings:
    """The size and load of a live run; at 0 jobs per second only control traffic is measured.

    ``light_agents`` are simulated agents that only send heartbeats.
    """

    entries: int = 3
    agents: int = 10
    light_agents: int = 0
    slots: int = 8
    idle_s: float = 10.0
    load_s: float = 10.0
    jobs_per_s: float = 0.0
    tasks: int = 170
    work_ms: int = 50


@dataclass(frozen=True, kw_only=True, slots=True)
class RoleCost:
    """The mean CPU share of the processes of a role, and the largest memory of one of them."""

    processes: int
    cpu_share: float
    max_memory_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PhaseReport:
    """The cost of one phase of a live run."""

    seconds: float
    roles: dict[str, RoleCost]
    loopback_bytes_per_s: float
    loopback_packets_per_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """The results of the load phase as callers measure them, and CPU time per task."""

    jobs_complete: int
    jobs_failed: int
    tasks_complete: int
    tasks_per_s: float
    latency_p50_ms: float
    latency_p99_ms: float
    entry_cpu_us_per_task: float
    agent_cpu_us_per_task: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LiveReport:
    """A complete live run; bytes per agent include all loopback traffic of the idle phase."""

    settings: LiveSettings
    idle: PhaseReport
    idle_bytes_per_s_per_agent: float
    load_phase: PhaseReport | None = None
    load: LoadReport | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LiveSite:
    """The URLs of the entries and backend servers of a live run."""

    entry_urls: tuple[str, ...]
    backend_urls: tuple[str, ...]


def run_live(settings: LiveSettings) -> Result[LiveReport, str]:
    """Start the processes, measure them, and stop them."""
    return anyio.run(_run, settings)


async def _run(settings: LiveSettings) -> Result[LiveReport, str]:
    with tempfile.TemporaryDirectory(prefix="persimmoncrank-bench-") as folder:
        processes = Processes(log_dir=Path(folder))
        try:
            site = start_site(settings, processes, Path(folder))
            async with httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS) as pool:
                return await _measure(settings, processes, site, pool)
        finally:
            await anyio.to_thread.run_sync(processes.stop)


async def _measure(
    settings: LiveSettings, processes: Processes, site: LiveSite, pool: httpcore.AsyncConnectionPool
) -> Result[LiveReport, str]:
    ready = await wait_until_ready(settings, processes, site, pool)
    if ready.is_err():
        return Err(ready.unwrap_err())
    await add_customer(site, pool)
    await anyio.sleep(STABILIZATION_S)
    before = processes.read()
    await anyio.sleep(settings.idle_s)
    idle = _phase_report(before, processes.read(), settings.idle_s)
    agents = settings.agents + settings.light_agents
    per_agent = idle.loopback_bytes_per_s / max(agents, 1)
    if settings.jobs_per_s <= 0:
        report = LiveReport(settings=settings, idle=idle, idle_bytes_per_s_per_agent=per_agent)
        return Ok(report)
    load = _LoadGenerator(settings=settings, site=site, pool=pool)
    before = processes.read()
    started_at_s = time.monotonic()
    await load.run()
    seconds = time.monotonic() - started_at_s
    phase = _phase_report(before, processes.read(), seconds)
    return Ok(
        LiveReport(
            settings=settings,
            idle=idle,
            idle_bytes_per_s_per_agent=per_agent,
            load_phase=phase,
            load=load.report(phase),
        )
    )


def _phase_report(before: Usage, after: Usage, seconds: float) -> PhaseReport:
    roles = {}
    for role, usage in after.by_role.items():
        cpu_s = usage.cpu_s - before.by_role[role].cpu_s
        roles[role] = RoleCost(
            processes=usage.processes,
            cpu_share=cpu_s / seconds / max(usage.processes, 1),
            max_memory_bytes=usage.max_memory_bytes,
        )
    return PhaseReport(
        seconds=seconds,
        roles=roles,
        loopback_bytes_per_s=(after.loopback_bytes - before.loopback_bytes) / seconds,
        loopback_packets_per_s=(after.loopback_packets - before.loopback_packets) / seconds,
    )


def start_site(settings: LiveSettings, processes: Processes, folder: Path) -> LiveSite:
    addresses = free_addresses(1 + 2 * settings.entries + 3 * settings.agents)
    platform = addresses.pop()
    processes.start("platform", "persimmoncrank.standin", "platform", platform)
    entry_http = [addresses.pop() for _ in range(settings.entries)]
    entry_rpc = [addresses.pop() for _ in range(settings.entries)]
    backends = [addresses.pop() for _ in range(settings.agents)]
    for first in range(0, len(backends), BACKENDS_PER_PROCESS):
        chunk = backends[first : first + BACKENDS_PER_PROCESS]
        processes.start("backends", "persimmoncrank.standin", "backends", *chunk)
    for number, (http, rpc) in enumerate(zip(entry_http, entry_rpc, strict=True)):
        text = _entry_toml(number, platform, http, rpc)
        _start_role(processes, folder, "entry", number, text)
    seeds = tuple(entry_rpc)
    for number, backend in enumerate(backends):
        text = _agent_toml(
            settings,
            number=number,
            backend=backend,
            http=addresses.pop(),
            rpc=addresses.pop(),
            seeds=seeds,
        )
        _start_role(processes, folder, "agent", number, text)
    for number in range(0, settings.light_agents, LIGHT_AGENTS_PER_PROCESS):
        count = min(LIGHT_AGENTS_PER_PROCESS, settings.light_agents - number)
        processes.start("light", "persimmoncrank.bench", f"light-{number}", str(count), *seeds)
    return LiveSite(
        entry_urls=tuple(f"http://{address}" for address in entry_http),
        backend_urls=tuple(f"http://{address}" for address in backends),
    )


def _start_role(processes: Processes, folder: Path, role: str, number: int, text: str) -> None:
    path = folder / f"{role}-{number}.toml"
    path.write_text(text)
    processes.start(role, "persimmoncrank", role, str(path))


def _entry_toml(number: int, platform: str, http: str, rpc: str) -> str:
    return "\n".join(
        (
            f'name = "entry-{number}"',
            f'domain = "{DOMAINS[number % len(DOMAINS)]}"',
            f'platform_url = "http://{platform}"',
            f'http_address = "{http}"',
            f'rpc_address = "{rpc}"',
        )
    )


def _agent_toml(
    settings: LiveSettings,
    *,
    number: int,
    backend: str,
    http: str,
    rpc: str,
    seeds: tuple[str, ...],
) -> str:
    quoted = ", ".join(f'"{seed}"' for seed in seeds)
    return "\n".join(
        (
            f'name = "agent-{number}"',
            f'domain = "{DOMAINS[number % len(DOMAINS)]}"',
            f'backend = "backend-{number}"',
            f'backend_url = "http://{backend}"',
            f'kinds = ["{KIND}"]',
            f"slots = {settings.slots}",
            f"seeds = [{quoted}]",
            f'http_address = "{http}"',
            f'rpc_address = "{rpc}"',
        )
    )


async def _call(
    pool: httpcore.AsyncConnectionPool, method: str, url: str, body: Any = None
) -> tuple[int, Any]:
    content = b"" if body is None else msgspec.json.encode(body)
    response = await pool.request(method, url, content=content)
    return response.status, msgspec.json.decode(response.content)


async def wait_until_ready(
    settings: LiveSettings, processes: Processes, site: LiveSite, pool: httpcore.AsyncConnectionPool
) -> Result[None, str]:
    with anyio.move_on_after(READY_TIMEOUT_S):
        for url in site.entry_urls:
            while not await _is_ready(settings, url, pool):
                await anyio.sleep(READY_POLL_INTERVAL_S)
        return Ok(None)
    return Err(f"not ready after {READY_TIMEOUT_S:g} s; {processes.describe_exited()}")


async def _is_ready(settings: LiveSettings, url: str, pool: httpcore.AsyncConnectionPool) -> bool:
    try:
        _, status = await _call(pool, "GET", f"{url}/v1/status")
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return False
    live = [agent for agent in status["agents"] if agent["status"] == "live"]
    return status["age_ms"] is not None and len(live) == settings.agents + settings.light_agents


async def add_customer(site: LiveSite, pool: httpcore.AsyncConnectionPool) -> None:
    url = site.entry_urls[0]
    intent = {"kind": "add-customer", "target": CUSTOMER, "kinds": [KIND]}
    _, report = await _call(pool, "POST", f"{url}/v1/plans", intent)
    plan_id = report["plan"]["plan_id"]
    await _call(pool, "POST", f"{url}/v1/plans/{plan_id}/confirm")


class _LoadGenerator:
    """An open-loop load generator: submits jobs at a fixed rate, round-robin over the entries."""

    def __init__(
        self, *, settings: LiveSettings, site: LiveSite, pool: httpcore.AsyncConnectionPool
    ) -> None:
        self._settings = settings
        self._site = site
        self._pool = pool
        # From 1 us to 120 s, with 3 significant digits.
        self._latency_us = HdrHistogram(1, 120_000_000, 3)
        self._complete = 0
        self._failed = 0

    async def run(self) -> None:
        """Submit jobs at the fixed rate for the load phase, and wait for their answers."""
        count = int(self._settings.jobs_per_s * self._settings.load_s)
        started_at_s = time.monotonic()
        async with anyio.create_task_group() as group:
            for number in range(count):
                due_s = started_at_s + number / self._settings.jobs_per_s
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                group.start_soon(self._submit, number)

    async def _submit(self, number: int) -> None:
        url = self._site.entry_urls[number % len(self._site.entry_urls)]
        task = {
            "kind": KIND,
            "run_time_ms": self._settings.work_ms,
            "payload": {"work_ms": self._settings.work_ms, "walker": "bench"},
        }
        started_at_s = time.monotonic()
        _, issued = await _call(self._pool, "POST", f"{url}/v1/submission-ids", {"count": 1})
        job = {
            "customer": CUSTOMER,
            "submission_id": issued["submission_ids"][0],
            "deadline_ms": 30_000,
            "tasks": [task] * self._settings.tasks,
        }
        status, _ = await _call(self._pool, "POST", f"{url}/v1/jobs", job)
        self._latency_us.record_value(int((time.monotonic() - started_at_s) * 1_000_000))
        if status == 200:
            self._complete += 1
        else:
            self._failed += 1

    def report(self, phase: PhaseReport) -> LoadReport:
        """Return latency, throughput and CPU time per task."""
        tasks = self._complete * self._settings.tasks
        return LoadReport(
            jobs_complete=self._complete,
            jobs_failed=self._failed,
            tasks_complete=tasks,
            tasks_per_s=tasks / phase.seconds,
            latency_p50_ms=self._latency_us.get_value_at_percentile(50) / 1000,
            latency_p99_ms=self._latency_us.get_value_at_percentile(99) / 1000,
            entry_cpu_us_per_task=_cpu_us_per_task(phase, "entry", tasks),
            agent_cpu_us_per_task=_cpu_us_per_task(phase, "agent", tasks),
        )


def _cpu_us_per_task(phase: PhaseReport, role: str, tasks: int) -> float:
    cost = phase.roles[role]
    cpu_s = cost.cpu_share * cost.processes * phase.seconds
    return cpu_s * 1_000_000 / max(tasks, 1)

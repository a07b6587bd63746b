"""The command ``demo``: a complete system in one process on loopback."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass
from importlib.resources import files
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
from anyio import to_thread
from result import Err, Ok, Result

from persimmoncrank.commands._api import ApiFailure, call_api
from persimmoncrank.commands._logs import set_up_logs
from persimmoncrank.commands._roles import serve_agent, serve_entry
from persimmoncrank.commands.submit import describe_job_answer, submit_job
from persimmoncrank.settings import AgentSettings, EntrySettings, LogFormat, LogLevel
from persimmoncrank.standin import (
    TASK_HANDLERS,
    BackendStandin,
    MemoryPlatform,
    free_addresses,
    platform_app,
)
from persimmoncrank.transport import serve_http

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

log = logging.getLogger(__name__)

DOMAINS = ("monza", "seregno", "vimercate")
SLOWNESS = (1.0, 1.5, 3.0, 1.0, 2.0, 1.2)
EXAMPLES = ("spill-report.json", "dog-walking.json")
READY_TIMEOUT_S = 20.0
READY_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class DemoSettings:
    """Options of the demo; ``is_verbose`` shows the log lines."""

    is_verbose: bool = False


def demo(settings: DemoSettings) -> Result[None, str]:
    """Start a complete system, submit the example jobs and print their results."""
    set_up_logs(LogFormat.PLAIN, LogLevel.INFO if settings.is_verbose else LogLevel.ERROR)
    return anyio.run(_demo)


async def _demo() -> Result[None, str]:
    stop_entries, stop_agents = anyio.Event(), anyio.Event()
    backends = [
        BackendStandin(name=f"backend-{number}", slowness=slowness)
        for number, slowness in enumerate(SLOWNESS, 1)
    ]
    async with anyio.create_task_group() as servers:
        platform_address = free_addresses(1)[0]
        await servers.start(_serve_platform, platform_address)
        entries = [_entry_settings(domain, platform_address) for domain in DOMAINS]
        async with anyio.create_task_group() as entry_group:
            for entry in entries:
                entry_group.start_soon(serve_entry, entry, stop_entries)
            async with anyio.create_task_group() as agent_group:
                for number, backend in enumerate(backends):
                    address = free_addresses(1)[0]
                    await servers.start(_serve_backend, backend, address)
                    agent = _agent_settings(number, backend, address, entries)
                    agent_group.start_soon(serve_agent, agent, stop_agents)
                outcome = await _submit_examples(entries, len(backends))
                stop_agents.set()
            stop_entries.set()
        servers.cancel_scope.cancel()
    return outcome.map(lambda _none: _print_starts(backends))


async def _serve_platform(address: str, *, task_status: TaskStatus[None]) -> None:
    async with serve_http(platform_app(MemoryPlatform()), address):
        task_status.started()
        await anyio.sleep_forever()


async def _serve_backend(
    backend: BackendStandin, address: str, *, task_status: TaskStatus[None]
) -> None:
    async with serve_http(backend.app(), address):
        task_status.started()
        await anyio.sleep_forever()


def _entry_settings(domain: str, platform_address: str) -> EntrySettings:
    return EntrySettings(
        name=f"entry-{domain}",
        domain=domain,
        platform_url=f"http://{platform_address}",
        http_address=free_addresses(1)[0],
        rpc_address=free_addresses(1)[0],
    )


def _agent_settings(
    number: int, backend: BackendStandin, backend_address: str, entries: list[EntrySettings]
) -> AgentSettings:
    return AgentSettings(
        name=f"agent-{number + 1}",
        domain=DOMAINS[number % len(DOMAINS)],
        backend=backend.name,
        backend_url=f"http://{backend_address}",
        kinds=tuple(TASK_HANDLERS),
        seeds=tuple(entry.rpc_address for entry in entries),
        rpc_address=free_addresses(1)[0],
        http_address=free_addresses(1)[0],
    )


async def _call(
    entry: EntrySettings, method: str, path: str, body: Any = None
) -> Result[Any, ApiFailure]:
    url = f"http://{entry.http_address}"
    return await to_thread.run_sync(call_api, url, method, path, body)


async def _submit_examples(entries: list[EntrySettings], agent_count: int) -> Result[None, str]:
    ready = await _wait_until_ready(entries, agent_count)
    if ready.is_err():
        return ready
    jobs = [msgspec.json.decode(_example(name)) for name in EXAMPLES]
    for job in jobs:
        kinds = sorted({task["kind"] for task in job["tasks"]})
        added = await _add_customer(entries[0], job["customer"], kinds)
        if added.is_err():
            return Err(str(added.unwrap_err()))
    for entry, name, job in zip(entries, EXAMPLES, jobs, strict=False):
        submitted = await _submit(entry, name, job)
        if submitted.is_err():
            return Err(str(submitted.unwrap_err()))
    return Ok(None)


def _example(name: str) -> bytes:
    return files("persimmoncrank.examples").joinpath(name).read_bytes()


async def _wait_until_ready(entries: list[EntrySettings], agent_count: int) -> Result[None, str]:
    with anyio.move_on_after(READY_TIMEOUT_S):
        for entry in entries:
            while not await _is_ready(entry, agent_count):
                await anyio.sleep(READY_POLL_INTERVAL_S)
        return Ok(None)
    return Err("the entries and agents of the demo did not become ready in time")


async def _is_ready(entry: EntrySettings, agent_count: int) -> bool:
    answer = await _call(entry, "GET", "/v1/status")
    if answer.is_err():
        return False
    status = answer.unwrap()
    live = [agent for agent in status["agents"] if agent["status"] == "live"]
    is_accepted = status["accepted_version"] == status["version"] > 0
    return is_accepted and status["age_ms"] is not None and len(live) == agent_count


async def _add_customer(
    entry: EntrySettings, customer: str, kinds: list[str]
) -> Result[Any, ApiFailure]:
    intent = {"kind": "add-customer", "target": customer, "kinds": kinds}
    planned = await _call(entry, "POST", "/v1/plans", intent)
    if planned.is_err():
        return planned
    plan_id = planned.unwrap()["plan"]["plan_id"]
    confirmed = await _call(entry, "POST", f"/v1/plans/{plan_id}/confirm")
    if confirmed.is_ok():
        print(f"plan {plan_id}: add customer {customer}: {confirmed.unwrap()['state']}")
    return confirmed


async def _submit(entry: EntrySettings, name: str, job: Any) -> Result[Any, ApiFailure]:
    answer = await to_thread.run_sync(submit_job, f"http://{entry.http_address}", job)
    if answer.is_ok():
        print(f"\n{name} through {entry.name}:")
        print("\n".join(describe_job_answer(answer.unwrap())))
    return answer


def _print_starts(backends: list[BackendStandin]) -> None:
    starts = Counter({backend.name: sum(backend.starts.values()) for backend in backends})
    duplicates = sum(backend.duplicate_starts() for backend in backends)
    shown = ", ".join(f"{name} {count}" for name, count in sorted(starts.items()))
    print(f"\ntask starts: {shown}")
    print(f"tasks started twice: {duplicates}")

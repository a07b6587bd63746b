"""Faults and operator actions for simulated runs, and callers that retry during them."""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.protocol import ErrorKind, Intent, IntentKind, JobState
from persimmoncrank.tests.base import DOMAINS, make_job

if TYPE_CHECKING:
    from persimmoncrank.bench import AnswerRecord, Process, World
    from persimmoncrank.bench._world import AgentHandle, EntryHandle
    from persimmoncrank.protocol import JobSpec

log = logging.getLogger(__name__)

RESTART_DELAY_S = 1.0
RESUBMIT_DELAY_S = 0.5
MAX_SUBMISSIONS = 4


class FaultKind(enum.StrEnum):
    """The kinds of faults and operator actions."""

    KILL_ENTRY = "kill_entry"
    KILL_AGENT = "kill_agent"
    STOP_ENTRY = "stop_entry"
    STOP_AGENT = "stop_agent"
    PAUSE_ENTRY = "pause_entry"
    PAUSE_AGENT = "pause_agent"
    STALL_CONNECTIONS = "stall_connections"
    CUT_DOMAINS = "cut_domains"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    LOSSY_NETWORK = "lossy_network"
    WITHDRAW_DOMAIN = "withdraw_domain"
    RETIRE_BACKEND = "retire_backend"
    CONCURRENT_WITHDRAWALS = "concurrent_withdrawals"
    FAILING_BACKEND = "failing_backend"


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One fault or operator action.

    ``target`` selects a process, domain or backend server: it is taken modulo their number.
    """

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float


def _entry_name(world: World, target: int) -> str:
    return sorted(world.entries)[target % len(world.entries)]


def _agent_name(world: World, target: int) -> str:
    return sorted(world.agents)[target % len(world.agents)]


async def _pause(process: Process, duration_s: float) -> None:
    process.pause()
    await anyio.sleep(duration_s)
    process.resume()


async def _end_process(handle: EntryHandle | AgentHandle, *, is_killed: bool) -> None:
    """Kill a process, or stop it gracefully and wait until it has ended."""
    if is_killed:
        handle.process.kill()
    else:
        handle.node.stop()
    while handle.process.is_alive:
        await anyio.sleep(0.1)
    await anyio.sleep(RESTART_DELAY_S)


async def _end_entry(world: World, fault: Fault) -> None:
    name = _entry_name(world, fault.target)
    handle = world.entries[name]
    await _end_process(handle, is_killed=fault.kind == FaultKind.KILL_ENTRY)
    if world.entries[name] is handle:
        world.start_entry(name, handle.process.domain)


async def _end_agent(world: World, fault: Fault) -> None:
    name = _agent_name(world, fault.target)
    handle = world.agents[name]
    await _end_process(handle, is_killed=fault.kind == FaultKind.KILL_AGENT)
    if world.agents[name] is handle:
        world.start_agent(name, handle.process.domain, handle.options)


async def _stall_connections(world: World, fault: Fault) -> None:
    processes = [e.process for e in world.entries.values()]
    processes += [a.process for a in world.agents.values()]
    source = processes[fault.target % len(processes)]
    for process in processes:
        world.network.stall_connection(source.address, process.address)
        world.network.stall_connection(process.address, source.address)


async def _cut_domains(world: World, fault: Fault) -> None:
    isolated = DOMAINS[fault.target % len(DOMAINS)]
    cuts = {frozenset((isolated, other)) for other in DOMAINS if other != isolated}
    world.network.faults.cut_domains |= cuts
    await anyio.sleep(fault.duration_s)
    world.network.faults.cut_domains -= cuts


async def _inject_store_fault(world: World, fault: Fault) -> None:
    faults = world.platform.faults
    if fault.kind == FaultKind.STORE_LOSES_ANSWERS:
        faults.lost_answers = 1 + fault.target % 3
        return
    faults.is_down = fault.kind == FaultKind.STORE_DOWN
    faults.delay_s = 1.0 if fault.kind == FaultKind.STORE_SLOW else 0.0
    await anyio.sleep(fault.duration_s)
    faults.is_down = False
    faults.delay_s = 0.0


async def _inject_network_fault(world: World, fault: Fault) -> None:
    faults = world.network.faults
    faults.loss, faults.duplication, faults.slow = 0.05, 0.2, 0.3
    await anyio.sleep(fault.duration_s)
    faults.loss = faults.duplication = faults.slow = 0.0


async def _withdraw_domain(world: World, fault: Fault) -> None:
    domain = DOMAINS[fault.target % len(DOMAINS)]
    await world.withdraw(_entry_name(world, fault.target + 1), domain)
    await anyio.sleep(fault.duration_s)
    entry = _entry_name(world, fault.target + 2)
    planned = await world.entries[entry].node.plans.propose(
        Intent(kind=IntentKind.RETURN_DOMAIN, target=domain)
    )
    if planned.is_ok():
        # The return may take effect even if its answer is lost, so the restriction ends here.
        world.record_return(domain)
        await world.entries[entry].node.plans.confirm(planned.unwrap().plan.plan_id)


async def _retire_backend(world: World, fault: Fault) -> None:
    backend = world.agents[_agent_name(world, fault.target)].node.info.backend
    await world.retire(_entry_name(world, fault.target), backend)


async def _withdraw_concurrently(world: World, fault: Fault) -> None:
    """Withdraw two domains concurrently, each through its own entry."""
    async with anyio.create_task_group() as group:
        for offset in (0, 1):
            domain = DOMAINS[(fault.target + offset) % len(DOMAINS)]
            group.start_soon(world.withdraw, _entry_name(world, fault.target + offset), domain)


async def _fail_backend(world: World, fault: Fault) -> None:
    options = world.agents[_agent_name(world, fault.target)].options
    options.is_failing = True
    await anyio.sleep(fault.duration_s)
    options.is_failing = False


_INJECTORS = {
    FaultKind.KILL_ENTRY: _end_entry,
    FaultKind.STOP_ENTRY: _end_entry,
    FaultKind.KILL_AGENT: _end_agent,
    FaultKind.STOP_AGENT: _end_agent,
    FaultKind.STALL_CONNECTIONS: _stall_connections,
    FaultKind.CUT_DOMAINS: _cut_domains,
    FaultKind.STORE_DOWN: _inject_store_fault,
    FaultKind.STORE_SLOW: _inject_store_fault,
    FaultKind.STORE_LOSES_ANSWERS: _inject_store_fault,
    FaultKind.LOSSY_NETWORK: _inject_network_fault,
    FaultKind.WITHDRAW_DOMAIN: _withdraw_domain,
    FaultKind.RETIRE_BACKEND: _retire_backend,
    FaultKind.CONCURRENT_WITHDRAWALS: _withdraw_concurrently,
    FaultKind.FAILING_BACKEND: _fail_backend,
}


async def inject(world: World, fault: Fault) -> None:
    """Wait until a fault is due and inject it."""
    await anyio.sleep(fault.at_s)
    if fault.kind == FaultKind.PAUSE_ENTRY:
        await _pause(world.entries[_entry_name(world, fault.target)].process, fault.duration_s)
    elif fault.kind == FaultKind.PAUSE_AGENT:
        await _pause(world.agents[_agent_name(world, fault.target)].process, fault.duration_s)
    else:
        await _INJECTORS[fault.kind](world, fault)


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerPlan:
    """One caller's job and the first entry to submit it to.

    A caller with ``has_short_wait`` waits for half the tasks' run time in its first attempt, so
    that it leaves while they are running.
    """

    at_s: float
    entry: int
    tasks: int
    run_time_ms: int
    has_idempotency_key: bool = False
    has_short_wait: bool = False


async def run_caller(world: World, number: int, plan: CallerPlan) -> None:
    """Submit a job, and resubmit it through other entries until its outcome is final."""
    await anyio.sleep(plan.at_s)
    submission_id = (
        "" if plan.has_idempotency_key else await _issue_submission_id(world, plan.entry)
    )
    if submission_id is None:
        return
    spec = make_job(submission_id, tasks=plan.tasks, run_time_ms=plan.run_time_ms)
    key = f"caller-{number}" if plan.has_idempotency_key else None
    for attempt in range(MAX_SUBMISSIONS):
        entry = _entry_name(world, plan.entry + attempt)
        wait_s = plan.run_time_ms / 2_000 if plan.has_short_wait and attempt == 0 else None
        if world.entries[entry].process.is_alive:
            record = await _submit_while_alive(world, entry, spec, key, wait_s)
            if record is not None and _is_final(record):
                return
        await anyio.sleep(RESUBMIT_DELAY_S)


async def _issue_submission_id(world: World, target: int) -> str | None:
    handle = world.entries[_entry_name(world, target)]
    if not handle.process.is_alive or handle.process.is_paused:
        return None
    issued = handle.node.jobs.issue_ids(1)
    return issued.unwrap()[0] if issued.is_ok() else None


async def _submit_while_alive(
    world: World, entry: str, spec: JobSpec, key: str | None, wait_s: float | None
) -> AnswerRecord | None:
    """Submit a job through an entry; return None if the entry ends before it answers."""
    process = world.entries[entry].process
    records: list[AnswerRecord] = []

    async with anyio.create_task_group() as group:

        async def cancel_when_process_ends() -> None:
            while process.is_alive:
                await anyio.sleep(0.05)
            group.cancel_scope.cancel()

        group.start_soon(cancel_when_process_ends)
        await process.wait_while_paused()
        records.append(await world.submit(entry, spec, key=key, wait_s=wait_s))
        group.cancel_scope.cancel()
    return records[0] if records else None


def _is_final(record: AnswerRecord) -> bool:
    if record.is_complete:
        return True
    error = record.error
    if error is None:
        return record.answer.unwrap().state != JobState.RUNNING
    retryable_kinds = (
        ErrorKind.ISSUER_UNREACHABLE,
        ErrorKind.STORE_UNAVAILABLE,
        ErrorKind.NOT_CURRENT,
    )
    return error.kind not in retryable_kinds

"""Faults that a history can meet, and callers and operators that work through them."""

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

REPLACED_AFTER_S = 1.0
RESUBMIT_AFTER_S = 0.5
MAX_SUBMISSIONS = 4


class FaultKind(enum.StrEnum):
    """What can go wrong or is done by operators."""

    KILL_ENTRY = "kill_entry"
    KILL_AGENT = "kill_agent"
    STOP_ENTRY = "stop_entry"
    STOP_AGENT = "stop_agent"
    PAUSE_ENTRY = "pause_entry"
    PAUSE_AGENT = "pause_agent"
    SILENCE = "silence"
    CUT_DOMAINS = "cut_domains"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    LOSSY_NETWORK = "lossy_network"
    WITHDRAW = "withdraw"
    RETIRE = "retire"
    RACE = "race"
    BACKEND_FAILS = "backend_fails"


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One fault: when, which, at whom, and for how long."""

    at_s: float
    kind: FaultKind
    target: int
    lasting_s: float


def _entry(world: World, target: int) -> str:
    return sorted(world.entries)[target % len(world.entries)]


def _agent(world: World, target: int) -> str:
    return sorted(world.agents)[target % len(world.agents)]


async def _pause(process: Process, lasting_s: float) -> None:
    process.pause()
    await anyio.sleep(lasting_s)
    process.resume()


async def _end(handle: EntryHandle | AgentHandle, *, is_killed: bool) -> None:
    """Kill a process, or stop it gracefully and wait until it has ended."""
    if is_killed:
        handle.process.kill()
    else:
        handle.node.stop()
    while handle.process.is_alive:
        await anyio.sleep(0.1)
    await anyio.sleep(REPLACED_AFTER_S)


async def _end_entry(world: World, fault: Fault) -> None:
    name = _entry(world, fault.target)
    handle = world.entries[name]
    await _end(handle, is_killed=fault.kind == FaultKind.KILL_ENTRY)
    if world.entries[name] is handle:
        world.start_entry(name, handle.process.domain)


async def _end_agent(world: World, fault: Fault) -> None:
    name = _agent(world, fault.target)
    handle = world.agents[name]
    await _end(handle, is_killed=fault.kind == FaultKind.KILL_AGENT)
    if world.agents[name] is handle:
        world.start_agent(name, handle.process.domain, handle.options)


async def _silence(world: World, fault: Fault) -> None:
    processes = [e.process for e in world.entries.values()]
    processes += [a.process for a in world.agents.values()]
    source = processes[fault.target % len(processes)]
    for process in processes:
        world.network.stall_connection(source.address, process.address)
        world.network.stall_connection(process.address, source.address)


async def _cut_domains(world: World, fault: Fault) -> None:
    first = DOMAINS[fault.target % len(DOMAINS)]
    cuts = {frozenset((first, other)) for other in DOMAINS if other != first}
    world.network.faults.cut_domains |= cuts
    await anyio.sleep(fault.lasting_s)
    world.network.faults.cut_domains -= cuts


async def _trouble_store(world: World, fault: Fault) -> None:
    faults = world.platform.faults
    if fault.kind == FaultKind.STORE_LOSES_ANSWERS:
        faults.lost_answers = 1 + fault.target % 3
        return
    faults.is_down = fault.kind == FaultKind.STORE_DOWN
    faults.delay_s = 1.0 if fault.kind == FaultKind.STORE_SLOW else 0.0
    await anyio.sleep(fault.lasting_s)
    faults.is_down = False
    faults.delay_s = 0.0


async def _trouble_network(world: World, fault: Fault) -> None:
    faults = world.network.faults
    faults.loss, faults.duplication, faults.slow = 0.05, 0.2, 0.3
    await anyio.sleep(fault.lasting_s)
    faults.loss = faults.duplication = faults.slow = 0.0


async def _withdraw(world: World, fault: Fault) -> None:
    domain = DOMAINS[fault.target % len(DOMAINS)]
    await world.withdraw(_entry(world, fault.target + 1), domain)
    await anyio.sleep(fault.lasting_s)
    entry = _entry(world, fault.target + 2)
    planned = await world.entries[entry].node.plans.propose(
        Intent(kind=IntentKind.RETURN_DOMAIN, target=domain)
    )
    if planned.is_ok():
        # The return may take effect although its answer is lost, so it counts from here.
        world.record_return(domain)
        await world.entries[entry].node.plans.confirm(planned.unwrap().plan.plan_id)


async def _retire(world: World, fault: Fault) -> None:
    backend = world.agents[_agent(world, fault.target)].node.info.backend
    await world.retire(_entry(world, fault.target), backend)


async def _race(world: World, fault: Fault) -> None:
    """Let two operators withdraw different domains at the same instant."""
    async with anyio.create_task_group() as group:
        for offset in (0, 1):
            domain = DOMAINS[(fault.target + offset) % len(DOMAINS)]
            group.start_soon(world.withdraw, _entry(world, fault.target + offset), domain)


async def _backend_fails(world: World, fault: Fault) -> None:
    options = world.agents[_agent(world, fault.target)].options
    options.is_failing = True
    await anyio.sleep(fault.lasting_s)
    options.is_failing = False


_INJECT = {
    FaultKind.KILL_ENTRY: _end_entry,
    FaultKind.STOP_ENTRY: _end_entry,
    FaultKind.KILL_AGENT: _end_agent,
    FaultKind.STOP_AGENT: _end_agent,
    FaultKind.SILENCE: _silence,
    FaultKind.CUT_DOMAINS: _cut_domains,
    FaultKind.STORE_DOWN: _trouble_store,
    FaultKind.STORE_SLOW: _trouble_store,
    FaultKind.STORE_LOSES_ANSWERS: _trouble_store,
    FaultKind.LOSSY_NETWORK: _trouble_network,
    FaultKind.WITHDRAW: _withdraw,
    FaultKind.RETIRE: _retire,
    FaultKind.RACE: _race,
    FaultKind.BACKEND_FAILS: _backend_fails,
}


async def inject(world: World, fault: Fault) -> None:
    """Wait for a fault's time and bring it about."""
    await anyio.sleep(fault.at_s)
    if fault.kind == FaultKind.PAUSE_ENTRY:
        await _pause(world.entries[_entry(world, fault.target)].process, fault.lasting_s)
    elif fault.kind == FaultKind.PAUSE_AGENT:
        await _pause(world.agents[_agent(world, fault.target)].process, fault.lasting_s)
    else:
        await _INJECT[fault.kind](world, fault)


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerPlan:
    """One caller: when it submits, through which entries, and what."""

    at_s: float
    entry: int
    tasks: int
    run_time_ms: int
    has_key: bool = False
    is_impatient: bool = False


async def act_as_caller(world: World, number: int, plan: CallerPlan) -> None:
    """Submit a job, and again through other entries until its outcome is known."""
    await anyio.sleep(plan.at_s)
    submission_id = "" if plan.has_key else await _take_id(world, plan.entry)
    if submission_id is None:
        return
    spec = make_job(submission_id, tasks=plan.tasks, run_time_ms=plan.run_time_ms)
    key = f"caller-{number}" if plan.has_key else None
    for attempt in range(MAX_SUBMISSIONS):
        entry = _entry(world, plan.entry + attempt)
        wait_s = plan.run_time_ms / 2_000 if plan.is_impatient and attempt == 0 else None
        if world.entries[entry].process.is_alive:
            answered = await _submit_until_death(world, entry, spec, key, wait_s)
            if answered is not None and _is_final(answered):
                return
        await anyio.sleep(RESUBMIT_AFTER_S)


async def _take_id(world: World, target: int) -> str | None:
    handle = world.entries[_entry(world, target)]
    if not handle.process.is_alive or handle.process.is_paused:
        return None
    issued = handle.node.jobs.issue_ids(1)
    return issued.unwrap()[0] if issued.is_ok() else None


async def _submit_until_death(
    world: World, entry: str, spec: JobSpec, key: str | None, wait_s: float | None
) -> AnswerRecord | None:
    """Submit through an entry; None if that dies before it answers."""
    process = world.entries[entry].process
    answered: list[AnswerRecord] = []

    async with anyio.create_task_group() as group:

        async def watch() -> None:
            while process.is_alive:
                await anyio.sleep(0.05)
            group.cancel_scope.cancel()

        group.start_soon(watch)
        await process.wait_while_paused()
        answered.append(await world.submit(entry, spec, key=key, wait_s=wait_s))
        group.cancel_scope.cancel()
    return answered[0] if answered else None


def _is_final(answered: AnswerRecord) -> bool:
    if answered.is_complete:
        return True
    error = answered.error
    if error is None:
        return answered.answer.unwrap().state != JobState.RUNNING
    open_kinds = (ErrorKind.ISSUER_UNREACHABLE, ErrorKind.STORE_UNAVAILABLE, ErrorKind.NOT_CURRENT)
    return error.kind not in open_kinds

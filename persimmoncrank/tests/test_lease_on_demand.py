"""Tests of leases that agents ask for only while they hold orders, and of probes of workers.

Load pattern: many entries and agents, of which each pair exchanges orders rarely.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import pytest

from persimmoncrank.bench._worker_world import LEASE_S, make_worker_job
from persimmoncrank.coordination.execution._entry_links import ASSIGNED_ENTRIES
from persimmoncrank.protocol import parse_address
from persimmoncrank.tests.worker_scenarios import run_scenario

if TYPE_CHECKING:
    from persimmoncrank.bench._worker_world import WorkerWorld
    from persimmoncrank.coordination.execution._entry_session import EntrySession

FRAMES_PER_S_LIMIT = 60  # of an idle agent in both directions; four entries cost 40


def entry_name(session: EntrySession) -> str:
    """Return the name of the entry of a session."""
    return parse_address(session.address)[0]


def unassigned_entry(world: WorkerWorld, agent: str) -> str:
    """Return the name of an entry to which an agent is not assigned."""
    sessions = world.agents[agent].node.links.sessions.values()
    return min(entry_name(session) for session in sessions if not session.is_assigned)


@pytest.mark.parametrize(("entries", "agents"), [(4, 2), (16, 2), (32, 2)])
def test_frames_of_an_idle_agent_do_not_grow_with_the_entries(entries: int, agents: int) -> None:
    async def scenario(world: WorkerWorld) -> None:
        await anyio.sleep(3.0)
        before = world.network.sent_messages
        await anyio.sleep(8.0)
        frames = world.network.sent_messages - before
        assert frames / 8.0 / agents < FRAMES_PER_S_LIMIT
        assigned = Counter(
            session.is_assigned
            for process in world.agents.values()
            for session in process.node.links.sessions.values()
        )
        assert assigned[True] == agents * min(ASSIGNED_ENTRIES, entries)

    run_scenario(scenario, entries=entries, agents=agents)


def test_agent_is_assigned_to_another_entry_when_one_is_lost() -> None:
    async def scenario(world: WorkerWorld) -> None:
        links = world.agents["a0"].node.links
        lost = next(entry_name(s) for s in links.sessions.values() if s.is_assigned)
        world.kill_entry(lost)
        await anyio.sleep(0.5)
        assigned = {entry_name(s) for s in links.sessions.values() if s.is_assigned}
        assert len(assigned) == ASSIGNED_ENTRIES
        assert lost not in assigned

    run_scenario(scenario, entries=6, agents=1)


def test_job_at_an_unassigned_entry_runs_after_the_agent_got_a_lease() -> None:
    async def scenario(world: WorkerWorld) -> None:
        await anyio.sleep(2.0)
        entry = unassigned_entry(world, "a0")
        sent_at_s = anyio.current_time()
        answer = await world.submit(entry, make_worker_job("0" * 16, tasks=1))
        assert answer is not None
        assert answer.is_completed
        (run,) = world.workers["a0"].history
        assert run.started_at_s - sent_at_s < 0.02

    run_scenario(scenario, entries=6, agents=1)


def test_order_of_an_entry_that_never_grants_its_lease_does_not_start() -> None:
    """The entry is cut off just after it has sent its order, and the caller goes elsewhere."""

    async def scenario(world: WorkerWorld) -> None:
        await anyio.sleep(2.0)
        entry = unassigned_entry(world, "a0")
        dispatcher = world.dispatcher(entry)
        async with anyio.create_task_group() as jobs:
            jobs.start_soon(world.submit, entry, make_worker_job("1" * 16, tasks=1))
            await anyio.sleep(0.002)
            world.network.frozen.add(entry)
            await anyio.sleep(1.0)
            assert not world.workers["a0"].history
            assert not world.agents["a0"].node._waiting_for_lease
            world.network.frozen.discard(entry)
            await anyio.sleep(0.5)
            jobs.cancel_scope.cancel()
        assert not dispatcher.jobs

    run_scenario(scenario, entries=6, agents=1)


def test_silent_unassigned_agent_gets_its_task_placed_elsewhere_at_once() -> None:
    """An order that no lease covers cannot have started, so no lease has to be waited for."""

    async def scenario(world: WorkerWorld) -> None:
        await anyio.sleep(2.0)
        entry = unassigned_entry(world, "a0")
        dispatcher = world.dispatcher(entry)
        world.network.cuts.add(frozenset({"a0", entry}))
        links = [link for link in dispatcher.links.values() if link.hello.agent == "a0"]
        dispatcher._placement.choose = lambda _task, found, **_options: next(
            (link for link in [*links, *found] if link.is_connected), None
        )
        sent_at_s = anyio.current_time()
        answer = await world.submit(entry, make_worker_job("2" * 16, tasks=1))
        assert answer is not None
        assert answer.is_completed
        assert anyio.current_time() - sent_at_s < 0.2 + LEASE_S

    run_scenario(scenario, entries=6, agents=2)


def test_probe_of_a_full_worker_is_refused_and_the_task_runs_elsewhere() -> None:
    async def scenario(world: WorkerWorld) -> None:
        world.run_s = lambda task: 5.0 if task.job_id.startswith("f") else 0.1
        await anyio.sleep(2.0)
        entry = unassigned_entry(world, "a0")
        full = make_worker_job("f" * 16, tasks=1, cpu_millis=16_000, estimate_s=5.0)
        sessions = world.agents["a0"].node.links.sessions.values()
        other = min(entry_name(session) for session in sessions if session.is_assigned)
        dispatcher = world.dispatcher(other)
        dispatcher._placement.choose = lambda _task, found, **_options: next(
            (link for link in found if link.hello.agent == "a0"), None
        )
        async with anyio.create_task_group() as jobs:
            jobs.start_soon(world.submit, other, full)
            await anyio.sleep(0.3)
            job = make_worker_job("3" * 16, tasks=1)
            sent_at_s = anyio.current_time()
            answer = await world.submit(entry, job)
            assert answer is not None
            assert answer.is_completed
            assert anyio.current_time() - sent_at_s < 0.1 + 0.1
            jobs.cancel_scope.cancel()

    run_scenario(scenario, entries=6, agents=2)


@pytest.mark.parametrize("rack", ["r1", "r2"])
def test_task_runs_near_its_data(rack: str) -> None:
    async def scenario(world: WorkerWorld) -> None:
        for name, label in (("a0", "r1"), ("a1", "r2")):
            world.workers[name].labels = (label,)
            world.workers[name].crash()
        await anyio.sleep(2.0)
        dispatcher = world.dispatcher("e0")
        dispatcher._remote_data_factor = 3.0
        job = make_worker_job("4" * 16, tasks=4)
        job = replace(job, steps=(replace(job.steps[0], rack=rack),))
        answer = await world.submit("e0", job)
        assert answer is not None
        assert answer.is_completed
        near = {name for name, worker in world.workers.items() if worker.history}
        assert near == {"a0" if rack == "r1" else "a1"}

    run_scenario(scenario, entries=1, agents=2)


@pytest.mark.parametrize("to_server", [True, False], ids=["agent to entry", "entry to agent"])
def test_streams_that_fall_silent_in_one_direction_are_kept(*, to_server: bool) -> None:
    async def scenario(world: WorkerWorld) -> None:
        await anyio.sleep(2.0)
        world.network.stall_open_streams(to_server=to_server, from_server=not to_server)
        await anyio.sleep(3 * LEASE_S)
        for entry in sorted(world.entries):
            sent_at_s = anyio.current_time()
            answer = await world.submit(entry, make_worker_job(entry.zfill(16), tasks=2))
            assert answer is not None
            assert answer.is_completed
            assert anyio.current_time() - sent_at_s < 0.2 + LEASE_S

    run_scenario(scenario, entries=3, agents=4)

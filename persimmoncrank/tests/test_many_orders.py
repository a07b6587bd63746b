"""Tests of jobs whose tasks need no resources, so that capacity does not limit their orders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.bench._worker_world import LEASE_S, QUEUE, WorkerWorld
from persimmoncrank.protocol import Demand, EntryFrame, Step, WorkerJob, encode_message
from persimmoncrank.state import Run, RunLedger, _run_ledger
from persimmoncrank.tests.runner_harness import make_run

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import pytest

PAYLOAD = "x" * 4_000
MAX_FRAME_BYTES = 1024 * 1024
MAX_ORDERS = 1_000  # of one entry at one agent; an executor of the platform has 8 slots
MAX_HELD_ORDERS = 4_000  # at one agent, about 5 kB each, of 168 MB


def _job(number: int, tasks: int, *, payload: str = PAYLOAD) -> WorkerJob:
    step = Step(count=tasks, demand=Demand(), estimate_s=1.0)
    return WorkerJob(
        job_id=f"{number:016x}", queue=QUEUE, payload=payload, steps=(step,), deadline_s=30.0
    )


def _run_world(
    scenario: Callable[[WorkerWorld, anyio.abc.TaskGroup], Any], *, entries: int, agents: int
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = WorkerWorld(group=group)
            world.run_s = lambda _task: 0.3
            await world.start(entries=entries, agents=agents)
            await scenario(world, group)
            group.cancel_scope.cancel()

    run_virtual(main)


# All tasks are ordered from one agent, in one message that is too long for the stream.
def test_tasks_without_demand_are_ordered_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    sizes: list[int] = []

    async def scenario(world: WorkerWorld, group: anyio.abc.TaskGroup) -> None:
        links = world.dispatcher("e0").links.values()
        for link in links:
            next_frame = link.next_frame

            def measured(*args: Any, _next: Any = next_frame, **options: Any) -> EntryFrame | None:
                frame: EntryFrame | None = _next(*args, **options)
                sizes.append(0 if frame is None else len(encode_message(frame)))
                return frame

            monkeypatch.setattr(link, "next_frame", measured)
        group.start_soon(world.submit, "e0", _job(0, 2_600))
        await anyio.sleep(0.05)
        assert max(len(link.orders) for link in links) <= MAX_ORDERS
        assert max(sizes) <= MAX_FRAME_BYTES

    _run_world(scenario, entries=1, agents=2)


# Orders of many entries add up at an agent.
def test_agent_holds_the_orders_of_all_entries() -> None:
    async def scenario(world: WorkerWorld, group: anyio.abc.TaskGroup) -> None:
        for number in range(6):
            group.start_soon(world.submit, f"e{number}", _job(number, 1_000))
        agent = world.agents["a0"].node
        for _ in range(10):
            await anyio.sleep(0.01)
            held = sum(len(agent._held_orders(owner)) for owner in agent._order_owners())
            assert held <= MAX_HELD_ORDERS

    _run_world(scenario, entries=6, agents=1)


# An order that waits for its turn on the stream is sent after its job has ended.
def test_orders_that_were_not_sent_outlive_their_job() -> None:
    async def scenario(world: WorkerWorld, _group: anyio.abc.TaskGroup) -> None:
        dispatcher = world.dispatcher("e0")
        dispatcher._admit(_job(0, 600))
        assert any(link.orders for link in dispatcher.links.values())
        assert dispatcher.cancel(f"{0:016x}")
        assert not any(link.orders for link in dispatcher.links.values())
        await anyio.sleep(2 * LEASE_S)
        sessions = world.agents["a0"].node.links.sessions.values()
        assert [session.orders_seen for session in sessions] == [0]
        assert all(link.free_share == 1.0 for link in dispatcher.links.values())

    _run_world(scenario, entries=1, agents=1)


def _make_runs(order_ids: Iterable[int]) -> list[Run]:
    async def main() -> list[Run]:
        return [make_run(order_id, cpu_millis=0) for order_id in order_ids]

    return run_virtual(main)


# An agent compares all runs that wait with each other whenever one is added.
def test_runs_that_wait_are_sorted_for_each_order(monkeypatch: pytest.MonkeyPatch) -> None:
    compared = 0
    start_order = _run_ledger._start_order

    def count(run: Run) -> Any:
        nonlocal compared
        compared += 1
        return start_order(run)

    monkeypatch.setattr(_run_ledger, "_start_order", count)
    ledger = RunLedger(capacity=Demand())
    runs = _make_runs(range(500))
    for run in runs:
        ledger.add(run)
    assert compared <= 500 * 12
    started = []
    while (found := ledger.next_startable()) is not None:
        ledger.mark_ordered(found, now_s=0.0)
        started.append(found)
    assert started == runs


# A run waits for the end of another run of its task, and no longer.
def test_run_starts_beside_another_run_of_its_task() -> None:
    ledger = RunLedger(capacity=Demand())
    first, second = _make_runs([1, 1])
    for run in (first, second):
        ledger.add(run)
    ledger.mark_ordered(first, now_s=0.0)
    assert ledger.next_startable() is None
    ledger.release(first)
    assert ledger.next_startable() is second

"""Tests of withdrawing a failure domain under single faults and pairs of faults."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from persimmoncrank.tests.base import DOMAINS, make_job, run_virtual, start_world
from persimmoncrank.tests.invariants import check_all

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from persimmoncrank.bench import History, World

WITHDRAWN_DOMAIN = DOMAINS[0]
FAULT_DURATION_S = 6.0


async def pause_agent(world: World) -> None:
    """Pause an agent in the withdrawn domain."""
    process = world.agents["a0"].process
    process.pause()
    await anyio.sleep(FAULT_DURATION_S)
    process.resume()


async def pause_entry(world: World) -> None:
    """Pause the entry in the withdrawn domain, which coordinates one of the jobs."""
    process = world.entries["e0"].process
    process.pause()
    await anyio.sleep(FAULT_DURATION_S)
    process.resume()


async def store_unavailable(world: World) -> None:
    """Make the store unavailable 0.5 s after the withdrawal begins, just after its acceptance."""
    await anyio.sleep(0.5)
    world.platform.faults.is_down = True
    await anyio.sleep(FAULT_DURATION_S)
    world.platform.faults.is_down = False


async def store_slow(world: World) -> None:
    """Slow down the store 0.5 s after the withdrawal begins, just after its acceptance."""
    await anyio.sleep(0.5)
    world.platform.faults.delay_s = 1.5
    await anyio.sleep(FAULT_DURATION_S)
    world.platform.faults.delay_s = 0.0


async def connections_stalled(world: World) -> None:
    """Stop delivery on every open connection without closing it."""
    processes = [e.process for e in world.entries.values()]
    processes += [a.process for a in world.agents.values()]
    for source, target in itertools.permutations(processes, 2):
        world.network.stall_connection(source.address, target.address)


async def domain_partitioned(world: World) -> None:
    """Partition the withdrawn domain from the others, and its entry from the store."""
    cuts = {frozenset((WITHDRAWN_DOMAIN, other)) for other in DOMAINS[1:]}
    world.network.faults.cut_domains |= cuts
    world.entries["e0"].process.can_reach_store = False
    await anyio.sleep(FAULT_DURATION_S)
    world.network.faults.cut_domains -= cuts
    world.entries["e0"].process.can_reach_store = True


FAULTS = (
    pause_agent,
    pause_entry,
    store_unavailable,
    store_slow,
    connections_stalled,
    domain_partitioned,
)
CASES = [(fault,) for fault in FAULTS] + list(itertools.combinations(FAULTS, 2))


def run_withdrawal(faults: tuple[Callable[[World], Coroutine[Any, Any, None]], ...]) -> History:
    """Withdraw a domain with long queues while faults are active, and wait for the jobs to end."""

    async def main() -> History:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=21)
            async with anyio.create_task_group() as inner_group:
                for entry in ("e0", "e1"):
                    spec = make_job(
                        await world.issue_id(entry),
                        tasks=150,
                        run_time_ms=900,
                        deadline_ms=50_000,
                    )
                    inner_group.start_soon(world.submit, entry, spec)
                await anyio.sleep(0.4)
                for fault in faults:
                    inner_group.start_soon(fault, world)
                await world.withdraw("e1", WITHDRAWN_DOMAIN)
            group.cancel_scope.cancel()
        return world.history

    return run_virtual(main, seed=21)


@pytest.mark.parametrize(
    "faults", CASES, ids=lambda faults: " and ".join(fault.__name__ for fault in faults)
)
def test_no_task_starts_late_and_all_jobs_complete(
    faults: tuple[Callable[[World], Coroutine[Any, Any, None]], ...],
) -> None:
    history = run_withdrawal(faults)
    check_all(history)
    assert history.restrictions, "the withdrawal was not accepted"
    failed = [record.error for record in history.answers if not record.is_complete]
    assert not failed

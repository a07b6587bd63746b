"""Tests that configuration stays current, or is known not to be, during outages and isolation."""

from __future__ import annotations

import anyio

from persimmoncrank.protocol import ErrorKind
from persimmoncrank.tests.base import make_job, run_virtual, start_world, wait_until_converged
from persimmoncrank.tests.invariants import check_all

HOUR_S = 3_600.0
JOBS_IN_AN_HOUR = 60


def test_majority_keeps_serving_through_store_outage_of_one_hour() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=51, agents=2)
            world.platform.faults.is_down = True
            for number in range(JOBS_IN_AN_HOUR):
                await anyio.sleep(HOUR_S / JOBS_IN_AN_HOUR)
                entry = f"e{number % 3}"
                spec = make_job(await world.issue_id(entry), tasks=6)
                assert (await world.submit(entry, spec)).is_complete, number
            world.platform.faults.is_down = False
            await anyio.sleep(2.0)
            assert (await world.withdraw("e0", "monza")).unwrap().state == "accepted"
            check_all(world.history)
            group.cancel_scope.cancel()

    run_virtual(main, seed=51)


def test_isolated_entry_stops_in_time_and_resumes_by_itself() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=52)
            isolated = world.entries["e0"]
            cuts = {frozenset(("e0", other)) for other in ("e1", "e2")}
            world.network.faults.cut_pairs |= cuts
            isolated.process.can_reach_store = False
            await anyio.sleep(2.1)
            assert not isolated.node.is_ready()
            refused = isolated.node.jobs.issue_ids(1).unwrap_err()
            assert (refused.kind, refused.not_run) == (ErrorKind.NOT_CURRENT, True)
            spec = make_job(await world.issue_id("e1"), tasks=6)
            assert (await world.submit("e1", spec)).is_complete
            world.network.faults.cut_pairs -= cuts
            isolated.process.can_reach_store = True
            await anyio.sleep(1.5)
            assert isolated.node.is_ready()
            spec = make_job(await world.issue_id("e0"), tasks=6)
            assert (await world.submit("e0", spec)).is_complete
            group.cancel_scope.cancel()

    run_virtual(main, seed=52)


def test_agents_find_new_entries_after_all_known_ones_are_lost() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=53, entries=4)
            world.entries["e3"].node.stop()
            await anyio.sleep(6.0)
            for name in ("e0", "e1", "e2"):
                world.entries.pop(name).process.kill()
            world.start_entry("e3", "monza")
            await wait_until_converged(world)
            spec = make_job(await world.issue_id("e3"), tasks=6)
            assert (await world.submit("e3", spec)).is_complete
            check_all(world.history)
            group.cancel_scope.cancel()

    run_virtual(main, seed=53)

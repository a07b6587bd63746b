"""Tests of the deletion of rows from the store."""

from __future__ import annotations

import anyio
import pytest

from persimmoncrank.bench._world import unix_ms
from persimmoncrank.coordination.plans._garbage_collector import PLAN_RETENTION_MS, GarbageCollector
from persimmoncrank.protocol import Intent, IntentKind
from persimmoncrank.state import AgentViews
from persimmoncrank.tests.base import run_virtual, start_world

RETENTION_S = 100.0


@pytest.mark.parametrize(("waited_s", "left"), [(99.0, 6), (101.0, 0)])
def test_rows_of_absent_agents_are_deleted_after_the_retention_period(
    waited_s: float, left: int
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=61)
            collector = GarbageCollector(
                table=world.platform.table(),
                views=AgentViews(self_incarnation="nobody"),
                retention_s=RETENTION_S,
                unix_ms=unix_ms,
            )
            await collector.delete_absent_agents()
            await anyio.sleep(waited_s)
            await collector.delete_absent_agents()
            rows = (await world.platform.scan("agents/", 0)).unwrap().rows
            assert len(rows) == left
            group.cancel_scope.cancel()

    run_virtual(main)


@pytest.mark.parametrize(("aged_ms", "left"), [(0, 2), (PLAN_RETENTION_MS + 60_000, 0)])
def test_rows_of_old_plans_are_deleted(aged_ms: int, left: int) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=62)
            intent = Intent(kind=IntentKind.WITHDRAW_DOMAIN, target="monza")
            plan_id = (await world.apply_intent("e0", intent)).unwrap().plan.plan_id
            collector = GarbageCollector(
                table=world.platform.table(),
                views=world.entries["e0"].node.views,
                retention_s=RETENTION_S,
                unix_ms=lambda: unix_ms() + aged_ms,
            )
            await collector.delete_old_plans()
            keys = (f"plans/{plan_id}", f"applied/{plan_id}")
            rows = [(await world.platform.get_row(key)).unwrap() for key in keys]
            assert sum(row is not None for row in rows) == left
            group.cancel_scope.cancel()

    run_virtual(main)

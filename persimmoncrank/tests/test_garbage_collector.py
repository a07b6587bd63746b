"""Tests of dropping rows from the store."""

from __future__ import annotations

import anyio
import pytest

from persimmoncrank.bench._world import unix_ms
from persimmoncrank.coordination.plans._garbage_collector import KEEP_PLANS_MS, GarbageCollector
from persimmoncrank.protocol import Intent, IntentKind
from persimmoncrank.state import AgentViews
from persimmoncrank.tests.base import run_virtual, start_world

KEEP_S = 100.0


@pytest.mark.parametrize(("waited_s", "left"), [(99.0, 6), (101.0, 0)])
def test_rows_of_absent_agents_are_dropped_in_the_end(waited_s: float, left: int) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=61)
            collector = GarbageCollector(
                table=world.platform.table(),
                views=AgentViews(self_incarnation="nobody"),
                keep_s=KEEP_S,
                unix_ms=unix_ms,
            )
            await collector.check()
            await anyio.sleep(waited_s)
            await collector.check()
            rows = (await world.platform.scan("agents/", 0)).unwrap().rows
            assert len(rows) == left
            group.cancel_scope.cancel()

    run_virtual(main)


@pytest.mark.parametrize(("aged_ms", "left"), [(0, 2), (KEEP_PLANS_MS + 60_000, 0)])
def test_rows_of_old_plans_are_dropped(aged_ms: int, left: int) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=62)
            intent = Intent(kind=IntentKind.WITHDRAW_DOMAIN, target="monza")
            plan_id = (await world.apply_intent("e0", intent)).unwrap().plan.plan_id
            collector = GarbageCollector(
                table=world.platform.table(),
                views=world.entries["e0"].node.views,
                keep_s=KEEP_S,
                unix_ms=lambda: unix_ms() + aged_ms,
            )
            await collector.check_plans()
            keys = (f"plans/{plan_id}", f"applied/{plan_id}")
            rows = [(await world.platform.get_row(key)).unwrap() for key in keys]
            assert sum(row is not None for row in rows) == left
            group.cancel_scope.cancel()

    run_virtual(main)

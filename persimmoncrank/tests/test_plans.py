"""Tests of plans: concurrent confirmations, lost replies, and reported states."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import pytest

from persimmoncrank.protocol import ErrorKind, Intent, IntentKind, PlanState
from persimmoncrank.tests.base import run_virtual, start_world

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmoncrank.bench import World

WITHDRAW = Intent(kind=IntentKind.WITHDRAW_DOMAIN, target="monza")
RETIRE = Intent(kind=IntentKind.RETIRE_BACKEND, target="backend-a1")


def run_with_world(test: Callable[[World], Awaitable[None]]) -> None:
    """Run a test in a world with three entries and six agents."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await test(await start_world(group, seed=31))
            group.cancel_scope.cancel()

    run_virtual(main, seed=31)


def test_plan_changes_nothing_before_it_is_confirmed() -> None:
    async def test(world: World) -> None:
        plans = world.entries["e0"].node.plans
        report = (await plans.propose(WITHDRAW)).unwrap()
        assert (report.plan.slots_before, report.plan.slots_after) == (48, 32)
        await anyio.sleep(3.0)
        assert world.entries["e1"].node.config_replica.snapshot.withdrawn_domains == ()
        shown = await world.entries["e2"].node.plans.show(report.plan.plan_id)
        assert shown.unwrap().state == PlanState.PROPOSED

    run_with_world(test)


def test_only_one_of_two_concurrent_confirmations_succeeds() -> None:
    async def test(world: World) -> None:
        reports = {}
        for entry, intent in (("e0", WITHDRAW), ("e1", RETIRE)):
            plans = world.entries[entry].node.plans
            reports[entry] = (await plans.propose(intent)).unwrap().plan.plan_id
        outcomes: list[Any] = []

        async def confirm(entry: str) -> None:
            outcomes.append(await world.entries[entry].node.plans.confirm(reports[entry]))

        async with anyio.create_task_group() as group:
            for entry in reports:
                group.start_soon(confirm, entry)
        won = [outcome for outcome in outcomes if outcome.is_ok()]
        lost = [outcome.unwrap_err() for outcome in outcomes if outcome.is_err()]
        assert len(won) == 1
        assert [(error.kind, error.not_run) for error in lost] == [(ErrorKind.CONFLICT, True)]

    run_with_world(test)


@pytest.mark.parametrize("lost_answers", [1, 2, 3])
def test_lost_answer_on_confirm_is_resolved(lost_answers: int) -> None:
    async def test(world: World) -> None:
        plans = world.entries["e0"].node.plans
        plan_id = (await plans.propose(WITHDRAW)).unwrap().plan.plan_id
        world.platform.faults.lost_answers = lost_answers
        report = (await plans.confirm(plan_id)).unwrap()
        assert report.state == PlanState.ACCEPTED
        again = (await world.entries["e1"].node.plans.confirm(plan_id)).unwrap()
        assert again.version == report.version
        await anyio.sleep(2.5)
        assert (await plans.show(plan_id)).unwrap().state == PlanState.IN_FORCE

    run_with_world(test)


def test_store_outage_on_confirm_is_reported_and_confirm_can_be_repeated() -> None:
    async def test(world: World) -> None:
        plans = world.entries["e0"].node.plans
        plan_id = (await plans.propose(WITHDRAW)).unwrap().plan.plan_id
        world.platform.faults.is_down = True
        error = (await plans.confirm(plan_id)).unwrap_err()
        assert error.kind == ErrorKind.STORE_UNAVAILABLE
        world.platform.faults.is_down = False
        assert (await plans.confirm(plan_id)).unwrap().state == PlanState.ACCEPTED

    run_with_world(test)


def test_plan_without_a_majority_is_pending_and_lists_missing_entries() -> None:
    async def test(world: World) -> None:
        lost = [world.entries[name] for name in ("e1", "e2")]
        for handle in lost:
            handle.process.kill()
        plans = world.entries["e0"].node.plans
        plan_id = (await plans.propose(WITHDRAW)).unwrap().plan.plan_id
        report = (await plans.confirm(plan_id)).unwrap()
        assert report.state == PlanState.PENDING
        assert set(report.waiting_for) == {handle.node.info.incarnation for handle in lost}
        names = ",".join(handle.node.info.incarnation for handle in lost)
        expelled = await world.apply_intent("e0", Intent(kind=IntentKind.EXPEL, target=names))
        assert expelled.unwrap().plan.risks
        assert expelled.unwrap().state == PlanState.ACCEPTED
        assert (await plans.show(plan_id)).unwrap().state == PlanState.ACCEPTED

    run_with_world(test)

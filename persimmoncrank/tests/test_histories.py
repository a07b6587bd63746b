"""History checking: concurrent runs under drawn faults keep every invariant."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from persimmoncrank.protocol import Intent, IntentKind
from persimmoncrank.tests.base import make_job, run_virtual, start_world, wait_until_converged
from persimmoncrank.tests.faults import CallerPlan, Fault, FaultKind, act_as_caller, inject
from persimmoncrank.tests.invariants import check_all

if TYPE_CHECKING:
    from persimmoncrank.bench import History, World

RUN_S = 25.0
HEAL_S = 40.0

faults = st.builds(
    Fault,
    at_s=st.floats(0.0, 10.0).map(lambda value: round(value, 2)),
    kind=st.sampled_from(list(FaultKind)),
    target=st.integers(0, 11),
    lasting_s=st.sampled_from([0.5, 1.5, 3.0, 6.0, 12.0]),
)
callers = st.builds(
    CallerPlan,
    at_s=st.floats(0.0, 12.0).map(lambda value: round(value, 2)),
    entry=st.integers(0, 2),
    tasks=st.sampled_from([1, 3, 12, 60]),
    run_time_ms=st.sampled_from([50, 200, 900, 3_000]),
    has_key=st.booleans(),
    is_impatient=st.booleans(),
)


async def run_history(
    world: World, fault_plans: list[Fault], caller_plans: list[CallerPlan]
) -> None:
    """Let callers work through faults, heal everything, and see that service resumes."""
    async with anyio.create_task_group() as group:
        for fault in fault_plans:
            group.start_soon(inject, world, fault)
        for number, plan in enumerate(caller_plans):
            group.start_soon(act_as_caller, world, number, plan)
    await anyio.sleep(RUN_S)
    await heal(world)


async def heal(world: World) -> None:
    """Return what operators took out, and check that a new job is served."""
    world.platform.faults.lost_answers = 0
    await wait_until_converged(world, HEAL_S)
    entry = min(world.entries)
    held = world.entries[entry].node.keeper.snapshot
    for domain in held.withdrawn_domains:
        world.record_return(domain)
        intent = Intent(kind=IntentKind.RETURN_DOMAIN, target=domain)
        (await world.apply_intent(entry, intent)).unwrap()
    await anyio.sleep(3.0)
    spec = make_job(await world.issue_id(entry), tasks=5)
    assert (await world.submit(entry, spec)).is_complete


def run_and_check(fault_plans: list[Fault], caller_plans: list[CallerPlan], seed: int) -> History:
    """Run one history in virtual time and check its invariants."""

    async def main() -> History:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=seed)
            await run_history(world, fault_plans, caller_plans)
            check_all(world.history)
            group.cancel_scope.cancel()
        return world.history

    return run_virtual(main, seed=seed)


@settings(
    max_examples=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    fault_plans=st.lists(faults, max_size=4),
    caller_plans=st.lists(callers, min_size=1, max_size=8),
    seed=st.integers(0, 2**16),
)
def test_invariants_hold_under_drawn_faults(
    fault_plans: list[Fault], caller_plans: list[CallerPlan], seed: int
) -> None:
    run_and_check(fault_plans, caller_plans, seed)


@pytest.mark.parametrize("kind", list(FaultKind))
@pytest.mark.parametrize("seed", [1, 2])
def test_invariants_hold_under_each_fault(kind: FaultKind, seed: int) -> None:
    fault = Fault(at_s=1.0, kind=kind, target=seed, lasting_s=6.0)
    plans = [
        CallerPlan(
            at_s=0.4 * number,
            entry=number % 3,
            tasks=20,
            run_time_ms=700,
            has_key=number % 4 == 0,
            is_impatient=number % 3 == 0,
        )
        for number in range(10)
    ]
    run_and_check([fault], plans, seed)

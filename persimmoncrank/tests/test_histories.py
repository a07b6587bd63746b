"""Tests that simulated runs keep every invariant under generated and fixed faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from persimmoncrank.protocol import Intent, IntentKind
from persimmoncrank.tests.base import make_job, run_virtual, start_world, wait_until_converged
from persimmoncrank.tests.faults import CallerPlan, Fault, FaultKind, inject, run_caller
from persimmoncrank.tests.invariants import check_all

if TYPE_CHECKING:
    from persimmoncrank.bench import History, World

DELAY_BEFORE_RECOVERY_S = 25.0
CONVERGENCE_TIMEOUT_S = 40.0

fault_strategy = st.builds(
    Fault,
    at_s=st.floats(0.0, 10.0).map(lambda value: round(value, 2)),
    kind=st.sampled_from(list(FaultKind)),
    target=st.integers(0, 11),
    duration_s=st.sampled_from([0.5, 1.5, 3.0, 6.0, 12.0]),
)
caller_strategy = st.builds(
    CallerPlan,
    at_s=st.floats(0.0, 12.0).map(lambda value: round(value, 2)),
    entry=st.integers(0, 2),
    tasks=st.sampled_from([1, 3, 12, 60]),
    run_time_ms=st.sampled_from([50, 200, 900, 3_000]),
    has_idempotency_key=st.booleans(),
    has_short_wait=st.booleans(),
)


async def run_faults_and_callers(
    world: World, fault_plans: list[Fault], caller_plans: list[CallerPlan]
) -> None:
    """Run callers while faults are active, then check that service recovers."""
    async with anyio.create_task_group() as group:
        for fault in fault_plans:
            group.start_soon(inject, world, fault)
        for number, plan in enumerate(caller_plans):
            group.start_soon(run_caller, world, number, plan)
    await anyio.sleep(DELAY_BEFORE_RECOVERY_S)
    await check_recovery(world)


async def check_recovery(world: World) -> None:
    """Return withdrawn domains, and check that a new job completes."""
    world.platform.faults.lost_answers = 0
    await wait_until_converged(world, CONVERGENCE_TIMEOUT_S)
    entry = min(world.entries)
    snapshot = world.entries[entry].node.config_replica.snapshot
    for domain in snapshot.withdrawn_domains:
        world.record_return(domain)
        intent = Intent(kind=IntentKind.RETURN_DOMAIN, target=domain)
        (await world.apply_intent(entry, intent)).unwrap()
    await anyio.sleep(3.0)
    spec = make_job(await world.issue_id(entry), tasks=5)
    assert (await world.submit(entry, spec)).is_complete


def run_and_check(fault_plans: list[Fault], caller_plans: list[CallerPlan], seed: int) -> History:
    """Run faults and callers in virtual time and check every invariant."""

    async def main() -> History:
        async with anyio.create_task_group() as group:
            world = await start_world(group, seed=seed)
            await run_faults_and_callers(world, fault_plans, caller_plans)
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
    fault_plans=st.lists(fault_strategy, max_size=4),
    caller_plans=st.lists(caller_strategy, min_size=1, max_size=8),
    seed=st.integers(0, 2**16),
)
def test_invariants_hold_under_generated_faults(
    fault_plans: list[Fault], caller_plans: list[CallerPlan], seed: int
) -> None:
    run_and_check(fault_plans, caller_plans, seed)


@pytest.mark.parametrize("kind", list(FaultKind))
@pytest.mark.parametrize("seed", [1, 2])
def test_invariants_hold_under_each_fault(kind: FaultKind, seed: int) -> None:
    fault = Fault(at_s=1.0, kind=kind, target=seed, duration_s=6.0)
    plans = [
        CallerPlan(
            at_s=0.4 * number,
            entry=number % 3,
            tasks=20,
            run_time_ms=700,
            has_idempotency_key=number % 4 == 0,
            has_short_wait=number % 3 == 0,
        )
        for number in range(10)
    ]
    run_and_check([fault], plans, seed)

"""Test helpers that start a simulated deployment in virtual time and build jobs for it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from persimmoncrank.bench import World, wait_until_converged
from persimmoncrank.bench._network import run_virtual
from persimmoncrank.bench._world import CUSTOMER, DOMAINS, KIND, result_of
from persimmoncrank.protocol import JobSpec, TaskSpec

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

log = logging.getLogger(__name__)

__all__ = [
    "CUSTOMER",
    "DOMAINS",
    "KIND",
    "World",
    "make_job",
    "result_of",
    "run_virtual",
    "start_world",
    "wait_until_converged",
]


def make_job(
    submission_id: str,
    *,
    tasks: int = 4,
    run_time_ms: int = 200,
    deadline_ms: int = 10_000,
    is_idempotent: bool = False,
) -> JobSpec:
    """Return a job whose tasks differ only in their index and payload."""
    return JobSpec(
        submission_id=submission_id,
        customer=CUSTOMER,
        deadline_ms=deadline_ms,
        is_idempotent=is_idempotent,
        tasks=tuple(
            TaskSpec(
                index=index,
                kind=KIND,
                payload=str(index).encode(),
                run_time_ms=run_time_ms,
                processors=1.0,
                memory_bytes=0,
            )
            for index in range(tasks)
        ),
    )


async def start_world(group: TaskGroup, seed: int, *, entries: int = 3, agents: int = 6) -> World:
    """Start entries and agents across all failure domains, and add the test customer."""
    world = World(group=group, seed=seed)
    for number in range(entries):
        world.start_entry(f"e{number}", DOMAINS[number % len(DOMAINS)])
    for number in range(agents):
        world.start_agent(f"a{number}", DOMAINS[number % len(DOMAINS)])
    await wait_until_converged(world)
    await world.add_customer("e0")
    return world

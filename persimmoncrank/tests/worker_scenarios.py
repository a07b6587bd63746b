"""Runs scenarios of entries, agents and workers in virtual time."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import anyio

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.bench._worker_world import WorkerWorld
from persimmoncrank.tests.worker_invariants import check_all

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)


def run_scenario(scenario: Callable[[WorkerWorld], Awaitable[Any]], **sizes: int) -> Any:
    """Run a scenario in a new world, then check every invariant."""

    async def main() -> Any:
        async with anyio.create_task_group() as group:
            world = WorkerWorld(group=group)
            await world.start(**sizes)
            result = await scenario(world)
            check_all(world)
            group.cancel_scope.cancel()
        return result

    return run_virtual(main)

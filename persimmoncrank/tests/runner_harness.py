"""A runner with a simulated worker, for tests in virtual time."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING, Any

import anyio

from persimmoncrank.bench._network import run_virtual
from persimmoncrank.coordination.execution import RunnerCallbacks, WorkerRunner
from persimmoncrank.protocol import CrashedRun, Demand, OrderOutcome, TaskOrder, TaskRef, WorkerPort
from persimmoncrank.standin import WorkerStandin
from persimmoncrank.state import Run

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

LEASE_S = 0.6
LEASE_LIMIT_S = 1.0


class Harness:
    """A runner with its worker, and the ends that the runner has reported."""

    def __init__(self, *, cores: int = 4, run_s: float = 0.3) -> None:
        """Create a harness; the worker and the runner are not started."""
        self.ends: list[tuple[int, OrderOutcome]] = []
        self.on_end: Callable[[], None] = lambda: None
        self.may_start = True
        self.crashed_runs: list[CrashedRun] = []
        self.worker = WorkerStandin(
            name="w",
            capacity=Demand(cpu_millis=1000 * cores, memory_mb=1000),
            rng=random.Random(1),
            run_s=lambda _task: run_s,
        )
        self.runner: WorkerRunner | None = None

    async def start(
        self, group: TaskGroup, wrap: Callable[[WorkerPort], WorkerPort] = lambda port: port
    ) -> WorkerRunner:
        """Start the worker, unless it is running, and a runner for its current incarnation."""
        if self.runner is None:
            group.start_soon(self.worker.run)
        heartbeat = self.worker.heartbeat()
        self.runner = WorkerRunner(
            worker=heartbeat,
            port=wrap(self.worker.port(heartbeat)),
            lease_s=LEASE_S,
            lease_limit_s=LEASE_LIMIT_S,
            fence=1,
            events=RunnerCallbacks(
                started=lambda _run: None,
                ended=self._record_end,
                crashed=self.crashed_runs.extend,
                changed=lambda: None,
                may_start=lambda _run: self.may_start,
                before_extension=lambda: None,
            ),
        )
        group.start_soon(self.runner.run)
        await anyio.sleep(0.05)
        return self.runner

    def _record_end(self, run: Run, outcome: OrderOutcome, _run_s: float, _cause: str) -> None:
        self.ends.append((run.order.order_id, outcome))
        self.on_end()


def make_run(
    order_id: int, *, cpu_millis: int = 1000, priority: int = 0, within_s: float = 9
) -> Run:
    """Return a queued run of the only task of a new job."""
    order = TaskOrder(
        order_id=order_id,
        worker_incarnation=1,
        ref=TaskRef(job_id=f"job{order_id}", step=0, index=0),
        payload="spec",
        demand=Demand(cpu_millis=cpu_millis),
        priority=priority,
        rank=0.0,
        nominal_s=0.3,
        start_within_s=within_s,
    )
    return Run(owner="e", order=order, queued_at_s=anyio.current_time())


def run_scenario(scenario: Callable[[TaskGroup], Awaitable[Any]]) -> Any:
    """Run a scenario in virtual time."""

    async def main() -> Any:
        async with anyio.create_task_group() as group:
            result = await scenario(group)
            group.cancel_scope.cancel()
        return result

    return run_virtual(main)


def slow_start(port: WorkerPort) -> WorkerPort:
    """Wrap a port so that each start is answered only after several lists of runs."""

    async def start(order: Any) -> Any:
        await anyio.sleep(0.06)
        return await port.start(order)

    async def renew(renewal: Any) -> Any:
        return await port.renew(dataclasses.replace(renewal, wait_ms=10))

    return dataclasses.replace(port, start=start, renew=renew)

"""Setup of the agent role; a platform adapter provides the ports to the worker."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
from result import Result

from persimmoncrank.commands._dispatch_role import (
    SHUTDOWN_MARGIN_S,
    ReadSeeds,
    boot_time_s,
    http_limits,
    lease_s,
    run_role,
)
from persimmoncrank.commands._incarnations import new_incarnation
from persimmoncrank.coordination.execution import AgentPorts, LeaseTimes, WorkerAgent
from persimmoncrank.protocol import (
    AgentHello,
    EntryFrame,
    RowChanges,
    StoreError,
    WorkerHeartbeat,
    WorkerPort,
)
from persimmoncrank.transport import HttpIntake, metrics_app, serve_http, stream_dialer

if TYPE_CHECKING:
    from persimmoncrank.settings import DispatchAgentSettings
    from persimmoncrank.transport import Metrics

log = logging.getLogger(__name__)

SEEDS_READ_INTERVAL_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerPorts:
    """The ports between an agent and its worker, and its read of the operator's table."""

    app: Callable[[WorkerAgent], Any]
    port: Callable[[WorkerHeartbeat], WorkerPort]
    read_table: Callable[[], Awaitable[Result[RowChanges, StoreError]]]


def run_dispatch_agent(
    settings: DispatchAgentSettings, worker: WorkerPorts, read_seeds: ReadSeeds
) -> None:
    """Run an agent until SIGTERM."""

    async def serve(stop: anyio.Event) -> None:
        await serve_dispatch_agent(settings, worker, read_seeds, stop)

    run_role(serve, settings)


async def serve_dispatch_agent(
    settings: DispatchAgentSettings, worker: WorkerPorts, read_seeds: ReadSeeds, stop: anyio.Event
) -> None:
    """Serve an agent until ``stop`` is set and its runs have ended."""
    lease = lease_s(settings)
    incarnation = new_incarnation(settings.name)
    agent = WorkerAgent(
        hello=AgentHello(agent=settings.name, incarnation=incarnation, domain=settings.domain),
        ports=AgentPorts(
            dial=stream_dialer(EntryFrame),
            worker_port=worker.port,
            lease_clock=boot_time_s,
            first_fence=time.time_ns() // 1_000_000,
            read_table=worker.read_table,
        ),
        times=LeaseTimes(
            entry_lease_s=lease,
            worker_lease_s=lease,
            worker_lease_limit_s=settings.worker_lease_limit_s,
            heartbeat_interval_s=settings.worker_heartbeat_s,
        ),
    )

    intake = HttpIntake(limits=http_limits(settings))

    def make_agent_metrics() -> Metrics:
        from persimmoncrank.transport import dispatch_agent_metrics

        return dispatch_agent_metrics(agent, intake)

    async def follow_seeds() -> None:
        while True:
            agent.set_seeds(read_seeds())
            await anyio.sleep(SEEDS_READ_INTERVAL_S)

    async with (
        serve_http(worker.app(agent), settings.control_address, intake=intake),
        serve_http(metrics_app(make_agent_metrics), settings.metrics_address, intake=intake),
        anyio.create_task_group() as group,
    ):
        log.info("agent: serving agent=%s lease_ms=%d", incarnation, lease * 1000)
        group.start_soon(follow_seeds)
        group.start_soon(intake.run)
        group.start_soon(_stop_agent, agent, stop)
        with anyio.move_on_after(None) as scope:
            group.start_soon(_cancel_after_grace, stop, settings.grace_s, scope)
            await agent.run()
        group.cancel_scope.cancel()
    log.info("agent: stopped agent=%s", incarnation)


async def _stop_agent(agent: WorkerAgent, stop: anyio.Event) -> None:
    await stop.wait()
    agent.stop()


async def _cancel_after_grace(stop: anyio.Event, grace_s: float, scope: anyio.CancelScope) -> None:
    await stop.wait()
    await anyio.sleep(grace_s - SHUTDOWN_MARGIN_S)
    scope.cancel()

"""Setup of the roles ``entry`` and ``agent`` with real transports."""

from __future__ import annotations

import logging
import random
import signal
import time
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.commands._incarnations import new_incarnation
from persimmoncrank.coordination import (
    AgentLimits,
    AgentNode,
    EntryNode,
    EntryPorts,
    JobLimits,
)
from persimmoncrank.protocol import AgentInfo, EntryInfo
from persimmoncrank.transport import (
    ApiLimits,
    BackendClient,
    PlatformClient,
    RpcClient,
    agent_app,
    agent_metrics,
    entry_app,
    entry_metrics,
    serve_http,
    serve_rpc,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmoncrank.settings import AgentSettings, EntrySettings

log = logging.getLogger(__name__)


def unix_ms() -> int:
    """Return the wall clock time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


async def serve_entry(settings: EntrySettings, stop: anyio.Event) -> None:
    """Serve an entry until stopped; after an expulsion, restart it as a new incarnation."""
    while await _serve_entry_incarnation(settings, stop):
        log.warning("membership: restarting as a new incarnation name=%s", settings.name)


async def _serve_entry_incarnation(settings: EntrySettings, stop: anyio.Event) -> bool:
    platform = PlatformClient(url=settings.platform_url)
    async with RpcClient() as client:
        node = _entry_node(settings, platform, client)
        limits = ApiLimits(
            max_body_bytes=settings.max_body_bytes,
            id_lifetime_ms=int(settings.id_lifetime_s * 1000),
        )
        app = entry_app(node, entry_metrics(node, client), limits)
        async with (
            serve_rpc(address=settings.rpc_address, handlers=node.handlers),
            serve_http(app, settings.http_address, max_connections=settings.max_connections),
            anyio.create_task_group() as group,
        ):
            group.start_soon(_stop_when_set, stop, node.stop)
            log.info(
                "entry: serving entry=%s http=%s", node.info.incarnation, settings.http_address
            )
            is_expelled = await node.run()
            group.cancel_scope.cancel()
    await platform.close()
    return is_expelled and not stop.is_set()


def _entry_node(settings: EntrySettings, platform: PlatformClient, client: RpcClient) -> EntryNode:
    return EntryNode(
        info=EntryInfo(
            incarnation=new_incarnation(settings.name),
            rpc_address=settings.rpc_address,
            domain=settings.domain,
        ),
        region=settings.region,
        ports=EntryPorts(
            call=client.call,
            table=platform.table(),
            objects=platform.objects(),
            unix_ms=unix_ms,
            rng=random.Random(random.SystemRandom().getrandbits(64)),
        ),
        limits=JobLimits(
            id_lifetime_s=settings.id_lifetime_s, max_answer_bytes=settings.max_answer_bytes
        ),
        record_retention_s=settings.record_retention_s,
    )


async def serve_agent(settings: AgentSettings, stop: anyio.Event) -> None:
    """Serve an agent until stopped."""
    backend = BackendClient(
        url=settings.backend_url,
        max_connections=settings.max_backend_connections,
        task_timeout_s=settings.task_timeout_s,
        max_result_bytes=settings.max_result_bytes,
    )
    async with RpcClient() as client:
        node = _agent_node(settings, backend, client)
        app = agent_app(node, agent_metrics(node, client))
        async with (
            serve_rpc(address=settings.rpc_address, handlers=node.handlers),
            serve_http(app, settings.http_address),
            anyio.create_task_group() as group,
        ):
            group.start_soon(_stop_when_set, stop, node.stop)
            log.info("agent: serving agent=%s backend=%s", node.info.incarnation, settings.backend)
            await node.run()
            group.cancel_scope.cancel()
    await backend.close()


def _agent_node(settings: AgentSettings, backend: BackendClient, client: RpcClient) -> AgentNode:
    return AgentNode(
        info=AgentInfo(
            incarnation=new_incarnation(settings.name),
            backend=settings.backend,
            rpc_address=settings.rpc_address,
            domain=settings.domain,
            kinds=settings.kinds,
            slots=settings.slots,
            processors=settings.processors,
            memory_bytes=settings.memory_bytes,
        ),
        seeds=settings.seeds,
        call=client.call,
        call_backend=backend.run_task,
        limits=AgentLimits(
            max_queued=settings.max_queued,
            record_retention_s=settings.record_retention_s,
            max_result_bytes=settings.max_result_bytes,
            max_records=settings.max_records,
        ),
    )


async def _stop_when_set(stop: anyio.Event, request_stop: Callable[[], None]) -> None:
    await stop.wait()
    request_stop()


def run_until_signal(serve: Callable[[anyio.Event], Awaitable[None]]) -> None:
    """Run a role until SIGTERM or SIGINT requests a graceful stop."""

    async def main() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(_set_on_signal, stop)
            await serve(stop)
            group.cancel_scope.cancel()

    anyio.run(main)


async def _set_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            log.info("process: stopping gracefully signal=%s", signal.Signals(signum).name)
            stop.set()
            return

"""Setup of the two roles that dispatch to workers; a platform adapter provides the ports."""

from __future__ import annotations

import logging
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

from persimmoncrank.commands._incarnations import new_incarnation
from persimmoncrank.commands._log_output import BufferedLogHandler
from persimmoncrank.commands._logs import set_up_logs
from persimmoncrank.coordination.configuration import TableFollower
from persimmoncrank.coordination.dispatch import (
    Dispatcher,
    DispatchTimes,
    Routing,
    follow_directory,
    load_crashes,
    register_entry,
    store_crashes,
)
from persimmoncrank.coordination.execution import AgentPorts, LeaseTimes, WorkerAgent
from persimmoncrank.protocol import (
    AgentFrame,
    AgentHello,
    EntryAddress,
    EntryFrame,
    QueueTable,
    TableFeed,
    TableService,
    WorkerCrash,
    WorkerHeartbeat,
    WorkerPort,
)
from persimmoncrank.state import TableReplica
from persimmoncrank.transport import metrics_app, serve_http, serve_streams, stream_dialer

if TYPE_CHECKING:
    from persimmoncrank.settings import DispatchAgentSettings, DispatchEntrySettings
    from persimmoncrank.transport import Metrics

log = logging.getLogger(__name__)

LEASE_FRACTION = 0.45  # of resend_s; two consecutive leases end before a caller resends its job
MAX_LEASE_S = 0.6
BALANCER_NOTICE_S = 2.2  # the load balancer notices after two failed checks, one per second
SHUTDOWN_MARGIN_S = 0.8  # closing the servers and streams takes up to 0.5 s
CALLERS_MARGIN_S = 1.5  # in this last part of the grace period, only running jobs are awaited
DRAIN_POLL_INTERVAL_S = 0.05
SEEDS_READ_INTERVAL_S = 1.0
MAX_UNSTORED_CRASHES = 256
STDOUT_FD = 1

App = Callable[..., Awaitable[None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class StorePorts:
    """The ports to the platform's store, and the decoder of the operator's table."""

    table: TableService
    feed: TableFeed
    operator_table: str
    decode_operator_rows: Callable[[Mapping[str, bytes]], tuple[QueueTable | None, tuple[str, ...]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryApps:
    """The HTTP applications of an entry."""

    front: Callable[[Dispatcher], Any]
    ready: Callable[[Dispatcher], Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerPorts:
    """The ports between an agent and its worker."""

    app: Callable[[WorkerAgent], Any]
    port: Callable[[WorkerHeartbeat], WorkerPort]


ReadSeeds = Callable[[], tuple[str, ...]]


def _lease_s(resend_s: float, worker_lease_limit_s: float) -> float:
    return min(MAX_LEASE_S, LEASE_FRACTION * resend_s, worker_lease_limit_s)


def _boot_time_s() -> float:
    """Return the time since boot, including time during which the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_dispatch_entry(settings: DispatchEntrySettings, store: StorePorts, apps: EntryApps) -> None:
    """Run an entry until SIGTERM."""

    async def serve(stop: anyio.Event) -> None:
        await serve_dispatch_entry(settings, store, apps, stop)

    _run_role(serve, settings)


async def serve_dispatch_entry(
    settings: DispatchEntrySettings,
    store: StorePorts,
    apps: EntryApps,
    stop: anyio.Event,
) -> None:
    """Serve an entry until ``stop`` is set and its jobs have ended."""
    lease_s = _lease_s(settings.resend_s, settings.worker_lease_limit_s)
    entry = EntryAddress(
        incarnation=new_incarnation(settings.name), address=settings.stream_address
    )
    send_crash, unstored_crashes = anyio.create_memory_object_stream[WorkerCrash](
        MAX_UNSTORED_CRASHES
    )

    def queue_crash(crash: WorkerCrash) -> None:
        try:
            send_crash.send_nowait(crash)
        except anyio.WouldBlock:
            log.warning("entry: crash not stored, too many wait worker=%s", crash.worker)

    replica = TableReplica()

    def config_age_s() -> float:
        return replica.age_s(now_s=anyio.current_time())

    dispatcher = Dispatcher(
        entry=entry,
        routing=Routing(age_s=config_age_s),
        times=DispatchTimes(entry_lease_s=lease_s, worker_lease_s=lease_s),
        remote_data_factor=settings.remote_data_factor,
        on_new_crash=queue_crash,
    )
    replica.on_change = _config_setter(dispatcher, store)
    follower = TableFollower(table=store.operator_table, feed=store.feed, replica=replica)

    def set_entries(entries: tuple[EntryAddress, ...]) -> None:
        dispatcher.streams.set_entries((*entries, entry))

    async def register() -> None:
        await register_entry(table=store.table, name=settings.name, entry=entry)

    async def follow_entries() -> None:
        await follow_directory(table=store.table, on_entries=set_entries)

    crashes_read = anyio.Event()

    async def read_crashes() -> None:
        await load_crashes(
            table=store.table,
            record=dispatcher.record_crash,
            unix_time=time.time,
            on_ready=crashes_read.set,
        )

    async def follow_config() -> None:
        # No job is admitted before there is a configuration.
        await crashes_read.wait()
        await follower.run()

    async def store_new_crashes() -> None:
        await store_crashes(table=store.table, crashes=unstored_crashes, unix_time=time.time)

    def make_entry_metrics() -> Metrics:
        from persimmoncrank.transport import dispatch_entry_metrics

        return dispatch_entry_metrics(dispatcher)

    set_entries(())
    async with (
        serve_streams(
            address=settings.stream_address,
            message_type=AgentFrame,
            serve=dispatcher.streams.serve,
        ),
        serve_http(apps.front(dispatcher), settings.front_address) as front,
        serve_http(apps.ready(dispatcher), settings.ready_address),
        serve_http(metrics_app(make_entry_metrics), settings.metrics_address),
        anyio.create_task_group() as group,
    ):
        log.info("entry: serving entry=%s lease_ms=%d", entry.incarnation, lease_s * 1000)
        for task in (
            dispatcher.run,
            read_crashes,
            follow_config,
            store_new_crashes,
            register,
            follow_entries,
        ):
            group.start_soon(task)
        await stop.wait()
        await _drain(dispatcher, settings.grace_s, front.count_connections)
        group.cancel_scope.cancel()
    log.info("entry: stopped entry=%s", entry.incarnation)


def _config_setter(
    dispatcher: Dispatcher, store: StorePorts
) -> Callable[[Mapping[str, bytes], int], None]:
    def set_config(rows: Mapping[str, bytes], version: int) -> None:
        queues, withdrawn = store.decode_operator_rows(rows)
        if queues is not None:
            dispatcher.set_config(queues, withdrawn, version)

    return set_config


async def _drain(dispatcher: Dispatcher, grace_s: float, count_callers: Callable[[], int]) -> None:
    """Wait until the load balancer stops routing here, then for connected callers and jobs.

    Each answer closes its connection, so that its caller reconnects to another entry.
    """
    started_at_s = anyio.current_time()
    log.info(
        "entry: shutting down entry=%s jobs=%d callers=%d",
        dispatcher.entry.incarnation,
        len(dispatcher.jobs),
        count_callers(),
    )
    callers_until_s = started_at_s + grace_s - CALLERS_MARGIN_S
    dispatcher.leave(until_s=callers_until_s)
    await anyio.sleep(min(BALANCER_NOTICE_S, grace_s / 2))
    while count_callers() and anyio.current_time() < callers_until_s:
        await anyio.sleep(DRAIN_POLL_INTERVAL_S)
    while dispatcher.jobs and anyio.current_time() < started_at_s + grace_s - SHUTDOWN_MARGIN_S:
        await anyio.sleep(DRAIN_POLL_INTERVAL_S)
    dispatcher.abort_jobs("the entry shut down before the job ended")


def run_dispatch_agent(
    settings: DispatchAgentSettings, worker: WorkerPorts, read_seeds: ReadSeeds
) -> None:
    """Run an agent until SIGTERM."""

    async def serve(stop: anyio.Event) -> None:
        await serve_dispatch_agent(settings, worker, read_seeds, stop)

    _run_role(serve, settings)


async def serve_dispatch_agent(
    settings: DispatchAgentSettings, worker: WorkerPorts, read_seeds: ReadSeeds, stop: anyio.Event
) -> None:
    """Serve an agent until ``stop`` is set and its runs have ended."""
    lease_s = _lease_s(settings.resend_s, settings.worker_lease_limit_s)
    incarnation = new_incarnation(settings.name)
    agent = WorkerAgent(
        hello=AgentHello(agent=settings.name, incarnation=incarnation, domain=settings.domain),
        ports=AgentPorts(
            dial=stream_dialer(EntryFrame),
            worker_port=worker.port,
            lease_clock=_boot_time_s,
            first_fence=time.time_ns() // 1_000_000,
        ),
        times=LeaseTimes(
            entry_lease_s=lease_s,
            worker_lease_s=lease_s,
            heartbeat_interval_s=settings.worker_heartbeat_s,
        ),
    )

    def make_agent_metrics() -> Metrics:
        from persimmoncrank.transport import dispatch_agent_metrics

        return dispatch_agent_metrics(agent)

    async def follow_seeds() -> None:
        while True:
            agent.set_seeds(read_seeds())
            await anyio.sleep(SEEDS_READ_INTERVAL_S)

    async with (
        serve_http(worker.app(agent), settings.control_address),
        serve_http(metrics_app(make_agent_metrics), settings.metrics_address),
        anyio.create_task_group() as group,
    ):
        log.info("agent: serving agent=%s lease_ms=%d", incarnation, lease_s * 1000)
        group.start_soon(follow_seeds)
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


def _run_role(
    serve: Callable[[anyio.Event], Awaitable[None]],
    settings: DispatchEntrySettings | DispatchAgentSettings,
) -> None:
    handler = BufferedLogHandler(descriptor=STDOUT_FD)
    set_up_logs(settings.log_format, settings.log_level, handler=handler)

    async def main() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(handler.run)
            group.start_soon(_watch_signals, stop)
            await serve(stop)
            group.cancel_scope.cancel()
        handler.flush()

    try:
        anyio.run(main, backend_options={"use_uvloop": True})
    finally:
        handler.flush()
        sys.stdout.flush()
    # Exits without waiting for gRPC threads, which may hold connections to peers that do not
    # answer.
    os._exit(0)


async def _watch_signals(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for signum in signals:
            log.info("process: signal received signal=%s", signal.Signals(signum).name)
            if signum != signal.SIGHUP:
                stop.set()

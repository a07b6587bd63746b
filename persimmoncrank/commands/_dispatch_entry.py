"""Setup of the entry role; a platform adapter provides the ports to the store and the callers."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

from persimmoncrank.commands._dispatch_role import (
    SHUTDOWN_MARGIN_S,
    ReadSeeds,
    boot_time_s,
    http_limits,
    lease_s,
    run_role,
)
from persimmoncrank.commands._entry_cancellation import EntryCancellation
from persimmoncrank.commands._incarnations import new_incarnation
from persimmoncrank.coordination.configuration import (
    AgentCopies,
    PeerPorts,
    TableFollower,
    follow_peers,
    serve_copy,
)
from persimmoncrank.coordination.dispatch import (
    Dispatcher,
    DispatchTimes,
    EntryDirectory,
    Routing,
    follow_directory,
    load_crashes,
    store_crashes,
)
from persimmoncrank.protocol import (
    AgentFrame,
    CopyReply,
    CopyRequest,
    EntryAddress,
    MessageStream,
    QueueTable,
    TableFeed,
    TableService,
    WorkerCrash,
)
from persimmoncrank.state import TableReplica
from persimmoncrank.transport import (
    HttpIntake,
    metrics_app,
    serve_http,
    serve_streams,
    stream_dialer,
)

if TYPE_CHECKING:
    from persimmoncrank.settings import DispatchEntrySettings
    from persimmoncrank.transport import Metrics

log = logging.getLogger(__name__)

BALANCER_NOTICE_S = 2.2  # the load balancer notices after two failed checks, one per second
CALLERS_MARGIN_S = 1.5  # in this last part of the grace period, only running jobs are awaited
DRAIN_POLL_INTERVAL_S = 0.05
MAX_UNSTORED_CRASHES = 256


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


def run_dispatch_entry(
    settings: DispatchEntrySettings, store: StorePorts, apps: EntryApps, read_seeds: ReadSeeds
) -> None:
    """Run an entry until SIGTERM; ``read_seeds`` returns where seeds serve copies."""

    async def serve(stop: anyio.Event) -> None:
        await serve_dispatch_entry(settings, store, apps, read_seeds, stop)

    run_role(serve, settings)


async def serve_dispatch_entry(
    settings: DispatchEntrySettings,
    store: StorePorts,
    apps: EntryApps,
    read_seeds: ReadSeeds,
    stop: anyio.Event,
) -> None:
    """Serve an entry until ``stop`` is set and its jobs have ended."""
    lease = lease_s(settings)
    entry = EntryAddress(
        incarnation=new_incarnation(settings.name),
        address=settings.stream_address,
        peer_address=settings.control_address,
    )
    crashes = _CrashQueue()
    replica = TableReplica()

    def config_age_s() -> float:
        return replica.age_s(now_s=anyio.current_time())

    dispatcher = Dispatcher(
        entry=entry,
        routing=Routing(age_s=config_age_s),
        times=DispatchTimes(entry_lease_s=lease, worker_lease_s=lease),
        remote_data_factor=settings.remote_data_factor,
        on_new_crash=crashes.put,
        pause_clock=boot_time_s,
        max_held_tasks=settings.max_held_tasks,
    )
    replica.on_change = _config_setter(dispatcher, store)
    follower = TableFollower(table=store.operator_table, feed=store.feed, replica=replica)
    agent_copies = AgentCopies(
        replica=replica,
        is_following_store=lambda: follower.is_following,
        ask=dispatcher.streams.request_copies,
    )
    dispatcher.streams.on_copy = agent_copies.apply
    directory = EntryDirectory(own=entry, on_change=dispatcher.streams.set_entries)
    peers = PeerPorts(
        dial=stream_dialer(CopyReply),
        addresses=lambda: directory.peer_addresses(read_seeds()),
        entries=directory.entries,
        on_reply=directory.set_named,
        on_request=directory.add_requester,
        on_cancelled=dispatcher.cancel_all,
        cancelled=dispatcher.known_cancels,
    )

    cancellation = EntryCancellation(
        table=store.table,
        dispatcher=dispatcher,
        directory=directory,
        replica=replica,
        peers=peers,
    )

    async def serve_peer(stream: MessageStream) -> None:
        await serve_copy(stream, replica=replica, ports=peers)

    intake = HttpIntake(limits=http_limits(settings))

    def make_entry_metrics() -> Metrics:
        from persimmoncrank.transport import dispatch_entry_metrics

        return dispatch_entry_metrics(dispatcher, intake)

    async def register() -> None:
        await cancellation.register(settings.name, read_seeds)

    async def follow_entries() -> None:
        await follow_directory(table=store.table, on_entries=directory.set_stored)

    async def follow_other_entries() -> None:
        await follow_peers(
            entry=entry,
            replica=replica,
            is_following_store=lambda: follower.is_following,
            ports=peers,
            rng=random.Random(entry.incarnation),
        )

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
        await store_crashes(table=store.table, crashes=crashes.receive, unix_time=time.time)

    directory.set_stored(())
    async with (
        serve_streams(
            address=settings.stream_address,
            message_type=AgentFrame,
            serve=dispatcher.streams.serve,
        ),
        serve_streams(address=settings.control_address, message_type=CopyRequest, serve=serve_peer),
        serve_http(apps.front(dispatcher), settings.front_address, intake=intake) as front,
        serve_http(apps.ready(dispatcher), settings.ready_address, intake=intake),
        serve_http(metrics_app(make_entry_metrics), settings.metrics_address, intake=intake),
        anyio.create_task_group() as group,
    ):
        log.info("entry: serving entry=%s lease_ms=%d", entry.incarnation, lease * 1000)
        for task in (
            intake.run,
            dispatcher.run,
            cancellation.cancellations.run,
            read_crashes,
            follow_config,
            follow_other_entries,
            agent_copies.run,
            store_new_crashes,
            register,
            follow_entries,
        ):
            group.start_soon(task)
        await stop.wait()
        await _drain(dispatcher, settings.grace_s, front.count_connections)
        group.cancel_scope.cancel()
    log.info("entry: stopped entry=%s", entry.incarnation)


class _CrashQueue:
    """Crashes that wait until they are written to the store; further ones are not stored."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._send, self.receive = anyio.create_memory_object_stream[WorkerCrash](
            MAX_UNSTORED_CRASHES
        )

    def put(self, crash: WorkerCrash) -> None:
        """Add a crash."""
        try:
            self._send.send_nowait(crash)
        except anyio.WouldBlock:
            log.warning("entry: crash not stored, too many wait worker=%s", crash.worker)


def _config_setter(
    dispatcher: Dispatcher, store: StorePorts
) -> Callable[[Mapping[str, bytes], int], None]:
    def set_config(rows: Mapping[str, bytes], version: int) -> None:
        queues, withdrawn = store.decode_operator_rows(rows)
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

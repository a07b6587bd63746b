"""An entry, assembled from its components; the transport and the stores are passed in."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.coordination.configuration import ConfigReplica, ConfigWriter
from persimmoncrank.coordination.jobs import Claims, JobLimits, JobPorts, JobTable, Submissions
from persimmoncrank.coordination.membership import EntryMembership, Registration
from persimmoncrank.coordination.nodes._status import build_status_report
from persimmoncrank.coordination.placement import PlacementPolicyFactory, shortest_completion
from persimmoncrank.coordination.plans import GarbageCollector, Plans
from persimmoncrank.coordination.recovery import HandedOverRecords, Recovery
from persimmoncrank.protocol import (
    Call,
    CloseSubmissions,
    EntryInfo,
    ForwardJob,
    ForwardLookup,
    Handler,
    HandOver,
    Heartbeat,
    ObjectStore,
    StatusReport,
    SyncRequest,
    TableService,
    VersionsRequest,
)
from persimmoncrank.state import AgentViews, EntryCounters, RetryBudget, ServiceTimes

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

log = logging.getLogger(__name__)

RECORD_EXPIRY_INTERVAL_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryPorts:
    """The external dependencies of an entry; ``unix_ms`` returns the wall-clock time."""

    call: Call
    table: TableService
    objects: ObjectStore
    unix_ms: Callable[[], int]
    rng: random.Random


class EntryNode:
    """One incarnation of an entry."""

    def __init__(
        self,
        *,
        info: EntryInfo,
        region: str,
        ports: EntryPorts,
        limits: JobLimits,
        record_retention_s: float,
        make_placement_policy: PlacementPolicyFactory = shortest_completion,
    ) -> None:
        """Create the entry's components; ``run`` starts them."""
        self.info = info
        self._ports = ports
        self.views = AgentViews(self_incarnation=info.incarnation)
        self.config_replica = ConfigReplica(
            incarnation=info.incarnation, region=region, table=ports.table
        )
        writer = ConfigWriter(
            region=region,
            table=ports.table,
            config_replica=self.config_replica,
            unix_ms=ports.unix_ms,
        )
        self.membership = EntryMembership(
            config_replica=self.config_replica, views=self.views, table=ports.table, call=ports.call
        )
        times = ServiceTimes()
        self.counters = EntryCounters()
        job_ports = JobPorts(
            config_replica=self.config_replica,
            views=self.views,
            times=times,
            placement_policy=make_placement_policy(self.views, times),
            call=ports.call,
            counters=self.counters,
            retries=RetryBudget(),
        )
        self.jobs = JobTable(
            ports=job_ports, objects=ports.objects, limits=limits, unix_ms=ports.unix_ms
        )
        self.submissions = Submissions(
            config_replica=self.config_replica,
            jobs=self.jobs,
            claims=Claims(table=ports.table, unix_ms=ports.unix_ms),
            recovery=Recovery(
                config_replica=self.config_replica, table=ports.table, call=ports.call
            ),
            call=ports.call,
        )
        self.plans = Plans(
            config_replica=self.config_replica,
            membership=self.membership,
            writer=writer,
            views=self.views,
            table=ports.table,
            new_plan_id=lambda: f"plan-{ports.rng.getrandbits(40):010x}",
            unix_ms=ports.unix_ms,
        )
        self._registration = Registration(
            info=info,
            config_replica=self.config_replica,
            writer=writer,
            membership=self.membership,
            rng=ports.rng,
        )
        self._handed_over_records = HandedOverRecords(
            incarnation=info.incarnation,
            table=ports.table,
            retention_s=record_retention_s,
            max_result_bytes=limits.max_answer_bytes,
        )
        self._garbage_collector = GarbageCollector(
            table=ports.table,
            views=self.views,
            retention_s=record_retention_s + limits.id_lifetime_s,
            unix_ms=ports.unix_ms,
        )
        self._is_registered = False
        self._is_stopping = False
        self._stop = anyio.Event()

    @property
    def handlers(self) -> tuple[Handler, ...]:
        """The handlers of the requests that this entry serves."""
        return (
            Handler(request_type=Heartbeat, handle=self.membership.handle_heartbeat),
            Handler(request_type=SyncRequest, handle=self.membership.handle_sync),
            Handler(request_type=VersionsRequest, handle=self.membership.handle_versions),
            Handler(request_type=ForwardJob, handle=self.submissions.handle_forwarded_job),
            Handler(request_type=ForwardLookup, handle=self.submissions.handle_forwarded_lookup),
            Handler(request_type=HandOver, handle=self._handed_over_records.receive),
            Handler(request_type=CloseSubmissions, handle=self._handed_over_records.close),
        )

    def is_ready(self) -> bool:
        """Return whether the load balancer should route requests to this entry."""
        return self._is_registered and not self._is_stopping and self.config_replica.is_current()

    async def run(self) -> bool:
        """Run until stopped or expelled; return whether this entry was expelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.config_replica.run)
            group.start_soon(self.membership.run)
            group.start_soon(self.jobs.run)
            group.start_soon(self._expire_handed_over_records)
            await self._register_or_stop()
            if self._is_registered:
                self._start_background_tasks(group)
                await self._wait_until_stopped_or_expelled()
            is_expelled = not self._is_stopping
            if not is_expelled:
                await self._drain_and_deregister()
            group.cancel_scope.cancel()
        return is_expelled

    def _start_background_tasks(self, group: TaskGroup) -> None:
        group.start_soon(self._registration.expel_unresponsive_peers)
        group.start_soon(lambda: self._garbage_collector.run(may_delete=self.is_ready))

    async def _register_or_stop(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_on_stop, group.cancel_scope)
            await self._registration.register()
            self._is_registered = True
            group.cancel_scope.cancel()

    async def _wait_until_stopped_or_expelled(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_on_stop, group.cancel_scope)
            await self._registration.wait_until_expelled()
            log.warning("membership: this entry was expelled entry=%s", self.info.incarnation)
            group.cancel_scope.cancel()

    async def _cancel_on_stop(self, scope: anyio.CancelScope) -> None:
        await self._stop.wait()
        scope.cancel()

    def stop(self) -> None:
        """Request a graceful stop."""
        self._is_stopping = True
        self._stop.set()

    async def _drain_and_deregister(self) -> None:
        """Finish the running jobs, hand the held records over to the peers, and deregister."""
        log.info("jobs: stopping, finishing running jobs count=%d", self.jobs.running_count)
        await self.jobs.close()
        peers = [
            entry.rpc_address
            for entry in self.config_replica.snapshot.entries
            if entry.incarnation != self.info.incarnation
        ]
        await self._handed_over_records.hand_over_all(peers, self._ports.call)
        await self._registration.deregister()

    async def _expire_handed_over_records(self) -> None:
        while True:
            await anyio.sleep(RECORD_EXPIRY_INTERVAL_S)
            self._handed_over_records.expire()

    async def status(self) -> StatusReport:
        """Return the status of the system as seen by this entry and its peers."""
        return build_status_report(
            config_replica=self.config_replica,
            views=self.views,
            running_jobs=self.jobs.running_count,
            versions=await self.membership.collect_versions(),
        )

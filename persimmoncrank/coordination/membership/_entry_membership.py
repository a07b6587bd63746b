"""Membership on the entry side: heartbeats from agents, and syncs with the other entries."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok

from persimmoncrank.protocol import (
    AgentInfo,
    AgentRow,
    AgentStatus,
    AgentVersion,
    Call,
    EntryInfo,
    Heartbeat,
    HeartbeatReply,
    StoreErrorKind,
    SyncReply,
    SyncRequest,
    TableService,
    Transaction,
    VersionsReply,
    VersionsRequest,
    Write,
    agent_config,
    encode_message,
)

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from persimmoncrank.coordination.configuration import ConfigReplica
    from persimmoncrank.state import AgentView, AgentViews

log = logging.getLogger(__name__)

SYNC_INTERVAL_S = 1.0
SYNC_INTERVAL_WITHOUT_STORE_S = 0.5
PEERS_CHECK_INTERVAL_S = 0.5
ACCEPTANCE_SYNC_INTERVAL_S = 0.15
SYNC_TIMEOUT_S = 1.0
AGENT_CHECK_INTERVAL_S = 0.5
SUSPECT_AFTER_S = 2.5
GONE_AFTER_S = 10.0
REMOVE_AFTER_S = 60.0
AGENT_ROWS_PREFIX = "agents/"


def agent_row_key(incarnation: str) -> str:
    """Return the key of the row that registers an agent."""
    return f"{AGENT_ROWS_PREFIX}{incarnation}"


class EntryMembership:
    """Tracks the agents and peers of one entry and detects their failures."""

    def __init__(
        self, *, config_replica: ConfigReplica, views: AgentViews, table: TableService, call: Call
    ) -> None:
        """Create a membership without agents and peers."""
        self._config_replica = config_replica
        self._views = views
        self._table = table
        self._call = call
        self._registered: set[str] = set()
        self._registering: set[str] = set()
        self._peer_positions: dict[str, int] = {}
        self._peer_replied_at_s: dict[str, float] = {}
        self._group: TaskGroup | None = None

    def unresponsive_for_s(self, incarnation: str) -> float:
        """Return the time since a peer's last reply; 0 for a peer that was not contacted yet."""
        now_s = anyio.current_time()
        return now_s - self._peer_replied_at_s.get(incarnation, now_s)

    async def run(self) -> None:
        """Sync with the peers and monitor the agents until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._watch_agents)
            try:
                await self._run_sync_loops()
            finally:
                self._group = None

    async def handle_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        """Answer an agent's heartbeat; start its registration if it has none."""
        now_s = anyio.current_time()
        view = self._views.get(message.incarnation)
        info = message.info or (view.info if view is not None else None)
        if message.is_registered:
            self._registered.add(message.incarnation)
        is_registered = message.incarnation in self._registered
        if info is not None and is_registered:
            self._record_heartbeat(info, message, now_s)
        elif info is not None:
            self._start_registration(info)
        held = self._config_replica.snapshot
        is_older = message.version < held.version
        return HeartbeatReply(
            entry=self._config_replica.incarnation,
            is_known=info is not None,
            is_registered=is_registered,
            version=held.version,
            age_ms=self._config_replica.age_ms(),
            config=agent_config(held) if is_older else None,
        )

    def _record_heartbeat(self, info: AgentInfo, message: Heartbeat, now_s: float) -> None:
        is_changed = self._views.record_heartbeat(
            info, message.status, now_s=now_s, version=message.version
        )
        if is_changed:
            log.info(
                "membership: agent is %s agent=%s domain=%s",
                message.status,
                info.incarnation,
                info.domain,
            )
        view = self._views.get(info.incarnation)
        if view is not None:
            view.update_load(message.load)

    def _start_registration(self, info: AgentInfo) -> None:
        if info.incarnation in self._registering or self._group is None:
            return
        self._registering.add(info.incarnation)
        self._group.start_soon(self._register, info)

    async def _register(self, info: AgentInfo) -> None:
        """Write an agent's row once; the agent starts no tasks before that."""
        row = encode_message(AgentRow(info=info))
        write = Write(key=agent_row_key(info.incarnation), value=row, expected_version=0)
        written = await self._table.transact(Transaction(writes=(write,)))
        self._registering.discard(info.incarnation)
        match written:
            case Err(error) if error.kind != StoreErrorKind.CONFLICT:
                log.warning(
                    "membership: agent registration failed, retrying later agent=%s cause=%s",
                    info.incarnation,
                    error.message,
                )
            case _:
                self._registered.add(info.incarnation)
                log.info("membership: agent registered agent=%s", info.incarnation)

    async def _watch_agents(self) -> None:
        """Detect agents whose heartbeats stopped.

        If this process was paused, heartbeats may have been missed meanwhile; checks then resume
        after ``SUSPECT_AFTER_S``.
        """
        checked_at_s = anyio.current_time()
        not_before_s = checked_at_s
        while True:
            await anyio.sleep(AGENT_CHECK_INTERVAL_S)
            now_s = anyio.current_time()
            if now_s - checked_at_s > 2 * AGENT_CHECK_INTERVAL_S:
                not_before_s = now_s + SUSPECT_AFTER_S
            checked_at_s = now_s
            if now_s >= not_before_s:
                self._update_agent_statuses(now_s)

    def _update_agent_statuses(self, now_s: float) -> None:
        for view in self._views.all():
            if self._config_replica.incarnation in view.reports:
                self._update_agent_status(view, now_s)
            is_expired = now_s - view.last_heartbeat_at_s > REMOVE_AFTER_S
            if is_expired and view.status == AgentStatus.GONE:
                self._views.remove(view.info.incarnation)
                self._registered.discard(view.info.incarnation)

    def _update_agent_status(self, view: AgentView, now_s: float) -> None:
        since_heartbeat_s = now_s - view.last_heartbeat_at_s
        if since_heartbeat_s > GONE_AFTER_S:
            status = AgentStatus.GONE
        elif since_heartbeat_s > SUSPECT_AFTER_S:
            status = AgentStatus.SUSPECT
        else:
            return
        if self._views.report(view, status):
            log.warning(
                "membership: agent is %s agent=%s silent_s=%.1f",
                status,
                view.info.incarnation,
                since_heartbeat_s,
            )

    async def _run_sync_loops(self) -> None:
        """Run one sync loop for each registered peer."""
        running: dict[str, anyio.CancelScope] = {}
        async with anyio.create_task_group() as group:
            while True:
                peers = {e.incarnation: e for e in self._config_replica.snapshot.entries}
                peers.pop(self._config_replica.incarnation, None)
                for incarnation in sorted(running.keys() - peers.keys()):
                    running.pop(incarnation).cancel()
                    self._remove_peer(incarnation)
                for incarnation in sorted(peers.keys() - running.keys()):
                    running[incarnation] = anyio.CancelScope()
                    group.start_soon(self._sync_loop, peers[incarnation], running[incarnation])
                await anyio.sleep(PEERS_CHECK_INTERVAL_S)

    def _remove_peer(self, incarnation: str) -> None:
        self._views.drop_reports(incarnation)
        self._peer_positions.pop(incarnation, None)
        self._peer_replied_at_s.pop(incarnation, None)
        log.info("membership: peer no longer registered entry=%s", incarnation)

    async def _sync_loop(self, peer: EntryInfo, scope: anyio.CancelScope) -> None:
        self._peer_replied_at_s[peer.incarnation] = anyio.current_time()
        with scope:
            while True:
                await self._sync_once(peer)
                await anyio.sleep(self._sync_interval_s())

    def _sync_interval_s(self) -> float:
        """Return the interval between syncs.

        It is shorter while the store is not reachable, since syncs are then the only proof that the
        configuration is current.
        """
        if self._config_replica.is_store_reachable:
            return SYNC_INTERVAL_S
        return SYNC_INTERVAL_WITHOUT_STORE_S

    async def sync_with_all(self) -> None:
        """Sync once with every registered peer, which also sends them the accepted version."""
        async with anyio.create_task_group() as group:
            for entry in self._config_replica.snapshot.entries:
                if entry.incarnation != self._config_replica.incarnation:
                    group.start_soon(self._sync_once, entry)

    async def gather_acceptance(self, version: int, timeout_s: float) -> bool:
        """Sync with all peers until a version is accepted; return False on timeout."""
        with anyio.move_on_after(timeout_s):
            while self._config_replica.accepted_version < version:
                await self.sync_with_all()
                await self._config_replica.wait_for_acceptance(version, ACCEPTANCE_SYNC_INTERVAL_S)
            return True
        return False

    async def _sync_once(self, peer: EntryInfo) -> None:
        asked_at_s = anyio.current_time()
        request = SyncRequest(
            entry=self._config_replica.incarnation,
            version=self._config_replica.snapshot.version,
            accepted_version=self._config_replica.accepted_version,
            since=self._peer_positions.get(peer.incarnation, 0),
        )
        answer = await self._call(peer.rpc_address, request, SyncReply, SYNC_TIMEOUT_S)
        match answer:
            case Ok(reply) if reply.entry == peer.incarnation:
                self._handle_sync_reply(reply, asked_at_s)
            case Ok(reply):
                log.warning(
                    "membership: sync answered by another incarnation entry=%s answered=%s",
                    peer.incarnation,
                    reply.entry,
                )
            case Err(error):
                log.debug(
                    "membership: sync failed entry=%s cause=%s",
                    peer.incarnation,
                    error.message,
                )

    def _handle_sync_reply(self, reply: SyncReply, asked_at_s: float) -> None:
        self._peer_replied_at_s[reply.entry] = anyio.current_time()
        self._config_replica.apply_sync_reply(reply, asked_at_s=asked_at_s)
        self._views.apply_reports(reply.entry, reply.agents, is_full=reply.is_full)
        is_same = self._views.digest(reply.entry) == reply.agents_digest
        self._peer_positions[reply.entry] = reply.position if is_same else 0

    async def handle_versions(self, _message: VersionsRequest) -> VersionsReply:
        """Return the configuration versions of the agents that send heartbeats to this entry."""
        now_s = anyio.current_time()
        agents = tuple(
            AgentVersion(
                agent=view.info.incarnation,
                version=view.version,
                heard_ms=int((now_s - view.last_heartbeat_at_s) * 1000),
            )
            for view in self._views.all()
            if self._config_replica.incarnation in view.reports
        )
        return VersionsReply(entry=self._config_replica.incarnation, agents=agents)

    async def collect_versions(self) -> dict[str, AgentVersion]:
        """Collect the agents' versions from all entries; keep the most recent one per agent."""
        found: dict[str, AgentVersion] = {}

        def merge_versions(reply: VersionsReply) -> None:
            for agent in reply.agents:
                known = found.get(agent.agent)
                if known is None or agent.heard_ms < known.heard_ms:
                    found[agent.agent] = agent

        async def request_versions(peer: EntryInfo) -> None:
            request = VersionsRequest(entry=self._config_replica.incarnation)
            reply = await self._call(peer.rpc_address, request, VersionsReply, SYNC_TIMEOUT_S)
            reply.map(merge_versions)

        merge_versions(
            await self.handle_versions(VersionsRequest(entry=self._config_replica.incarnation))
        )
        async with anyio.create_task_group() as group:
            for entry in self._config_replica.snapshot.entries:
                if entry.incarnation != self._config_replica.incarnation:
                    group.start_soon(request_versions, entry)
        return found

    async def handle_sync(self, message: SyncRequest) -> SyncReply:
        """Answer a peer's sync request with the changes since the position it names."""
        self._config_replica.apply_acceptance(message.accepted_version)
        held = self._config_replica.snapshot
        if message.version > held.version:
            self._config_replica.request_poll()
        since = message.since if message.since <= self._views.position else 0
        return SyncReply(
            entry=self._config_replica.incarnation,
            version=held.version,
            accepted_version=self._config_replica.accepted_version,
            age_ms=self._config_replica.age_ms(),
            position=self._views.position,
            is_full=since == 0,
            agents=self._views.changed_since(since),
            agents_digest=self._views.digest(self._config_replica.incarnation),
            snapshot=held if message.version < held.version else None,
        )

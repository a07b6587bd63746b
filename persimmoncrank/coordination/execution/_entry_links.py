"""The agent's streams to all entries, and the leases that are renewed over them.

A lease is renewed five times a second only for the few entries that the agent is assigned to, and
for those whose orders it holds. To any other entry the agent sends a frame once in a while, and the
interval grows with the number of entries. So the traffic of an agent depends on its orders, not on
the number of entries.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from typing import TYPE_CHECKING

import anyio
import msgspec

from persimmoncrank.coordination.execution._entry_session import EntrySession
from persimmoncrank.protocol import (
    AgentFrame,
    AgentHello,
    EntryFrame,
    MessageStream,
    StreamClosedError,
    WorkerCrash,
    WorkerReport,
    is_address,
)
from persimmoncrank.state import CRASH_RETENTION_S, rendezvous_score

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from anyio.abc import TaskGroup

    from persimmoncrank.protocol import DialStream

log = logging.getLogger(__name__)

CHALLENGE_INTERVAL_S = 0.2
REPORT_INTERVAL_S = 0.2  # that of the challenges, so that one frame carries both
FIRST_FRAME_TIMEOUT_S = 0.5
DIAL_TIMEOUT_S = 0.5
REDIAL_INTERVAL_S = 0.2
ADDRESS_EXPIRY_S = 20.0
MIN_LEASE_CHECK_INTERVAL_S = 0.001
ASSIGNED_ENTRIES = 4
IDLE_INTERVAL_PER_ENTRY_S = 0.12  # an agent sends at most 9 idle frames per second in all
MIN_IDLE_INTERVAL_S = 1.0
MAX_IDLE_INTERVAL_S = 10.0
MAX_CRASHES = 64


class EntryLinks:
    """Maintains one stream to each known entry."""

    def __init__(
        self,
        *,
        agent: AgentHello,
        dial: DialStream,
        lease_s: float,
        lease_clock: Callable[[], float],
        report: Callable[[EntrySession], WorkerReport | None],
        held_orders: Callable[[str], tuple[int, ...]],
        started_orders: Callable[[str], tuple[int, ...]],
        order_owners: Callable[[], set[str]],
        on_frame: Callable[[EntrySession, EntryFrame], None],
        on_lease_lost: Callable[[EntrySession, str, float], None],
    ) -> None:
        """Create links; the callables read the agent's state and handle frames and lost leases.

        ``on_lease_lost`` gets the session, the cause, and the time of the loss on ``lease_clock``.
        """
        self.sessions: dict[str, EntrySession] = {}
        self._agent = agent
        self._dial = dial
        self._lease_s = lease_s
        self._lease_clock = lease_clock
        self._report = report
        self._held_orders = held_orders
        self._started_orders = started_orders
        self._order_owners = order_owners
        self._on_frame = on_frame
        self._on_lease_lost = on_lease_lost
        self._seeds: set[str] = set()
        self._last_frame_at_s: dict[str, float] = {}
        self._crashes: deque[tuple[float, WorkerCrash]] = deque(maxlen=MAX_CRASHES)
        self._group: TaskGroup | None = None

    async def run(self) -> None:
        """Maintain the streams until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            for address in tuple(self._last_frame_at_s):
                group.start_soon(self._maintain_stream, address)
            await self._run_expiry()

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Set the addresses that are dialled forever, even if they do not answer."""
        self._seeds = set(seeds)
        for address in self._seeds:
            self.add_address(address)

    def add_address(self, address: str) -> None:
        """Dial an entry's address until it has sent no frame for ``ADDRESS_EXPIRY_S``."""
        if address in self._last_frame_at_s:
            return
        if not is_address(address):
            log.warning("agent: entry ignored, its address is invalid address=%.100r", address)
            return
        self._last_frame_at_s[address] = anyio.current_time()
        if self._group is not None:
            self._group.start_soon(self._maintain_stream, address)

    def has_lease(self, incarnation: str) -> bool:
        """Return whether runs of an entry may start now."""
        session = self.sessions.get(incarnation)
        return session is not None and session.has_lease(now_s=self._lease_clock())

    def wake_senders(self) -> None:
        """Send what has changed to the assigned entries and to those with orders here."""
        owners = self._order_owners()
        for session in self.sessions.values():
            if _needs_lease(session, owners):
                session.update_pending.set()

    def wake_all_senders(self) -> None:
        """Send what has changed to all entries, for example that the worker is draining."""
        for session in self.sessions.values():
            session.update_pending.set()

    def report_crash(self, crash: WorkerCrash) -> None:
        """Send a crash of the worker to all entries, and to those that connect later."""
        self._crashes.append((anyio.current_time(), crash))
        for session in self.sessions.values():
            session.queue_crashes((crash,))

    def _recent_crashes(self) -> list[WorkerCrash]:
        now_s = anyio.current_time()
        return [
            msgspec.structs.replace(crash, age_s=now_s - reported_at_s)
            for reported_at_s, crash in self._crashes
            if reported_at_s >= now_s - CRASH_RETENTION_S
        ]

    def _assign_entries(self) -> None:
        """Assign the agent to the connected entries that it prefers."""
        connected = [session for session in self.sessions.values() if session.is_connected]
        connected.sort(
            key=lambda session: rendezvous_score(self._agent.agent, session.address), reverse=True
        )
        assigned = {session.incarnation for session in connected[:ASSIGNED_ENTRIES]}
        for session in self.sessions.values():
            was_assigned = session.is_assigned
            session.is_assigned = session.incarnation in assigned
            if session.is_assigned and not was_assigned:
                log.info("agent: assigned to entry entry=%s", session.incarnation)
                session.wake()

    def _challenge_interval_s(self, session: EntrySession) -> float:
        """Return the time between two challenges to an entry."""
        if _needs_lease(session, self._order_owners()):
            return CHALLENGE_INTERVAL_S
        return self._idle_interval_s()

    def _idle_interval_s(self) -> float:
        interval_s = IDLE_INTERVAL_PER_ENTRY_S * len(self.sessions)
        return min(max(interval_s, MIN_IDLE_INTERVAL_S), MAX_IDLE_INTERVAL_S)

    async def _maintain_stream(self, address: str) -> None:
        while self._should_dial(address):
            try:
                await self._connect(address)
            except (StreamClosedError, TimeoutError) as error:
                log.debug("agent: connecting to entry failed address=%s cause=%s", address, error)
            except Exception:
                log.exception("agent: stream to entry failed address=%s", address)
            await anyio.sleep(REDIAL_INTERVAL_S)
        del self._last_frame_at_s[address]
        for session in [s for s in self.sessions.values() if s.address == address]:
            self._close_session(session, "its address expired")
        log.info("agent: entry address expired address=%s", address)

    def _should_dial(self, address: str) -> bool:
        idle_s = anyio.current_time() - self._last_frame_at_s[address]
        return address in self._seeds or idle_s < ADDRESS_EXPIRY_S

    async def _connect(self, address: str) -> None:
        async with self._dial(address) as stream:
            with anyio.fail_after(FIRST_FRAME_TIMEOUT_S):
                frame = await stream.receive()
            session = self._open_session(frame.entry, address)
            log.info("agent: stream to entry opened entry=%s address=%s", frame.entry, address)
            held = (*self._held_orders(frame.entry), *session.unacked_order_ids())
            hello = AgentHello(
                agent=self._agent.agent,
                incarnation=self._agent.incarnation,
                domain=self._agent.domain,
                held=held,
                orders_seen=session.orders_seen,
                cancels_seen=session.cancels_seen,
            )
            await stream.send(AgentFrame(hello=hello))
            self._handle_frame(session, address, frame)
            session.is_connected = True
            self._assign_entries()
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._send_frames, session, stream)
                    group.start_soon(self._watch_silence, session, group.cancel_scope)
                    await self._receive_frames(session, address, stream)
                    group.cancel_scope.cancel()
            finally:
                session.is_connected = False
                self._assign_entries()
        log.info("agent: stream to entry closed entry=%s", session.incarnation)

    def _open_session(self, incarnation: str, address: str) -> EntrySession:
        """Return the entry's session; close those of other incarnations at its address."""
        for old in [s for s in self.sessions.values() if s.address == address]:
            if old.incarnation != incarnation:
                self._close_session(old, "the entry restarted")
        session = self.sessions.get(incarnation)
        if session is None:
            session = EntrySession(incarnation=incarnation, address=address, lease_s=self._lease_s)
            self.sessions[incarnation] = session
        session.reset_stream(started=self._started_orders(incarnation))
        session.queue_crashes(self._recent_crashes())
        return session

    async def _receive_frames(
        self, session: EntrySession, address: str, stream: MessageStream
    ) -> None:
        """Receive frames until the stream closes."""
        while True:
            try:
                frame = await stream.receive()
            except StreamClosedError as error:
                log.warning(
                    "agent: stream to entry lost entry=%s cause=%s", session.incarnation, error
                )
                return
            self._handle_frame(session, address, frame)

    async def _watch_silence(self, session: EntrySession, scope: anyio.CancelScope) -> None:
        """Cancel the stream if a challenge is not answered within a lease period."""
        while True:
            interval_s = self._challenge_interval_s(session)
            limit_s = self._lease_s + (interval_s if interval_s > CHALLENGE_INTERVAL_S else 0.0)
            silent_s = anyio.current_time() - session.heard_at_s
            if silent_s >= limit_s:
                log.warning(
                    "agent: stream to entry lost entry=%s cause=no frame for %.2f s",
                    session.incarnation,
                    silent_s,
                )
                scope.cancel()
                return
            await anyio.sleep(
                min(max(limit_s - silent_s, MIN_LEASE_CHECK_INTERVAL_S), self._lease_s)
            )

    def _handle_frame(self, session: EntrySession, address: str, frame: EntryFrame) -> None:
        session.heard_at_s = anyio.current_time()
        self._last_frame_at_s[address] = session.heard_at_s
        session.apply_frame(frame)
        for entry in frame.entries:
            self.add_address(entry.address)
        self._on_frame(session, frame)

    async def _send_frames(self, session: EntrySession, stream: MessageStream) -> None:
        """Send ends of orders at once; batch other updates for up to ``REPORT_INTERVAL_S``."""
        challenged_at_s = -math.inf
        while True:
            now_s = anyio.current_time()
            interval_s = self._challenge_interval_s(session)
            with_challenge = now_s >= challenged_at_s + interval_s
            if with_challenge:
                challenged_at_s = now_s
            next_challenge_at_s = challenged_at_s + interval_s
            session.update_pending, session.urgent_update_pending = anyio.Event(), anyio.Event()
            frame = session.next_frame(
                self._report(session),
                now_s=self._lease_clock(),
                with_challenge=with_challenge,
                next_within_s=0.0 if session.is_assigned else self._idle_interval_s(),
            )
            if frame is not None:
                try:
                    await stream.send(frame)
                except StreamClosedError as error:
                    log.debug("agent: frame not sent cause=%s", error)
                    return
            with anyio.move_on_after(max(next_challenge_at_s - anyio.current_time(), 0)):
                await session.update_pending.wait()
            due_s = min(next_challenge_at_s, now_s + REPORT_INTERVAL_S)
            with anyio.move_on_after(max(due_s - anyio.current_time(), 0)):
                await session.urgent_update_pending.wait()

    async def _run_expiry(self) -> None:
        """Expire each lease in time."""
        while True:
            now_s = self._lease_clock()
            expiries = [s.lease_until_s for s in self.sessions.values() if s.lease_until_s]
            next_s = min(expiries, default=now_s + CHALLENGE_INTERVAL_S)
            await anyio.sleep(
                min(max(next_s - now_s, MIN_LEASE_CHECK_INTERVAL_S), CHALLENGE_INTERVAL_S)
            )
            self.expire_leases()

    def expire_leases(self) -> None:
        """Stop the runs of entries whose lease has expired, also if a timer is late."""
        now_s = self._lease_clock()
        for session in self.sessions.values():
            if session.lease_until_s and session.lease_until_s <= now_s:
                lost_at_s, session.lease_until_s = session.lease_until_s, 0.0
                self._handle_lease_loss(session, "its lease ran out", lost_at_s)

    def _close_session(self, session: EntrySession, cause: str) -> None:
        self.expire_leases()
        del self.sessions[session.incarnation]
        self._handle_lease_loss(session, cause, self._lease_clock())

    def _handle_lease_loss(self, session: EntrySession, cause: str, lost_at_s: float) -> None:
        """Stop the entry's runs; the lease of an entry without any expires between its orders."""
        if _needs_lease(session, self._order_owners()):
            log.warning("agent: entry lost entry=%s cause=%s", session.incarnation, cause)
            self._on_lease_lost(session, cause, lost_at_s)


def _needs_lease(session: EntrySession, order_owners: set[str]) -> bool:
    """Return whether the lease of an entry is kept: it is assigned, or has orders here."""
    return session.is_assigned or session.incarnation in order_owners

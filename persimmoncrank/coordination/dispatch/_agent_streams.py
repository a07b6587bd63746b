"""The entry's streams to agents: reports, ends of orders and leases."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import msgspec

from persimmoncrank.coordination.dispatch._agent_link import AgentLink, OpenOrder
from persimmoncrank.coordination.dispatch._worker_index import WorkerIndex
from persimmoncrank.protocol import (
    AgentFrame,
    CrashedRun,
    EntryAddress,
    EntryFrame,
    MessageStream,
    OrderEnd,
    OrderOutcome,
    StreamClosedError,
    TableCopy,
    TableCopyRequest,
    WorkerCrash,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmoncrank.state import CancelledJobs

log = logging.getLogger(__name__)

CLOCK_DRIFT_FACTOR = 1.02  # a worker's clock may run up to 2% slow
STOP_MARGIN_S = 0.1
AGENTS_PER_COPY_REQUEST = 2
CANCEL_INTERVAL_S = 0.1  # between two frames with cancelled jobs to one agent
MAX_CANCELS_PER_FRAME = 500

OnOrderEnd = Callable[[OpenOrder, OrderOutcome, str, AgentLink | None], None]
OnCrash = Callable[[WorkerCrash, AgentLink], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchTimes:
    """The leases of entries at agents and of agents at workers."""

    entry_lease_s: float
    worker_lease_s: float

    @property
    def orders_lost_after_s(self) -> float:
        """Time from the last lease renewal until all runs of an unreachable agent have ended."""
        return self.entry_lease_s + self.worker_lease_s * CLOCK_DRIFT_FACTOR + STOP_MARGIN_S

    @property
    def lease_expired_after_s(self) -> float:
        """Time from the last lease renewal until the agent certainly has no lease."""
        return self.entry_lease_s * CLOCK_DRIFT_FACTOR + STOP_MARGIN_S


class AgentStreams:
    """The agents with a stream to this entry, and those whose leases may still be valid."""

    def __init__(
        self,
        *,
        entry: EntryAddress,
        times: DispatchTimes,
        on_order_end: OnOrderEnd,
        on_crash: OnCrash,
        on_update: Callable[[], None],
        cancelled_jobs: CancelledJobs,
    ) -> None:
        """Create the streams; the callables handle ended orders, crashes and other updates.

        Agents that are assigned to this entry are told of all ``cancelled_jobs``.
        """
        self.links: dict[str, AgentLink] = {}
        self.index = WorkerIndex()
        self._entry = entry
        self._times = times
        self._on_order_end = on_order_end
        self._on_crash = on_crash
        self._on_update = on_update
        self._config_version = -1
        self._withdrawn: tuple[str, ...] = ()
        self._entries: dict[str, EntryAddress] = {}
        self._entries_version = 0
        self._copy_offsets = itertools.count(0, AGENTS_PER_COPY_REQUEST)
        self.on_copy: Callable[[TableCopy], None] = lambda _copy: None
        self.on_cancelled: Callable[[tuple[str, ...]], object] = lambda _job_ids: None
        self._cancelled_jobs = cancelled_jobs
        self._cancels_added = anyio.Event()

    def set_withdrawn(self, withdrawn: Iterable[str], version: int) -> None:
        """Set the withdrawn failure domains and send them to all agents."""
        self._withdrawn = tuple(withdrawn)
        self._config_version = version
        self._wake_senders()

    def set_entries(self, entries: Iterable[EntryAddress]) -> None:
        """Set the addresses of the entries and send them to all agents."""
        known = {entry.address: entry for entry in entries}
        if known != self._entries:
            self._entries = known
            self._entries_version += 1
            self._wake_senders()

    def request_copies(self, request: TableCopyRequest) -> None:
        """Ask a few agents for a copy of the operator's table; repeated calls reach all in turn."""
        connected = [link for link in self.links.values() if link.is_connected]
        offset = next(self._copy_offsets)
        for number in range(min(AGENTS_PER_COPY_REQUEST, len(connected))):
            connected[(offset + number) % len(connected)].queue_copy_request(request)

    def announce_cancels(self) -> None:
        """Tell the agents of newly cancelled jobs; ``run_announcements`` does so."""
        self._cancels_added.set()

    async def run_announcements(self) -> None:
        """Wake the streams of agents that are to be told of cancelled jobs, until cancelled."""
        while True:
            await self._cancels_added.wait()
            self._cancels_added = anyio.Event()
            for link in self.links.values():
                if link.is_assigned and self._has_unsent_cancels(link):
                    link.update_pending.set()
            await anyio.sleep(CANCEL_INTERVAL_S)

    def _has_unsent_cancels(self, link: AgentLink) -> bool:
        return link.sent_cancel_number < self._cancelled_jobs.newest_number

    def _wake_senders(self) -> None:
        for link in self.links.values():
            link.update_pending.set()

    async def serve(self, stream: MessageStream) -> None:
        """Serve an agent's stream until it closes or no frame arrives for a lease period."""
        await stream.send(self._first_frame())
        frame: AgentFrame | None = None
        with anyio.move_on_after(self._times.entry_lease_s):
            frame = await stream.receive()
        if frame is None or frame.hello is None:
            log.warning("entry: stream closed, no hello received")
            return
        link = self.links.get(frame.hello.incarnation)
        if link is None:
            link = self.links[frame.hello.incarnation] = AgentLink(hello=frame.hello)
        elif link.stream_scope is not None:
            link.stream_scope.cancel()
            self._detach_stream(link)
        missing = link.attach_stream(frame.hello, now_s=anyio.current_time())
        self.index.add(link)
        for order in missing:
            self._on_order_end(order, OrderOutcome.LOST, "the agent does not hold the order", link)
        log.info(
            "entry: stream of agent opened agent=%s domain=%s held=%d stopped=%d missing=%d",
            frame.hello.incarnation,
            frame.hello.domain,
            len(frame.hello.held),
            link.pending_stop_count,
            len(missing),
        )
        with anyio.CancelScope() as scope:
            link.stream_scope = scope
            try:
                await self._exchange_frames(link, stream)
            except Exception:
                log.exception("entry: stream of agent failed agent=%s", link.hello.incarnation)
        if link.stream_scope is scope:
            self._detach_stream(link)

    def _first_frame(self) -> EntryFrame:
        return EntryFrame(
            entry=self._entry.incarnation,
            config_version=self._config_version,
            withdrawn=self._withdrawn if self._config_version >= 0 else None,
            entries=tuple(self._entries.values()),
        )

    def _detach_stream(self, link: AgentLink) -> None:
        self.index.remove(link)
        for order in link.detach_stream():
            self._on_order_end(order, OrderOutcome.NOT_STARTED, "the order was never sent", link)
        log.warning(
            "entry: stream of agent lost agent=%s open_orders=%d",
            link.hello.incarnation,
            len(link.orders),
        )

    async def _exchange_frames(self, link: AgentLink, stream: MessageStream) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_frames, link, stream)
            while True:
                try:
                    frame = await stream.receive()
                except StreamClosedError as error:
                    log.info(
                        "entry: stream of agent closed agent=%s cause=%s",
                        link.hello.incarnation,
                        error,
                    )
                    break
                self._handle_frame(link, frame)
            group.cancel_scope.cancel()

    async def _send_frames(self, link: AgentLink, stream: MessageStream) -> None:
        while True:
            now_s = anyio.current_time()
            frame = link.next_frame(self._entry.incarnation, now_s=now_s)
            frame = self._with_cancels(link, self._with_config(link, frame))
            if frame is not None:
                try:
                    await stream.send(frame)
                except StreamClosedError as error:
                    log.debug("entry: frame not sent cause=%s", error)
                    return
            await link.update_pending.wait()

    def _with_config(self, link: AgentLink, frame: EntryFrame | None) -> EntryFrame | None:
        """Add the configuration and the entries to a frame if the agent has outdated ones."""
        is_config_outdated = link.sent_config_version != self._config_version
        are_entries_outdated = link.sent_entries_version != self._entries_version
        if not (is_config_outdated or are_entries_outdated):
            return frame
        link.sent_config_version = self._config_version
        link.sent_entries_version = self._entries_version
        base = frame or EntryFrame(entry=self._entry.incarnation, seen_event=link.seen_event)
        first = self._first_frame()
        return msgspec.structs.replace(
            base,
            config_version=first.config_version,
            withdrawn=first.withdrawn,
            entries=first.entries,
        )

    def _with_cancels(self, link: AgentLink, frame: EntryFrame | None) -> EntryFrame | None:
        """Add cancelled jobs that an assigned agent was not told of to a frame."""
        if not (link.is_assigned and self._has_unsent_cancels(link)):
            return frame
        job_ids, up_to = self._cancelled_jobs.added_after(
            link.sent_cancel_number, limit=MAX_CANCELS_PER_FRAME
        )
        link.sent_cancel_number = up_to
        if self._has_unsent_cancels(link):
            self.announce_cancels()
        if not job_ids:
            return frame
        base = frame or EntryFrame(entry=self._entry.incarnation, seen_event=link.seen_event)
        return msgspec.structs.replace(base, cancelled=job_ids, cancels_up_to=up_to)

    def _handle_frame(self, link: AgentLink, frame: AgentFrame) -> None:
        link.heard_at_s = anyio.current_time()
        link.next_within_s = frame.next_within_s
        link.queue_challenge_reply(frame.challenge)
        for order_id in frame.started:
            order = link.orders.get(order_id)
            if order is not None:
                order.task.job.may_have_started = True
        for crash in frame.crashes:
            self._on_crash(crash, link)
        if frame.copy is not None:
            self.on_copy(frame.copy)
        if frame.cancelled:
            self.on_cancelled(frame.cancelled)
        for end in frame.ended:
            self._handle_end(link, end)
        if frame.report is not None:
            link.apply_report(frame.report)
            if frame.report.is_accepting:
                self._drop_earlier_incarnations(link)
        self.index.touch(link)
        self._on_update()

    def _drop_earlier_incarnations(self, link: AgentLink) -> None:
        """Drop the links of the agent's earlier incarnations; their open orders are lost.

        The current incarnation accepts orders only after the runs of earlier ones have ended.
        """
        for other in list(self.links.values()):
            is_same_agent = other.hello.agent == link.hello.agent
            if is_same_agent and other is not link and not other.is_connected:
                crash = _crash_between(other, link)
                if crash is not None:
                    self._on_crash(crash, link)
                self._drop_link(other, "the agent restarted")

    def _handle_end(self, link: AgentLink, end: OrderEnd) -> None:
        if end.event_id <= link.seen_event:
            return
        link.seen_event = end.event_id
        order = link.orders.pop(end.order_id, None)
        if order is not None:
            self._on_order_end(order, end.outcome, end.cause, link)

    def expire_links(self, now_s: float) -> None:
        """Drop disconnected agents once their leases have expired; their open orders are lost."""
        for link in list(self.links.values()):
            if link.stream_scope is not None and link.is_silent(
                now_s=now_s, lease_s=self._times.entry_lease_s
            ):
                log.info(
                    "entry: agent silent agent=%s silent_ms=%d open_orders=%d",
                    link.hello.incarnation,
                    (now_s - link.heard_at_s) * 1000,
                    len(link.orders),
                )
                link.stream_scope.cancel()
            lost_at_s = link.lease_renewed_at_s + self._times.orders_lost_after_s
            if not link.is_connected and now_s >= lost_at_s:
                self._drop_link(link, "the agent is out of reach")

    def _drop_link(self, link: AgentLink, cause: str) -> None:
        log.warning(
            "entry: agent lost agent=%s open_orders=%d cause=%s",
            link.hello.incarnation,
            len(link.orders),
            cause,
        )
        del self.links[link.hello.incarnation]
        for order in list(link.orders.values()):
            self._on_order_end(order, self._outcome_of_dropped(order, link), cause, link)

    def _outcome_of_dropped(self, order: OpenOrder, link: AgentLink) -> OrderOutcome:
        """Return how an order of an unreachable agent ended.

        An order that was sent when the agent had no lease has not started: the agent starts it only
        under a lease that it asks for after the order has arrived, and none was granted since.
        """
        no_lease_after_s = link.lease_renewed_at_s + self._times.lease_expired_after_s
        if order.sent_at_s > no_lease_after_s:
            return OrderOutcome.NOT_STARTED
        return OrderOutcome.LOST


def _crash_between(earlier: AgentLink, later: AgentLink) -> WorkerCrash | None:
    """Return the crash of a worker that restarted while its agent was restarting, if it did.

    The new process of the agent does not know which tasks were running.
    """
    old, new = earlier.report, later.report
    if old is None or new is None or not old.is_accepting:
        return None
    if (old.worker, old.worker_incarnation) == (new.worker, new.worker_incarnation):
        return None
    runs = tuple(
        CrashedRun(ref=open_order.order.ref, kind=open_order.order.kind, is_recent=False)
        for open_order in earlier.orders.values()
        if open_order.is_sent
    )
    if not runs:
        return None
    return WorkerCrash(
        worker=old.worker, incarnation=old.worker_incarnation, runs=runs, service=old.service
    )

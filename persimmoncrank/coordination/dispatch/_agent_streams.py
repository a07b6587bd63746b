"""The entry's streams to agents: what it learns from them, and the orders that end."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.coordination.dispatch._agent_link import AgentLink, OpenOrder
from persimmoncrank.protocol import (
    AgentFrame,
    EntryAddress,
    EntryFrame,
    MessageStream,
    OrderEnd,
    OrderOutcome,
    StreamClosedError,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

log = logging.getLogger(__name__)

SLOWEST_CLOCK = 1.02  # a worker's clock may be 2% slow
STOP_MARGIN_S = 0.1

EndOrder = Callable[[OpenOrder, OrderOutcome, str, AgentLink | None], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchTimes:
    """The leases of entries at agents and of agents at workers."""

    entry_lease_s: float
    worker_lease_s: float

    @property
    def orders_lost_after_s(self) -> float:
        """How long after the last renewal nothing runs any more at an agent out of reach."""
        return self.entry_lease_s + self.worker_lease_s * SLOWEST_CLOCK + STOP_MARGIN_S


class AgentStreams:
    """All agents that have a stream to this entry, or had one a short while ago."""

    def __init__(
        self,
        *,
        entry: EntryAddress,
        times: DispatchTimes,
        end_order: EndOrder,
        on_news: Callable[[], None],
    ) -> None:
        """Create the streams; the callables take the ends of orders and other news."""
        self.links: dict[str, AgentLink] = {}
        self._entry = entry
        self._times = times
        self._end_order = end_order
        self._on_news = on_news
        self._config_version = -1
        self._withdrawn: tuple[str, ...] = ()
        self._entries: dict[str, EntryAddress] = {}
        self._entries_version = 0

    def set_withdrawn(self, withdrawn: Iterable[str], version: int) -> None:
        """Tell agents which failure domains are withdrawn."""
        self._withdrawn = tuple(withdrawn)
        self._config_version = version
        self._wake_links()

    def set_entries(self, entries: Iterable[EntryAddress]) -> None:
        """Tell agents about the other entries."""
        known = {entry.address: entry for entry in entries}
        if known != self._entries:
            self._entries = known
            self._entries_version += 1
            self._wake_links()

    def _wake_links(self) -> None:
        for link in self.links.values():
            link.is_news.set()

    async def serve(self, stream: MessageStream) -> None:
        """Serve an agent's stream until it closes or is silent for a lease."""
        await stream.send(self._first_frame())
        frame: AgentFrame | None = None
        with anyio.move_on_after(self._times.entry_lease_s):
            frame = await stream.receive()
        if frame is None or frame.hello is None:
            log.warning("entry: stream without a hello closed")
            return
        link = self.links.get(frame.hello.incarnation)
        if link is None:
            link = self.links[frame.hello.incarnation] = AgentLink(hello=frame.hello)
        elif link.close_stream is not None:
            link.close_stream.cancel()
            self._drop_stream(link)
        for order in link.open_stream(frame.hello):
            self._end_order(order, OrderOutcome.LOST, "the agent does not hold it", link)
        log.info(
            "entry: stream of agent open agent=%s domain=%s",
            frame.hello.incarnation,
            frame.hello.domain,
        )
        with anyio.CancelScope() as scope:
            link.close_stream = scope
            await self._exchange(link, stream)
        if link.close_stream is scope:
            self._drop_stream(link)

    def _first_frame(self) -> EntryFrame:
        return EntryFrame(
            entry=self._entry.incarnation,
            config_version=self._config_version,
            withdrawn=self._withdrawn if self._config_version >= 0 else None,
            entries=tuple(self._entries.values()),
        )

    def _drop_stream(self, link: AgentLink) -> None:
        for order in link.drop_stream():
            self._end_order(order, OrderOutcome.NOT_STARTED, "it was never sent", link)
        log.warning(
            "entry: stream of agent lost agent=%s open_orders=%d",
            link.hello.incarnation,
            len(link.orders),
        )

    async def _exchange(self, link: AgentLink, stream: MessageStream) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_frames, link, stream)
            while True:
                try:
                    with anyio.fail_after(self._times.entry_lease_s):
                        frame = await stream.receive()
                except (StreamClosedError, TimeoutError) as error:
                    log.info(
                        "entry: stream ends agent=%s cause=%s",
                        link.hello.incarnation,
                        str(error) or "silent",
                    )
                    break
                self._note_frame(link, frame)
            group.cancel_scope.cancel()

    async def _send_frames(self, link: AgentLink, stream: MessageStream) -> None:
        while True:
            now_s = anyio.current_time()
            frame = link.next_frame(self._entry.incarnation, now_s=now_s)
            frame = self._with_config(link, frame)
            if frame is not None:
                try:
                    await stream.send(frame)
                except StreamClosedError as error:
                    log.debug("entry: frame not sent cause=%s", error)
                    return
            await link.is_news.wait()

    def _with_config(self, link: AgentLink, frame: EntryFrame | None) -> EntryFrame | None:
        """Add the configuration and the entries to a frame if the agent has older ones."""
        is_config_new = link.sent_config_version != self._config_version
        is_entries_new = link.sent_entries != self._entries_version
        if not (is_config_new or is_entries_new):
            return frame
        link.sent_config_version = self._config_version
        link.sent_entries = self._entries_version
        base = frame or EntryFrame(entry=self._entry.incarnation, seen_event=link.seen_event)
        first = self._first_frame()
        return EntryFrame(
            entry=base.entry,
            challenge=base.challenge,
            starts=base.starts,
            stops=base.stops,
            seen_event=base.seen_event,
            config_version=first.config_version,
            withdrawn=first.withdrawn,
            entries=first.entries,
        )

    def _note_frame(self, link: AgentLink, frame: AgentFrame) -> None:
        link.note_challenge(frame.challenge)
        for order_id in frame.started:
            order = link.orders.get(order_id)
            if order is not None:
                order.task.job.may_have_started = True
        for end in frame.ended:
            self._note_end(link, end)
        if frame.report is not None:
            link.note_report(frame.report)
            if frame.report.is_accepting:
                self._lose_earlier_incarnations(link)
        self._on_news()

    def _lose_earlier_incarnations(self, link: AgentLink) -> None:
        """Give up the orders of an agent's earlier processes.

        The present one takes orders only after it saw the runs of earlier ones end.
        """
        for other in list(self.links.values()):
            is_same_agent = other.hello.agent == link.hello.agent
            if is_same_agent and other is not link and not other.is_connected:
                self._lose_link(other, "the agent started again")

    def _note_end(self, link: AgentLink, end: OrderEnd) -> None:
        if end.event_id <= link.seen_event:
            return
        link.seen_event = end.event_id
        order = link.orders.pop(end.order_id, None)
        if order is not None:
            self._end_order(order, end.outcome, end.cause, link)

    def check(self, now_s: float) -> None:
        """Give up the orders of agents out of reach once nothing of them can run."""
        for link in list(self.links.values()):
            lost_at_s = link.granted_at_s + self._times.orders_lost_after_s
            if not link.is_connected and now_s >= lost_at_s:
                self._lose_link(link, "the agent is out of reach")

    def _lose_link(self, link: AgentLink, cause: str) -> None:
        log.warning(
            "entry: agent lost agent=%s open_orders=%d cause=%s",
            link.hello.incarnation,
            len(link.orders),
            cause,
        )
        del self.links[link.hello.incarnation]
        for order in list(link.orders.values()):
            self._end_order(order, OrderOutcome.LOST, cause, link)

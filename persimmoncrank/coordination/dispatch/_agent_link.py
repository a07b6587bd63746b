"""The entry's side of its relation with one agent: the view of its worker, and open orders."""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass, field

import anyio

from persimmoncrank.coordination.dispatch._worker_jobs import JobTask
from persimmoncrank.protocol import AgentHello, Demand, EntryFrame, TaskOrder, WorkerReport

log = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True)
class OpenOrder:
    """One order whose end is not known yet."""

    task: JobTask
    order: TaskOrder
    is_sent: bool = False
    is_stopping: bool = False


@dataclass(kw_only=True, eq=False)
class AgentLink:
    """One incarnation of an agent.

    ``granted_at_s`` is when this entry last renewed its lease at the agent. Without a stream the
    orders are lost only once that lease and the worker's have run out.
    """

    hello: AgentHello
    is_connected: bool = False
    report: WorkerReport | None = None
    orders: dict[int, OpenOrder] = field(default_factory=dict)
    granted_at_s: float = 0.0
    seen_event: int = 0
    sent_config_version: int = -1
    sent_entries: int = -1
    is_news: anyio.Event = field(default_factory=anyio.Event)
    close_stream: anyio.CancelScope | None = None
    _challenge: int = 0
    _starts: list[TaskOrder] = field(default_factory=list)
    _stops: list[int] = field(default_factory=list)
    _sent_orders: int = 0
    _unreported: deque[tuple[int, Demand]] = field(default_factory=deque)
    _free: Demand = field(default_factory=Demand)

    @property
    def free(self) -> Demand:
        """The worker's room, less orders that the newest report does not count."""
        return self._free

    @property
    def free_share(self) -> float:
        """The share of the worker's processors that is free, from 0 to 1."""
        if self.report is None or not self.report.capacity.cpu_millis:
            return 0.0
        return max(self._free.cpu_millis, 0) / self.report.capacity.cpu_millis

    def open_stream(self, hello: AgentHello) -> list[OpenOrder]:
        """Start over on a new stream; return the orders that the agent does not hold."""
        self.hello = hello
        self.is_connected = True
        self.sent_config_version = -1
        self.sent_entries = -1
        self._challenge = 0
        self._sent_orders = hello.orders_seen
        self._unreported.clear()
        held = set(hello.held)
        missing = [o for key, o in self.orders.items() if key not in held and o.is_sent]
        for order in missing:
            del self.orders[order.order.order_id]
        return missing

    def drop_stream(self) -> list[OpenOrder]:
        """Take note that the stream is gone; return the orders that were never sent."""
        self.is_connected = False
        self.close_stream = None
        unsent = [self.orders.pop(order.order_id) for order in self._starts]
        self._starts.clear()
        self._stops.clear()
        return unsent

    def note_report(self, report: WorkerReport) -> None:
        """Take over the worker's state."""
        self.report = report
        while self._unreported and self._unreported[0][0] <= report.orders_seen:
            self._unreported.popleft()
        free = report.free
        for _, demand in self._unreported:
            free = free - demand
        self._free = free

    def send_order(self, order: OpenOrder) -> None:
        """Put an order into the next frame."""
        self.orders[order.order.order_id] = order
        self._starts.append(order.order)
        self._free = self._free - order.order.demand
        self._sent_orders += 1
        self._unreported.append((self._sent_orders, order.order.demand))
        self.is_news.set()

    def send_stop(self, order: OpenOrder) -> None:
        """Put a stop into the next frame, once."""
        if order.is_stopping:
            return
        order.is_stopping = True
        self._stops.append(order.order.order_id)
        self.is_news.set()

    def note_challenge(self, challenge: int) -> None:
        """Answer a challenge with the next frame."""
        if challenge:
            self._challenge = challenge
            self.is_news.set()

    def next_frame(self, entry: str, *, now_s: float) -> EntryFrame | None:
        """Return what is to be sent, or None."""
        self.is_news = anyio.Event()
        if not (self._challenge or self._starts or self._stops):
            return None
        if self._challenge:
            self.granted_at_s = now_s
        for order in self._starts:
            self.orders[order.order_id].is_sent = True
        frame = EntryFrame(
            entry=entry,
            challenge=self._challenge,
            starts=tuple(self._starts),
            stops=tuple(self._stops),
            seen_event=self.seen_event,
        )
        self._challenge = 0
        self._starts.clear()
        self._stops.clear()
        return frame

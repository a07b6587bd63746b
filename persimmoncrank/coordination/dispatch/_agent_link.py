"""The entry's state for one agent: the last report of its worker, and the open orders."""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass, field

import anyio

from persimmoncrank.coordination.dispatch._worker_jobs import JobTask
from persimmoncrank.protocol import (
    AgentHello,
    Demand,
    EntryFrame,
    TableCopyRequest,
    TaskOrder,
    WorkerReport,
)

log = logging.getLogger(__name__)

CURRENT_WITHIN_S = 0.4  # two frame intervals of an agent that is assigned to this entry
MAX_STARTS_BYTES = 256 * 1024  # of one frame, so that it does not delay the lease
ORDER_BYTES = 300  # of a start, without its payload
FIRST_ANSWER_S = 0.35  # an agent asks for a lease at once when it gets an order without having one


@dataclass(kw_only=True, slots=True)
class OpenOrder:
    """An order whose outcome the agent has not reported yet.

    A probe was sent without knowing the worker's free capacity.
    """

    task: JobTask
    order: TaskOrder
    is_probe: bool = False
    is_sent: bool = False
    sent_at_s: float = 0.0
    is_stopping: bool = False


@dataclass(kw_only=True, eq=False)
class AgentLink:
    """The state kept for one incarnation of an agent.

    ``heard_at_s`` is the time of its last frame. While it holds no order, its next frame may take
    ``next_within_s``. ``engaged_at_s`` is when it got an order while it held none.
    ``lease_renewed_at_s`` is when this entry last renewed its lease at the agent. If the stream
    breaks, the orders count as lost only after both that lease and the worker's have expired.
    """

    hello: AgentHello
    is_connected: bool = False
    report: WorkerReport | None = None
    orders: dict[int, OpenOrder] = field(default_factory=dict)
    lease_renewed_at_s: float = 0.0
    heard_at_s: float = 0.0
    next_within_s: float = 0.0
    engaged_at_s: float = 0.0
    probe_after_s: float = 0.0
    seen_event: int = 0
    sent_config_version: int = -1
    sent_entries_version: int = -1
    sent_cancel_number: int = 0
    update_pending: anyio.Event = field(default_factory=anyio.Event)
    stream_scope: anyio.CancelScope | None = None
    _pending_challenge: int = 0
    _pending_copy_request: TableCopyRequest | None = None
    _pending_starts: dict[int, TaskOrder] = field(default_factory=dict)
    _pending_stops: list[int] = field(default_factory=list)
    _sent_order_count: int = 0
    _unreported_demands: deque[tuple[int, Demand]] = field(default_factory=deque)
    _free: Demand = field(default_factory=Demand)

    @property
    def is_assigned(self) -> bool:
        """Whether the agent is assigned to this entry: it sends frames at all times."""
        return self.next_within_s == 0.0

    @property
    def free(self) -> Demand:
        """The worker's free resources, less the orders that its newest report does not include."""
        return self._free

    @property
    def free_share(self) -> float:
        """The free share of the worker's processors, from 0 to 1."""
        if self.report is None or not self.report.capacity.cpu_millis:
            return 0.0
        return max(self._free.cpu_millis, 0) / self.report.capacity.cpu_millis

    @property
    def pending_stop_count(self) -> int:
        """The number of stops in the next frame."""
        return len(self._pending_stops)

    def is_current(self, *, now_s: float) -> bool:
        """Return whether the last frame is recent, so that its report still describes the worker.

        Agents send frames at short intervals to the entries that they are assigned to.
        """
        return now_s <= self.heard_at_s + CURRENT_WITHIN_S

    def is_silent(self, *, now_s: float, lease_s: float) -> bool:
        """Return whether the agent should have sent a frame by now."""
        if not self.orders:
            return now_s > self.heard_at_s + lease_s + self.next_within_s
        if self.heard_at_s < self.engaged_at_s:
            return now_s > max(self.engaged_at_s + FIRST_ANSWER_S, self.heard_at_s + lease_s)
        return now_s > self.heard_at_s + lease_s

    def attach_stream(self, hello: AgentHello, *, now_s: float) -> list[OpenOrder]:
        """Reset the state for a new stream; return the sent orders that the agent does not hold.

        Orders that the agent holds but this entry has given up are stopped before any lease is
        granted: those that it does not know, and those whose stop may have been lost on an earlier
        stream.
        """
        self.hello = hello
        self.heard_at_s = now_s
        self._pending_stops = [key for key in hello.held if not self._is_wanted(key)]
        self.is_connected = True
        self.sent_config_version = -1
        self.sent_entries_version = -1
        self._pending_challenge = 0
        self._pending_copy_request = None
        self._sent_order_count = hello.orders_seen
        self.sent_cancel_number = hello.cancels_seen
        self._unreported_demands.clear()
        held = set(hello.held)
        missing = [o for key, o in self.orders.items() if key not in held and o.is_sent]
        for order in missing:
            del self.orders[order.order.order_id]
        return missing

    def _is_wanted(self, order_id: int) -> bool:
        order = self.orders.get(order_id)
        return order is not None and not order.is_stopping

    def detach_stream(self) -> list[OpenOrder]:
        """Mark the agent as disconnected; return the orders that were never sent."""
        self.is_connected = False
        self.stream_scope = None
        unsent = [self.orders.pop(order_id) for order_id in self._pending_starts]
        self._pending_starts.clear()
        self._pending_stops.clear()
        return unsent

    def apply_report(self, report: WorkerReport) -> None:
        """Store the worker's report and recompute its free resources."""
        self.report = report
        while self._unreported_demands and self._unreported_demands[0][0] <= report.orders_seen:
            self._unreported_demands.popleft()
        free = report.free
        for _, demand in self._unreported_demands:
            free = free - demand
        for order in self._pending_starts.values():
            free = free - order.demand
        self._free = free

    def queue_start(self, order: OpenOrder, *, now_s: float) -> None:
        """Add an order to the next frames and reserve its resources."""
        if not self.orders:
            self.engaged_at_s = now_s
        self.orders[order.order.order_id] = order
        self._pending_starts[order.order.order_id] = order.order
        self._free = self._free - order.order.demand
        self.update_pending.set()

    def withdraw_start(self, order: OpenOrder) -> bool:
        """Remove an order that was not sent yet; return False if it was."""
        if self._pending_starts.pop(order.order.order_id, None) is None:
            return False
        del self.orders[order.order.order_id]
        self._free = self._free + order.order.demand
        return True

    def queue_stop(self, order: OpenOrder) -> None:
        """Add a stop to the next frame, unless one was already added for this order.

        Without a stream, the next one begins with the stops of all orders that are stopping.
        """
        if order.is_stopping:
            return
        order.is_stopping = True
        if self.is_connected:
            self._pending_stops.append(order.order.order_id)
            self.update_pending.set()

    def queue_challenge_reply(self, challenge: int) -> None:
        """Answer a challenge in the next frame; 0 means that there is none."""
        if challenge:
            self._pending_challenge = challenge
            self.update_pending.set()

    def queue_copy_request(self, request: TableCopyRequest) -> None:
        """Ask the agent for a copy of the operator's table in the next frame."""
        self._pending_copy_request = request
        self.update_pending.set()

    def next_frame(self, entry: str, *, now_s: float) -> EntryFrame | None:
        """Return a frame with what is pending, or None if nothing is.

        Starts that would make it too long wait for the next frame.
        """
        self.update_pending = anyio.Event()
        is_empty = not (self._pending_challenge or self._pending_starts or self._pending_stops)
        if is_empty and self._pending_copy_request is None:
            return None
        if self._pending_challenge:
            self.lease_renewed_at_s = now_s
        frame = EntryFrame(
            entry=entry,
            challenge=self._pending_challenge,
            starts=self._take_starts(now_s=now_s),
            stops=tuple(self._pending_stops),
            seen_event=self.seen_event,
            copy_request=self._pending_copy_request,
        )
        self._pending_challenge = 0
        self._pending_copy_request = None
        self._pending_stops.clear()
        if self._pending_starts:
            self.update_pending.set()
        return frame

    def _take_starts(self, *, now_s: float) -> tuple[TaskOrder, ...]:
        """Remove and return the first pending starts, as many as a frame takes, at least one."""
        taken: list[TaskOrder] = []
        size_bytes = 0
        for order in self._pending_starts.values():
            size_bytes += len(order.payload) + ORDER_BYTES
            if taken and size_bytes > MAX_STARTS_BYTES:
                break
            taken.append(order)
        for order in taken:
            del self._pending_starts[order.order_id]
            self.orders[order.order_id].is_sent = True
            self.orders[order.order_id].sent_at_s = now_s
            self._sent_order_count += 1
            self._unreported_demands.append((self._sent_order_count, order.demand))
        return tuple(taken)

"""The agent's state for one incarnation of an entry: its lease and pending events."""

from __future__ import annotations

import itertools
import logging
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.protocol import (
    AgentFrame,
    EntryFrame,
    OrderEnd,
    OrderOutcome,
    TableCopy,
    WorkerCrash,
    WorkerReport,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

log = logging.getLogger(__name__)

MAX_UNANSWERED_CHALLENGES = 64
RENEWAL_SHARE = 0.35  # of a lease: its renewal may take that long


@dataclass(kw_only=True)
class EntrySession:
    """The lease and the pending events of one incarnation of an entry.

    An assigned entry always has a lease and is told of each change of the worker's state; any other
    entry only while the agent holds its orders.

    The lease starts when the agent sent the challenge that the entry answered, not when the answer
    arrives, so that a delayed answer does not extend it.
    """

    incarnation: str
    address: str
    lease_s: float
    lease_until_s: float = 0.0
    orders_seen: int = 0
    cancels_seen: int = 0
    heard_at_s: float = 0.0
    is_connected: bool = False
    is_assigned: bool = False
    update_pending: anyio.Event = field(default_factory=anyio.Event)
    urgent_update_pending: anyio.Event = field(default_factory=anyio.Event)
    _challenges: OrderedDict[int, float] = field(default_factory=OrderedDict)
    _ids: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    _started: list[int] = field(default_factory=list)
    _unacked_ends: OrderedDict[int, OrderEnd] = field(default_factory=OrderedDict)
    _last_sent_event_id: int = 0
    _last_sent_report: WorkerReport | None = None
    _crashes: list[WorkerCrash] = field(default_factory=list)
    _copy: TableCopy | None = None
    _cancelled: list[str] = field(default_factory=list)

    def has_lease(self, *, now_s: float) -> bool:
        """Return whether runs of the entry may start and continue."""
        return now_s < self.lease_until_s

    def has_full_lease(self, *, now_s: float) -> bool:
        """Return whether the lease lasts long enough to be renewed before it expires."""
        return now_s < self.lease_until_s - RENEWAL_SHARE * self.lease_s

    def wake(self) -> None:
        """Send the next frame without waiting for further updates."""
        self.update_pending.set()
        self.urgent_update_pending.set()

    def queue_start_report(self, order_id: int) -> None:
        """Add a started order to the next frame."""
        self._started.append(order_id)
        self.update_pending.set()

    def queue_end_report(
        self, order_id: int, outcome: OrderOutcome, run_s: float, cause: str
    ) -> None:
        """Add an ended order to the frames until the entry acknowledges it."""
        event_id = next(self._ids)
        self._unacked_ends[event_id] = OrderEnd(
            event_id=event_id, order_id=order_id, outcome=outcome, run_s=run_s, cause=cause
        )
        self.wake()

    def queue_crashes(self, crashes: Iterable[WorkerCrash]) -> None:
        """Add crashes of the worker to the next frame."""
        self._crashes.extend(crashes)
        self.wake()

    def queue_copy(self, copy: TableCopy) -> None:
        """Add a copy of the operator's table to the next frame."""
        self._copy = copy
        self.wake()

    def queue_cancelled(self, job_id: str) -> None:
        """Tell the entry that a job of its orders was cancelled; a lost notice is not repeated.

        An entry that does not know of the cancel orders the job's tasks again, and is told again.
        """
        self._cancelled.append(job_id)
        self.wake()

    def unacked_order_ids(self) -> tuple[int, ...]:
        """Return the orders whose ends the entry has not acknowledged."""
        return tuple(end.order_id for end in self._unacked_ends.values())

    def reset_stream(self, *, started: Iterable[int]) -> None:
        """Reset the state for a new stream.

        Unacknowledged ends of orders are sent again, and so are the starts of orders that have not
        ended: the entry may not have received what an earlier stream carried.
        """
        self._started = list(started)
        self._crashes.clear()
        self._copy = None
        self._cancelled.clear()
        self._challenges.clear()
        self._last_sent_event_id = 0
        self._last_sent_report = None

    def next_frame(
        self,
        report: WorkerReport | None,
        *,
        now_s: float,
        with_challenge: bool,
        next_within_s: float = 0.0,
    ) -> AgentFrame | None:
        """Return a frame with unsent events and a changed report, or None if it would be empty."""
        started, self._started = tuple(self._started), []
        crashes, self._crashes = tuple(self._crashes), []
        copy, self._copy = self._copy, None
        cancelled, self._cancelled = tuple(self._cancelled), []
        ends = tuple(
            end for key, end in self._unacked_ends.items() if key > self._last_sent_event_id
        )
        new_report = None if report == self._last_sent_report else report
        news = (started, ends, new_report, crashes, copy, cancelled)
        if not (with_challenge or any(news)):
            return None
        if ends:
            self._last_sent_event_id = ends[-1].event_id
        if new_report is not None:
            self._last_sent_report = new_report
        return AgentFrame(
            challenge=self._next_challenge(now_s) if with_challenge else 0,
            report=new_report,
            started=started,
            ended=ends,
            next_within_s=next_within_s,
            crashes=crashes,
            copy=copy,
            cancelled=cancelled,
        )

    def _next_challenge(self, now_s: float) -> int:
        number = next(self._ids)
        self._challenges[number] = now_s
        while len(self._challenges) > MAX_UNANSWERED_CHALLENGES:
            self._challenges.popitem(last=False)
        return number

    def apply_frame(self, frame: EntryFrame) -> None:
        """Renew the lease and drop the events that the entry has acknowledged."""
        sent_at_s = self._challenges.pop(frame.challenge, None)
        if sent_at_s is not None:
            self.lease_until_s = max(self.lease_until_s, sent_at_s + self.lease_s)
        while self._unacked_ends and next(iter(self._unacked_ends)) <= frame.seen_event:
            self._unacked_ends.popitem(last=False)
        self.orders_seen += len(frame.starts)
        self.cancels_seen = max(self.cancels_seen, frame.cancels_up_to)

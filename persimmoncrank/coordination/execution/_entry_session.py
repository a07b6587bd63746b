"""What an agent keeps for one incarnation of an entry: its lease, and the news it has not seen."""

from __future__ import annotations

import itertools
import logging
from collections import OrderedDict
from dataclasses import dataclass, field

import anyio

from persimmoncrank.protocol import AgentFrame, EntryFrame, OrderEnd, OrderOutcome, WorkerReport

log = logging.getLogger(__name__)

MAX_OPEN_CHALLENGES = 64


@dataclass(kw_only=True)
class EntrySession:
    """The agent's side of the relation with one incarnation of an entry.

    The lease counts from the moment that the agent sent the challenge which the entry answered,
    so that an answer that was held up on its way renews nothing.
    """

    incarnation: str
    address: str
    lease_s: float
    lease_until_s: float = 0.0
    orders_seen: int = 0
    news: anyio.Event = field(default_factory=anyio.Event)
    urgent_news: anyio.Event = field(default_factory=anyio.Event)
    _challenges: OrderedDict[int, float] = field(default_factory=OrderedDict)
    _numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    _started: list[int] = field(default_factory=list)
    _unseen_ends: OrderedDict[int, OrderEnd] = field(default_factory=OrderedDict)
    _sent_event: int = 0
    _sent_report: WorkerReport | None = None

    def has_lease(self, *, now_s: float) -> bool:
        """Tell whether runs of the entry may start and go on."""
        return now_s < self.lease_until_s

    def note_started(self, order_id: int) -> None:
        """Tell the entry about a start."""
        self._started.append(order_id)
        self.news.set()

    def note_ended(self, order_id: int, outcome: OrderOutcome, run_s: float, cause: str) -> None:
        """Tell the entry about an end, until it has seen it."""
        event_id = next(self._numbers)
        self._unseen_ends[event_id] = OrderEnd(
            event_id=event_id, order_id=order_id, outcome=outcome, run_s=run_s, cause=cause
        )
        self.news.set()
        self.urgent_news.set()

    def unseen_order_ids(self) -> tuple[int, ...]:
        """Return the orders whose ends the entry has not acknowledged."""
        return tuple(end.order_id for end in self._unseen_ends.values())

    def reset_stream(self) -> None:
        """Prepare a new stream: everything that is not acknowledged goes out again."""
        self._challenges.clear()
        self._sent_event = 0
        self._sent_report = None

    def next_frame(
        self, report: WorkerReport | None, *, now_s: float, is_beat: bool
    ) -> AgentFrame | None:
        """Return what the entry does not know yet, or None if there is nothing to say."""
        started, self._started = tuple(self._started), []
        ends = tuple(end for key, end in self._unseen_ends.items() if key > self._sent_event)
        new_report = None if report == self._sent_report else report
        if not (is_beat or started or ends or new_report):
            return None
        if ends:
            self._sent_event = ends[-1].event_id
        if new_report is not None:
            self._sent_report = new_report
        return AgentFrame(
            challenge=self._next_challenge(now_s) if is_beat else 0,
            report=new_report,
            started=started,
            ended=ends,
        )

    def _next_challenge(self, now_s: float) -> int:
        number = next(self._numbers)
        self._challenges[number] = now_s
        while len(self._challenges) > MAX_OPEN_CHALLENGES:
            self._challenges.popitem(last=False)
        return number

    def note_frame(self, frame: EntryFrame) -> None:
        """Renew the lease and drop what the entry has seen."""
        sent_at_s = self._challenges.pop(frame.challenge, None)
        if sent_at_s is not None:
            self.lease_until_s = max(self.lease_until_s, sent_at_s + self.lease_s)
        while self._unseen_ends and next(iter(self._unseen_ends)) <= frame.seen_event:
            self._unseen_ends.popitem(last=False)
        self.orders_seen += len(frame.starts)

"""Copies of the operator's table from agents, for entries that the store turns away.

While neither the store nor another entry confirms an entry's copy, it asks a few agents, which read
the table from the store.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.protocol import TableCopy, TableCopyRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmoncrank.state import TableReplica

log = logging.getLogger(__name__)

MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 2.0  # while agents do not answer, since they do not reach the store either
MAX_CONFIRMED_AGE_S = 0.8  # entries that follow the store confirm a copy more often
MAX_OPEN_REQUESTS = 16


class AgentCopies:
    """Asks agents for copies, and takes over those that are newer."""

    def __init__(
        self,
        *,
        replica: TableReplica,
        is_following_store: Callable[[], bool],
        ask: Callable[[TableCopyRequest], None],
    ) -> None:
        """Create an object without requests; ``ask`` sends a request to some agents."""
        self._replica = replica
        self._is_following_store = is_following_store
        self._ask = ask
        self._asked_at_s: OrderedDict[int, float] = OrderedDict()
        self._number = 0
        self._interval_s = MIN_INTERVAL_S

    async def run(self) -> None:
        """Ask while nothing else confirms the copy, until cancelled."""
        while True:
            await anyio.sleep(self._interval_s)
            now_s = anyio.current_time()
            is_confirmed = self._replica.age_s(now_s=now_s) <= MAX_CONFIRMED_AGE_S
            if self._is_following_store() or is_confirmed:
                self._interval_s = MIN_INTERVAL_S
                continue
            self._number += 1
            self._interval_s = min(2 * self._interval_s, MAX_INTERVAL_S)
            self._asked_at_s[self._number] = now_s
            while len(self._asked_at_s) > MAX_OPEN_REQUESTS:
                self._asked_at_s.popitem(last=False)
            self._ask(
                TableCopyRequest(
                    number=self._number,
                    known_version=self._replica.version,
                    known_digest=self._replica.digest,
                )
            )

    def apply(self, copy: TableCopy) -> None:
        """Take over a newer copy; the agent has read it after the request was made."""
        asked_at_s = self._asked_at_s.get(copy.number)
        self._interval_s = MIN_INTERVAL_S
        if asked_at_s is None or copy.version < self._replica.version:
            return
        if copy.rows is not None and copy.version > self._replica.version:
            log.info(
                "config: copy taken over from an agent version=%d version_before=%d",
                copy.version,
                self._replica.version,
            )
            self._replica.replace(copy.rows, copy.version)
        self._replica.confirm(at_s=asked_at_s)

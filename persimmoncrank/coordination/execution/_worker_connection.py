"""The calls to one incarnation of a worker, with the fencing token and the lease in them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from persimmoncrank.coordination.execution._run_decisions import ListRequest
from persimmoncrank.coordination.execution._worker_calls import (
    CALL_TIMEOUT_S,
    FENCE_STEP,
    call_within,
)
from persimmoncrank.protocol import Renewal, RunList, RunRef, StartReply, StartRun, WorkerFault

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from persimmoncrank.coordination.execution._worker_lease import WorkerLease
    from persimmoncrank.protocol import WorkerPort
    from persimmoncrank.state import Run

log = logging.getLogger(__name__)

REVOKED_STOP_TIMEOUT_S = 0.04
LIST_WAIT_S = 0.15  # long poll: the worker answers earlier if a run has ended
IDLE_LIST_WAIT_S = 0.3  # a start while it is open is followed by a renewal within half a lease
ENDS_PAUSE_S = 0.005  # after ends were listed; tasks that started together end together
UNRESPONSIVE_AFTER_S = 2 * (LIST_WAIT_S + CALL_TIMEOUT_S)


class WorkerConnection:
    """Sends starts, stops and renewals; ``port`` serves one incarnation of a worker.

    ``is_listed`` is set once the worker has listed its runs, and ``seen_cursor`` is the last end of
    a run that was processed. ``list_request_count`` numbers the requests for lists.
    """

    def __init__(
        self,
        *,
        port: WorkerPort,
        lease: WorkerLease,
        fence: int,
        before_extension: Callable[[], None],
    ) -> None:
        """Create a connection; the worker may refuse the token ``fence`` as too low.

        ``before_extension`` is called before each call that extends the lease, and may revoke it.
        """
        self.port = port
        self.lease = lease
        self.fence = fence
        self._before_extension = before_extension
        self.is_listed = False
        self.listed_at_s = 0.0
        self.seen_cursor = 0
        self.list_request_count = 0

    @property
    def is_responsive(self) -> bool:
        """Whether the worker has listed its runs within ``UNRESPONSIVE_AFTER_S``."""
        return self.is_listed and anyio.current_time() - self.listed_at_s < UNRESPONSIVE_AFTER_S

    def raise_fence(self) -> None:
        """Raise the token after the worker has refused it."""
        self.fence += FENCE_STEP

    async def start(self, run: Run) -> Result[StartReply, WorkerFault]:
        """Send the start of a run, which also extends the lease."""
        self._before_extension()
        until_ms = self.lease.extend(now_s=anyio.current_time())
        run.start_deadline_ms = max(run.start_deadline_ms, until_ms)
        order = StartRun(
            run=run.ref, payload=run.order.payload, until_ms=until_ms, fence=self.fence
        )
        return await call_within(CALL_TIMEOUT_S, self.port.start(order))

    async def stop(self, ref: RunRef, *, is_revoked: bool = False) -> Result[int, WorkerFault]:
        """Send the stop of a run; that of a revoked one is repeated sooner, within its lease."""
        timeout_s = REVOKED_STOP_TIMEOUT_S if is_revoked else CALL_TIMEOUT_S
        return await call_within(timeout_s, self.port.stop(ref, self.fence))

    async def request_list(
        self, *, wait_s: float
    ) -> tuple[ListRequest, Result[RunList, WorkerFault]]:
        """Renew the lease and request the list of runs; a long poll of up to ``wait_s``."""
        self.list_request_count += 1
        request = ListRequest(number=self.list_request_count, sent_at_s=anyio.current_time())
        call = self.port.renew(self._renewal(wait_s))
        return request, await call_within(max(wait_s, LIST_WAIT_S) + CALL_TIMEOUT_S, call)

    def _renewal(self, wait_s: float) -> Renewal:
        """Return the next renewal; it does not extend the lease of an unresponsive worker.

        The lease of such a worker then expires at a known time, after which no run is active on it.
        """
        self._before_extension()
        until_ms = None
        now_s = anyio.current_time()
        is_extended = self.is_responsive or not self.is_listed
        if self.lease.clock.is_known and is_extended and self.lease.remaining_s(now_s=now_s) > 0:
            until_ms = self.lease.extend(now_s=now_s)
        return Renewal(
            fence=self.fence,
            seen_cursor=self.seen_cursor,
            until_ms=until_ms,
            wait_ms=int(wait_s * 1000),
        )

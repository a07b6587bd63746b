"""Heartbeats that name another incarnation of an agent's worker, until the worker confirms one.

A heartbeat may come from another writer, or from an earlier incarnation of the worker. Only the
process that answers at the worker's address can tell which incarnation it is.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok

from persimmoncrank.coordination.execution._worker_calls import (
    CALL_TIMEOUT_S,
    FENCE_STEP,
    call_within,
)
from persimmoncrank.coordination.execution._worker_connection import LIST_WAIT_S
from persimmoncrank.protocol import Renewal, WorkerFaultKind, WorkerHeartbeat

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmoncrank.protocol import WorkerPort

log = logging.getLogger(__name__)

MAX_CLAIMS = 8
RETRY_INTERVAL_S = 0.05
ANSWER_TIMEOUT_S = LIST_WAIT_S + CALL_TIMEOUT_S  # as for each list of runs


@dataclass(frozen=True, kw_only=True, slots=True)
class IncarnationClaim:
    """A heartbeat of an incarnation that is not confirmed, and when it arrived."""

    heartbeat: WorkerHeartbeat
    received_at_s: float


class IncarnationClaims:
    """Asks the worker which of the incarnations that heartbeats have named it is."""

    def __init__(
        self,
        *,
        worker_port: Callable[[WorkerHeartbeat], WorkerPort],
        fence: Callable[[], int],
        clock: Callable[[], float],
        expires_after_s: float,
        on_confirmed: Callable[[IncarnationClaim], None],
    ) -> None:
        """Create an empty set of claims.

        ``clock`` returns the time in seconds by which a claim expires. ``fence`` returns the token
        for the calls.
        """
        self._worker_port = worker_port
        self._fence = fence
        self._clock = clock
        self._expires_after_s = expires_after_s
        self._on_confirmed = on_confirmed
        self._claims: OrderedDict[tuple[str, int], IncarnationClaim] = OrderedDict()
        self._added = anyio.Event()

    def add(self, heartbeat: WorkerHeartbeat) -> None:
        """Add a claim; it replaces an earlier one of the same incarnation."""
        key = (heartbeat.worker, heartbeat.incarnation)
        known = self._claims.get(key)
        if known is not None and known.heartbeat.sequence > heartbeat.sequence:
            return
        self._claims[key] = IncarnationClaim(heartbeat=heartbeat, received_at_s=self._clock())
        while len(self._claims) > MAX_CLAIMS:
            _, dropped = self._claims.popitem(last=False)
            _log_dropped(dropped, "too many other incarnations are named")
        self._added.set()

    async def run(self) -> None:
        """Check claims until cancelled; those that the worker does not answer are repeated."""
        while True:
            if not self._claims:
                self._added = anyio.Event()
                await self._added.wait()
            for claim in list(self._claims.values()):
                await self._check(claim)
            if self._claims:
                await anyio.sleep(RETRY_INTERVAL_S)

    async def _check(self, claim: IncarnationClaim) -> None:
        heartbeat = claim.heartbeat
        key = (heartbeat.worker, heartbeat.incarnation)
        is_confirmed = await _answers_as(
            heartbeat, port=self._worker_port(heartbeat), fence=self._fence()
        )
        if is_confirmed:
            self._on_confirmed(self._claims.pop(key, claim))
        elif is_confirmed is False:
            self._claims.pop(key, None)
            _log_dropped(claim, "another incarnation answers at the worker's address")
        elif self._clock() > claim.received_at_s + self._expires_after_s:
            self._claims.pop(key, None)
            _log_dropped(claim, "the worker does not answer")


async def _answers_as(heartbeat: WorkerHeartbeat, *, port: WorkerPort, fence: int) -> bool | None:
    """Return whether the worker is the incarnation that sent a heartbeat; None if unknown."""
    while True:
        renewal = Renewal(fence=fence, seen_cursor=0, until_ms=None, wait_ms=0)
        match await call_within(ANSWER_TIMEOUT_S, port.renew(renewal)):
            case Ok(runs):
                return runs.incarnation == heartbeat.incarnation
            case Err(fault) if fault.kind is WorkerFaultKind.WRONG_INCARNATION:
                return False
            case Err(fault) if fault.kind is WorkerFaultKind.STALE_FENCE:
                fence += FENCE_STEP
            case _:
                return None


def _log_dropped(claim: IncarnationClaim, cause: str) -> None:
    log.warning(
        "agent: heartbeat ignored worker=%s life=%d service=%s cause=%s",
        claim.heartbeat.worker,
        claim.heartbeat.incarnation,
        claim.heartbeat.service,
        cause,
    )

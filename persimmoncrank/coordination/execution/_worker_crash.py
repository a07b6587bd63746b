"""What the end of a worker's incarnation means for the runs that were active on it.

A worker may start again under the id that it had. A start that was on its way then reaches the
next incarnation, which accepts it. So a run that the ended incarnation has never listed is over
only once whatever answers at the worker's address has confirmed a stop of it.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
from result import Err, Ok

from persimmoncrank.coordination.execution._worker_calls import (
    CALL_TIMEOUT_S,
    FENCE_STEP,
    RETRY_DELAY_S,
    call_within,
)
from persimmoncrank.protocol import (
    CrashedRun,
    OrderOutcome,
    Renewal,
    RunEndKind,
    RunList,
    RunRef,
    WorkerFaultKind,
    WorkerPort,
)
from persimmoncrank.state import Run, RunState

if TYPE_CHECKING:
    from collections.abc import Iterable

log = logging.getLogger(__name__)

RECENT_START_S = 0.1  # most tasks that crash their worker do so while they start

_ABSENT = (WorkerFaultKind.DOWN, WorkerFaultKind.WRONG_INCARNATION)


def describe_crash(
    active: Iterable[Run],
    unexplained: Iterable[Run],
    *,
    crashed_at_s: float,
    lease_until_s: float,
) -> tuple[CrashedRun, ...]:
    """Return the runs that were active when a worker crashed, and those that may have been.

    ``unexplained`` are runs that had been lost with the lease, for an unknown reason.
    """
    is_in_lease = crashed_at_s <= lease_until_s

    def describe(run: Run, *, is_confirmed: bool) -> CrashedRun:
        return CrashedRun(
            ref=run.order.ref,
            kind=run.order.kind,
            is_recent=run.ordered_at_s >= crashed_at_s - RECENT_START_S,
            is_confirmed=is_confirmed,
        )

    return (
        *(describe(run, is_confirmed=run.is_confirmed and is_in_lease) for run in active),
        *(describe(run, is_confirmed=False) for run in unexplained),
    )


def is_sent_after(run: Run, down_since_s: float | None) -> bool:
    """Return whether a start is still on its way to a worker that was down before, if it was.

    A start that was answered, or whose connection broke, may have been what ended the worker: the
    failure before it may have been that of a single connection.
    """
    if down_since_s is None:
        return False
    return run.ordered_at_s > down_since_s and run.state is RunState.ORDERED


async def stop_at_next_incarnation(
    ref: RunRef, *, port: WorkerPort, fence: int
) -> OrderOutcome | None:
    """Make sure that a run is not active at whatever answers at the worker's address.

    Returns DONE or LOST if the run has started there, and None if it has not. A confirmed stop also
    keeps a start that arrives later from being accepted.
    """
    has_started = is_stopped = False
    while True:
        if is_stopped:
            renewal = Renewal(fence=fence, seen_cursor=0, until_ms=None, wait_ms=0)
            answer = await call_within(CALL_TIMEOUT_S, port.renew(renewal))
        else:
            answer = await call_within(CALL_TIMEOUT_S, port.stop(ref, fence))
        match answer:
            case Ok(RunList() as runs):
                if all(entry.run != ref for entry in runs.running):
                    kinds = {end.kind for end in runs.ended if end.run == ref}
                    if RunEndKind.DONE in kinds:
                        return OrderOutcome.DONE
                    return OrderOutcome.LOST if kinds or has_started else None
                has_started = True
                await anyio.sleep(RETRY_DELAY_S)
            case Ok(_):
                is_stopped = True
            case Err(fault) if fault.kind in _ABSENT:
                return OrderOutcome.LOST if has_started else None
            case Err(fault) if fault.kind is WorkerFaultKind.STALE_FENCE:
                fence += FENCE_STEP
            case Err(_):
                await anyio.sleep(RETRY_DELAY_S)

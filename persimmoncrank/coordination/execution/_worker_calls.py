"""Time limits of calls from an agent to its worker, and the fencing tokens that they carry."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
from result import Err, Result

from persimmoncrank.protocol import WorkerFault, WorkerFaultKind

if TYPE_CHECKING:
    from collections.abc import Awaitable

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.1
RETRY_DELAY_S = 0.02
FENCE_STEP = 1_000_000  # 1000 s, since an agent's first token is the Unix time in ms


async def call_within(timeout_s: float, call: Awaitable[Result]) -> Result:
    """Return the answer of a call to the worker, or a fault after ``timeout_s``."""
    with anyio.move_on_after(timeout_s):
        return await call
    fault = WorkerFault(kind=WorkerFaultKind.NO_ANSWER, message=f"no answer within {timeout_s:g} s")
    return Err(fault)

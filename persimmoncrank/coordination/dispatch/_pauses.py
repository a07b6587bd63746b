"""Notices that the process did not run for a while, for example while its machine was frozen.

Requests that waited in its sockets meanwhile may come from callers that have left. The end of such
a connection is read only some passes of the event loop after its request.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

MIN_PAUSE_S = 0.4
CATCH_UP_S = 5.0  # after a pause, for which requests that waited may still be read
LOOP_PASSES = 8  # the end of a connection reaches its request within half of them


class PauseDetector:
    """Detects pauses of the process from the times of ``observe``, which is called regularly."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Create a detector; ``clock`` returns seconds and counts time in suspension."""
        self._clock = clock
        self._observed_at_s: float | None = None
        self._catching_up_until_s: float | None = None

    def observe(self) -> None:
        """Record that the process runs."""
        now_s = self._clock()
        if self._observed_at_s is not None and now_s - self._observed_at_s >= MIN_PAUSE_S:
            paused_ms = (now_s - self._observed_at_s) * 1000
            log.warning("entry: process did not run paused_ms=%d", paused_ms)
            self._catching_up_until_s = now_s + CATCH_UP_S
        self._observed_at_s = now_s

    async def wait_for_disconnects(self) -> None:
        """Return once the end of a caller's connection would have been read, if it has left."""
        self.observe()
        if self._catching_up_until_s is None or self._clock() >= self._catching_up_until_s:
            return
        for _ in range(LOOP_PASSES):
            await anyio.lowlevel.checkpoint()

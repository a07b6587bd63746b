"""A lower bound of the time on a worker's steady clock."""

from __future__ import annotations

import logging
from dataclasses import dataclass

log = logging.getLogger(__name__)

SLOWEST_RATE = 0.98  # a worker's clock may be 2% slow


@dataclass(kw_only=True)
class WorkerClock:
    """Estimates a worker's clock from the newest answer that named it."""

    _clock_ms: int = -1
    _read_at_s: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether the worker has named its time."""
        return self._clock_ms >= 0

    def note(self, clock_ms: int, *, now_s: float) -> bool:
        """Take over a time from an answer; return False if a newer one is known."""
        if clock_ms < self._clock_ms:
            return False
        self._clock_ms = clock_ms
        self._read_at_s = now_s
        return True

    def estimate_ms(self, *, now_s: float) -> int:
        """Return a time that the worker's clock has reached."""
        return self._clock_ms + int((now_s - self._read_at_s) * 1000 * SLOWEST_RATE)

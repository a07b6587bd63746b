"""A lower bound of the time on a worker's monotonic clock."""

from __future__ import annotations

import logging
from dataclasses import dataclass

log = logging.getLogger(__name__)

MIN_CLOCK_RATE = 0.98  # a worker's clock may run up to 2% slow


@dataclass(kw_only=True)
class WorkerClock:
    """Estimates a worker's clock from its newest reading."""

    _clock_ms: int = -1
    _read_at_s: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether there is a reading."""
        return self._clock_ms >= 0

    def update(self, clock_ms: int, *, now_s: float) -> bool:
        """Store a reading; return False if a later one is already stored."""
        if clock_ms < self._clock_ms:
            return False
        self._clock_ms = clock_ms
        self._read_at_s = now_s
        return True

    def estimate_ms(self, *, now_s: float) -> int:
        """Return a time that the worker's clock has certainly reached."""
        return self._clock_ms + int((now_s - self._read_at_s) * 1000 * MIN_CLOCK_RATE)

    def is_older(self, clock_ms: int, *, age_s: float, now_s: float) -> bool:
        """Return whether a reading, -1 if unknown, was certainly taken more than ``age_s`` ago."""
        if not self.is_known or clock_ms < 0:
            return False
        return self.estimate_ms(now_s=now_s) - clock_ms > age_s * 1000

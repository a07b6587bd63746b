"""A circuit breaker: after consecutive failures it lets only occasional probes through."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)

FAILURES_TO_OPEN = 2
FIRST_OPEN_S = 5.0
LONGEST_OPEN_S = 60.0


class Breaker:
    """The circuit breaker in front of one backend server.

    While it is open, one task is let through as a probe at the end of each period. The period
    doubles with each failed probe, up to a maximum; a success closes the breaker.
    """

    def __init__(self) -> None:
        """Create a closed breaker."""
        self._failures_in_row = 0
        self._open_s = 0.0
        self._open_until_s = 0.0
        self._is_probing = False

    @property
    def is_open(self) -> bool:
        """Whether only probes are let through."""
        return self._open_s > 0.0

    def try_pass(self, *, now_s: float) -> bool:
        """Return whether a task may start now; letting a probe through starts the next period."""
        if not self.is_open:
            return True
        if now_s < self._open_until_s:
            return False
        self._open_until_s = now_s + self._open_s
        self._is_probing = True
        return True

    def record_success(self) -> None:
        """Close the breaker."""
        self._failures_in_row = 0
        self._open_s = 0.0
        self._is_probing = False

    def record_failure(self, *, now_s: float) -> bool:
        """Count a failure; return True if it opens the breaker."""
        self._failures_in_row += 1
        if self._failures_in_row < FAILURES_TO_OPEN:
            return False
        was_open = self.is_open
        if not was_open or self._is_probing:
            self._open_s = min(max(2 * self._open_s, FIRST_OPEN_S), LONGEST_OPEN_S)
            self._open_until_s = now_s + self._open_s
        self._is_probing = False
        return not was_open

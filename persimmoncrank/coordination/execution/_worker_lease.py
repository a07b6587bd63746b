"""The lease under which runs are active on a worker, by the worker's clock."""

from __future__ import annotations

import logging

from persimmoncrank.coordination.execution._worker_calls import CALL_TIMEOUT_S
from persimmoncrank.coordination.execution._worker_clock import WorkerClock

log = logging.getLogger(__name__)

CLOCK_DRIFT_FACTOR = 1.02  # a worker's clock may run up to 2% slow
LEASE_EXPIRY_MARGIN_S = 0.05


class WorkerLease:
    """The lease at one incarnation of a worker. ``extended_at_s`` is when it was last extended."""

    def __init__(self, *, lease_s: float, limit_s: float) -> None:
        """Create a lease of ``lease_s``; the worker shortens a longer one to ``limit_s``."""
        self.clock = WorkerClock()
        self.extended_at_s = 0.0
        self._lease_s = lease_s
        self._limit_s = limit_s
        self._extended_until_ms = 0
        self._revoked_until_ms: int | None = None

    @property
    def until_s(self) -> float:
        """The time until which the worker certainly keeps the lease."""
        return self.extended_at_s + self._lease_s

    @property
    def longest_until_s(self) -> float:
        """The time at which runs have ended at any incarnation that received a call."""
        return self.extended_at_s + CALL_TIMEOUT_S + _expires_after_s(self._limit_s)

    @property
    def is_revoked(self) -> bool:
        """Whether the lease is not extended beyond a fixed time."""
        return self._revoked_until_ms is not None

    def remaining_s(self, *, now_s: float) -> float:
        """Return how long the lease lasts if it is extended now; 0 or less if it may not be."""
        if self._revoked_until_ms is None:
            return self._lease_s
        remaining_ms = self._revoked_until_ms - self.clock.estimate_ms(now_s=now_s)
        return min(self._lease_s, remaining_ms / 1000)

    def extend(self, *, now_s: float) -> int:
        """Record an extension, and return its end on the worker's clock in milliseconds.

        A revoked lease is extended at most to the time at which it has to end; the worker ignores
        an end that is earlier than the one that it has.
        """
        remaining_s = self.remaining_s(now_s=now_s)
        self.extended_at_s = max(self.extended_at_s, now_s + remaining_s - self._lease_s)
        until_ms = self.clock.estimate_ms(now_s=now_s) + int(remaining_s * 1000)
        self._extended_until_ms = max(self._extended_until_ms, until_ms)
        return until_ms

    def revoke(self) -> None:
        """Do not extend the lease any more until it is restored."""
        self._revoke_at(self._extended_until_ms)

    def revoke_after_one_lease(self, *, now_s: float, lost_before_s: float = 0.0) -> None:
        """Let the lease end one lease after the loss of a run's entry, ``lost_before_s`` ago.

        The end is fixed on the worker's clock, so that a later pause of the agent does not move it.
        """
        remaining_ms = int((self._lease_s - lost_before_s) * 1000)
        self._revoke_at(self.clock.estimate_ms(now_s=now_s) + remaining_ms)

    def _revoke_at(self, until_ms: int) -> None:
        """Do not extend the lease beyond a time, or beyond the earliest of several."""
        known_ms = self._revoked_until_ms
        self._revoked_until_ms = until_ms if known_ms is None else min(known_ms, until_ms)

    def restore(self) -> None:
        """Extend the lease as usual again."""
        self._revoked_until_ms = None

    def has_expired(self, *, now_s: float) -> bool:
        """Return whether the lease has certainly expired on the worker's clock."""
        return now_s - self.extended_at_s > _expires_after_s(self._lease_s)


def _expires_after_s(lease_s: float) -> float:
    """Return how long after its extension a lease has certainly expired on the worker's clock."""
    return lease_s * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_MARGIN_S

"""A latency histogram with fixed buckets, for the metrics endpoint."""

from __future__ import annotations

import bisect
import logging
from dataclasses import dataclass, field

log = logging.getLogger(__name__)

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


@dataclass(kw_only=True)
class LatencyHistogram:
    """Counts of times in seconds; the last count is for times above all buckets."""

    sum_s: float = 0.0
    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))

    def observe(self, time_s: float) -> None:
        """Add an observation."""
        self.sum_s += time_s
        self.counts[bisect.bisect_left(BUCKETS_S, time_s)] += 1

    def cumulative(self) -> dict[str, int]:
        """Return the cumulative count of each bucket, keyed by its upper bound."""
        total = 0
        counts_by_bound: dict[str, int] = {}
        for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), self.counts, strict=True):
            total += count
            counts_by_bound[bound] = total
        return counts_by_bound

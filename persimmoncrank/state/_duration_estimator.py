"""Expected run times of tasks from declared estimates, which are often inaccurate."""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from dataclasses import dataclass, field

log = logging.getLogger(__name__)

WEIGHT_OF_NEWEST = 0.05
WEIGHT_OF_ESTIMATE = 0.5  # an estimate's error is about as large as the spread within a kind
MIN_ESTIMATE_S = 0.001
MAX_KINDS = 1_000  # callers choose their names


@dataclass(kw_only=True)
class DurationEstimator:
    """Averages a job's own estimate with the mean estimate of its kind, on a log scale.

    The means of the kinds that were seen last are kept.
    """

    _mean_logs: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def nominal_s(self, *, kind: str, estimate_s: float) -> float:
        """Return the expected time on a worker of speed 1, and update the mean of the kind."""
        log_estimate = math.log(max(estimate_s, MIN_ESTIMATE_S))
        mean = self._mean_logs.pop(kind, log_estimate)
        mean += WEIGHT_OF_NEWEST * (log_estimate - mean)
        self._mean_logs[kind] = mean
        if len(self._mean_logs) > MAX_KINDS:
            self._mean_logs.popitem(last=False)
        return math.exp(WEIGHT_OF_ESTIMATE * log_estimate + (1 - WEIGHT_OF_ESTIMATE) * mean)

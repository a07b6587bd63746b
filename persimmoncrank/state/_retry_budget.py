"""A budget for repeating idempotent tasks, so that failures do not multiply the load."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)

RETRIES_PER_TASK = 0.1
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Each placed task earns a part of a retry; each retry spends a whole one."""

    def __init__(self) -> None:
        """Create a full budget."""
        self._saved = MAX_SAVED_RETRIES

    def earn(self, tasks: int) -> None:
        """Note that tasks were placed for the first time."""
        self._saved = min(self._saved + tasks * RETRIES_PER_TASK, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry out of the budget; return False if there is none left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

"""A retry budget for idempotent tasks, so that failures do not multiply the load."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)

RETRIES_PER_TASK = 0.1
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Each newly placed task adds a fraction of a retry; each retry takes a whole one."""

    def __init__(self) -> None:
        """Create a full budget."""
        self._saved = MAX_SAVED_RETRIES

    def earn(self, tasks: int) -> None:
        """Credit the budget for tasks that were placed for the first time."""
        self._saved = min(self._saved + tasks * RETRIES_PER_TASK, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

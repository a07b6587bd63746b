"""The configuration in force at an entry: the queues of its jobs, and withdrawn failure domains."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from persimmoncrank.protocol import QueueTable
from persimmoncrank.state import NO_VERSION

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from persimmoncrank.protocol import Queue

log = logging.getLogger(__name__)

MAX_LOGGED_PATH_CHARS = 100


def unknown_age_s() -> float:
    """Return the age of a configuration that nobody confirms."""
    return math.inf


class Routing:
    """The newest configuration that an entry knows.

    ``version`` is the store's version of it, which orders configurations; the version of the queues
    is the operator's own number. ``is_loaded`` is set once there are queues. ``age_s`` returns the
    time since the store last confirmed the configuration.
    """

    def __init__(self, *, age_s: Callable[[], float] = unknown_age_s) -> None:
        """Create a routing without a configuration."""
        self.version = NO_VERSION
        self.is_loaded = False
        self.queues = QueueTable()
        self.withdrawn: frozenset[str] = frozenset()
        self.unknown_queue_count = 0
        self.age_s = age_s

    def set(self, queues: QueueTable | None, withdrawn: Iterable[str], version: int) -> bool:
        """Take over a configuration; return False if it is not newer than the current one.

        Without queues, the current ones stay in force.
        """
        if version <= self.version:
            return False
        self.version = version
        if queues is not None:
            self.queues = queues
            self.is_loaded = True
        self.withdrawn = frozenset(withdrawn)
        log.info(
            "entry: configuration in force version=%d queues_version=%d queues=%d withdrawn=%s",
            version,
            self.queues.version,
            len(self.queues.queues),
            ",".join(sorted(self.withdrawn)) or "none",
        )
        return True

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue for a request, or None if there is none."""
        queue = self.queues.find(host, path)
        if queue is None:
            self.unknown_queue_count += 1
            log.info(
                "entry: no queue for request path=%s host=%s config_version=%d queues_version=%d"
                " config_age_ms=%s",
                path[:MAX_LOGGED_PATH_CHARS],
                host[:MAX_LOGGED_PATH_CHARS],
                self.version,
                self.queues.version,
                self.age_text(),
            )
        return queue

    def age_text(self) -> str:
        """Return the age of the configuration in milliseconds, for log lines."""
        age_s = self.age_s()
        return f"{age_s * 1000:.0f}" if math.isfinite(age_s) else "unknown"

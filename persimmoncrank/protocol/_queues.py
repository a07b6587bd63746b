"""Jobs for workers, the queues that receive them, and the configuration of the queues."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from persimmoncrank.protocol._dispatch import Demand
from persimmoncrank.protocol._errors import ServiceError

log = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """One queue: where its jobs run, and its latency objective.

    Priority 0 is the highest. The objective of a job is ``stretch`` times the expected time of
    its critical path, plus ``objective_s``. ``enforces_capacity`` means that the service's workers
    refuse tasks that do not fit.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    objective_s: float
    enforces_capacity: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueTable:
    """One version of the configuration of all queues."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    max_body_bytes: int = 262_144

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest matching path prefix."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matches, key=lambda queue: len(queue.path_prefix), default=None)


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """One step of a job: identical tasks that start once the steps in ``after`` are done.

    ``rack`` is the label of the workers near the step's data; elsewhere its tasks take longer.
    """

    count: int
    demand: Demand
    estimate_s: float
    after: tuple[int, ...] = ()
    image: str = ""
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerJob:
    """One job under the caller's own id; ``deadline_s`` is measured from its arrival.

    ``unsupported`` names the features that the job requests and the dispatcher does not support.
    """

    job_id: str
    queue: Queue
    payload: str
    steps: tuple[Step, ...]
    deadline_s: float
    unsupported: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerJobAnswer:
    """How a job ended: completed, failed with a cause, or an error."""

    is_completed: bool = False
    cause: str = ""
    error: ServiceError | None = None

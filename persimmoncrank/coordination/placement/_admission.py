"""Admission control: refuses jobs that cannot be served, before any of their tasks starts."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from persimmoncrank.coordination.placement._placement import can_fit, is_allowed
from persimmoncrank.protocol import (
    BatchTask,
    Commitment,
    ConfigSnapshot,
    ErrorKind,
    JobSpec,
    ServiceError,
    TaskSpec,
    refusal,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmoncrank.state import AgentView

log = logging.getLogger(__name__)

RETRY_AFTER_MS = 1_000


def find_commitment(spec: JobSpec, config: ConfigSnapshot) -> Result[Commitment, ServiceError]:
    """Return the commitment that covers a job, or the reason why none does."""
    commitment = config.commitment(spec.customer)
    if commitment is None:
        message = f"no commitment for customer {spec.customer!r}"
        return Err(refusal(ErrorKind.UNKNOWN_CUSTOMER, message, field="customer"))
    if commitment.is_ended:
        message = f"the commitment of customer {spec.customer!r} has ended"
        return Err(refusal(ErrorKind.COMMITMENT_ENDED, message, field="customer"))
    for task in spec.tasks:
        if task.kind not in commitment.kinds:
            return Err(
                refusal(
                    ErrorKind.UNCOVERED_KIND,
                    f"kind {task.kind!r} is not covered for customer {spec.customer!r}",
                    field=f"tasks[{task.index}].kind",
                )
            )
    return Ok(commitment)


def check_shape(spec: JobSpec, config: ConfigSnapshot) -> Result[None, ServiceError]:
    """Check that a job's number of tasks and its deadline are within bounds."""
    limit = config.limits.max_tasks_per_job
    if not 1 <= len(spec.tasks) <= limit:
        message = f"a job must have 1 to {limit} tasks, but this one has {len(spec.tasks)}"
        return Err(refusal(ErrorKind.INVALID_REQUEST, message, field="tasks"))
    if spec.deadline_ms <= 0:
        return Err(
            refusal(ErrorKind.INVALID_REQUEST, "the deadline must be positive", field="deadline_ms")
        )
    return Ok(None)


def check_fit(
    spec: JobSpec, commitment: Commitment, config: ConfigSnapshot, views: Sequence[AgentView]
) -> Result[None, ServiceError]:
    """Check that each task can run on at least one known agent that the job may use."""
    allowed = [view for view in views if is_allowed(view, commitment, config)]
    if not allowed:
        return Err(
            refusal(
                ErrorKind.NO_ALLOWED_DOMAIN,
                f"no backend server is available to customer {spec.customer!r}",
                retry_after_ms=RETRY_AFTER_MS,
            )
        )
    distinct_tasks: dict[tuple[str, float, int], TaskSpec] = {}
    for task in spec.tasks:
        distinct_tasks.setdefault((task.kind, task.processors, task.memory_bytes), task)
    for task in distinct_tasks.values():
        if not any(can_fit(view, BatchTask(spec=task, attempt=0)) for view in allowed):
            message = (
                f"no backend server runs kind {task.kind!r} with {task.processors:g} processors"
                f" and {task.memory_bytes} bytes of memory"
            )
            return Err(refusal(ErrorKind.CANNOT_RUN, message, field=f"tasks[{task.index}]"))
    return Ok(None)


def check_wait(
    spec: JobSpec, config: ConfigSnapshot, expected_ms: float
) -> Result[None, ServiceError]:
    """Check that the expected completion is within the deadline and the queueing limit."""
    if expected_ms > spec.deadline_ms:
        message = (
            f"expected completion in {expected_ms:.0f} ms"
            f" exceeds the deadline of {spec.deadline_ms} ms"
        )
        return Err(
            refusal(
                ErrorKind.DEADLINE_UNREACHABLE,
                message,
                field="deadline_ms",
                retry_after_ms=RETRY_AFTER_MS,
            )
        )
    if expected_ms > config.limits.max_queued_s * 1000:
        message = f"expected completion in {expected_ms:.0f} ms exceeds the queueing limit"
        return Err(refusal(ErrorKind.OVERLOADED, message, retry_after_ms=RETRY_AFTER_MS))
    return Ok(None)

"""Messages between entries and agents about starting tasks."""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass

from persimmoncrank.protocol._jobs import TaskSpec

log = logging.getLogger(__name__)


class OutcomeState(enum.StrEnum):
    """The state of a task at an agent.

    ``REFUSED`` means that this attempt has not started there and never will.
    """

    QUEUED = "queued"
    STARTED = "started"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class RefusalReason(enum.StrEnum):
    """Why an agent refused to start a task."""

    NOT_CURRENT = "not_current"
    DOMAIN_WITHDRAWN = "domain_withdrawn"
    BACKEND_RETIRED = "backend_retired"
    ISSUER_GONE = "issuer_gone"
    LEAVING = "leaving"
    CANCELLED = "cancelled"
    CLOSED = "closed"
    QUEUE_FULL = "queue_full"
    TOO_LATE = "too_late"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_FAILING = "backend_failing"


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchTask:
    """One task of a batch; ``attempt`` increases each time the task is placed again."""

    spec: TaskSpec
    attempt: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RunBatch:
    """Asks the agent of incarnation ``agent`` to run tasks of one job.

    ``deadline_ms`` is the time left until the job's deadline when the message is sent; ``hold_ms``
    is how long the reply may wait for the tasks to end; ``task_count`` is the number of tasks in
    the whole job. The message is idempotent: a repeat is answered from the start records.
    """

    agent: str
    submission_id: str
    deadline_ms: int
    hold_ms: int
    is_idempotent: bool
    task_count: int
    tasks: tuple[BatchTask, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskOutcome:
    """The state of one task; ``detail`` is the result body or the failure's message."""

    index: int
    attempt: int
    state: OutcomeState
    detail: bytes = b""
    run_time_ms: int = 0
    reason: RefusalReason | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentLoad:
    """The load of an agent: its waiting and running tasks, from all entries."""

    queued: int = 0
    running: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchReply:
    """The ended tasks of a batch; the others are still queued or running."""

    agent: str
    is_known: bool
    outcomes: tuple[TaskOutcome, ...] = ()
    load: AgentLoad = AgentLoad()


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskAttempt:
    """Identifies one attempt of one task."""

    index: int
    attempt: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelBatch:
    """Asks an agent to refuse the tasks that have not started.

    The reply contains the state of each of them, including tasks that the agent never received.
    """

    agent: str
    submission_id: str
    task_count: int
    tasks: tuple[TaskAttempt, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CloseSubmissions:
    """Asks an agent to start no more tasks of some submissions and to report its records."""

    agent: str
    submission_ids: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmissionRecords:
    """An agent's records of one submission; ``task_count`` is 0 if the agent has none."""

    submission_id: str
    task_count: int
    outcomes: tuple[TaskOutcome, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CloseReply:
    """An agent's records of the requested submissions, as far as it has any."""

    agent: str
    is_known: bool
    records: tuple[SubmissionRecords, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class HandedOverRecord:
    """One start record of a leaving agent."""

    submission_id: str
    task_count: int
    outcome: TaskOutcome
    age_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HandOver:
    """Start records that a leaving agent sends to an entry before it exits."""

    agent: str
    is_last: bool
    records: tuple[HandedOverRecord, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class HandOverReply:
    """``is_taken`` is true if the records were accepted.

    For the last message of a handover it also means that the departure was written to the store.
    """

    is_taken: bool

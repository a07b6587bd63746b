"""Messages between entries and agents for tasks that run on workers, and the worker interface.

Each pair of an entry and an agent exchanges frames over one stream. Frames are encoded as arrays
rather than maps, since bytes between failure domains are the most expensive part of the control
traffic.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from result import Result

from persimmoncrank.protocol._platform import Row

log = logging.getLogger(__name__)


class Demand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An amount of a worker's resources: thousandths of a core, MB, and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Demand) -> Demand:
        """Return the sum."""
        return Demand(
            cpu_millis=self.cpu_millis + other.cpu_millis,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Demand) -> Demand:
        """Return the difference, which may be negative."""
        return Demand(
            cpu_millis=self.cpu_millis - other.cpu_millis,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def fits_in(self, available: Demand) -> bool:
        """Return whether the available resources cover this demand."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


class TaskRef(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Identifies one task of a job."""

    job_id: str
    step: int
    index: int


class TaskOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An entry's order to run one task once.

    ``order_id`` is unique within an entry's incarnation. ``worker_incarnation`` is the
    incarnation number of the worker that was chosen; another incarnation may be of a different
    service or kind. ``nominal_s`` is the expected time on a worker of speed 1. The order becomes
    void if it has not started ``start_within_s`` after its arrival, or after the agent received the
    entry's lease for it. ``rank`` orders waiting tasks
    of the same priority: the one with the least slack comes first. Tasks of the same ``kind`` run
    the same code.
    """

    order_id: int
    worker_incarnation: int
    ref: TaskRef
    payload: str
    demand: Demand
    priority: int
    rank: float
    nominal_s: float
    start_within_s: float
    kind: str = ""


class OrderOutcome(enum.IntEnum):
    """How an order ended.

    After ``NOT_STARTED`` the task has not run under this order. After ``LOST``, ``STOPPED`` and
    ``CRASHED`` it may have run for some time but is no longer running. ``CRASHED`` means that the
    worker crashed meanwhile; ``LOST`` also covers workers and agents that only became unreachable.
    """

    DONE = 1
    FAILED = 2
    STOPPED = 3
    LOST = 4
    NOT_STARTED = 5
    CRASHED = 6


class CrashedRun(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A run that may have been active when its worker crashed.

    ``is_recent`` means that it had just been ordered, ``is_confirmed`` that the worker had reported
    it as running and crashed before its lease expired.
    """

    ref: TaskRef
    kind: str
    is_recent: bool
    is_confirmed: bool = False


class WorkerCrash(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A crash of one incarnation of a worker, and runs that were active on it.

    Several messages may report different runs of the same crash. ``age_s`` is the time since the
    crash when the message is made. ``service`` is that of the worker.
    """

    worker: str
    incarnation: int
    runs: tuple[CrashedRun, ...]
    age_s: float = 0.0
    service: str = ""


class OrderEnd(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The end of an order; ``run_s`` is the time from the start to the end on the worker."""

    event_id: int
    order_id: int
    outcome: OrderOutcome
    run_s: float
    cause: str = ""


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A worker's state as its agent sees it.

    ``orders_seen`` is the number of orders of the receiving entry that ``free`` accounts for.
    ``slowness`` is the run time of tasks relative to a worker of speed 1.
    ``worker_incarnation`` is the worker's incarnation number.
    """

    worker: str
    worker_incarnation: int
    service: str
    labels: tuple[str, ...]
    capacity: Demand
    free: Demand
    slowness: float
    is_accepting: bool
    is_suspect: bool
    queued: int
    orders_seen: int


class EntryAddress(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Where an incarnation of an entry serves its streams, and its copies to other entries."""

    incarnation: str
    address: str
    peer_address: str = ""


class TableCopyRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks an agent to read the operator's table for an entry.

    The rows are sent only if they are newer than ``known_version`` and differ from those with
    ``known_digest``. A negative version means that the entry has no copy.
    """

    number: int
    known_version: int
    known_digest: int


class TableCopy(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The operator's table as an agent has read it after request ``number`` had arrived."""

    number: int
    version: int
    rows: tuple[Row, ...] | None = None


class AgentHello(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The first frame of a stream: the agent's identity and the entry's orders that it holds.

    ``orders_seen`` is the number of orders that the agent has received from this incarnation of the
    entry, and ``cancels_seen`` the entry's number of the last cancelled job that it was told of.
    """

    agent: str
    incarnation: str
    domain: str
    held: tuple[int, ...] = ()
    orders_seen: int = 0
    cancels_seen: int = 0


class AgentFrame(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One message from an agent; ``challenge`` requests a renewal of the entry's lease.

    ``next_within_s`` is the longest time until the agent's next frame while it holds no order of
    the entry. ``crashes`` are sent to all entries, so that any of them can take over a job with the
    number of workers that have crashed under its tasks. ``cancelled`` are jobs of which the entry
    has sent orders or has runs here, although they were cancelled at another entry.
    """

    challenge: int = 0
    hello: AgentHello | None = None
    report: WorkerReport | None = None
    started: tuple[int, ...] = ()
    ended: tuple[OrderEnd, ...] = ()
    next_within_s: float = 0.0
    crashes: tuple[WorkerCrash, ...] = ()
    copy: TableCopy | None = None
    cancelled: tuple[str, ...] = ()


class EntryFrame(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One message from an entry; ``challenge`` echoes the agent's challenge that it answers.

    ``seen_event`` acknowledges the ends of orders up to that event. ``withdrawn`` is None unless
    the set of withdrawn failure domains changed. ``cancelled`` are the ids of cancelled jobs up to
    the entry's number ``cancels_up_to``; it is 0 in a frame without any.
    """

    entry: str
    challenge: int = 0
    starts: tuple[TaskOrder, ...] = ()
    stops: tuple[int, ...] = ()
    seen_event: int = 0
    config_version: int = 0
    withdrawn: tuple[str, ...] | None = None
    entries: tuple[EntryAddress, ...] = ()
    copy_request: TableCopyRequest | None = None
    cancelled: tuple[str, ...] = ()
    cancels_up_to: int = 0


class StartRefusal(enum.StrEnum):
    """Why a worker refused to start a run."""

    STALE_FENCE = "fence"
    OLD_RUN = "old run"
    LATE = "late"
    NO_CAPACITY = "no room"
    UNHEALTHY = "unhealthy"
    WRONG_INCARNATION = "wrong life"
    INVALID = "invalid"


class RunEndKind(enum.StrEnum):
    """How a run ended on its worker.

    ``LAPSED`` means that the worker's lease expired. Agents report ``LAPSED``, ``BROKEN`` and
    ``ALONE`` to entries as ``OrderOutcome.LOST``.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, kw_only=True, slots=True)
class RunRef:
    """One run of a task; ``number`` increases with each start of the task."""

    task: TaskRef
    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RunningRun:
    """A run that a worker lists as running."""

    run: RunRef
    percent: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedRun:
    """A run that a worker lists as ended; ``cursor`` numbers the ends of one worker incarnation."""

    cursor: int
    run: RunRef
    kind: RunEndKind


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRun:
    """A request to a worker to start a run; ``until_ms`` is a time on the worker's clock."""

    run: RunRef
    payload: str
    until_ms: int
    fence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StartReply:
    """A worker's reply to a start request: its clock, and the reason if it refused."""

    clock_ms: int
    refusal: StartRefusal | None


@dataclass(frozen=True, kw_only=True, slots=True)
class RunList:
    """A worker's reply to a renewal of its lease: its clock and its runs."""

    clock_ms: int
    incarnation: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Renewal:
    """A request for a worker's runs; it also renews the lease unless ``until_ms`` is None."""

    fence: int
    seen_cursor: int
    until_ms: int | None
    wait_ms: int


class WorkerFaultKind(enum.StrEnum):
    """Why a call to a worker failed; after NO_ANSWER it may still take effect later.

    ``DOWN`` means that nothing listens at the worker's address on the agent's own machine.
    """

    NO_ANSWER = "no answer"
    NOT_CONNECTED = "not connected"
    DOWN = "down"
    WRONG_INCARNATION = "wrong life"
    STALE_FENCE = "fence"
    REFUSED = "refused"


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerFault:
    """The error of a failed call to a worker."""

    kind: WorkerFaultKind
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerPort:
    """The calls to one incarnation of a worker."""

    start: Callable[[StartRun], Awaitable[Result[StartReply, WorkerFault]]]
    stop: Callable[[RunRef, int], Awaitable[Result[int, WorkerFault]]]
    renew: Callable[[Renewal], Awaitable[Result[RunList, WorkerFault]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerHeartbeat:
    """The state that a worker announces; ``incarnation`` increases each time the worker starts.

    ``clock_ms`` is the time on the worker's clock when it sent the heartbeat, -1 if not known.
    """

    worker: str
    incarnation: int
    address: str
    service: str
    labels: tuple[str, ...]
    capacity: Demand
    is_draining: bool
    sequence: int
    clock_ms: int = -1

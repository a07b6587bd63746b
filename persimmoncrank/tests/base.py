"""Helpers of the tests: processes over in-memory ports in virtual time, and their history."""

from __future__ import annotations

import logging
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
import trio
from result import Err, Ok, Result
from trio.testing import MockClock

from persimmoncrank.coordination import (
    AgentLimits,
    AgentNode,
    BackendFailure,
    EntryNode,
    EntryPorts,
    JobLimits,
)
from persimmoncrank.protocol import (
    AgentInfo,
    Call,
    EntryInfo,
    Intent,
    IntentKind,
    JobAnswer,
    JobSpec,
    JobState,
    PeerError,
    PeerErrorKind,
    ServiceError,
    TableService,
    TaskSpec,
    decode_message,
    encode_json,
    encode_message,
)
from persimmoncrank.standin import MemoryPlatform

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from persimmoncrank.protocol import Handler

log = logging.getLogger(__name__)

T = TypeVar("T")

CUSTOMER = "passeggiate"
KIND = "walker-check-in"
DOMAINS = ("monza", "seregno", "vimercate")
UNIX_EPOCH_MS = 1_800_000_000_000
LEAST_DELAY_S = 0.0005
MEAN_EXTRA_DELAY_S = 0.0005
SILENT_S = 3_600.0


def run_virtual(main: Callable[[], Awaitable[T]], *, seed: int = 0) -> T:
    """Run a coroutine function in virtual time; the same seed gives the same run."""
    trio._core._run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})


@dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """One start of a task at a backend server."""

    at_s: float
    submission_id: str
    index: int
    agent: str
    backend: str
    domain: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """One answer that a caller got."""

    at_s: float
    spec: JobSpec
    answer: Result[JobAnswer, ServiceError]

    @property
    def error(self) -> ServiceError | None:
        """The error of a refused or failed job."""
        return self.answer.unwrap().error if self.answer.is_ok() else self.answer.unwrap_err()

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer came."""
        return self.answer.is_ok() and self.answer.unwrap().state == JobState.COMPLETE


@dataclass(frozen=True, kw_only=True, slots=True)
class Restriction:
    """A failure domain or backend server that may start nothing after an acceptance."""

    accepted_at_s: float
    ended_at_s: float
    domain: str = ""
    backend: str = ""


@dataclass(kw_only=True)
class History:
    """What happened in a run, as its invariants need it."""

    starts: list[Start] = field(default_factory=list)
    answers: list[Answered] = field(default_factory=list)
    restrictions: list[Restriction] = field(default_factory=list)
    versions: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))


@dataclass(kw_only=True)
class NetworkFaults:
    """The faults of a network: probabilities for each message, and pairs that are cut."""

    loss: float = 0.0
    duplication: float = 0.0
    slow: float = 0.0
    slow_delay_s: float = 0.3
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    cut_domains: set[frozenset[str]] = field(default_factory=set)


class Process:
    """One process: its handlers, its task group, and whether it is paused."""

    def __init__(self, *, name: str, domain: str, address: str) -> None:
        """Create a process that is not running."""
        self.name = name
        self.domain = domain
        self.address = address
        self.handlers: dict[type, Handler] = {}
        self.group: TaskGroup | None = None
        self.is_alive = False
        self._resumed = anyio.Event()
        self._resumed.set()

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return not self._resumed.is_set()

    def pause(self) -> None:
        """Stop the process at its ports."""
        if not self.is_paused:
            self._resumed = anyio.Event()

    def resume(self) -> None:
        """Let the process go on."""
        self._resumed.set()

    async def gate(self) -> None:
        """Wait while the process is paused."""
        while self.is_paused:
            await self._resumed.wait()

    def kill(self) -> None:
        """End the process at once."""
        self.is_alive = False
        if self.group is not None:
            self.group.cancel_scope.cancel()


class Network:
    """Messages between processes, with delay, loss, duplication, cuts and silent connections."""

    def __init__(self, *, rng: random.Random) -> None:
        """Create a network without processes."""
        self.rng = rng
        self.faults = NetworkFaults()
        self.by_address: dict[str, Process] = {}
        self.messages: dict[str, int] = defaultdict(int)
        self._silent: set[tuple[str, str]] = set()

    def silence(self, source: str, target: str) -> None:
        """Make the open connection between two addresses silent until it is replaced."""
        self._silent.add((source, target))

    def port(self, source: Process) -> Call:
        """Return the call port of a process."""

        async def call(
            address: str, message: Any, reply_type: type[T], timeout_s: float
        ) -> Result[T, PeerError]:
            await source.gate()
            self.messages[type(message).__name__] += 1
            answer = await self._exchange(source, address, message, reply_type, timeout_s)
            await source.gate()
            return answer

        return call

    async def _exchange(
        self, source: Process, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T, PeerError]:
        target = self.by_address.get(address)
        with anyio.move_on_after(timeout_s):
            await self._travel()
            if target is None or not target.is_alive:
                return Err(PeerError(kind=PeerErrorKind.UNREACHABLE, message="refused"))
            if self._is_dropped(source, target):
                await anyio.sleep(SILENT_S)
            replies = self._deliver(target, message)
            if self.rng.random() < self.faults.duplication:
                self._deliver(target, message)
            await replies.event.wait()
            await self._travel()
            if self._is_dropped(target, source) or not replies.content:
                await anyio.sleep(SILENT_S)
            return Ok(decode_message(replies.content, reply_type))
        self._silent.discard((source.address, address))
        return Err(PeerError(kind=PeerErrorKind.TIMEOUT, message="no reply"))

    async def _travel(self) -> None:
        delay_s = LEAST_DELAY_S + self.rng.expovariate(1 / MEAN_EXTRA_DELAY_S)
        if self.rng.random() < self.faults.slow:
            delay_s += self.faults.slow_delay_s * self.rng.random()
        await anyio.sleep(delay_s)

    def _is_dropped(self, source: Process, target: Process) -> bool:
        pair = frozenset((source.name, target.name))
        domains = frozenset((source.domain, target.domain))
        addresses = {(source.address, target.address), (target.address, source.address)}
        return (
            pair in self.faults.cut_pairs
            or domains in self.faults.cut_domains
            or bool(addresses & self._silent)
            or self.rng.random() < self.faults.loss
        )

    def _deliver(self, target: Process, message: Any) -> _Reply:
        reply = _Reply()
        if target.group is not None:
            target.group.start_soon(self._handle, target, encode_message(message), message, reply)
        return reply

    async def _handle(self, target: Process, data: bytes, message: Any, reply: _Reply) -> None:
        await target.gate()
        handler = target.handlers.get(type(message))
        if handler is not None:
            answer = await handler.handle(decode_message(data, type(message)))
            await target.gate()
            reply.content = encode_message(answer)
        reply.event.set()


@dataclass(kw_only=True)
class _Reply:
    """The reply to one delivered message."""

    content: bytes = b""
    event: anyio.Event = field(default_factory=anyio.Event)


@dataclass(kw_only=True)
class AgentOptions:
    """How a test's agent and its backend server behave."""

    slots: int = 8
    slowness: float = 1.0
    is_failing: bool = False
    fails_unreached: bool = False
    hang_s: float = 0.0


@dataclass(kw_only=True)
class EntryHandle:
    """A running entry of a test."""

    process: Process
    node: EntryNode


@dataclass(kw_only=True)
class AgentHandle:
    """A running agent of a test."""

    process: Process
    node: AgentNode
    options: AgentOptions


class World:
    """Entries, agents, backend servers and the platform of one test run."""

    def __init__(self, *, group: TaskGroup, seed: int) -> None:
        """Create a world in which nothing runs yet."""
        self.group = group
        self.rng = random.Random(seed)
        self.network = Network(rng=self.rng)
        self.platform = MemoryPlatform()
        self.history = History()
        self.entries: dict[str, EntryHandle] = {}
        self.agents: dict[str, AgentHandle] = {}
        self._incarnations = 0

    # Processes

    def _new_process(self, name: str, domain: str) -> Process:
        self._incarnations += 1
        return Process(name=name, domain=domain, address=f"{name}:1")

    async def _host(self, process: Process, run: Callable[[], Awaitable[Any]]) -> None:
        is_expelled = False
        async with anyio.create_task_group() as group:
            process.group = group
            process.is_alive = True
            is_expelled = await run() is True
            process.is_alive = False
            group.cancel_scope.cancel()
        process.is_alive = False
        if is_expelled and self.entries[process.name].process is process:
            self.start_entry(process.name, process.domain)

    def _guarded_table(self, process: Process) -> TableService:
        table = self.platform.table()

        def guard(send: Callable[..., Awaitable[Any]]) -> Callable[..., Awaitable[Any]]:
            async def call(*args: Any) -> Any:
                await process.gate()
                answer = await send(*args)
                await process.gate()
                return answer

            return call

        return TableService(
            get=guard(table.get), transact=guard(table.transact), scan=guard(table.scan)
        )

    def start_entry(self, name: str, domain: str = DOMAINS[0]) -> EntryHandle:
        """Start an entry as a new incarnation."""
        process = self._new_process(name, domain)
        node = EntryNode(
            info=EntryInfo(
                incarnation=f"{name}-{self._incarnations}",
                rpc_address=process.address,
                domain=domain,
            ),
            region="lombardia",
            ports=EntryPorts(
                call=self.network.port(process),
                table=self._guarded_table(process),
                objects=self.platform.objects(),
                unix_ms=unix_ms,
                rng=random.Random(self.rng.random()),
            ),
            limits=JobLimits(),
            record_retention_s=240.0,
        )
        process.handlers = {h.request_type: h for h in node.handlers}
        self.network.by_address[process.address] = process
        handle = EntryHandle(process=process, node=node)
        self.entries[name] = handle
        self.group.start_soon(self._host, process, node.run)
        self.group.start_soon(self._watch_versions, process, node)
        return handle

    def start_agent(
        self, name: str, domain: str, options: AgentOptions | None = None
    ) -> AgentHandle:
        """Start an agent as a new incarnation."""
        options = options or AgentOptions()
        process = self._new_process(name, domain)
        info = AgentInfo(
            incarnation=f"{name}-{self._incarnations}",
            backend=f"backend-{name}",
            rpc_address=process.address,
            domain=domain,
            kinds=(KIND,),
            slots=options.slots,
            processors=64.0,
            memory_bytes=2**38,
        )
        node = AgentNode(
            info=info,
            seeds=tuple(e.process.address for e in self.entries.values()),
            call=self.network.port(process),
            call_backend=self._backend(info, options, process),
            limits=AgentLimits(),
        )
        process.handlers = {h.request_type: h for h in node.handlers}
        self.network.by_address[process.address] = process
        handle = AgentHandle(process=process, node=node, options=options)
        self.agents[name] = handle
        self.group.start_soon(self._host, process, node.run)
        return handle

    def _backend(
        self, info: AgentInfo, options: AgentOptions, process: Process
    ) -> Callable[[str, TaskSpec], Awaitable[Result[bytes, BackendFailure]]]:
        async def run_task(submission_id: str, task: TaskSpec) -> Result[bytes, BackendFailure]:
            if options.fails_unreached:
                return Err(BackendFailure(message="refused", may_have_run=False))
            self.history.starts.append(
                Start(
                    at_s=anyio.current_time(),
                    submission_id=submission_id,
                    index=task.index,
                    agent=info.incarnation,
                    backend=info.backend,
                    domain=info.domain,
                )
            )
            if options.is_failing:
                return Err(BackendFailure(message="down", may_have_run=True, has_answered=True))
            await anyio.sleep(options.hang_s + task.run_time_ms * options.slowness / 1000)
            await process.gate()
            return Ok(result_of(submission_id, task))

        return run_task

    async def _watch_versions(self, process: Process, node: EntryNode) -> None:
        versions = self.history.versions[node.info.incarnation]
        versions.append(0)
        while process.is_alive or len(versions) == 1:
            versions.append(node.keeper.snapshot.version)
            await anyio.sleep(0.1)

    # Callers and operators

    async def issue_id(self, entry: str) -> str:
        """Take one submission id."""
        return self.entries[entry].node.jobs.issue_ids(1).unwrap()[0]

    async def submit(
        self, entry: str, spec: JobSpec, *, key: str | None = None, wait_s: float | None = None
    ) -> Answered:
        """Submit a job through an entry and note its answer."""
        submissions = self.entries[entry].node.submissions
        if wait_s is None:
            wait_s = spec.deadline_ms / 1000 + 1
        if key is not None:
            answer = await submissions.submit_with_key(spec, key=key, wait_s=wait_s)
        else:
            answer = await submissions.submit(spec, wait_s=wait_s)
        return self.note(spec, answer)

    def note(self, spec: JobSpec, answer: Result[JobAnswer, ServiceError]) -> Answered:
        """Note an answer in the history."""
        answered = Answered(at_s=anyio.current_time(), spec=spec, answer=answer)
        self.history.answers.append(answered)
        return answered

    async def operate(self, entry: str, intent: Intent) -> Result[Any, ServiceError]:
        """Propose and confirm an intent; return the report."""
        plans = self.entries[entry].node.plans
        planned = await plans.propose(intent)
        if planned.is_err():
            return planned
        return await plans.confirm(planned.unwrap().plan.plan_id)

    async def add_customer(self, entry: str, domains: tuple[str, ...] = ()) -> None:
        """Add the customer of the tests."""
        intent = Intent(
            kind=IntentKind.ADD_CUSTOMER, target=CUSTOMER, kinds=(KIND,), domains=domains
        )
        (await self.operate(entry, intent)).unwrap()

    async def withdraw(self, entry: str, domain: str) -> Result[Any, ServiceError]:
        """Withdraw a failure domain and note the acceptance."""
        return await self._restrict(entry, IntentKind.WITHDRAW_DOMAIN, domain)

    async def retire(self, entry: str, backend: str) -> Result[Any, ServiceError]:
        """Retire a backend server and note the acceptance."""
        return await self._restrict(entry, IntentKind.RETIRE_BACKEND, backend)

    async def _restrict(
        self, entry: str, kind: IntentKind, target: str
    ) -> Result[Any, ServiceError]:
        report = await self.operate(entry, Intent(kind=kind, target=target))
        if report.is_ok() and report.unwrap().state in ("accepted", "in_force"):
            is_domain = kind == IntentKind.WITHDRAW_DOMAIN
            self.history.restrictions.append(
                Restriction(
                    accepted_at_s=anyio.current_time(),
                    ended_at_s=float("inf"),
                    domain=target if is_domain else "",
                    backend="" if is_domain else target,
                )
            )
        return report

    def note_returned(self, domain: str) -> None:
        """Note that a failure domain may start tasks from now on."""
        now_s = anyio.current_time()
        self.history.restrictions = [
            Restriction(accepted_at_s=r.accepted_at_s, ended_at_s=now_s, domain=r.domain)
            if r.domain == domain and r.ended_at_s > now_s
            else r
            for r in self.history.restrictions
        ]


def unix_ms() -> int:
    """Return a wall clock that runs with virtual time."""
    return UNIX_EPOCH_MS + int(anyio.current_time() * 1000)


def result_of(submission_id: str, task: TaskSpec) -> bytes:
    """Return the result that belongs to one task of one submission and to no other."""
    return encode_json(f"{submission_id}/{task.index}/{task.payload.decode()}")


def make_job(
    submission_id: str,
    *,
    tasks: int = 4,
    run_time_ms: int = 200,
    deadline_ms: int = 10_000,
    is_idempotent: bool = False,
) -> JobSpec:
    """Return a job of equal tasks."""
    return JobSpec(
        submission_id=submission_id,
        customer=CUSTOMER,
        deadline_ms=deadline_ms,
        is_idempotent=is_idempotent,
        tasks=tuple(
            TaskSpec(
                index=index,
                kind=KIND,
                payload=str(index).encode(),
                run_time_ms=run_time_ms,
                processors=1.0,
                memory_bytes=0,
            )
            for index in range(tasks)
        ),
    )


async def settle(world: World, timeout_s: float = 20.0) -> None:
    """Wait until every entry is ready and hears every live agent."""
    with anyio.fail_after(timeout_s):
        while not _is_settled(world):
            await anyio.sleep(0.1)


def _is_settled(world: World) -> bool:
    entries = [e.node for e in world.entries.values() if e.process.is_alive]
    live = sum(agent.process.is_alive for agent in world.agents.values())
    return all(e.is_ready() and len(e.views.live()) == live for e in entries) and bool(entries)


async def start_world(group: TaskGroup, seed: int, *, entries: int = 3, agents: int = 6) -> World:
    """Start entries and agents over all domains, with the customer of the tests."""
    world = World(group=group, seed=seed)
    for number in range(entries):
        world.start_entry(f"e{number}", DOMAINS[number % len(DOMAINS)])
    for number in range(agents):
        world.start_agent(f"a{number}", DOMAINS[number % len(DOMAINS)])
    await settle(world)
    await world.add_customer("e0")
    return world

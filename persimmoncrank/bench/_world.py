"""Simulated entries, agents, backend servers and platform of one run in virtual time."""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
from result import Err, Ok, Result

from persimmoncrank.bench._history import AnswerRecord, History, Restriction, TaskStart
from persimmoncrank.bench._network import Network, Process
from persimmoncrank.coordination import (
    AgentLimits,
    AgentNode,
    BackendFailure,
    EntryNode,
    EntryPorts,
    JobLimits,
    PlacementPolicyFactory,
    shortest_completion,
)
from persimmoncrank.protocol import (
    AgentInfo,
    EntryInfo,
    Intent,
    IntentKind,
    JobAnswer,
    JobSpec,
    ServiceError,
    StoreError,
    StoreErrorKind,
    TableService,
    TaskSpec,
    encode_json,
)
from persimmoncrank.standin import MemoryPlatform

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

log = logging.getLogger(__name__)

CUSTOMER = "passeggiate"
KIND = "walker-check-in"
DOMAINS = ("monza", "seregno", "vimercate")
UNIX_EPOCH_MS = 1_800_000_000_000


@dataclass(kw_only=True)
class AgentOptions:
    """The behaviour of an agent and its backend server.

    ``hang_s`` is added to the run time of every task. ``refuses_connections`` makes the backend
    server unreachable, so that no task starts. The tasks at ``crashing_indexes`` of a job end the
    backend server, which is down for ``restart_s``.
    """

    slots: int = 8
    slowness: float = 1.0
    is_failing: bool = False
    refuses_connections: bool = False
    hang_s: float = 0.0
    crashing_indexes: frozenset[int] = frozenset()
    restart_s: float = 0.5


@dataclass(kw_only=True)
class EntryHandle:
    """A simulated entry and its process."""

    process: Process
    node: EntryNode


@dataclass(kw_only=True)
class AgentHandle:
    """A simulated agent, its process and its options."""

    process: Process
    node: AgentNode
    options: AgentOptions


class World:
    """The simulated processes, network and platform of one run, and the history of the run."""

    def __init__(self, *, group: TaskGroup, seed: int) -> None:
        """Create a world without processes."""
        self.group = group
        self.rng = random.Random(seed)
        self.network = Network(rng=self.rng)
        self.platform = MemoryPlatform()
        self.history = History()
        self.entries: dict[str, EntryHandle] = {}
        self.agents: dict[str, AgentHandle] = {}
        self.kinds: tuple[str, ...] = (KIND,)
        self.make_placement_policy: PlacementPolicyFactory = shortest_completion
        self.work_ms_of: Callable[[TaskSpec], float] = declared_work_ms
        self._incarnations = 0

    # Processes

    def _new_process(self, name: str, domain: str) -> Process:
        self._incarnations += 1
        return Process(name=name, domain=domain, address=f"{name}:1")

    async def _run_process(self, process: Process, run: Callable[[], Awaitable[Any]]) -> None:
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

    def _table_port(self, process: Process) -> TableService:
        table = self.platform.table()

        def guard(send: Callable[..., Awaitable[Any]]) -> Callable[..., Awaitable[Any]]:
            async def call(*args: Any) -> Any:
                await process.wait_while_paused()
                if not process.can_reach_store:
                    return Err(StoreError(kind=StoreErrorKind.UNAVAILABLE, message="cut off"))
                answer = await send(*args)
                await process.wait_while_paused()
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
                call=self.network.call_port(process),
                table=self._table_port(process),
                objects=self.platform.objects(),
                unix_ms=unix_ms,
                rng=random.Random(self.rng.random()),
            ),
            limits=JobLimits(),
            record_retention_s=240.0,
            make_placement_policy=self.make_placement_policy,
        )
        process.handlers = {h.request_type: h for h in node.handlers}
        self.network.by_address[process.address] = process
        handle = EntryHandle(process=process, node=node)
        self.entries[name] = handle
        self.group.start_soon(self._run_process, process, node.run)
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
            kinds=self.kinds,
            slots=options.slots,
            processors=64.0,
            memory_bytes=2**38,
        )
        node = AgentNode(
            info=info,
            seeds=tuple(e.process.address for e in self.entries.values()),
            call=self.network.call_port(process),
            call_backend=self._backend_port(info, options, process),
            limits=AgentLimits(),
        )
        process.handlers = {h.request_type: h for h in node.handlers}
        self.network.by_address[process.address] = process
        handle = AgentHandle(process=process, node=node, options=options)
        self.agents[name] = handle
        self.group.start_soon(self._run_process, process, node.run)
        return handle

    def _backend_port(
        self, info: AgentInfo, options: AgentOptions, process: Process
    ) -> Callable[[str, TaskSpec], Awaitable[Result[bytes, BackendFailure]]]:
        down_until_s = 0.0

        async def run_task(submission_id: str, task: TaskSpec) -> Result[bytes, BackendFailure]:
            nonlocal down_until_s
            if options.refuses_connections or anyio.current_time() < down_until_s:
                return Err(BackendFailure(message="refused", may_have_run=False))
            self.history.starts.append(
                TaskStart(
                    at_s=anyio.current_time(),
                    submission_id=submission_id,
                    index=task.index,
                    agent=info.incarnation,
                    backend=info.backend,
                    domain=info.domain,
                )
            )
            if task.index in options.crashing_indexes:
                down_until_s = anyio.current_time() + options.restart_s
                return Err(BackendFailure(message="connection closed", may_have_run=True))
            if options.is_failing:
                return Err(BackendFailure(message="down", may_have_run=True, has_answered=True))
            await anyio.sleep(options.hang_s + self.work_ms_of(task) * options.slowness / 1000)
            await process.wait_while_paused()
            return Ok(result_of(submission_id, task))

        return run_task

    async def _watch_versions(self, process: Process, node: EntryNode) -> None:
        versions = self.history.versions[node.info.incarnation]
        versions.append(0)
        while process.is_alive or len(versions) == 1:
            versions.append(node.config_replica.snapshot.version)
            await anyio.sleep(0.1)

    # Callers and operators

    async def issue_id(self, entry: str) -> str:
        """Return a new submission id issued by an entry."""
        return self.entries[entry].node.jobs.issue_ids(1).unwrap()[0]

    async def submit(
        self, entry: str, spec: JobSpec, *, key: str | None = None, wait_s: float | None = None
    ) -> AnswerRecord:
        """Submit a job through an entry and record the answer."""
        submissions = self.entries[entry].node.submissions
        if wait_s is None:
            wait_s = spec.deadline_ms / 1000 + 1
        if key is not None:
            answer = await submissions.submit_with_key(spec, key=key, wait_s=wait_s)
        else:
            answer = await submissions.submit(spec, wait_s=wait_s)
        return self.record_answer(spec, answer)

    def record_answer(self, spec: JobSpec, answer: Result[JobAnswer, ServiceError]) -> AnswerRecord:
        """Add an answer to the history."""
        answered = AnswerRecord(at_s=anyio.current_time(), spec=spec, answer=answer)
        self.history.answers.append(answered)
        return answered

    async def apply_intent(self, entry: str, intent: Intent) -> Result[Any, ServiceError]:
        """Propose an intent and confirm its plan; return the report."""
        plans = self.entries[entry].node.plans
        planned = await plans.propose(intent)
        if planned.is_err():
            return planned
        return await plans.confirm(planned.unwrap().plan.plan_id)

    async def add_customer(self, entry: str, domains: tuple[str, ...] = ()) -> None:
        """Add the customer ``CUSTOMER`` with its kind of task."""
        intent = Intent(
            kind=IntentKind.ADD_CUSTOMER, target=CUSTOMER, kinds=(KIND,), domains=domains
        )
        (await self.apply_intent(entry, intent)).unwrap()

    async def withdraw(self, entry: str, domain: str) -> Result[Any, ServiceError]:
        """Withdraw a failure domain and record the restriction once it is accepted."""
        return await self._restrict(entry, IntentKind.WITHDRAW_DOMAIN, domain)

    async def retire(self, entry: str, backend: str) -> Result[Any, ServiceError]:
        """Retire a backend server and record the restriction once it is accepted."""
        return await self._restrict(entry, IntentKind.RETIRE_BACKEND, backend)

    async def _restrict(
        self, entry: str, kind: IntentKind, target: str
    ) -> Result[Any, ServiceError]:
        report = await self.apply_intent(entry, Intent(kind=kind, target=target))
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

    def record_return(self, domain: str) -> None:
        """Record that a failure domain may start tasks from now on."""
        now_s = anyio.current_time()
        self.history.restrictions = [
            Restriction(accepted_at_s=r.accepted_at_s, ended_at_s=now_s, domain=r.domain)
            if r.domain == domain and r.ended_at_s > now_s
            else r
            for r in self.history.restrictions
        ]


def declared_work_ms(task: TaskSpec) -> float:
    """Return the declared run time of a task as its true work."""
    return task.run_time_ms


def unix_ms() -> int:
    """Return the Unix time in milliseconds, derived from virtual time."""
    return UNIX_EPOCH_MS + int(anyio.current_time() * 1000)


def result_of(submission_id: str, task: TaskSpec) -> bytes:
    """Return the result of a task, different for each task of each submission."""
    return encode_json(f"{submission_id}/{task.index}/{task.payload.decode()}")


async def wait_until_converged(world: World, timeout_s: float = 20.0) -> None:
    """Wait until every live entry is ready and counts every live agent as live."""
    with anyio.fail_after(timeout_s):
        while not _has_converged(world):
            await anyio.sleep(0.1)


def _has_converged(world: World) -> bool:
    entries = [e.node for e in world.entries.values() if e.process.is_alive]
    live = sum(agent.process.is_alive for agent in world.agents.values())
    return all(e.is_ready() and len(e.views.live()) == live for e in entries) and bool(entries)

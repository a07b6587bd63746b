"""Placement: selects the agent that runs each task of a job.

Each task goes to the agent with the shortest expected completion time. This is estimated from
measured service times, from the entry's own outstanding tasks and from the load that the agents
last reported.
"""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from persimmoncrank.protocol import BatchTask, Commitment, ConfigSnapshot
from persimmoncrank.state import AgentView, AgentViews, ServiceTimes

log = logging.getLogger(__name__)

MIN_TASKS_PER_BATCH = 4
"""Minimum average batch size of jobs that use more than ``MIN_AGENTS_PER_JOB`` agents."""

# A job may use this many agents even if its batches are then smaller.
MIN_AGENTS_PER_JOB = 8
MAX_AGENTS_RANKED = 128
"""Maximum number of agents ranked for one kind of task.

If there are more, placements rank successive subsets in turn, so that the cost of a placement does
not grow with the number of agents.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """The tasks of one job that are sent to one agent.

    ``expected_ms`` is the expected time until the last of them completes; ``service_ms`` holds the
    expected service time of each task by its index.
    """

    agent: AgentView
    tasks: tuple[BatchTask, ...]
    expected_ms: float
    service_ms: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """Tasks to be placed and the constraints on their placement.

    ``excluded_agents`` maps a task's index to the agents that it is not placed on again, because
    they refused it, or because it failed or was lost there.
    """

    tasks: tuple[BatchTask, ...]
    commitment: Commitment
    excluded_agents: dict[int, frozenset[str]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The batches of a job and the tasks for which no agent is available now."""

    batches: tuple[Batch, ...]
    unplaced: tuple[BatchTask, ...]


PlacementPolicy = Callable[[PlacementRequest, ConfigSnapshot, float], Placement]
"""A placement policy; the last argument is the current time in seconds."""


PlacementPolicyFactory = Callable[[AgentViews, ServiceTimes], PlacementPolicy]
"""Creates a placement policy from an entry's view of the agents and its service time estimates."""


def can_fit(view: AgentView, task: BatchTask) -> bool:
    """Return whether an agent supports a task's kind and has enough resources in total for it."""
    info, spec = view.info, task.spec
    return (
        spec.kind in info.kinds
        and spec.processors <= info.processors
        and spec.memory_bytes <= info.memory_bytes
    )


def is_allowed(view: AgentView, commitment: Commitment, config: ConfigSnapshot) -> bool:
    """Return whether the configuration and the commitment allow tasks on an agent."""
    domain = view.info.domain
    return (
        domain not in config.withdrawn_domains
        and view.info.backend not in config.retired_backends
        and (not commitment.domains or domain in commitment.domains)
    )


def shortest_completion(views: AgentViews, times: ServiceTimes) -> PlacementPolicy:
    """Return the policy that places each task on the agent expected to complete it first."""
    eligible = _EligibleAgents(views=views)
    rotation = _AgentRotation()

    def place(request: PlacementRequest, config: ConfigSnapshot, now_s: float) -> Placement:
        agents = eligible.find(request.commitment, config)
        candidates = [view for view in agents if view.quarantined_until_s <= now_s]
        assigner = _TaskAssigner(times=times, request=request, rotation=rotation)
        return assigner.run(candidates)

    return place


class _EligibleAgents:
    """Caches the live agents that each commitment allows.

    The cache is cleared when the set of live agents or the configuration changes.
    """

    def __init__(self, *, views: AgentViews) -> None:
        self._views = views
        self._live: tuple[AgentView, ...] = ()
        self._version = 0
        self._by_commitment: dict[Commitment, list[AgentView]] = {}

    def find(self, commitment: Commitment, config: ConfigSnapshot) -> list[AgentView]:
        """Return the live agents that a commitment allows."""
        live = self._views.live()
        if live is not self._live or config.version != self._version:
            self._live, self._version = live, config.version
            self._by_commitment.clear()
        found = self._by_commitment.get(commitment)
        if found is None:
            found = [view for view in live if is_allowed(view, commitment, config)]
            self._by_commitment[commitment] = found
        return found


class _AgentRotation:
    """Selects successive subsets of a long list of agents, wrapping around at its end."""

    def __init__(self) -> None:
        self._offset = 0

    def next_agents(self, agents: list[AgentView]) -> list[AgentView]:
        """Return the next subset, or the whole list if it is short."""
        count = len(agents)
        if count <= MAX_AGENTS_RANKED:
            return agents
        start = self._offset % count
        self._offset = start + MAX_AGENTS_RANKED
        first_part = agents[start : start + MAX_AGENTS_RANKED]
        return first_part + agents[: MAX_AGENTS_RANKED - len(first_part)]


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class _Candidate:
    """An agent considered for the next task.

    Candidates sort by expected completion, then by occupancy (less occupied first).
    """

    completion_ms: float
    occupancy: float
    order: int
    view: AgentView = field(compare=False)
    service_ms: float = field(compare=False)


class _TaskAssigner:
    """Places the tasks of one request, tracking the backlog that this adds to each candidate."""

    def __init__(
        self, *, times: ServiceTimes, request: PlacementRequest, rotation: _AgentRotation
    ) -> None:
        self._times = times
        self._rotation = rotation
        self._request = request
        self._assigned_tasks: dict[str, list[BatchTask]] = {}
        self._expected_service_ms: dict[str, dict[int, float]] = {}
        self._expected_ms: dict[str, float] = {}
        self._backlog_ms: dict[str, float] = {}

    def run(self, candidates: list[AgentView]) -> Placement:
        """Place the slowest kinds first, and the longest tasks first within a kind."""
        tasks = sorted(self._request.tasks, key=lambda t: t.spec.run_time_ms, reverse=True)
        by_kind: dict[str, list[BatchTask]] = {}
        for task in tasks:
            by_kind.setdefault(task.spec.kind, []).append(task)
        unplaced: list[BatchTask] = []
        for kind in sorted(by_kind, key=self._times.kind_ms, reverse=True):
            unplaced.extend(self._place_kind(by_kind[kind], candidates))
        agents = {view.info.incarnation: view for view in candidates}
        batches = tuple(
            Batch(
                agent=agents[agent],
                tasks=tuple(assigned),
                expected_ms=self._expected_ms[agent],
                service_ms=self._expected_service_ms[agent],
            )
            for agent, assigned in self._assigned_tasks.items()
        )
        return Placement(batches=batches, unplaced=tuple(unplaced))

    def _place_kind(self, tasks: list[BatchTask], candidates: list[AgentView]) -> list[BatchTask]:
        kind = tasks[0].spec.kind
        mean_ms = sum(task.spec.run_time_ms for task in tasks) / len(tasks)
        capable = self._rotation.next_agents(
            [view for view in candidates if kind in view.info.kinds]
        )

        def rank(view: AgentView) -> tuple[float, float]:
            service_ms = self._service_ms(view, kind, mean_ms)
            return self._completion_ms(view, service_ms), self._occupancy(view)

        agent_limit = max(MIN_AGENTS_PER_JOB, len(tasks) // MIN_TASKS_PER_BATCH)
        best = heapq.nsmallest(agent_limit, capable, key=rank)
        heap = [
            self._candidate(view, order, self._service_ms(view, kind, mean_ms))
            for order, view in enumerate(best)
        ]
        heapq.heapify(heap)
        unplaced = [task for task in tasks if not self._place_task(task, heap)]
        return unplaced

    def _place_task(self, task: BatchTask, heap: list[_Candidate]) -> bool:
        excluded = self._request.excluded_agents.get(task.spec.index, frozenset())
        examined = []
        is_placed = False
        while heap and not is_placed:
            best = heapq.heappop(heap)
            view = best.view
            agent = view.info.incarnation
            is_probe_pending = view.is_probing() and (
                agent in self._assigned_tasks or view.outstanding
            )
            if agent in excluded or is_probe_pending or not can_fit(view, task):
                examined.append(best)
                continue
            self._assign_task(task, best)
            examined.append(self._candidate(view, best.order, best.service_ms))
            is_placed = True
        for candidate in examined:
            heapq.heappush(heap, candidate)
        return is_placed

    def _candidate(self, view: AgentView, order: int, service_ms: float) -> _Candidate:
        return _Candidate(
            completion_ms=self._completion_ms(view, service_ms),
            occupancy=self._occupancy(view),
            order=order,
            view=view,
            service_ms=service_ms,
        )

    def _occupancy(self, view: AgentView) -> float:
        """Return the number of pending tasks per slot of an agent."""
        pending = (
            len(self._assigned_tasks.get(view.info.incarnation, ()))
            + view.outstanding
            + view.other_tasks
        )
        return pending / view.info.slots

    def _assign_task(self, task: BatchTask, best: _Candidate) -> None:
        agent = best.view.info.incarnation
        self._assigned_tasks.setdefault(agent, []).append(task)
        service_ms = self._expected_service_ms.setdefault(agent, {})
        service_ms[task.spec.index] = best.service_ms
        self._backlog_ms[agent] = self._backlog_ms.get(agent, 0.0) + best.service_ms
        self._expected_ms[agent] = max(self._expected_ms.get(agent, 0.0), best.completion_ms)

    def _service_ms(self, view: AgentView, kind: str, declared_ms: float) -> float:
        return self._times.expected_ms(
            agent=view.info.incarnation, kind=kind, declared_ms=declared_ms
        )

    def _completion_ms(self, view: AgentView, service_ms: float) -> float:
        """Return the expected time to complete a new task: the wait for a slot plus service."""
        slots = view.info.slots
        ahead_ms = self._backlog_ms.get(view.info.incarnation, 0.0)
        mean_ms = self._times.mean_ms(agent=view.info.incarnation, default_ms=service_ms)
        ahead_ms += view.outstanding_ms + view.other_tasks * mean_ms
        waiting_ms = max(0.0, ahead_ms - (slots - 1) * service_ms) / slots
        return waiting_ms + service_ms

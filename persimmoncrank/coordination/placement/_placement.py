"""Placement: which agent runs which task of a job.

Tasks are pushed to the agents with the shortest expected completion time, from learned service
times, the entry's own unsettled tasks and the load that agents last reported.
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
"""A job is not spread so thinly that its batches hold fewer tasks than this."""

MIN_AGENTS_PER_JOB = 8
MAX_AGENTS_RANKED = 128
"""Among more agents than this each placement looks at the next ones in turn, so that its cost does
not grow with the number of agents."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """The tasks of one job that go to one agent.

    ``expected_ms`` is when the last of them should complete; ``service_ms`` holds the expected
    service time of each task by its index.
    """

    agent: AgentView
    tasks: tuple[BatchTask, ...]
    expected_ms: float
    service_ms: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """Tasks that wait for an agent, and what restricts the choice.

    ``avoided`` maps a task's index to the agents that have refused it.
    """

    tasks: tuple[BatchTask, ...]
    commitment: Commitment
    avoided: dict[int, frozenset[str]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The batches of a job and the tasks for which no agent was found now."""

    batches: tuple[Batch, ...]
    unplaced: tuple[BatchTask, ...]


Place = Callable[[PlacementRequest, ConfigSnapshot, float], Placement]
"""A placement policy; the last argument is the present instant in seconds."""


MakePlace = Callable[[AgentViews, ServiceTimes], Place]
"""Makes a placement policy for an entry's view of the agents and its learned service times."""


def can_fit(view: AgentView, task: BatchTask) -> bool:
    """Tell whether an agent could ever run a task."""
    info, spec = view.info, task.spec
    return (
        spec.kind in info.kinds
        and spec.processors <= info.processors
        and spec.memory_bytes <= info.memory_bytes
    )


def is_allowed(view: AgentView, commitment: Commitment, config: ConfigSnapshot) -> bool:
    """Tell whether configuration and commitment let work go to an agent."""
    domain = view.info.domain
    return (
        domain not in config.withdrawn_domains
        and view.info.backend not in config.retired_backends
        and (not commitment.domains or domain in commitment.domains)
    )


def shortest_completion(views: AgentViews, times: ServiceTimes) -> Place:
    """Return the policy that places each task where it should complete first."""
    eligible = _EligibleAgents(views=views)
    turn = _RoundRobin()

    def place(request: PlacementRequest, config: ConfigSnapshot, now_s: float) -> Placement:
        agents = eligible.find(request.commitment, config)
        candidates = [view for view in agents if view.quarantined_until_s <= now_s]
        chooser = _Chooser(times=times, request=request, turn=turn)
        return chooser.run(candidates)

    return place


class _EligibleAgents:
    """The live agents that each commitment allows, kept until agents or configuration change."""

    def __init__(self, *, views: AgentViews) -> None:
        self._views = views
        self._live: tuple[AgentView, ...] = ()
        self._version = 0
        self._found: dict[Commitment, list[AgentView]] = {}

    def find(self, commitment: Commitment, config: ConfigSnapshot) -> list[AgentView]:
        """Return the agents for a commitment."""
        live = self._views.live()
        if live is not self._live or config.version != self._version:
            self._live, self._version = live, config.version
            self._found.clear()
        found = self._found.get(commitment)
        if found is None:
            found = [view for view in live if is_allowed(view, commitment, config)]
            self._found[commitment] = found
        return found


class _RoundRobin:
    """Takes a part of a long list of agents in turn."""

    def __init__(self) -> None:
        self._offset = 0

    def take(self, agents: list[AgentView]) -> list[AgentView]:
        """Return the next agents, or all of a short list."""
        count = len(agents)
        if count <= MAX_AGENTS_RANKED:
            return agents
        start = self._offset % count
        self._offset = start + MAX_AGENTS_RANKED
        taken = agents[start : start + MAX_AGENTS_RANKED]
        return taken + agents[: MAX_AGENTS_RANKED - len(taken)]


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class _Candidate:
    """One agent as a choice for the next task; among equals the emptier one comes first."""

    completion_ms: float
    occupancy: float
    order: int
    view: AgentView = field(compare=False)
    service_ms: float = field(compare=False)


class _Chooser:
    """The state of one placement: the expected backlog of each candidate."""

    def __init__(
        self, *, times: ServiceTimes, request: PlacementRequest, turn: _RoundRobin
    ) -> None:
        self._times = times
        self._turn = turn
        self._request = request
        self._chosen: dict[str, list[BatchTask]] = {}
        self._expected_service_ms: dict[str, dict[int, float]] = {}
        self._expected_ms: dict[str, float] = {}
        self._backlog_ms: dict[str, float] = {}

    def run(self, candidates: list[AgentView]) -> Placement:
        """Place the longest tasks first."""
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
                tasks=tuple(chosen),
                expected_ms=self._expected_ms[agent],
                service_ms=self._expected_service_ms[agent],
            )
            for agent, chosen in self._chosen.items()
        )
        return Placement(batches=batches, unplaced=tuple(unplaced))

    def _place_kind(self, tasks: list[BatchTask], candidates: list[AgentView]) -> list[BatchTask]:
        kind = tasks[0].spec.kind
        mean_ms = sum(task.spec.run_time_ms for task in tasks) / len(tasks)
        able = self._turn.take([view for view in candidates if kind in view.info.kinds])

        def rank(view: AgentView) -> tuple[float, float]:
            service_ms = self._service_ms(view, kind, mean_ms)
            return self._completion_ms(view, service_ms), self._occupancy(view)

        keep = max(MIN_AGENTS_PER_JOB, len(tasks) // MIN_TASKS_PER_BATCH)
        best = heapq.nsmallest(keep, able, key=rank)
        heap = [
            self._candidate(view, order, self._service_ms(view, kind, mean_ms))
            for order, view in enumerate(best)
        ]
        heapq.heapify(heap)
        unplaced = [task for task in tasks if not self._place_task(task, heap)]
        return unplaced

    def _place_task(self, task: BatchTask, heap: list[_Candidate]) -> bool:
        avoided = self._request.avoided.get(task.spec.index, frozenset())
        passed = []
        is_placed = False
        while heap and not is_placed:
            best = heapq.heappop(heap)
            view = best.view
            agent = view.info.incarnation
            is_probe_taken = view.is_probing() and (agent in self._chosen or view.outstanding)
            if agent in avoided or is_probe_taken or not can_fit(view, task):
                passed.append(best)
                continue
            self._choose(task, best)
            passed.append(self._candidate(view, best.order, best.service_ms))
            is_placed = True
        for candidate in passed:
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
        """Return the tasks for each slot of an agent."""
        ahead = len(self._chosen.get(view.info.incarnation, ())) + view.outstanding + view.others
        return ahead / view.info.slots

    def _choose(self, task: BatchTask, best: _Candidate) -> None:
        agent = best.view.info.incarnation
        self._chosen.setdefault(agent, []).append(task)
        service_ms = self._expected_service_ms.setdefault(agent, {})
        service_ms[task.spec.index] = best.service_ms
        self._backlog_ms[agent] = self._backlog_ms.get(agent, 0.0) + best.service_ms
        self._expected_ms[agent] = max(self._expected_ms.get(agent, 0.0), best.completion_ms)

    def _service_ms(self, view: AgentView, kind: str, declared_ms: float) -> float:
        return self._times.expected_ms(
            agent=view.info.incarnation, kind=kind, declared_ms=declared_ms
        )

    def _completion_ms(self, view: AgentView, service_ms: float) -> float:
        """Return when a task sent now should complete: waiting for a slot, then service."""
        slots = view.info.slots
        ahead_ms = self._backlog_ms.get(view.info.incarnation, 0.0)
        mean_ms = self._times.mean_ms(agent=view.info.incarnation, default_ms=service_ms)
        ahead_ms += view.outstanding_ms + view.others * mean_ms
        waiting_ms = max(0.0, ahead_ms - (slots - 1) * service_ms) / slots
        return waiting_ms + service_ms

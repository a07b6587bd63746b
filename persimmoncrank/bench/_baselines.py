"""Placement policies for comparison: the product's and simple baselines."""

from __future__ import annotations

import itertools
import logging
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from persimmoncrank.coordination import (
    Batch,
    Placement,
    PlacementPolicy,
    PlacementPolicyFactory,
    PlacementRequest,
    can_fit,
    is_allowed,
    shortest_completion,
)

if TYPE_CHECKING:
    from persimmoncrank.protocol import BatchTask, ConfigSnapshot
    from persimmoncrank.state import AgentView, AgentViews, ServiceTimes

log = logging.getLogger(__name__)

ChooseAgent = Callable[[Sequence["AgentView"], dict[str, int]], "AgentView"]
"""Chooses an agent; the mapping counts the tasks assigned to each in this placement."""


def _per_task_policy(choose: ChooseAgent, views: AgentViews) -> PlacementPolicy:
    """Return a policy that places tasks one by one, each on the agent that ``choose`` returns."""

    def place(request: PlacementRequest, config: ConfigSnapshot, now_s: float) -> Placement:
        allowed = [
            view
            for view in views.live()
            if view.quarantined_until_s <= now_s and is_allowed(view, request.commitment, config)
        ]
        assigned: dict[str, int] = {}
        tasks_by_agent: dict[str, list[BatchTask]] = {}
        unplaced = []
        for task in request.tasks:
            excluded = request.excluded_agents.get(task.spec.index, frozenset())
            eligible = [
                v for v in allowed if can_fit(v, task) and v.info.incarnation not in excluded
            ]
            if not eligible:
                unplaced.append(task)
                continue
            agent = choose(eligible, assigned).info.incarnation
            assigned[agent] = assigned.get(agent, 0) + 1
            tasks_by_agent.setdefault(agent, []).append(task)
        by_incarnation = {view.info.incarnation: view for view in allowed}
        batches = tuple(
            Batch(agent=by_incarnation[agent], tasks=tuple(tasks), expected_ms=0.0)
            for agent, tasks in tasks_by_agent.items()
        )
        return Placement(batches=batches, unplaced=tuple(unplaced))

    return place


def make_random(seed: int) -> PlacementPolicyFactory:
    """Return the policy that chooses agents uniformly at random."""
    rng = random.Random(seed)

    def make(views: AgentViews, _times: ServiceTimes) -> PlacementPolicy:
        return _per_task_policy(lambda eligible, _assigned: rng.choice(eligible), views)

    return make


def make_round_robin(_seed: int) -> PlacementPolicyFactory:
    """Return the policy that chooses agents in round-robin order."""

    def make(views: AgentViews, _times: ServiceTimes) -> PlacementPolicy:
        numbers = itertools.count()
        return _per_task_policy(
            lambda eligible, _assigned: eligible[next(numbers) % len(eligible)], views
        )

    return make


def make_two_choices(seed: int) -> PlacementPolicyFactory:
    """Return the policy that chooses the less loaded of two random agents."""
    rng = random.Random(seed)

    def choose(eligible: Sequence[AgentView], assigned: dict[str, int]) -> AgentView:
        pair = (rng.choice(eligible), rng.choice(eligible))
        return min(pair, key=lambda v: v.outstanding + assigned.get(v.info.incarnation, 0))

    def make(views: AgentViews, _times: ServiceTimes) -> PlacementPolicy:
        return _per_task_policy(choose, views)

    return make


def make_shortest_completion(_seed: int) -> PlacementPolicyFactory:
    """Return the product's policy."""
    return shortest_completion


POLICIES: dict[str, Callable[[int], PlacementPolicyFactory]] = {
    "shortest-completion": make_shortest_completion,
    "two-choices": make_two_choices,
    "round-robin": make_round_robin,
    "random": make_random,
}

"""Simple placement policies, to compare with."""

from __future__ import annotations

import itertools
import logging
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from persimmoncrank.coordination import (
    Batch,
    MakePlace,
    Place,
    Placement,
    PlacementRequest,
    can_fit,
    is_allowed,
    shortest_completion,
)

if TYPE_CHECKING:
    from persimmoncrank.protocol import BatchTask, ConfigSnapshot
    from persimmoncrank.state import AgentView, AgentViews, ServiceTimes

log = logging.getLogger(__name__)

Choose = Callable[[Sequence["AgentView"], dict[str, int]], "AgentView"]
"""Chooses an agent; the mapping holds the tasks given to each in this placement."""


def _policy(choose: Choose, views: AgentViews) -> Place:
    """Return a policy that chooses an agent for each task by itself."""

    def place(request: PlacementRequest, config: ConfigSnapshot, now_s: float) -> Placement:
        allowed = [
            view
            for view in views.live()
            if view.quarantined_until_s <= now_s and is_allowed(view, request.commitment, config)
        ]
        given: dict[str, int] = {}
        chosen: dict[str, list[BatchTask]] = {}
        unplaced = []
        for task in request.tasks:
            avoided = request.avoided.get(task.spec.index, frozenset())
            able = [v for v in allowed if can_fit(v, task) and v.info.incarnation not in avoided]
            if not able:
                unplaced.append(task)
                continue
            agent = choose(able, given).info.incarnation
            given[agent] = given.get(agent, 0) + 1
            chosen.setdefault(agent, []).append(task)
        by_name = {view.info.incarnation: view for view in allowed}
        batches = tuple(
            Batch(agent=by_name[agent], tasks=tuple(tasks), expected_ms=0.0)
            for agent, tasks in chosen.items()
        )
        return Placement(batches=batches, unplaced=tuple(unplaced))

    return place


def make_random(seed: int) -> MakePlace:
    """Return the policy that chooses any agent."""
    rng = random.Random(seed)

    def make(views: AgentViews, _times: ServiceTimes) -> Place:
        return _policy(lambda able, _given: rng.choice(able), views)

    return make


def make_round_robin(_seed: int) -> MakePlace:
    """Return the policy that takes the agents in turn."""

    def make(views: AgentViews, _times: ServiceTimes) -> Place:
        numbers = itertools.count()
        return _policy(lambda able, _given: able[next(numbers) % len(able)], views)

    return make


def make_two_choices(seed: int) -> MakePlace:
    """Return the policy that takes the less loaded of two agents chosen at random."""
    rng = random.Random(seed)

    def choose(able: Sequence[AgentView], given: dict[str, int]) -> AgentView:
        pair = (rng.choice(able), rng.choice(able))
        return min(pair, key=lambda v: v.outstanding + given.get(v.info.incarnation, 0))

    def make(views: AgentViews, _times: ServiceTimes) -> Place:
        return _policy(choose, views)

    return make


def make_shortest_completion(_seed: int) -> MakePlace:
    """Return the product's policy."""
    return shortest_completion


POLICIES: dict[str, Callable[[int], MakePlace]] = {
    "shortest-completion": make_shortest_completion,
    "two-choices": make_two_choices,
    "round-robin": make_round_robin,
    "random": make_random,
}

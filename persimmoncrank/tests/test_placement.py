"""Tests of the placement policy for shortest expected completion."""

from __future__ import annotations

from collections import Counter

import pytest

from persimmoncrank.coordination import PlacementRequest, shortest_completion
from persimmoncrank.protocol import (
    AgentInfo,
    AgentLoad,
    AgentStatus,
    BatchTask,
    Commitment,
    ConfigSnapshot,
)
from persimmoncrank.state import AgentViews, ServiceTimes
from persimmoncrank.tests.base import CUSTOMER, KIND, make_job

ANY_DOMAIN = Commitment(customer=CUSTOMER, kinds=(KIND,))
CONFIG = ConfigSnapshot(version=1)
NOW_S = 100.0


def make_views(count: int = 3) -> AgentViews:
    """Return the views of live agents, each in its own failure domain."""
    views = AgentViews(self_incarnation="e")
    for number in range(count):
        info = AgentInfo(
            incarnation=f"a{number}",
            backend=f"b{number}",
            rpc_address=f"a{number}:1",
            domain=f"d{number}",
            kinds=(KIND,),
            slots=8,
            processors=4.0,
            memory_bytes=100,
        )
        views.record_heartbeat(info, AgentStatus.LIVE, now_s=NOW_S)
    return views


def place(
    views: AgentViews,
    tasks: int,
    *,
    times: ServiceTimes | None = None,
    commitment: Commitment = ANY_DOMAIN,
    config: ConfigSnapshot = CONFIG,
    excluded_agents: dict[int, frozenset[str]] | None = None,
) -> Counter[str]:
    """Place a job; return the number of tasks per agent and of unplaced tasks."""
    specs = make_job("s", tasks=tasks).tasks
    request = PlacementRequest(
        tasks=tuple(BatchTask(spec=spec, attempt=0) for spec in specs),
        commitment=commitment,
        excluded_agents=excluded_agents or {},
    )
    policy = shortest_completion(views, times or ServiceTimes())
    placement = policy(request, config, NOW_S)
    task_counts = Counter({b.agent.info.incarnation: len(b.tasks) for b in placement.batches})
    task_counts["unplaced"] = len(placement.unplaced)
    return task_counts


def test_equal_agents_share_equally() -> None:
    assert place(make_views(), 12) == {"a0": 4, "a1": 4, "a2": 4, "unplaced": 0}


def test_slow_agent_gets_less() -> None:
    times = ServiceTimes()
    for agent, run_time_ms in (("a0", 100), ("a1", 100), ("a2", 300)):
        times.observe(agent=agent, kind=KIND, run_time_ms=run_time_ms)
    task_counts = place(make_views(), 60, times=times)
    assert task_counts["a0"] == task_counts["a1"]
    assert task_counts["a0"] > 2 * task_counts["a2"] > 0


def test_loaded_agent_gets_less() -> None:
    views = make_views(2)
    view = views.get("a0")
    assert view is not None
    view.update_load(AgentLoad(queued=20, running=8))
    task_counts = place(views, 20)
    assert task_counts["a0"] < task_counts["a1"]


@pytest.mark.parametrize(
    ("commitment", "config", "expected"),
    [
        (ANY_DOMAIN, ConfigSnapshot(version=2, withdrawn_domains=("d0",)), {"a1", "a2"}),
        (ANY_DOMAIN, ConfigSnapshot(version=2, retired_backends=("b2",)), {"a0", "a1"}),
        (Commitment(customer=CUSTOMER, kinds=(KIND,), domains=("d1",)), CONFIG, {"a1"}),
    ],
)
def test_tasks_go_only_to_allowed_agents(
    commitment: Commitment, config: ConfigSnapshot, expected: set[str]
) -> None:
    task_counts = place(make_views(), 30, commitment=commitment, config=config)
    assert {agent for agent, count in task_counts.items() if count} == expected


def test_task_avoids_agents_that_refused_it() -> None:
    excluded_agents = {0: frozenset({"a0", "a1"}), 1: frozenset({"a0", "a1", "a2"})}
    assert place(make_views(), 2, excluded_agents=excluded_agents) == {"a2": 1, "unplaced": 1}


def test_quarantined_agent_gets_nothing_and_then_one_probe() -> None:
    views = make_views(2)
    view = views.get("a0")
    assert view is not None
    quarantined = [view.record_failure(now_s=NOW_S - 0.5) for _ in range(3)]
    assert quarantined == [False, False, True]
    assert place(views, 10)["a0"] == 0
    view.quarantined_until_s = NOW_S
    assert place(views, 10)["a0"] == 1


def test_ranked_agents_are_bounded_and_rotate_over_all_agents() -> None:
    views = make_views(300)
    times = ServiceTimes()
    policy = shortest_completion(views, times)
    specs = make_job("s", tasks=500).tasks
    request = PlacementRequest(
        tasks=tuple(BatchTask(spec=spec, attempt=0) for spec in specs),
        commitment=ANY_DOMAIN,
        excluded_agents={},
    )
    used: set[str] = set()
    for _ in range(5):
        placement = policy(request, CONFIG, NOW_S)
        agents = {batch.agent.info.incarnation for batch in placement.batches}
        assert len(agents) <= 128
        used |= agents
    assert len(used) > 256

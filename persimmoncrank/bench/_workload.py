"""Workloads of policy runs: agents of different speeds, and heavy-tailed job traces."""

from __future__ import annotations

import heapq
import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmoncrank.protocol import TaskSpec

if TYPE_CHECKING:
    import random

log = logging.getLogger(__name__)

MIN_WORK_MS = 50.0
MAX_WORK_MS = 5_000.0
WORK_SIGMA = 0.6  # standard deviation of the logarithm of a task's work
DECLARED_ERROR_FACTOR = 3.0
SLOTS = 8
MIN_ROUND_TRIP_S = 0.001


@dataclass(frozen=True, kw_only=True, slots=True)
class Profile:
    """The profile of a customer's deployment.

    ``median_work_ms`` is the median run time of each kind on a backend server of slowness 1, and
    ``min_delay_s`` the minimum network delay between two processes.
    """

    domains: tuple[str, ...]
    agents: int
    max_slowness: float
    min_delay_s: float
    median_work_ms: Mapping[str, float]


PROFILES = {
    "chattahoochee": Profile(
        domains=("piedmont-a", "piedmont-b", "piedmont-c", "piedmont-d"),
        agents=10,
        max_slowness=2.4,
        min_delay_s=0.0014,
        median_work_ms={"alert-ping": 120.0, "field-ack": 400.0, "reg-filing": 1_800.0},
    ),
    "passeggiate": Profile(
        domains=("monza", "seregno", "vimercate"),
        agents=10,
        max_slowness=3.0,
        min_delay_s=0.0005,
        median_work_ms={"door-checkin": 70.0, "lead-return": 200.0, "round-rebuild": 700.0},
    ),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class JobPlan:
    """One job of a trace: its arrival time, and the kind and true work of each task."""

    at_s: float
    kinds: tuple[str, ...]
    work_ms: tuple[float, ...]


def draw_slowness(rng: random.Random, profile: Profile) -> tuple[float, ...]:
    """Return the slowness of each agent, from 1 to the maximum of the profile."""
    drawn = [rng.uniform(1.0, profile.max_slowness) for _ in range(profile.agents - 2)]
    return (1.0, profile.max_slowness, *drawn)


def capacity_per_s(slowness: tuple[float, ...]) -> float:
    """Return the work in milliseconds that all slots together process per second."""
    return sum(SLOTS * 1000 / value for value in slowness)


def draw_trace(
    rng: random.Random,
    *,
    medians_ms: Mapping[str, float],
    load: float,
    capacity_ms_per_s: float,
    tasks: int,
    seconds: float,
) -> list[JobPlan]:
    """Return jobs with Poisson arrivals whose mean work is ``load`` times the capacity."""
    # The mean work is estimated from samples, because it is cut off at both ends.
    samples = [_draw_work_ms(rng, median) for median in medians_ms.values() for _ in range(400)]
    jobs_per_s = load * capacity_ms_per_s / (tasks * sum(samples) / len(samples))
    trace = []
    at_s = rng.expovariate(jobs_per_s)
    while at_s < seconds:
        kinds = tuple(rng.choice(tuple(medians_ms)) for _ in range(tasks))
        work_ms = tuple(_draw_work_ms(rng, medians_ms[kind]) for kind in kinds)
        trace.append(JobPlan(at_s=at_s, kinds=kinds, work_ms=work_ms))
        at_s += rng.expovariate(jobs_per_s)
    return trace


def _draw_work_ms(rng: random.Random, median_ms: float) -> float:
    work_ms = rng.lognormvariate(math.log(median_ms), WORK_SIGMA)
    return min(max(work_ms, MIN_WORK_MS), MAX_WORK_MS)


def declare_tasks(
    rng: random.Random, plan: JobPlan, medians_ms: Mapping[str, float]
) -> tuple[TaskSpec, ...]:
    """Return a job's tasks; declared run times are off by up to DECLARED_ERROR_FACTOR."""
    limit = math.log(DECLARED_ERROR_FACTOR)
    return tuple(
        TaskSpec(
            index=index,
            kind=kind,
            payload=repr(work_ms).encode(),
            run_time_ms=max(1, int(medians_ms[kind] * math.exp(rng.uniform(-limit, limit)))),
            processors=1.0,
            memory_bytes=0,
        )
        for index, (kind, work_ms) in enumerate(zip(plan.kinds, plan.work_ms, strict=True))
    )


def true_work_ms(task: TaskSpec) -> float:
    """Return the true work of a task made by ``declare_tasks``."""
    return float(task.payload)


def min_response_s(plan: JobPlan, slowness: tuple[float, ...]) -> float:
    """Return a lower bound on a job's response time.

    No schedule is faster than the longest task on the fastest slot, or than all work of the job
    spread evenly over all slots of an otherwise idle system, plus one round trip.
    """
    longest_s = max(plan.work_ms) * min(slowness) / 1000
    spread_s = sum(plan.work_ms) / capacity_per_s(slowness)
    return max(longest_s, spread_s) + MIN_ROUND_TRIP_S


def clairvoyant_responses_s(trace: list[JobPlan], slowness: tuple[float, ...]) -> list[float]:
    """Return the response times of a scheduler that knows all run times and free slots.

    Jobs are scheduled in the order of arrival, their longest task first, each task on the slot
    where it ends first. The result is a reference, not a lower bound.
    """
    free_at_s = [[0.0] * SLOTS for _ in slowness]
    responses = []
    for plan in trace:
        ends_s = [
            _schedule(work_ms, plan.at_s, free_at_s, slowness)
            for work_ms in sorted(plan.work_ms, reverse=True)
        ]
        responses.append(max(ends_s) - plan.at_s + MIN_ROUND_TRIP_S)
    return responses


def _schedule(
    work_ms: float, at_s: float, free_at_s: list[list[float]], slowness: tuple[float, ...]
) -> float:
    """Assign a task to the slot where it ends first; return its end time."""
    ends = [
        max(at_s, heap[0]) + work_ms * agent_slowness / 1000
        for heap, agent_slowness in zip(free_at_s, slowness, strict=True)
    ]
    best = min(range(len(ends)), key=ends.__getitem__)
    heapq.heapreplace(free_at_s[best], ends[best])
    return ends[best]

"""Service times learned per agent and kind; declared run times are only a prior."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)

_WEIGHT_OF_NEWEST = 0.2
_MIN_RUN_TIME_MS = 0.1


class ServiceTimes:
    """Exponentially weighted means of service times.

    For a kind that an agent has not run yet, the kind's mean over all agents is scaled by the
    agent's slowness relative to the others on the kinds that it has run.
    """

    def __init__(self) -> None:
        """Create an empty set of means."""
        self._by_agent_kind: dict[tuple[str, str], float] = {}
        self._by_kind: dict[str, float] = {}
        self._by_agent: dict[str, float] = {}
        self._slowness: dict[str, float] = {}

    def observe(self, *, agent: str, kind: str, run_time_ms: float) -> None:
        """Update the means with one finished task."""
        run_time_ms = max(run_time_ms, _MIN_RUN_TIME_MS)
        kind_ms = _updated_mean(self._by_kind.get(kind), run_time_ms)
        self._by_kind[kind] = kind_ms
        key = (agent, kind)
        self._by_agent_kind[key] = _updated_mean(self._by_agent_kind.get(key), run_time_ms)
        self._by_agent[agent] = _updated_mean(self._by_agent.get(agent), run_time_ms)
        self._slowness[agent] = _updated_mean(self._slowness.get(agent), run_time_ms / kind_ms)

    def expected_ms(self, *, agent: str, kind: str, declared_ms: float) -> float:
        """Return the expected service time of a task of ``kind`` at ``agent``."""
        learned_ms = self._by_agent_kind.get((agent, kind))
        if learned_ms is not None:
            return learned_ms
        slowness = self._slowness.get(agent, 1.0)
        return max(self._by_kind.get(kind, declared_ms), _MIN_RUN_TIME_MS) * slowness

    def kind_ms(self, kind: str) -> float:
        """Return the mean service time of a kind over all agents, or 0 if none was observed."""
        return self._by_kind.get(kind, 0.0)

    def mean_ms(self, *, agent: str, default_ms: float) -> float:
        """Return the mean service time of an agent over all kinds."""
        return self._by_agent.get(agent, default_ms)

    def remove(self, agent: str) -> None:
        """Remove the means of an agent."""
        self._slowness.pop(agent, None)
        self._by_agent.pop(agent, None)
        for key in [key for key in self._by_agent_kind if key[0] == agent]:
            del self._by_agent_kind[key]


def _updated_mean(mean: float | None, value: float) -> float:
    if mean is None:
        return value
    return mean + _WEIGHT_OF_NEWEST * (value - mean)

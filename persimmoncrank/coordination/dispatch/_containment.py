"""Limits the damage of tasks that crash their workers to a few workers.

Load pattern: one in ten jobs of a kind has a task that crashes each worker that starts it, with all
other tasks there, and a worker takes longer to restart than the next such job takes to arrive.

- A task that may have caused a crash is tried again with few others: few at a time, on the emptiest
  worker, and only while most workers are up.
- A kind whose tasks had just been started in most crashes is confined to a part of the workers of
  its service, and the other kinds use the rest.
- There, the tasks of a job are placed together, so that a crash affects few other jobs.
"""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from persimmoncrank.coordination.dispatch._worker_choice import workers_with_capacity
from persimmoncrank.state import CommonKind, CrashHistory, CrashVerdict, rendezvous_score

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from persimmoncrank.coordination.dispatch._agent_link import AgentLink
    from persimmoncrank.coordination.dispatch._worker_jobs import JobTask

log = logging.getLogger(__name__)

TRIAL_S = 0.15  # a task that has run for longer is not expected to crash its worker any more
TRIAL_SHARE = 0.1  # of the workers that may run a trial at the same time
MAX_DOWN_SHARE = 0.2  # of the workers; above it nothing is tried that may crash another one
CONFINED_SHARE = 1 / 3  # of the workers of the kind's service
MIN_WORKERS_TO_CONFINE = 3
CONFINEMENT_WINDOW_S = 5.0
MIN_CRASHES_WITHOUT_PROOF = 3  # a single failure may end two workers at once
MIN_BLAMED_SHARE = 0.75  # of the crashes in the window in which the kind had just been started


@dataclass(kw_only=True)
class Containment:
    """The trials under way, and the kind that is confined now with the agents that it may use."""

    crashes: CrashHistory
    confined: CommonKind | None = None
    _trials: dict[int, float] = field(default_factory=dict)
    _trials_left: int | None = None
    _confined_agents: frozenset[str] = frozenset()
    _known_agents: frozenset[str] = frozenset()

    def update(self, links: Collection[AgentLink], *, now_s: float) -> None:
        """Confine the kind that the recent crashes have in common, or lift the confinement.

        This is called before each pass over the pending tasks.
        """
        self._trials_left = None
        blamed = self._blamed_kind(now_s=now_s)
        if blamed is None and self.confined is None:
            return
        agents = _agents_of(blamed.service, links) if blamed is not None else frozenset()
        if len(agents) < MIN_WORKERS_TO_CONFINE:
            blamed = None
        if _name(blamed) != _name(self.confined):
            log.warning(
                "placement: kind confined kind=%s before=%s agents=%d crashes=%d share=%.2f"
                " proven=%s",
                _name(blamed),
                _name(self.confined),
                len(agents),
                blamed.crashes if blamed else 0,
                blamed.share if blamed else 0.0,
                blamed.has_proven_task if blamed else False,
            )
        elif agents == self._known_agents:
            return
        self.confined, self._known_agents = blamed, agents
        self._confined_agents = _share_of(agents, blamed.kind) if blamed else frozenset()

    def _blamed_kind(self, *, now_s: float) -> CommonKind | None:
        """Return the kind that probably contains tasks that crash their workers, or None."""
        common = self.crashes.common_kind(since_s=now_s - CONFINEMENT_WINDOW_S)
        if common is None or common.share < MIN_BLAMED_SHARE:
            return None
        if common.has_proven_task or common.crashes >= MIN_CRASHES_WITHOUT_PROOF:
            return common
        return None

    @property
    def pool_count(self) -> int:
        """The number of separate groups of workers: two while a kind is confined."""
        return 1 if self.confined is None else 2

    def is_confined(self, task: JobTask) -> bool:
        """Return whether a task is of the confined kind."""
        return self.confined is not None and task.kind == self.confined.kind

    def usable_links(self, task: JobTask, links: Iterable[AgentLink]) -> list[AgentLink]:
        """Return the agents that a task may use while a kind of its service is confined.

        A task that needs a label which none of them has may use all.
        """
        found = list(links)
        if self.confined is None or task.job.job.queue.service != self.confined.service:
            return found
        is_confined = self.is_confined(task)
        own = [link for link in found if (link.hello.agent in self._confined_agents) is is_confined]
        if task.step.label and not any(_has_label(link, task.step.label) for link in own):
            return found
        return own

    def is_suspect(self, task: JobTask) -> bool:
        """Return whether a task may have caused a crash."""
        return self.crashes.verdict(task.ref) is CrashVerdict.SUSPECT

    def may_try(self, links: Collection[AgentLink], *, now_s: float) -> bool:
        """Return whether a suspect task may be tried now."""
        if self._trials_left is None:
            running = sum(now_s < ordered_at_s + TRIAL_S for ordered_at_s in self._trials.values())
            down = sum(map(self._is_down, links))
            has_enough = down <= max(1, len(links) * MAX_DOWN_SHARE)
            limit = math.ceil(len(links) * TRIAL_SHARE) if has_enough else 0
            self._trials_left = limit - running
        return self._trials_left > 0

    def _is_down(self, link: AgentLink) -> bool:
        """Return whether the last known incarnation of a worker has crashed."""
        report = link.report
        return report is not None and self.crashes.has_crashed(
            report.worker, report.worker_incarnation
        )

    def start_trial(self, order_id: int, *, now_s: float) -> None:
        """Note the order of a suspect task."""
        self._trials[order_id] = now_s
        if self._trials_left is not None:
            self._trials_left -= 1

    def end_order(self, order_id: int) -> None:
        """Note the end of any order."""
        self._trials.pop(order_id, None)


def choose_confined(
    task: JobTask, links: Iterable[AgentLink], *, withdrawn: Collection[str], now_s: float
) -> AgentLink | None:
    """Return a worker with tasks of the same job, else the emptiest one, or None."""
    own_agents = set(task.job.open_orders.values())
    return max(
        workers_with_capacity(task, links, withdrawn=withdrawn, now_s=now_s),
        key=lambda link: (link.hello.incarnation in own_agents, link.free_share),
        default=None,
    )


def choose_for_trial(
    task: JobTask, links: Iterable[AgentLink], *, withdrawn: Collection[str], now_s: float
) -> AgentLink | None:
    """Return the emptiest worker, or None."""
    return max(
        workers_with_capacity(task, links, withdrawn=withdrawn, now_s=now_s),
        key=lambda link: link.free_share,
        default=None,
    )


def _name(kind: CommonKind | None) -> str:
    return kind.kind if kind is not None else "none"


def _has_label(link: AgentLink, label: str) -> bool:
    return link.report is not None and label in link.report.labels


def _agents_of(service: str, links: Iterable[AgentLink]) -> frozenset[str]:
    return frozenset(
        link.hello.agent
        for link in links
        if link.report is not None and link.report.service == service
    )


def _share_of(agents: Iterable[str], kind: str) -> frozenset[str]:
    """Return the agents that a confined kind may use, the same at all entries."""
    ranked = sorted(agents, key=lambda agent: rendezvous_score(kind, agent), reverse=True)
    return frozenset(ranked[: math.ceil(len(ranked) * CONFINED_SHARE)])

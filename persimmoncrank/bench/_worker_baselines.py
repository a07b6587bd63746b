"""Policies that choose a worker: the product's, and baselines for comparison."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from persimmoncrank.coordination.dispatch import ChooseWorker, choose_worker, workers_with_capacity

if TYPE_CHECKING:
    from persimmoncrank.coordination.dispatch import AgentLink, JobTask

log = logging.getLogger(__name__)

Score = Callable[["JobTask", "AgentLink"], float]


def _by_score(score: Score) -> ChooseWorker:
    def choose(
        task: JobTask, links: Iterable[AgentLink], *, withdrawn: Iterable[str], now_s: float
    ) -> AgentLink | None:
        eligible = workers_with_capacity(task, links, withdrawn=frozenset(withdrawn), now_s=now_s)
        return min(eligible, key=lambda link: score(task, link), default=None)

    return choose


def _slowness(link: AgentLink) -> float:
    return link.report.slowness if link.report is not None else 1.0


def _product(_seed: int) -> ChooseWorker:
    return choose_worker


def _fastest(_seed: int) -> ChooseWorker:
    return _by_score(lambda _task, link: _slowness(link))


def _least_loaded(_seed: int) -> ChooseWorker:
    return _by_score(lambda _task, link: -link.free_share)


def _two_choices(seed: int) -> ChooseWorker:
    rng = random.Random(f"{seed}/two choices")

    def choose(
        task: JobTask, links: Iterable[AgentLink], *, withdrawn: Iterable[str], now_s: float
    ) -> AgentLink | None:
        eligible = list(
            workers_with_capacity(task, links, withdrawn=frozenset(withdrawn), now_s=now_s)
        )
        pair = rng.sample(eligible, min(2, len(eligible)))
        return max(pair, key=lambda link: link.free_share, default=None)

    return choose


CHOICES: dict[str, Callable[[int], ChooseWorker]] = {
    "product": _product,
    "fastest": _fastest,
    "least_loaded": _least_loaded,
    "two_choices": _two_choices,
}

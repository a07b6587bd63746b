"""What the runner of a worker reports to its agent."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from persimmoncrank.protocol import CrashedRun, OrderOutcome
from persimmoncrank.state import Run

log = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class RunnerCallbacks:
    """Callbacks of the runner.

    ``started`` and ``ended`` report runs, the latter with outcome, run time in seconds and cause.
    ``crashed`` reports the runs that were active when the worker crashed, before their ends.
    ``changed`` reports other changes of the worker's state; ``may_start`` is asked before a start.
    ``before_extension`` is called before the worker's lease is extended: it revokes the runs of
    entries whose leases have expired.
    """

    started: Callable[[Run], None]
    ended: Callable[[Run, OrderOutcome, float, str], None]
    crashed: Callable[[tuple[CrashedRun, ...]], None]
    changed: Callable[[], None]
    may_start: Callable[[Run], bool]
    before_extension: Callable[[], None]

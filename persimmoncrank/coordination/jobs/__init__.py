"""Jobs: submissions, their idempotency keys, and the runs that coordinate their tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.coordination.jobs._claims import Claims
    from persimmoncrank.coordination.jobs._job_run import JobPorts
    from persimmoncrank.coordination.jobs._job_table import JobLimits, JobTable
    from persimmoncrank.coordination.jobs._submissions import Submissions

__all__ = [
    "Claims",
    "JobLimits",
    "JobPorts",
    "JobTable",
    "Submissions",
]

_MODULES = {
    "Claims": "_claims",
    "JobLimits": "_job_table",
    "JobPorts": "_job_run",
    "JobTable": "_job_table",
    "Submissions": "_submissions",
}

__getattr__ = lazy_exports(__name__, _MODULES)
